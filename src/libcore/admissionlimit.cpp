/// \file admissionlimit.cpp
/// The adaptive limit of tokens in flight at one target.
#include "admissionlimit.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr std::uint32_t allowedLatePerHundred = 5;
constexpr std::uint32_t minimumGaps = 10; ///< Samples that a judgement needs.
constexpr std::uint32_t minimumFirstTokens = 1;
constexpr std::uint32_t shortAnswerTokens = 64; ///< Fewer tell nothing of gaps when unstreamed.
constexpr double smallestDecrease = 0.9; ///< Factors of the limit.
constexpr double largestDecrease = 0.5;
constexpr double growthShare = 0.05; ///< Of the limit, in one interval.
constexpr double fastGrowthShare = 0.3; ///< While the gaps are far under their target.
constexpr double fastGrowthGap = 0.5; ///< Of the target.
constexpr double additiveTokens = 512;
constexpr std::uint32_t futileDecreases = 3;
constexpr double helpfulGap = 0.9; ///< Of the gap before, when a decrease has helped.

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isOverAllowance(std::uint32_t late, std::uint32_t all)
{
    return late * 100 > all * allowedLatePerHundred;
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
        // A prompt that is slow on an empty target says nothing about the load.
        if (!timing.startedAlone) {
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
    if (!timing.streamed && outputTokens >= shortAnswerTokens) {
        this->addGap((now - timing.startedAt) / outputTokens);
    }
}

void AdmissionLimit::addGap(Duration gap)
{
    ++this->window.gaps;
    this->window.gapTotal += inSeconds(gap);
    this->window.longGaps += gap > this->options.gapTarget ? 1 : 0;
}

void AdmissionLimit::onLoad(std::uint64_t tokensInFlight, bool heldBack)
{
    this->inFlight = tokensInFlight;
    this->window.mostInFlight = std::max(this->window.mostInFlight, tokensInFlight);
    this->window.heldBack = this->window.heldBack || heldBack;
}

bool AdmissionLimit::isLate() const
{
    const bool lateGaps = this->window.gaps >= minimumGaps
        && isOverAllowance(this->window.longGaps, this->window.gaps);
    const bool lateFirst = this->window.firstTokens >= minimumFirstTokens
        && isOverAllowance(this->window.lateFirstTokens, this->window.firstTokens);
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
    // Until the load has come down to the limit, the last decrease cannot be seen in the latencies.
    const bool settled
        = double(this->window.mostInFlight) <= this->limit * 1.05 || this->decreases == 0;
    if (this->isLate()) {
        if (settled && now >= this->holdUntil) {
            this->decrease(now);
        }
    } else if (this->window.gaps + this->window.firstTokens > 0) {
        this->decreases = 0;
        if (this->window.heldBack) {
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
        this->limitBefore = this->limit;
        this->gapBefore = gap;
    } else if (this->decreases >= futileDecreases && gap > this->gapBefore * helpfulGap) {
        this->limit = this->limitBefore;
        this->decreases = 0;
        this->holdUntil = now + this->options.holdAfterFutile;
        return;
    }
    ++this->decreases;
    const double wanted = gap > 0 ? inSeconds(this->options.gapTarget) / gap : smallestDecrease;
    const double factor = std::clamp(wanted, largestDecrease, smallestDecrease);
    const double used = std::min(this->limit, double(this->window.mostInFlight));
    this->limit = std::max(double(this->options.minimum), used * factor);
}

void AdmissionLimit::increase()
{
    const bool wide = this->window.gaps >= minimumGaps
        && this->window.meanGap() < inSeconds(this->options.gapTarget) * fastGrowthGap;
    const double share = wide ? fastGrowthShare : growthShare;
    this->limit += std::max(additiveTokens, this->limit * share);
    this->limit = std::min(this->limit, double(this->options.maximum));
}

} // namespace wigeonsill
