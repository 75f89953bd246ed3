/// \file usagecollector.cpp
/// Sums up the entries' usage of the organisations' quotas.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// An entry without a report for this long no longer counts as sharing the quotas.
constexpr Duration reportTimeout = seconds(3);
/// Interval at which the usage of all entries is checked for what has left the window.
constexpr Duration expiryInterval = milliseconds(50);
/// A total that is lower than one received within this time is taken for one of an older report,
/// otherwise for one after refunds: two rounds of reports. Adopting an older report hid a request
/// of 1,500 tokens for 240 ms, in which two other entries admitted as much (1.024 of what is
/// accepted).
constexpr Duration overtakingTime = milliseconds(500);

} // namespace

void UsageCollector::addReport(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now)
{
    Entry &record = this->entries[entry];
    Sample sample{ now, {} };
    if (record.samples.empty()) {
        Sample baseline{ now - this->window, {} };
        for (const auto &[organisation, use] : usage) {
            baseline.totals[organisation] = use.total - use.inWindow;
        }
        record.samples.push_back(std::move(baseline));
    }
    for (const auto &[organisation, use] : usage) {
        sample.totals[organisation] = use.total;
    }
    record.samples.push_back(std::move(sample));
    record.latest = usage;
    adoptTotals(record, usage, now);
    this->removeExpiredSamples(record, now);
    this->recount(record, now);
    this->removeExpired(now);
}

std::vector<std::uint64_t> UsageCollector::reportingEntryIds(TimePoint now) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[id, entry] : this->entries) {
        if (now - entry.samples.back().at < reportTimeout) {
            result.push_back(id);
        }
    }
    return result;
}

void UsageCollector::adoptTotals(Entry &entry, const UsageByOrganisation &usage, TimePoint now)
{
    for (const auto &[organisation, use] : usage) {
        Total &total = entry.totals[organisation];
        if (use.total >= total.value || now - total.at >= overtakingTime) {
            total = { use.total, now };
        }
    }
}

void UsageCollector::removeExpiredSamples(Entry &entry, TimePoint now) const
{
    while (entry.samples.size() > 1 && now - entry.samples[1].at >= this->window) {
        entry.samples.pop_front();
    }
}

void UsageCollector::discount(Entry &entry)
{
    for (const auto &[organisation, amounts] : entry.counted) {
        Amounts &sum = this->sums[organisation];
        // Rounding errors must not add up to a negative usage.
        sum.usage = std::max(sum.usage - amounts.usage, 0.0);
        sum.demand = std::max(sum.demand - amounts.demand, 0.0);
    }
    entry.counted.clear();
    this->reportingEntries -= entry.reporting ? 1 : 0;
    entry.reporting = false;
}

void UsageCollector::recount(Entry &entry, TimePoint now)
{
    this->discount(entry);
    entry.reporting = now - entry.samples.back().at < reportTimeout;
    this->reportingEntries += entry.reporting ? 1 : 0;
    const auto &baseline = entry.samples.front().totals;
    for (const auto &[organisation, use] : entry.latest) {
        const auto before = baseline.find(organisation);
        const double total = entry.totals[organisation].value;
        const Amounts amounts{ total - (before == baseline.end() ? 0 : before->second),
            entry.reporting ? use.demand : 0 };
        entry.counted[organisation] = amounts;
        Amounts &sum = this->sums[organisation];
        sum.usage += amounts.usage;
        sum.demand += amounts.demand;
    }
}

void UsageCollector::remove(std::uint64_t entry)
{
    const auto record = this->entries.find(entry);
    if (record != this->entries.end()) {
        this->discount(record->second);
        this->entries.erase(record);
    }
}

void UsageCollector::removeExpired(TimePoint now)
{
    if (now - this->expiredAt < expiryInterval) {
        return;
    }
    this->expiredAt = now;
    for (auto record = this->entries.begin(); record != this->entries.end();) {
        Entry &entry = record->second;
        if (now - entry.samples.back().at > this->window) {
            this->discount(entry);
            record = this->entries.erase(record);
            continue;
        }
        const std::size_t sampleCount = entry.samples.size();
        this->removeExpiredSamples(entry, now);
        const bool fellSilent = entry.reporting && now - entry.samples.back().at >= reportTimeout;
        if (entry.samples.size() != sampleCount || fellSilent) {
            this->recount(entry, now);
        }
        ++record;
    }
}

UsageReport UsageCollector::reportFor(std::uint64_t entry, TimePoint now)
{
    this->removeExpired(now);
    UsageReport report;
    report.sharingEntries = this->reportingEntries;
    report.collectorAge = now - this->startedAt;
    const auto own = this->entries.find(entry);
    for (const auto &[organisation, sum] : this->sums) {
        Amounts others = sum;
        if (own != this->entries.end()) {
            const auto part = own->second.counted.find(organisation);
            if (part != own->second.counted.end()) {
                others.usage -= part->second.usage;
                others.demand -= part->second.demand;
            }
        }
        report.othersUsage[organisation] = std::max(others.usage, 0.0);
        report.othersDemand[organisation] = std::max(others.demand, 0.0);
    }
    return report;
}

} // namespace wigeonsill
