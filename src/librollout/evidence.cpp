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

/// Lower bound of a bucket.
double bucketStart(std::size_t bucket)
{
    return std::exp2((static_cast<double>(bucket) - middleBucket) / bucketsPerOctave);
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

} // namespace wigeonsill
