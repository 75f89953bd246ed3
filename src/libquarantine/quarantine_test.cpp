/// \file quarantine_test.cpp
/// Tests of which prompt parts are held back, with a simulated clock.
#include "wigeonsill/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace wigeonsill {
namespace {

constexpr TimePoint start{ seconds(1'000) };
constexpr std::uint64_t first = 1; ///< A part that all requests share.
constexpr std::uint64_t crashing = 666;
constexpr std::uint64_t organisation = 7;

CrashReport report(std::uint64_t target, std::uint64_t request, PartSet parts, Duration at,
    std::uint64_t owner = organisation)
{
    CrashReport result;
    result.target = target;
    result.request = request;
    result.organisation = owner;
    result.parts = makePartSet(std::move(parts));
    result.at = start + at;
    return result;
}

/// A process that has seen answers for long enough.
Quarantine learned(const PartSet &answeredParts = {})
{
    Quarantine quarantine;
    quarantine.recordAnswered(organisation, answeredParts, start - seconds(4));
    quarantine.expire(start - seconds(1));
    return quarantine;
}

/// Targets end under requests with the crashing part, each beside another subject.
std::vector<CrashReport> crashes(int count, Duration gap = milliseconds(300))
{
    std::vector<CrashReport> result;
    for (int i = 0; i < count; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        result.push_back(
            report(100 + number, 200 + number, { first, 300 + number, crashing }, gap * i));
    }
    return result;
}

TEST(Quarantine, holdsThePartThatAllEndsHaveInCommon)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(2), start + seconds(1));
    EXPECT_TRUE(quarantine.holds().empty()) << "two ends may be chance";
    quarantine.merge(crashes(3), start + seconds(1));
    ASSERT_EQ(quarantine.holds().size(), 1U);
    EXPECT_EQ(quarantine.holds().front().parts, PartSet{ crashing });
    EXPECT_EQ(quarantine.holds().front().targets, 3U);
    EXPECT_NE(quarantine.findHold(organisation, { 5, crashing }), nullptr);
    EXPECT_EQ(quarantine.findHold(organisation, { first, 300, 301 }), nullptr)
        << "sound requests share the other parts";
}

TEST(Quarantine, countsATargetOnceHoweverManyReportsTellOfIt)
{
    Quarantine quarantine = learned();
    std::vector<CrashReport> reports;
    for (std::uint64_t i = 0; i < 20; ++i) {
        reports.push_back(report(100 + i % 2, 200 + i, { crashing }, milliseconds(400 * i)));
    }
    quarantine.merge(reports, start + seconds(9));
    quarantine.merge(reports, start + seconds(9));
    EXPECT_TRUE(quarantine.holds().empty());
}

/// A rack loses power, or a link is cut: many ends, one cause.
TEST(Quarantine, endsOfOneMomentAreOneCause)
{
    Quarantine quarantine = learned();
    quarantine.merge(crashes(40, milliseconds(5)), start + seconds(1));
    EXPECT_TRUE(quarantine.holds().empty());
}

TEST(Quarantine, oneRequestThatIsSentAgainHoldsNothing)
{
    Quarantine quarantine = learned();
    for (std::uint64_t i = 0; i < 6; ++i) {
        quarantine.merge(
            { report(100 + i, 200, { crashing }, milliseconds(400 * i)) }, start + seconds(3));
    }
    EXPECT_TRUE(quarantine.holds().empty());
    EXPECT_FALSE(quarantine.isSuspected(200, { crashing }, start));
    EXPECT_TRUE(quarantine.isSuspected(201, { crashing }, start)) << "not sent a second time";
}

/// Requests that waited beside the one that ended the target.
TEST(Quarantine, partsOfRequestsThatWaitedBesideItAreNotHeld)
{
    Quarantine quarantine = learned();
    std::vector<CrashReport> reports = crashes(8);
    for (std::uint64_t i = 0; i < 8; ++i) {
        reports.push_back(report(100 + i, 500 + i, { first, 400 + i % 2 }, milliseconds(300 * i)));
    }
    quarantine.merge(reports, start + seconds(3));
    ASSERT_EQ(quarantine.holds().size(), 1U);
    EXPECT_EQ(quarantine.holds().front().parts, (PartSet{ first, crashing }))
        << "no answer on the first part has been seen; it is held in this company only";
    EXPECT_EQ(quarantine.findHold(organisation, { first, 400 }), nullptr);
    quarantine.recordAnswered(organisation, { first, 400 }, start + seconds(4));
    EXPECT_EQ(quarantine.holds().front().parts, PartSet{ crashing });
}

TEST(Quarantine, answersSpeakForTheirParts)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(8), start + seconds(3));
    ASSERT_NE(quarantine.findHold(organisation, { first, crashing }), nullptr);
    quarantine.recordAnswered(organisation, { crashing }, start + seconds(3));
    EXPECT_EQ(quarantine.findHold(organisation, { first, crashing }), nullptr);
    quarantine.merge(crashes(8), start + seconds(4));
    EXPECT_EQ(quarantine.findHold(organisation, { first, crashing }), nullptr)
        << "another process that has not seen the answer repeats its reports";
}

