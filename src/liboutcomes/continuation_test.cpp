/// \file continuation_test.cpp
/// Tests of when a request leaves its target, with a simulated clock.
#include "wigeonsill/outcomes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonsill {
namespace {

constexpr TimePoint start{ seconds(100) };
constexpr AnswerContinuation::Options freeToMove{ true, 2, seconds(10) };

TEST(AnswerContinuation, keepsTargetThatMakesProgress)
{
    AnswerContinuation continuation;
    continuation.recordSent(start);
    TimePoint now = start;
    for (int event = 0; event < 20; ++event) {
        now += seconds(1);
        EXPECT_EQ(continuation.nextStep(freeToMove, now), ContinuationStep::KeepTarget);
        continuation.recordProgress(now);
    }
}

/// No other target grants room for eight seconds, and the silent one goes on after them.
TEST(AnswerContinuation, searchesButNeverEndsTheAnswerOfASilentTarget)
{
    AnswerContinuation continuation;
    continuation.recordSent(start);
    for (Duration silent = seconds(2); silent < seconds(10); silent += milliseconds(30)) {
        AnswerContinuation::Options options = freeToMove;
        options.timeLeft = seconds(10) - silent;
        EXPECT_NE(continuation.nextStep(options, start + silent), ContinuationStep::EndAnswer);
    }
    EXPECT_EQ(
        continuation.nextStep(freeToMove, start + seconds(8)), ContinuationStep::SearchTarget);
    continuation.recordProgress(start + seconds(8));
    EXPECT_EQ(continuation.nextStep(freeToMove, start + seconds(8)), ContinuationStep::KeepTarget);
}

TEST(AnswerContinuation, searchesUntilTheTimeLimitOnceTheTargetIsLost)
{
    AnswerContinuation continuation;
    continuation.recordSent(start);
    continuation.recordLost();
    EXPECT_EQ(continuation.nextStep(freeToMove, start), ContinuationStep::SearchTarget);
    EXPECT_EQ(
        continuation.nextStep({ true, 2, milliseconds(50) }, start), ContinuationStep::EndAnswer);
    EXPECT_EQ(continuation.nextStep({ true, 0, seconds(10) }, start), ContinuationStep::EndAnswer);
    EXPECT_EQ(continuation.nextStep({ false, 2, seconds(10) }, start), ContinuationStep::EndAnswer);
}

RC_GTEST_PROP(AnswerContinuation, endsNoAnswerThatATargetMayStillGive, ())
{
    AnswerContinuation continuation;
    TimePoint now = start;
    continuation.recordSent(now);
    bool connected = true;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3'000)));
    for (const auto &[action, pause] : steps) {
        now += milliseconds(pause);
        if (action == 0) {
            continuation.recordLost();
            connected = false;
        } else if (action == 1 || !connected) {
            continuation.recordSent(now);
            connected = true;
        } else if (action == 2) {
            continuation.recordProgress(now);
        }
        const AnswerContinuation::Options options{ pause % 2 == 0, pause % 3, milliseconds(pause) };
        if (connected) {
            RC_ASSERT(continuation.nextStep(options, now) != ContinuationStep::EndAnswer);
        }
    }
}

TEST(IsLaterEvent, comparesNumbersByValueAndOtherIdsForEquality)
{
    EXPECT_TRUE(isLaterEvent("10", "9"));
    EXPECT_FALSE(isLaterEvent("9", "10"));
    EXPECT_FALSE(isLaterEvent("7", "7"));
    EXPECT_FALSE(isLaterEvent("1", "18446744073709551615"));
    EXPECT_TRUE(isLaterEvent("b", "a")) << "the order of other ids is not known";
    EXPECT_TRUE(isLaterEvent("a", "b"));
    EXPECT_FALSE(isLaterEvent("a", "a"));
    EXPECT_TRUE(isLaterEvent("1", "")) << "nothing comes before the first event";
}

} // namespace
} // namespace wigeonsill
