/// \file admissionlimit.h
/// The adaptive limit of tokens in flight at one target.
///
/// Targets know no priorities, so whatever waits inside one waits in no order. The limit keeps the
/// target's own queue shallow: it falls when the time to the first token or the gaps between tokens
/// are over their targets, and rises while they are met and the limit is what holds work back.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// When one run's answer came, as far as the limit needs it.
struct AnswerTiming
{
    TimePoint startedAt;
    TimePoint lastBytesAt;
    bool streamed = false; ///< The target sends tokens as it makes them.
    bool haveBytes = false;
    bool startedAlone = false; ///< Nothing else was in flight.
};

/// Additive increase, multiplicative decrease on measured latencies. A decrease is made only once
/// the effect of the one before can be seen. Where a smaller load does not shorten the gaps, the
/// target is slow by itself and the limit is put back, since a low limit would cost goodput for
/// nothing. Not thread-safe.
class AdmissionLimit
{
public:
    struct Options
    {
        std::uint64_t initial = 32'768; ///< Tokens.
        std::uint64_t minimum = 256; ///< Tokens. One request of any size runs all the same.
        std::uint64_t maximum = 1'048'576; ///< Tokens.
        Duration firstTokenTarget = milliseconds(1300);
        Duration gapTarget = milliseconds(76); ///< For 95 of 100 gaps.
        Duration interval = milliseconds(500); ///< Between changes of the limit.
        Duration holdAfterFutile = seconds(10); ///< Without decreases that would not help.
    };

    explicit AdmissionLimit(const Options &options);

    /// Tokens that may be in flight at present.
    std::uint64_t tokens() const { return static_cast<std::uint64_t>(this->limit); }

    /// The target's answer has begun. \param headers Fields of its head.
    void onHead(AnswerTiming &timing, const Headers &headers) const;
    /// Bytes of an answer came. \param paused Reading was paused, so that their time means nothing.
    void onBytes(TimePoint now, AnswerTiming &timing, bool paused);
    /// An answer has ended whole. \param outputTokens As the target counted; 0 where it did not.
    void onEnd(TimePoint now, const AnswerTiming &timing, std::uint32_t outputTokens);
    /// Tells how full the target is. \param heldBack Work waits for the limit.
    void onLoad(std::uint64_t tokensInFlight, bool heldBack);
    /// Changes the limit when an interval is over. Call at least every 100 ms.
    void tick(TimePoint now);

private:
    /// What was measured since the last change.
    struct Window
    {
        std::uint32_t gaps = 0;
        std::uint32_t longGaps = 0;
        std::uint32_t firstTokens = 0;
        std::uint32_t lateFirstTokens = 0;
        double gapTotal = 0; ///< Seconds.
        std::uint64_t mostInFlight = 0;
        bool heldBack = false;

        double meanGap() const { return this->gaps == 0 ? 0 : this->gapTotal / this->gaps; }
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

    std::uint32_t decreases = 0; ///< In a row.
    double limitBefore = 0; ///< The first of the decreases in a row.
    double gapBefore = 0; ///< Seconds.
    TimePoint holdUntil;
};

} // namespace wigeonsill