TEST(Quarantine, answersOfLongAgoDoNotSpeakForAPart)
{
    Quarantine quarantine = learned({ first, crashing });
    std::vector<CrashReport> reports = crashes(4);
    for (CrashReport &each : reports) {
        each.at += seconds(40);
    }
    quarantine.recordAnswered(organisation, { first }, start + seconds(39));
    quarantine.merge(reports, start + seconds(42));
    EXPECT_NE(quarantine.findHold(organisation, { crashing }), nullptr);
}

/// A companion that stands in all the requests is told apart by requests without it.
TEST(Quarantine, narrowsDownToThePart)
{
    Quarantine quarantine = learned();
    for (std::uint64_t i = 0; i < 3; ++i) {
        quarantine.merge({ report(100 + i, 200 + i, { 50, crashing }, milliseconds(300 * i)) },
            start + seconds(1));
    }
    EXPECT_EQ(quarantine.findHold(organisation, { crashing }), nullptr);
    EXPECT_EQ(quarantine.findHold(organisation, { 50 }), nullptr);
    EXPECT_NE(quarantine.findHold(organisation, { 50, crashing }), nullptr);
    quarantine.merge({ report(110, 210, { 51, crashing }, seconds(2)),
                         report(111, 211, { 52, crashing }, seconds(2)) },
        start + seconds(2));
    EXPECT_NE(quarantine.findHold(organisation, { crashing }), nullptr);
    EXPECT_EQ(quarantine.findHold(organisation, { 50 }), nullptr);
}

TEST(Quarantine, twoPartsAtOnceAndRequestsWithBoth)
{
    Quarantine quarantine = learned({ first });
    std::vector<CrashReport> reports;
    for (std::uint64_t i = 0; i < 12; ++i) {
        const std::array<PartSet, 3> kinds
            = { PartSet{ 600 }, PartSet{ 601 }, PartSet{ 600, 601 } };
        reports.push_back(report(100 + i, 200 + i, kinds.at(i % 3), milliseconds(300 * i)));
    }
    quarantine.merge(reports, start + seconds(4));
    EXPECT_NE(quarantine.findHold(organisation, { 600 }), nullptr);
    EXPECT_NE(quarantine.findHold(organisation, { 601 }), nullptr);
}

