/// \file learnedadmission_test.cpp
/// Tests of the admission with a learned speed, limit and memory of the target.
#include "wigeonsill/gateway.h"

#include <cmath>
#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

constexpr int slots = 8;

ReservationProfile makeProfile(std::uint64_t number, std::uint32_t promptTokens)
{
    ReservationProfile result;
    result.reservationId = { 1, number };
    result.promptTokens = promptTokens;
    result.outputTokens = 100;
    result.latencyLeft = milliseconds(600);
    result.waitLeft = milliseconds(360);
    result.timeLeft = seconds(12);
    return result;
}

TargetAdmission makeAdmission(bool learnCapacity = true)
{
    TargetAdmission::Limits limits;
    limits.learnCapacity = learnCapacity;
    return TargetAdmission(limits);
}

/// Runs one request after another at a target with 53 ms before a first token and 140 prompt tokens
/// a millisecond.
void learn(TargetAdmission &admission, TimePoint &now)
{
    for (std::uint64_t i = 0; i < 60; ++i) {
        const auto prompt = static_cast<std::uint32_t>(1'000 + 300 * (i % 20));
        admission.reserve(makeProfile(1'000 + i, prompt), slots, now);
        admission.grant(now);
        now += milliseconds(53) + Duration(prompt * 1'000 / 140);
        admission.recordFirstEvent({ 1, 1'000 + i }, now);
        now += milliseconds(220);
        admission.release({ 1, 1'000 + i }, 100, false, now);
    }
}

TEST(LearnedAdmission, admitsAsWithConstantsBeforeEvidence)
{
    TargetAdmission admission = makeAdmission();
    const TimePoint now{ seconds(1) };
    for (std::uint64_t i = 0; i < 40; ++i) {
        admission.reserve(makeProfile(i, 6'000), slots, now);
    }
    EXPECT_EQ(admission.grant(now).size(), 2U) << "two prompts of 106 ms";
    EXPECT_NEAR(admission.load(now).prefillTokensPerMs, 60, 3);
    EXPECT_NEAR(admission.load(now).decodeTokensPerMs, 0.2, 0.01);
}

TEST(LearnedAdmission, usesTheLearnedSpeedAndForgetsItWithTheIncarnation)
{
    TargetAdmission admission = makeAdmission();
    admission.recordTargetState(1'000, false);
    TimePoint now{ seconds(1) };
    learn(admission, now);
    EXPECT_NEAR(admission.learnedEngine()->model().firstTokenMs(3'000), 53 + 21.4, 8);
    EXPECT_NEAR(admission.load(now).decodeTokensPerMs, 1 / 2.2, 0.03);
    // The first request is still in progress at the engine that ended.
    admission.reserve(makeProfile(1, 1'000), slots, now);
    ASSERT_EQ(admission.grant(now).size(), 1U);
    admission.recordTargetState(2'000, false);
    admission.recordFirstEvent({ 1, 1 }, now + seconds(5));
    admission.release({ 1, 1 }, 100, false, now + seconds(9));
    EXPECT_EQ(admission.learnedEngine()->model().samples(), 0U);
    EXPECT_NEAR(admission.load(now).prefillTokensPerMs, 60, 3);
}

/// An engine crashes when the requests that it holds exceed its memory.
TEST(LearnedAdmission, grantsNoMoreTokensThanTheMemoryHolds)
{
    for (const bool learnCapacity : { true, false }) {
        TargetAdmission admission = makeAdmission(learnCapacity);
        const TimePoint now{ seconds(1) };
        admission.recordMemory(1'000, 0);
        for (std::uint64_t i = 0; i < slots; ++i) {
            admission.reserve(makeProfile(i, 100), slots, now);
        }
        EXPECT_EQ(admission.grant(now).size(), learnCapacity ? 4U : 8U)
            << "each needs 200 tokens of 900";
    }
}

TEST(LearnedAdmission, countsTheMemoryOfOtherRequestsAndPassesOverLargeOnes)
{
    TargetAdmission admission = makeAdmission();
    const TimePoint now{ seconds(1) };
    admission.recordMemory(1'000, 500);
    ReservationProfile large = makeProfile(1, 400);
    large.utility = 100;
    admission.reserve(large, slots, now);
    admission.reserve(makeProfile(2, 100), slots, now);
    const auto granted = admission.grant(now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().reservationId.number, 2U);
    admission.release({ 1, 2 }, 0, true, now);
    admission.recordMemory(1'000, 0);
    EXPECT_EQ(admission.grant(now).size(), 1U);
    admission.release({ 1, 1 }, 0, true, now);
    admission.reserve(makeProfile(3, 880), slots, now);
    EXPECT_EQ(admission.grant(now).size(), 1U) << "alone it may use all of the memory";
    admission.release({ 1, 3 }, 0, true, now);
    admission.reserve(makeProfile(4, 901), slots, now);
    EXPECT_TRUE(admission.grant(now).empty()) << "it would end the engine";
}

/// The message about a first event was lost. Guards against an agent that then grants nothing until
/// the request ends.
TEST(LearnedAdmission, continuesAfterALostFirstEvent)
{
    TargetAdmission admission = makeAdmission();
    TimePoint now{ seconds(1) };
    learn(admission, now);
    admission.reserve(makeProfile(1, 600), slots, now);
    ASSERT_EQ(admission.grant(now).size(), 1U);
    now += milliseconds(500);
    admission.reserve(makeProfile(2, 600), slots, now);
    EXPECT_TRUE(admission.grant(now).empty()) << "the engine is late";
    now += milliseconds(700);
    EXPECT_EQ(admission.grant(now).size(), 1U);
}

/// A request beyond the slots waits at the engine for the end of another one. Guards against taking
/// that time for a slow engine.
TEST(LearnedAdmission, requestThatWaitsForASlotIsNoEvidenceOfTheSpeed)
{
    TargetAdmission::Limits limits;
    limits.learnCapacity = true;
    limits.queueAhead = 1;
    TargetAdmission admission(limits);
    TimePoint now{ seconds(1) };
    learn(admission, now);
    const double before = admission.learnedEngine()->model().firstTokenMs(600);
    admission.reserve(makeProfile(0, 600), 1, now);
    ASSERT_EQ(admission.grant(now).size(), 1U);
    now += milliseconds(57);
    admission.recordFirstEvent({ 1, 0 }, now);
    for (std::uint64_t i = 0; i < 8; ++i) {
        admission.reserve(makeProfile(i + 1, 600), 1, now);
        ASSERT_EQ(admission.grant(now).size(), 1U);
        now += milliseconds(900);
        admission.release({ 1, i }, 100, false, now);
        now += milliseconds(57);
        admission.recordFirstEvent({ 1, i + 1 }, now);
    }
    EXPECT_NEAR(admission.learnedEngine()->model().firstTokenMs(600), before, 10);
    EXPECT_LT(admission.learnedEngine()->model().slowdown(), 1.5);
}

/// The engine generates no more than four answers in the time of one. Guards against an agent that
/// fills all slots of an engine that slows down before.
TEST(LearnedAdmission, grantsNoMoreThanTheLearnedLimit)
{
    TargetAdmission admission = makeAdmission();
    std::map<std::uint64_t, double> left;
    std::uint64_t next = 1;
    double sum = 0;
    for (int ms = 0; ms < 12'000; ++ms) {
        const TimePoint now = TimePoint{ seconds(1) } + milliseconds(ms);
        admission.reserve(makeProfile(next++, 50), slots, now);
        admission.expire(now);
        for (const ReservationProfile &profile : admission.grant(now)) {
            left.emplace(profile.reservationId.number, 200);
            admission.recordFirstEvent(profile.reservationId, now + milliseconds(5));
        }
        const double speed
            = std::min(1.0, std::pow(4.0 / std::max(static_cast<double>(left.size()), 4.0), 1.5));
        for (auto &[number, rest] : left) {
            rest -= speed;
            if (rest <= 0) {
                admission.release({ 1, number }, 100, false, now);
            }
        }
        std::erase_if(left, [](const auto &request) { return request.second <= 0; });
        sum += ms >= 8'000 ? static_cast<double>(left.size()) : 0;
    }
    EXPECT_NEAR(sum / 4'000, 4, 0.6);
    EXPECT_EQ(admission.load(TimePoint{ seconds(13) }).freeSlots,
        admission.concurrencyLimit() - static_cast<int>(admission.grantedCount()));
}

} // namespace
} // namespace wigeonsill
