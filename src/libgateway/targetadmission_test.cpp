/// \file targetadmission_test.cpp
/// Tests of the admission at one target under the loads that it is designed for.
#include "wigeonsill/gateway.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonsill {
namespace {

constexpr int slots = 8;

ReservationProfile makeProfile(std::uint64_t number, std::uint32_t promptLength, double utility,
    Duration latencyLeft = milliseconds(600))
{
    ReservationProfile result;
    result.reservationId = { 1, number };
    result.promptTokens = promptLength;
    result.outputTokens = 100;
    result.utility = utility;
    result.latencyLeft = latencyLeft;
    result.waitLeft = milliseconds(360);
    result.timeLeft = seconds(12);
    return result;
}

TEST(TargetAdmission, limitsPrefillBacklogDuringBurst)
{
    TargetAdmission admission(TargetAdmission::Limits{ milliseconds(120), 0, seconds(16) });
    const TimePoint now{ seconds(1) };
    for (std::uint64_t i = 0; i < 40; ++i) {
        admission.reserve(makeProfile(i, 6'000, 1), slots, now);
    }
    // 6,000 tokens take 100 ms at the initial speed, so a third prompt would wait for 200 ms.
    EXPECT_EQ(admission.grant(now).size(), 2U);
    EXPECT_TRUE(admission.grant(now).empty());
    admission.recordFirstEvent({ 1, 0 }, now + milliseconds(100));
    EXPECT_FALSE(admission.grant(now + milliseconds(100)).empty());
}

/// Guards against wasted slots on slow, fully loaded engines: there, the longest answers occupy a
/// slot until their callers' deadlines and are then interrupted.
TEST(TargetAdmission, prefersRequestsThatCanCompleteInTime)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    ReservationProfile longAnswer = makeProfile(1, 600, 50);
    longAnswer.outputTokens = 2'880; // 14 s at the initial speed of 5 ms per token.
    admission.reserve(longAnswer, 1, now);
    admission.reserve(makeProfile(2, 600, 1), 1, now);
    const auto granted = admission.grant(now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().reservationId.number, 2U);
    admission.release({ 1, 2 }, 0, false, now);
    EXPECT_EQ(admission.grant(now).size(), 1U)
        << "granted when no other request waits, since the estimate may be wrong";
}

TEST(TargetAdmission, grantsHighestUtilityPerTimeAmongOnTimeRequests)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.reserve(makeProfile(1, 600, 0.2), 1, now);
    admission.reserve(makeProfile(2, 6'000, 4), 1, now);
    admission.reserve(makeProfile(3, 600, 5, milliseconds(1)), 1, now); // Its answer would be late.
    const auto granted = admission.grant(now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().reservationId.number, 2U);
}

TEST(TargetAdmission, grantsOversizedPromptWhenNothingIsAhead)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.reserve(makeProfile(1, 54'000, 4), slots, now);
    EXPECT_EQ(admission.grant(now).size(), 1U);
}

TEST(TargetAdmission, releasedSlotsAreGrantedAgain)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    for (std::uint64_t i = 0; i < 20; ++i) {
        admission.reserve(makeProfile(i, 10, 1), slots, now);
    }
    const auto first = admission.grant(now);
    ASSERT_EQ(first.size(), static_cast<std::size_t>(slots));
    for (const ReservationProfile &profile : first) {
        admission.release(profile.reservationId, 0, false, now);
    }
    EXPECT_EQ(admission.grant(now).size(), static_cast<std::size_t>(slots));
}

TEST(TargetAdmission, removesGrantsMissingFromTargetReports)
{
    TargetAdmission admission({});
    TimePoint now{ seconds(1) };
    for (std::uint64_t i = 0; i < slots; ++i) {
        admission.reserve(makeProfile(i, 10, 1), slots, now);
    }
    ASSERT_EQ(admission.grant(now).size(), static_cast<std::size_t>(slots));
    for (int report = 0; report < 4; ++report) {
        now += milliseconds(400);
        admission.reconcile(5, 0, now);
    }
    EXPECT_EQ(admission.grantedCount(), 5U);
}

TEST(TargetAdmission, untrackedRequestsOccupySlots)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.reconcile(slots - 1, 0, now);
    admission.reserve(makeProfile(1, 10, 1), slots, now);
    admission.reserve(makeProfile(2, 10, 1), slots, now);
    EXPECT_EQ(admission.grant(now).size(), 1U);
}

TEST(TargetAdmission, learnsPrefillSpeedFromPromptsWithNothingAhead)
{
    TargetAdmission admission({});
    TimePoint now{ seconds(1) };
    // A target that processes 30 prompt tokens per millisecond.
    for (std::uint64_t i = 0; i < 60; ++i) {
        admission.reserve(makeProfile(i, 6'000, 1), slots, now);
        admission.grant(now);
        now += milliseconds(200 + 8);
        admission.recordFirstEvent({ 1, i }, now);
        admission.release({ 1, i }, 0, false, now);
    }
    EXPECT_NEAR(admission.load(now).prefillTokensPerMs, 30, 4);
}

TEST(TargetAdmission, expiresReservationsAfterMaximumWait)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.reconcile(slots, 0, now);
    admission.reserve(makeProfile(1, 10, 1), slots, now);
    EXPECT_TRUE(admission.expire(now + milliseconds(359)).empty());
    EXPECT_EQ(admission.expire(now + milliseconds(360)).size(), 1U);
    EXPECT_EQ(admission.waitingCount(), 0U);
}

/// The target's report states that it is leaving while requests wait and one was granted.
TEST(TargetAdmission, grantsNothingAtATargetThatStatedThatItIsLeaving)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.recordTargetState(1'000, false);
    admission.reserve(makeProfile(1, 10, 1), 1, now);
    ASSERT_EQ(admission.grant(now).size(), 1U);
    admission.reserve(makeProfile(2, 10, 1), 1, now);
    admission.recordTargetState(std::nullopt, true);
    EXPECT_TRUE(admission.isClosed(now));
    admission.release({ 1, 1 }, 0, false, now);
    EXPECT_TRUE(admission.grant(now).empty()) << "its slot is free, but it is leaving";
    const auto removed = admission.removeWaiting();
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed.front().reservationId.number, 2U);
    EXPECT_EQ(admission.waitingCount(), 0U);

    admission.recordTargetState(1'000, false);
    EXPECT_TRUE(admission.isClosed(now)) << "an incarnation that left does not come back";
    admission.recordTargetState(9'000, false);
    admission.reserve(makeProfile(3, 10, 1), 1, now);
    EXPECT_EQ(admission.grant(now).size(), 1U) << "a successor is used at once";
}

TEST(TargetAdmission, grantsNothingWhileTheTargetWantsNoRequests)
{
    TargetAdmission admission({});
    TimePoint now{ seconds(1) };
    admission.reserve(makeProfile(1, 10, 1), 1, now);
    admission.recordQuiet(milliseconds(500), now);
    admission.recordQuiet(milliseconds(100), now);
    EXPECT_TRUE(admission.grant(now).empty());
    EXPECT_EQ(admission.removeWaiting().size(), 1U);
    now += milliseconds(499);
    EXPECT_TRUE(admission.isClosed(now));
    now += milliseconds(1);
    EXPECT_FALSE(admission.isClosed(now));
    admission.reserve(makeProfile(2, 10, 1), 1, now);
    EXPECT_EQ(admission.grant(now).size(), 1U);
    admission.release({ 1, 2 }, 0, false, now);
    admission.recordQuiet(std::chrono::hours(24), now);
    EXPECT_FALSE(admission.isClosed(now + QuietTargets::longestTime));
    admission.recordTargetState(5'000, false);
    EXPECT_FALSE(admission.isClosed(now)) << "a successor did not ask for it";
}

RC_GTEST_PROP(TargetAdmission, neverExceedsSlotsOrGrantsTwice, ())
{
    TargetAdmission admission({});
    std::set<std::uint64_t> granted;
    std::set<std::uint64_t> running;
    TimePoint now{ seconds(1) };
    std::uint64_t next = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 50)));
    for (const auto &[action, number] : steps) {
        now += milliseconds(number);
        const auto promptLength = static_cast<std::uint32_t>(number * 300);
        if (action < 2) {
            admission.reserve(makeProfile(next++, promptLength, 1 + number), slots, now);
        } else if (!running.empty()) {
            const std::uint64_t ended = *std::next(
                running.begin(), static_cast<std::ptrdiff_t>(number) % std::ssize(running));
            admission.release({ 1, ended }, 0, false, now);
            running.erase(ended);
        }
        admission.expire(now);
        for (const ReservationProfile &profile : admission.grant(now)) {
            RC_ASSERT(granted.insert(profile.reservationId.number).second);
            running.insert(profile.reservationId.number);
        }
        RC_ASSERT(running.size() <= static_cast<std::size_t>(slots));
    }
}

TEST(TargetAdmission, grantsNoMoreThanTheStatedRate)
{
    TargetAdmission admission({});
    std::uint64_t next = 1;
    int granted = 0;
    EXPECT_TRUE(admission.recordRate(2, TimePoint{ seconds(1) }, TimePoint{ seconds(1) }));
    for (Duration at{}; at < seconds(10); at += milliseconds(25)) {
        const TimePoint now = TimePoint{ seconds(1) } + at;
        admission.expire(now);
        admission.reserve(makeProfile(next++, 100, 1), slots, now);
        for (const ReservationProfile &profile : admission.grant(now)) {
            ++granted;
            admission.recordFirstEvent(profile.reservationId, now);
            admission.release(profile.reservationId, 10, false, now);
        }
    }
    EXPECT_GE(granted, 19);
    EXPECT_LE(granted, 20);
}

/// The grant of a request that was sent elsewhere meanwhile leaves its permit to the next one.
TEST(TargetAdmission, unusedGrantLeavesItsPermit)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.recordRate(2, now, now);
    const TimePoint later = now + milliseconds(500);
    admission.reserve(makeProfile(1, 100, 1), slots, later);
    ASSERT_EQ(admission.grant(later).size(), 1U);
    admission.release({ 1, 1 }, 0, true, later);
    admission.release({ 1, 1 }, 0, true, later);
    for (const std::uint64_t number : { 2, 3 }) {
        admission.reserve(makeProfile(number, 100, 1), slots, later);
    }
    EXPECT_EQ(admission.grant(later).size(), 1U) << "it is given back once";
}

TEST(TargetAdmission, leastUsefulRequestsBeyondTheRateAreDeclinedAtOnce)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.recordRate(4, now, now);
    for (std::uint64_t i = 1; i <= 5; ++i) {
        admission.reserve(makeProfile(i, 100, static_cast<double>(i)), slots, now);
    }
    EXPECT_TRUE(admission.grant(now).empty());
    const auto declined = admission.expire(now);
    EXPECT_EQ(declined.size(), 4U) << "one permit comes within their wait of 360 ms";
    EXPECT_TRUE(admission.isWaiting({ 1, 5 })) << "the most useful one waits for it";
    EXPECT_EQ(admission.load(now).untilPermit, milliseconds(500));
}

TEST(TargetAdmission, rateIsForgottenWithItsIncarnationAndOlderStatementsAreIgnored)
{
    TargetAdmission admission({});
    const TimePoint now{ seconds(1) };
    admission.recordTargetState(1, false);
    EXPECT_TRUE(admission.recordRate(4, now, now));
    EXPECT_FALSE(admission.recordRate(9, now - milliseconds(1), now));
    EXPECT_FALSE(admission.recordRate(std::nullopt, now, now));
    EXPECT_EQ(admission.ratePerSecond(), 4);
    EXPECT_TRUE(admission.recordRate(std::nullopt, now + milliseconds(1), now));
    EXPECT_FALSE(admission.isLimited());
    admission.recordRate(4, now + milliseconds(2), now);
    admission.recordTargetState(2, false);
    EXPECT_FALSE(admission.isLimited());
}

} // namespace
} // namespace wigeonsill
