/// \file evidence.cpp
/// Counts of answers and their latencies during a rollout.
#include "wigeonsill/rollout.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wigeonsill {

namespace {

constexpr double bucketsPerOctave = 2;
constexpr int middleBucket = static_cast<int>(LatencyHistogram::bucketCount) / 2;

/// Between two reports of an entry; longer with many entries, see reportInterval().
constexpr Duration minimumReportInterval = milliseconds(250);
constexpr Duration reportIntervalPerEntry = milliseconds(8);

/// Lower bound of a bucket.
double bucketStart(std::size_t bucket)
{
    return std::exp2((static_cast<double>(bucket) - middleBucket) / bucketsPerOctave);
}

template <typename Count>
Count grown(Count now, Count earlier)
{
    return now > earlier ? now - earlier : 0;
}

LatencyHistogram histogramSince(const LatencyHistogram &now, const LatencyHistogram &earlier)
{
    LatencyHistogram result;
    for (std::size_t i = 0; i < LatencyHistogram::bucketCount; ++i) {
        result.counts[i] = grown(now.counts[i], earlier.counts[i]);
    }
    return result;
}

using Routes = std::map<std::string, RouteEvidence, std::less<>>;

Routes routesSince(const Routes &now, const Routes &earlier)
{
    Routes result;
    for (const auto &[name, route] : now) {
        const auto found = earlier.find(name);
        const RouteEvidence before = found == earlier.end() ? RouteEvidence() : found->second;
        if (route.answers > before.answers) {
            result[name]
                = { grown(route.answers, before.answers), grown(route.failures, before.failures),
                      histogramSince(route.byTarget, before.byTarget),
                      histogramSince(route.bySize, before.bySize) };
        }
    }
    return result;
}

} // namespace

void LatencyHistogram::record(double ratio)
{
    const double position = std::floor(std::log2(ratio) * bucketsPerOctave) + middleBucket;
    const double bucket = std::clamp(position, 0.0, static_cast<double>(bucketCount - 1));
    ++this->counts[static_cast<std::size_t>(bucket)];
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (std::size_t i = 0; i < bucketCount; ++i) {
        this->counts[i] += other.counts[i];
    }
}

std::uint64_t LatencyHistogram::count() const
{
    return std::accumulate(this->counts.begin(), this->counts.end(), std::uint64_t{ 0 });
}

double LatencyHistogram::quantile(double share) const
{
    const auto total = static_cast<double>(this->count());
    if (total <= 0) {
        return 0;
    }
    double below = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const double inBucket = this->counts[i];
        if (inBucket > 0 && below + inBucket >= share * total) {
            const double part = (share * total - below) / inBucket;
            return bucketStart(i) * std::exp2(std::max(part, 0.0) / bucketsPerOctave);
        }
        below += inBucket;
    }
    return bucketStart(bucketCount);
}

double LatencyHistogram::shareAbove(double ratio) const
{
    const auto total = static_cast<double>(this->count());
    if (total <= 0) {
        return 0;
    }
    double above = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const double start = bucketStart(i);
        const double end = bucketStart(i + 1);
        // Answers within a bucket are taken to be spread evenly over its logarithmic range.
        const double part = std::log2(end / std::clamp(ratio, start, end)) / std::log2(end / start);
        above += part * this->counts[i];
    }
    return above / total;
}

void add(RouteEvidence &sum, const RouteEvidence &part)
{
    sum.answers += part.answers;
    sum.failures += part.failures;
    sum.byTarget.merge(part.byTarget);
    sum.bySize.merge(part.bySize);
}

void add(RolloutEvidence &sum, const RolloutEvidence &part)
{
    for (const auto &[name, route] : part.oldByRoute) {
        add(sum.oldByRoute[name], route);
    }
    for (const auto &[name, route] : part.targetByRoute) {
        add(sum.targetByRoute[name], route);
    }
    for (const auto &[id, target] : part.byTarget) {
        TargetEvidence &total = sum.byTarget[id];
        total.answers += target.answers;
        total.failures += target.failures;
        total.slowAnswers += target.slowAnswers;
    }
    sum.sentToOld += part.sentToOld;
    sum.sentToTarget += part.sentToTarget;
}

RolloutEvidence evidenceSince(const RolloutEvidence &now, const RolloutEvidence &earlier)
{
    RolloutEvidence result;
    result.oldByRoute = routesSince(now.oldByRoute, earlier.oldByRoute);
    result.targetByRoute = routesSince(now.targetByRoute, earlier.targetByRoute);
    for (const auto &[id, target] : now.byTarget) {
        const auto found = earlier.byTarget.find(id);
        const TargetEvidence before
            = found == earlier.byTarget.end() ? TargetEvidence() : found->second;
        if (target.answers > before.answers) {
            result.byTarget[id]
                = { grown(target.answers, before.answers), grown(target.failures, before.failures),
                      grown(target.slowAnswers, before.slowAnswers) };
        }
    }
    result.sentToOld = grown(now.sentToOld, earlier.sentToOld);
    result.sentToTarget = grown(now.sentToTarget, earlier.sentToTarget);
    return result;
}

Duration reportInterval(std::size_t entries)
{
    return std::max(
        minimumReportInterval, reportIntervalPerEntry * static_cast<Duration::rep>(entries));
}

} // namespace wigeonsill
