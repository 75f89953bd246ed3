/// \file admissionlimit.cpp
/// Adaptive limit of the tokens in flight at one target.
#include "admissionlimit.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr std::uint32_t allowedLatePercent = 5;
constexpr std::uint32_t minimumGapSamples = 10; ///< Needed to evaluate an interval.
constexpr std::uint32_t minimumFirstTokenSamples = 1;
constexpr std::uint32_t minimumUnstreamedTokens = 64; ///< Shorter answers give no usable mean gap.
constexpr double smallestDecreaseFactor = 0.9; ///< Of the limit in use.
constexpr double largestDecreaseFactor = 0.5;
constexpr double growthRatio = 0.05; ///< Of the limit, per interval.
constexpr double fastGrowthRatio = 0.3; ///< While the gaps are far below their target.
constexpr double fastGrowthGapRatio = 0.5; ///< Of the gap target; fast growth below it.
constexpr double minimumGrowthTokens = 512;
constexpr std::uint32_t maximumIneffectiveDecreases = 3;
constexpr double effectiveGapRatio = 0.9; ///< Of the gap before; decreases to less are effective.

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool exceedsLateAllowance(std::uint32_t late, std::uint32_t all)
{
    return late * 100 > all * allowedLatePercent;
}

} // namespace

AdmissionLimit::AdmissionLimit(const Options &limitOptions)
    : options(limitOptions)
    , limit(static_cast<double>(limitOptions.initial))
{
}

void AdmissionLimit::onHead(AnswerTiming &timing, const Headers &headers) const
{
    for (const Header &header : headers) {
        if (header.value.starts_with("text/event-stream")) {
            timing.streamed = true;
        }
    }
}

void AdmissionLimit::onBytes(TimePoint now, AnswerTiming &timing, bool paused)
{
    if (!timing.streamed) {
        return;
    }
    if (!timing.haveBytes) {
        // A slow first token on an idle target is not caused by load.
        if (!timing.startedOnIdleTarget) {
            ++this->window.firstTokens;
            const bool late = now - timing.startedAt > this->options.firstTokenTarget;
            this->window.lateFirstTokens += late ? 1 : 0;
        }
    } else if (!paused) {
        this->addGap(now - timing.lastBytesAt);
    }
    timing.haveBytes = true;
    timing.lastBytesAt = now;
}

void AdmissionLimit::onEnd(TimePoint now, const AnswerTiming &timing, std::uint32_t outputTokens)
{
    if (!timing.streamed && outputTokens >= minimumUnstreamedTokens) {
        this->addGap((now - timing.startedAt) / outputTokens);
    }
}

void AdmissionLimit::addGap(Duration gap)
{
    ++this->window.gaps;
    this->window.gapTotalSeconds += inSeconds(gap);
    this->window.longGaps += gap > this->options.gapTarget ? 1 : 0;
}

void AdmissionLimit::onLoad(std::uint64_t tokensInFlight, bool backlogged)
{
    this->inFlight = tokensInFlight;
    this->window.mostInFlight = std::max(this->window.mostInFlight, tokensInFlight);
    this->window.backlogged = this->window.backlogged || backlogged;
}

bool AdmissionLimit::isLate() const
{
    const bool lateGaps = this->window.gaps >= minimumGapSamples
        && exceedsLateAllowance(this->window.longGaps, this->window.gaps);
    const bool lateFirst = this->window.firstTokens >= minimumFirstTokenSamples
        && exceedsLateAllowance(this->window.lateFirstTokens, this->window.firstTokens);
    return lateGaps || lateFirst;
}

void AdmissionLimit::tick(TimePoint now)
{
    if (!this->started) {
        this->started = true;
        this->windowStart = now;
    }
    if (now - this->windowStart < this->options.interval) {
        return;
    }
    // The latencies reflect the last decrease only once the load has dropped to the limit.
    const bool settled
        = double(this->window.mostInFlight) <= this->limit * 1.05 || this->decreases == 0;
    if (this->isLate()) {
        if (settled && now >= this->holdUntil) {
            this->decrease(now);
        }
    } else if (this->window.gaps + this->window.firstTokens > 0) {
        this->decreases = 0;
        if (this->window.backlogged) {
            this->increase();
        }
    }
    this->window = {};
    this->window.mostInFlight = this->inFlight;
    this->windowStart = now;
}

void AdmissionLimit::decrease(TimePoint now)
{
    const double gap = this->window.meanGap();
    if (this->decreases == 0) {
        this->limitBeforeDecreases = this->limit;
        this->gapBeforeDecreases = gap;
    } else if (this->decreases >= maximumIneffectiveDecreases
        && gap > this->gapBeforeDecreases * effectiveGapRatio) {
        this->limit = this->limitBeforeDecreases;
        this->decreases = 0;
        this->holdUntil = now + this->options.holdAfterIneffectiveDecreases;
        return;
    }
    ++this->decreases;
    const double targetRatio
        = gap > 0 ? inSeconds(this->options.gapTarget) / gap : smallestDecreaseFactor;
    const double factor = std::clamp(targetRatio, largestDecreaseFactor, smallestDecreaseFactor);
    const double used = std::min(this->limit, double(this->window.mostInFlight));
    this->limit = std::max(double(this->options.minimum), used * factor);
}

void AdmissionLimit::increase()
{
    const bool farBelowTarget = this->window.gaps >= minimumGapSamples
        && this->window.meanGap() < inSeconds(this->options.gapTarget) * fastGrowthGapRatio;
    const double growth = farBelowTarget ? fastGrowthRatio : growthRatio;
    this->limit += std::max(minimumGrowthTokens, this->limit * growth);
    this->limit = std::min(this->limit, double(this->options.maximum));
}

} // namespace wigeonsill
