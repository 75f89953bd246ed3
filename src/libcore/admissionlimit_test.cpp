/// \file admissionlimit_test.cpp
/// AdmissionLimit against a modelled target whose gap between tokens grows with its load.
#include "admissionlimit.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const Headers streamHeaders = { { "Content-Type", "text/event-stream" } };

/// A target loaded up to the limit. Its gap is baseGapMs + load / tokensPerGapMs.
class ModelledTarget
{
public:
    explicit ModelledTarget(double tokensPerMillisecond)
        : tokensPerGapMs(tokensPerMillisecond)
    {
    }

    Duration gap() const
    {
        const double load = double(this->limit.tokens());
        return Duration(
            static_cast<std::int64_t>(1000.0 * (this->baseGapMs + load / this->tokensPerGapMs)));
    }

    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        AnswerTiming timing;
        this->limit.onHead(timing, streamHeaders);
        timing.startedAt = this->now;
        while (this->now < end) {
            this->now += milliseconds(25);
            for (int i = 0; i < 10; ++i) {
                timing.haveBytes = true;
                timing.lastBytesAt = this->now - this->gap();
                this->limit.onBytes(this->now, timing, false);
            }
            this->limit.onLoad(this->limit.tokens(), true);
            this->limit.tick(this->now);
        }
    }

    double baseGapMs = 10; ///< Gap without load.
    double tokensPerGapMs; ///< Tokens in flight that add one millisecond to the gap.
    TimePoint now{ seconds(1) };
    AdmissionLimit limit{ AdmissionLimit::Options{} };
};

TEST(AdmissionLimit, convergesToTheGapTargetOnTargetsEightfoldApart)
{
    for (const double tokensPerGapMs : { 100.0, 800.0 }) {
        ModelledTarget target(tokensPerGapMs);
        target.run(seconds(30));
        EXPECT_GT(target.gap(), milliseconds(50)) << tokensPerGapMs;
        EXPECT_LT(target.gap(), milliseconds(90)) << tokensPerGapMs;
    }
}

TEST(AdmissionLimit, adaptsToATargetThatSlowsAndRecovers)
{
    ModelledTarget target(800);
    target.run(seconds(30));
    const std::uint64_t before = target.limit.tokens();
    target.tokensPerGapMs = 100;
    target.run(seconds(5));
    EXPECT_LT(target.limit.tokens(), before / 5);
    EXPECT_LT(target.gap(), milliseconds(100));
    target.tokensPerGapMs = 800;
    target.run(seconds(10));
    EXPECT_GT(target.limit.tokens(), before * 7 / 10);
}

TEST(AdmissionLimit, isRestoredWhenDecreasesAreIneffective)
{
    ModelledTarget target(1e9);
    target.baseGapMs = 150;
    const std::uint64_t before = target.limit.tokens();
    target.run(seconds(5));
    EXPECT_EQ(target.limit.tokens(), before);
}

TEST(AdmissionLimit, lateFirstTokensLowerItUnlessTheTargetWasIdle)
{
    for (const bool targetIdle : { true, false }) {
        AdmissionLimit limit{ AdmissionLimit::Options{} };
        const TimePoint start{ seconds(1) };
        AnswerTiming timing;
        timing.startedAt = start;
        timing.startedOnIdleTarget = targetIdle;
        limit.onHead(timing, streamHeaders);
        limit.onLoad(20'000, true);
        limit.tick(start);
        limit.onBytes(start + seconds(2), timing, false);
        limit.tick(start + seconds(2));
        EXPECT_EQ(limit.tokens() < 20'000, !targetIdle);
    }
}

TEST(AdmissionLimit, unstreamedAnswersWithoutTokenCountAreIgnored)
{
    AdmissionLimit limit{ AdmissionLimit::Options{} };
    const std::uint64_t before = limit.tokens();
    TimePoint now{ seconds(1) };
    for (int i = 0; i < 100; ++i) {
        AnswerTiming timing;
        timing.startedAt = now;
        now += seconds(5);
        limit.onBytes(now, timing, false);
        limit.onEnd(now, timing, 0);
        limit.onLoad(50, true);
        limit.tick(now);
    }
    EXPECT_EQ(limit.tokens(), before);
}

} // namespace
} // namespace wigeonsill