TEST(Quarantine, doesNotLapseAndIsLearnedByAFreshProcess)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(9), start + seconds(3));
    quarantine.expire(start + seconds(10'000));
    EXPECT_NE(quarantine.findHold(organisation, { crashing }), nullptr);
    EXPECT_LE(quarantine.reports().size(), Quarantine::Limits().evidencePerHold);
    Quarantine fresh;
    fresh.merge(quarantine.reports(), start + seconds(10'001));
    fresh.expire(start + seconds(20'000));
    EXPECT_NE(fresh.findHold(organisation, { crashing }), nullptr);
    EXPECT_EQ(fresh.digest(), quarantine.digest());
}

TEST(Quarantine, freshProcessHoldsNothingOfItsOwnAccord)
{
    Quarantine fresh;
    fresh.merge(crashes(9), start + seconds(3));
    EXPECT_TRUE(fresh.holds().empty()) << "it does not know yet which parts are sound";
    fresh.recordAnswered(organisation, { first }, start + seconds(3));
    fresh.expire(start + seconds(7));
    EXPECT_NE(fresh.findHold(organisation, { crashing }), nullptr);
}

TEST(Quarantine, concernsOnlyTheOrganisationsThatShowedIt)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(4), start + seconds(2));
    EXPECT_EQ(quarantine.findHold(8, { crashing }), nullptr) << "another's ids block nobody";
    EXPECT_TRUE(quarantine.isSuspected(1, { crashing }, start + seconds(2)));
    quarantine.merge({ report(150, 250, { crashing }, seconds(2), 8) }, start + seconds(2));
    EXPECT_NE(quarantine.findHold(8, { crashing }), nullptr);
    EXPECT_NE(quarantine.findHold(9, { crashing }), nullptr) << "two organisations agree";
}

TEST(Quarantine, inventedIdsPushOutNothingOfOthers)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(4), start + seconds(2));
    quarantine.recordAnswered(organisation, { 40 }, start + seconds(2));
    std::mt19937_64 random(1);
    for (std::uint64_t i = 0; i < 5'000; ++i) {
        const TimePoint now = start + seconds(2) + milliseconds(i);
        quarantine.recordAnswered(8, makePartSet({ random(), random(), random() }), now);
        quarantine.merge({ report(random(), random(), { random() }, seconds(2), 8) }, now);
    }
    EXPECT_NE(quarantine.findHold(organisation, { crashing }), nullptr);
    EXPECT_LE(quarantine.reports().size(), 2 * Quarantine::Limits().reportsPerOrganisation);
    quarantine.merge({ report(1, 1, { 40 }, seconds(7)), report(2, 2, { 40 }, seconds(8)),
                         report(3, 3, { 40 }, seconds(9)) },
        start + seconds(10));
    EXPECT_EQ(quarantine.findHold(organisation, { 40 }), nullptr) << "its answer is remembered";
}

TEST(Quarantine, releasedHoldIsNotBroughtBackButMayBeFoundAgain)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(4), start + seconds(2));
    Quarantine other = quarantine;
    EXPECT_FALSE(quarantine.release(1, start + seconds(2)));
    ASSERT_TRUE(quarantine.release(quarantine.holds().front().id, start + seconds(2)));
    EXPECT_TRUE(quarantine.holds().empty());
    quarantine.merge(other.reports(), start + seconds(100));
    EXPECT_TRUE(quarantine.holds().empty());
    other.merge(quarantine.reports(), start + seconds(100));
    EXPECT_TRUE(other.holds().empty());
    std::vector<CrashReport> again = crashes(4);
    for (CrashReport &each : again) {
        each.target += 1'000;
        each.at += seconds(110);
    }
    quarantine.recordAnswered(organisation, { first }, start + seconds(111));
    quarantine.merge(again, start + seconds(112));
    EXPECT_NE(quarantine.findHold(organisation, { crashing }), nullptr);
}

/// Reports come late, twice and in any order, and some processes have seen answers.
RC_GTEST_PROP(Quarantine, processesThatKnowTheSameReportsAgree, ())
{
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::array<Quarantine, 3> processes = { learned(), learned(), learned() };
    const auto count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
        const TimePoint now = start + milliseconds(100 * i);
        const auto key = random() % 12;
        processes.at(random() % 3)
            .merge({ report(key, random() % 3, { random() % 4, random() % 4, 40 + random() % 2 },
                       milliseconds(300 * key)) },
                now);
        if (random() % 8 == 0) {
            processes.at(random() % 3).recordAnswered(organisation, { random() % 4 }, now);
        }
        const auto from = random() % 3;
        processes.at(random() % 3).merge(processes.at(from).reports(), now);
    }
    for (int round = 0; round < 4; ++round) {
        for (const auto &from : processes) {
            for (Quarantine &to : processes) {
                to.merge(from.reports(), start + seconds(5));
            }
        }
    }
    for (const Quarantine &process : processes) {
        RC_ASSERT(process.digest() == processes.front().digest());
        RC_ASSERT(process.holds().size() == processes.front().holds().size());
    }
}

TEST(UnconfirmedCrashes, countOnceTheTargetIsKnownToHaveEnded)
{
    UnconfirmedCrashes unconfirmed;
    unconfirmed.record("i-1", report(1, 1, { 1 }, {}), start);
    unconfirmed.record("i-2", report(2, 2, { 1 }, {}), start);
    EXPECT_EQ(unconfirmed.confirm("i-1", start + seconds(1)).size(), 1U);
    EXPECT_TRUE(unconfirmed.confirm("i-1", start + seconds(1)).empty());
    EXPECT_TRUE(unconfirmed.confirm("i-2", start + seconds(3)).empty()) << "too late";
}

} // namespace
} // namespace wigeonsill
