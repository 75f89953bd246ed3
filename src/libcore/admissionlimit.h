/// \file admissionlimit.h
/// Adaptive limit of the tokens in flight at one target.
///
/// Targets have no priorities, so requests queued inside a target are not served by tier. The limit
/// keeps the target's own queue short: it decreases when the time to the first token or the gaps
/// between tokens exceed their latency targets, and increases while they are met and the limit
/// makes requests wait.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// Timing of one run's answer, as needed by the limit.
struct AnswerTiming
{
    TimePoint startedAt;
    TimePoint lastBytesAt;
    bool streamed = false; ///< The target sends tokens as it generates them.
    bool haveBytes = false;
    bool startedOnIdleTarget = false; ///< No other request was running.
};

/// Additive increase, multiplicative decrease on measured latencies. The limit decreases again only
/// once the effect of the previous decrease is measurable. When decreases do not shorten the gaps,
/// the target itself is slow: the limit is restored, since a low limit would cost goodput without
/// improving latency. Not thread-safe.
class AdmissionLimit
{
public:
    struct Options
    {
        std::uint64_t initial = 32'768; ///< Tokens.
        std::uint64_t minimum = 256; ///< Tokens. A single larger request still runs.
        std::uint64_t maximum = 1'048'576; ///< Tokens.
        Duration firstTokenTarget = milliseconds(1300);
        Duration gapTarget = milliseconds(76); ///< Met by 95 of 100 gaps.
        Duration interval = milliseconds(500); ///< Between changes of the limit.
        Duration holdAfterIneffectiveDecreases = seconds(10); ///< Without further decreases.
    };

    explicit AdmissionLimit(const Options &options);

    /// Current limit of tokens in flight.
    std::uint64_t tokens() const { return static_cast<std::uint64_t>(this->limit); }

    /// Records the head of an answer. \param headers Header fields of the answer.
    void onHead(AnswerTiming &timing, const Headers &headers) const;
    /// Records bytes of an answer. \param paused Reading was paused, so the gap is not measured.
    void onBytes(TimePoint now, AnswerTiming &timing, bool paused);
    /// Records a complete answer. \param outputTokens As counted by the target; 0 if not counted.
    void onEnd(TimePoint now, const AnswerTiming &timing, std::uint32_t outputTokens);
    /// Records the load of the target. \param backlogged Requests wait because of the limit.
    void onLoad(std::uint64_t tokensInFlight, bool backlogged);
    /// Adjusts the limit at the end of each interval. Call at least every 100 ms.
    void tick(TimePoint now);

private:
    /// Measurements of the current interval.
    struct Window
    {
        std::uint32_t gaps = 0;
        std::uint32_t longGaps = 0;
        std::uint32_t firstTokens = 0;
        std::uint32_t lateFirstTokens = 0;
        double gapTotalSeconds = 0;
        std::uint64_t mostInFlight = 0;
        bool backlogged = false;

        /// Seconds.
        double meanGap() const { return this->gaps == 0 ? 0 : this->gapTotalSeconds / this->gaps; }
    };

    void addGap(Duration gap);
    bool isLate() const;
    void decrease(TimePoint now);
    void increase();

    Options options;
    double limit;
    Window window;
    TimePoint windowStart;
    std::uint64_t inFlight = 0;
    bool started = false;

    std::uint32_t decreases = 0; ///< Consecutive.
    double limitBeforeDecreases = 0; ///< Limit before the first consecutive decrease.
    double gapBeforeDecreases = 0; ///< Mean gap at that time, in seconds.
    TimePoint holdUntil;
};

} // namespace wigeonsill
