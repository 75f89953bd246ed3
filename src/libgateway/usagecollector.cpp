/// \file usagecollector.cpp
/// Sums up the entries' usage of the organisations' quotas.
#include "wigeonsill/gateway.h"

namespace wigeonsill {

namespace {

/// An entry without a report for this long no longer counts as sharing the quotas.
constexpr Duration reportTimeout = seconds(3);

double totalOf(const std::map<std::string, double> &totals, const std::string &organisation)
{
    const auto found = totals.find(organisation);
    return found == totals.end() ? 0 : found->second;
}

} // namespace

void UsageCollector::addReport(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now)
{
    Samples &samples = this->samplesByEntry[entry];
    Sample latest{ now, {}, {} };
    Sample baseline{ now - this->window, {}, {} };
    for (const auto &[organisation, use] : usage) {
        latest.totals[organisation] = use.total;
        latest.demands[organisation] = use.demand;
        baseline.totals[organisation] = use.total - use.inWindow;
    }
    if (samples.empty()) {
        samples.push_back(std::move(baseline));
    }
    samples.push_back(std::move(latest));
    this->removeExpired(now);
}

void UsageCollector::removeExpired(TimePoint now)
{
    std::erase_if(this->samplesByEntry,
        [this, now](const auto &element) { return now - element.second.back().at > this->window; });
    for (auto &[entry, samples] : this->samplesByEntry) {
        // Keeps one sample that is older than the window as the baseline.
        while (samples.size() > 1 && now - samples[1].at >= this->window) {
            samples.pop_front();
        }
    }
}

UsageReport UsageCollector::reportFor(std::uint64_t entry, TimePoint now)
{
    this->removeExpired(now);
    UsageReport report;
    report.sharingEntries = 0;
    report.collectorAge = now - this->startedAt;
    for (const auto &[other, samples] : this->samplesByEntry) {
        const bool isReporting = now - samples.back().at < reportTimeout;
        report.sharingEntries += isReporting ? 1 : 0;
        if (other == entry) {
            continue;
        }
        for (const auto &[organisation, total] : samples.back().totals) {
            report.othersUsage[organisation]
                += total - totalOf(samples.front().totals, organisation);
        }
        for (const auto &[organisation, demand] : samples.back().demands) {
            report.othersDemand[organisation] += isReporting ? demand : 0;
        }
    }
    return report;
}

} // namespace wigeonsill
