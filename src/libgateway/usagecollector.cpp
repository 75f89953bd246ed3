/// \file usagecollector.cpp
/// Adds up what the entries used of the quotas.
#include "wigeonsill/gateway.h"

namespace wigeonsill {

namespace {

/// An entry that reported nothing for this long no longer shares the quotas.
constexpr Duration reportLapse = seconds(3);

double valueOf(const std::map<std::string, double> &totals, const std::string &organisation)
{
    const auto found = totals.find(organisation);
    return found == totals.end() ? 0 : found->second;
}

} // namespace

void UsageCollector::take(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now)
{
    Samples &samples = this->entries[entry];
    Sample latest{ now, {}, {} };
    Sample before{ now - this->window, {}, {} };
    for (const auto &[organisation, use] : usage) {
        latest.totals[organisation] = use.total;
        latest.demands[organisation] = use.demand;
        before.totals[organisation] = use.total - use.inWindow;
    }
    if (samples.empty()) {
        samples.push_back(std::move(before));
    }
    samples.push_back(std::move(latest));
    this->forgetOld(now);
}

void UsageCollector::forgetOld(TimePoint now)
{
    std::erase_if(this->entries,
        [this, now](const auto &row) { return now - row.second.back().at > this->window; });
    for (auto &[entry, samples] : this->entries) {
        // The first one left is the newest that is older than the window.
        while (samples.size() > 1 && now - samples[1].at >= this->window) {
            samples.pop_front();
        }
    }
}

UsageReport UsageCollector::reportFor(std::uint64_t entry, TimePoint now)
{
    this->forgetOld(now);
    UsageReport report;
    report.entries = 0;
    report.memory = now - this->startedAt;
    for (const auto &[other, samples] : this->entries) {
        const bool reports = now - samples.back().at < reportLapse;
        report.entries += reports ? 1 : 0;
        if (other == entry) {
            continue;
        }
        for (const auto &[organisation, total] : samples.back().totals) {
            report.othersUse[organisation] += total - valueOf(samples.front().totals, organisation);
        }
        for (const auto &[organisation, demand] : samples.back().demands) {
            report.othersDemand[organisation] += reports ? demand : 0;
        }
    }
    return report;
}

} // namespace wigeonsill
