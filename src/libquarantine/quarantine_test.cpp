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
    quarantine.recordAnswered({ organisation, 0, answeredParts }, start - seconds(4));
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
    EXPECT_NE(quarantine.findHold({ organisation, 0, { 5, crashing } }), nullptr);
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { first, 300, 301 } }), nullptr)
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
    EXPECT_FALSE(quarantine.isSuspected(200, { organisation, 0, { crashing } }, start));
    EXPECT_TRUE(quarantine.isSuspected(201, { organisation, 0, { crashing } }, start))
        << "not sent a second time";
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
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { first, 400 } }), nullptr);
    quarantine.recordAnswered({ organisation, 0, { first, 400 } }, start + seconds(4));
    EXPECT_EQ(quarantine.holds().front().parts, PartSet{ crashing });
}

TEST(Quarantine, answersSpeakForTheirParts)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(8), start + seconds(3));
    ASSERT_NE(quarantine.findHold({ organisation, 0, { first, crashing } }), nullptr);
    quarantine.recordAnswered({ organisation, 0, { crashing } }, start + seconds(3));
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { first, crashing } }), nullptr);
    quarantine.merge(crashes(8), start + seconds(4));
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { first, crashing } }), nullptr)
        << "another process that has not seen the answer repeats its reports";
}

TEST(Quarantine, answersOfLongAgoDoNotSpeakForAPart)
{
    Quarantine quarantine = learned({ first, crashing });
    std::vector<CrashReport> reports = crashes(4);
    for (CrashReport &each : reports) {
        each.at += seconds(40);
    }
    quarantine.recordAnswered({ organisation, 0, { first } }, start + seconds(39));
    quarantine.merge(reports, start + seconds(42));
    EXPECT_NE(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
}

/// A companion that stands in all the requests is told apart by requests without it.
TEST(Quarantine, narrowsDownToThePart)
{
    Quarantine quarantine = learned();
    for (std::uint64_t i = 0; i < 3; ++i) {
        quarantine.merge({ report(100 + i, 200 + i, { 50, crashing }, milliseconds(300 * i)) },
            start + seconds(1));
    }
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { 50 } }), nullptr);
    EXPECT_NE(quarantine.findHold({ organisation, 0, { 50, crashing } }), nullptr);
    quarantine.merge({ report(110, 210, { 51, crashing }, seconds(2)),
                         report(111, 211, { 52, crashing }, seconds(2)) },
        start + seconds(2));
    EXPECT_NE(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { 50 } }), nullptr);
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
    EXPECT_NE(quarantine.findHold({ organisation, 0, { 600 } }), nullptr);
    EXPECT_NE(quarantine.findHold({ organisation, 0, { 601 } }), nullptr);
}

TEST(Quarantine, doesNotLapseAndIsLearnedByAFreshProcess)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(9), start + seconds(3));
    quarantine.expire(start + seconds(10'000));
    EXPECT_NE(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
    EXPECT_LE(quarantine.reports().size(), Quarantine::Limits().evidencePerHold);
    Quarantine fresh;
    fresh.merge(quarantine.reports(), start + seconds(10'001));
    fresh.expire(start + seconds(20'000));
    EXPECT_NE(fresh.findHold({ organisation, 0, { crashing } }), nullptr);
    EXPECT_EQ(fresh.digest(), quarantine.digest());
}

TEST(Quarantine, freshProcessHoldsNothingOfItsOwnAccord)
{
    Quarantine fresh;
    fresh.merge(crashes(9), start + seconds(3));
    EXPECT_TRUE(fresh.holds().empty()) << "it does not know yet which parts are sound";
    fresh.recordAnswered({ organisation, 0, { first } }, start + seconds(3));
    fresh.expire(start + seconds(7));
    EXPECT_NE(fresh.findHold({ organisation, 0, { crashing } }), nullptr);
}

TEST(Quarantine, concernsOnlyTheOrganisationsThatShowedIt)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(4), start + seconds(2));
    EXPECT_EQ(quarantine.findHold({ 8, 0, { crashing } }), nullptr) << "another's ids block nobody";
    EXPECT_TRUE(quarantine.isSuspected(1, { organisation, 0, { crashing } }, start + seconds(2)));
    quarantine.merge({ report(150, 250, { crashing }, seconds(2), 8) }, start + seconds(2));
    EXPECT_NE(quarantine.findHold({ 8, 0, { crashing } }), nullptr);
    EXPECT_NE(quarantine.findHold({ 9, 0, { crashing } }), nullptr) << "two organisations agree";
}

TEST(Quarantine, inventedIdsPushOutNothingOfOthers)
{
    Quarantine quarantine = learned({ first });
    quarantine.merge(crashes(4), start + seconds(2));
    quarantine.recordAnswered({ organisation, 0, { 40 } }, start + seconds(2));
    std::mt19937_64 random(1);
    for (std::uint64_t i = 0; i < 5'000; ++i) {
        const TimePoint now = start + seconds(2) + milliseconds(i);
        quarantine.recordAnswered({ 8, 0, makePartSet({ random(), random(), random() }) }, now);
        quarantine.merge({ report(random(), random(), { random() }, seconds(2), 8) }, now);
    }
    EXPECT_NE(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
    EXPECT_LE(quarantine.reports().size(), 2 * Quarantine::Limits().reportsPerOrganisation);
    quarantine.merge({ report(1, 1, { 40 }, seconds(7)), report(2, 2, { 40 }, seconds(8)),
                         report(3, 3, { 40 }, seconds(9)) },
        start + seconds(10));
    EXPECT_EQ(quarantine.findHold({ organisation, 0, { 40 } }), nullptr)
        << "its answer is remembered";
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
    quarantine.recordAnswered({ organisation, 0, { first } }, start + seconds(111));
    quarantine.merge(again, start + seconds(112));
    EXPECT_NE(quarantine.findHold({ organisation, 0, { crashing } }), nullptr);
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
        CrashReport one = report(key, random() % 3,
            { random() % 4, random() % 4, 40 + random() % 2 }, milliseconds(300 * key));
        one.identity = 900 + one.request / 2; // Two of the three attempts are of one request.
        processes.at(random() % 3).merge({ one }, now);
        if (random() % 8 == 0) {
            processes.at(random() % 3)
                .recordAnswered({ organisation, 900 + random() % 4, { random() % 4 } }, now);
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

/// Many organisations, each with a report newer than the evidence of a hold.
TEST(Quarantine, manyOrganisationsPushNoEvidenceOut)
{
    Quarantine quarantine = learned();
    quarantine.merge(crashes(4), start + seconds(1));
    ASSERT_FALSE(quarantine.holds().empty());
    const std::size_t most = Quarantine::Limits().maximumOrganisations;
    for (std::uint64_t i = 0; i < 3 * most; ++i) {
        quarantine.merge({ report(1'000 + i, 2'000 + i, { 3'000 + i }, seconds(2), 100 + i) },
            start + seconds(3));
    }
    EXPECT_FALSE(quarantine.holds().empty());
    EXPECT_LE(quarantine.reports().size(), most + 4);
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

constexpr std::uint64_t identity = 4'711; ///< Of a request that crashes targets.

/// An attempt of a request ended a target.
CrashReport attemptReport(std::uint64_t target, std::uint64_t attempt, Duration at,
    std::uint64_t ofRequest = identity, PartSet parts = {})
{
    CrashReport result = report(target, attempt, std::move(parts), at);
    result.identity = ofRequest;
    return result;
}

TEST(RequestIdentity, differsWithEachOfMethodTargetOrganisationAndBody)
{
    const std::uint64_t known = requestIdentity("POST", "/a?b", "org", "body");
    EXPECT_EQ(requestIdentity("POST", "/a?b", "org", "body"), known);
    EXPECT_NE(requestIdentity("GET", "/a?b", "org", "body"), known);
    EXPECT_NE(requestIdentity("POST", "/a?c", "org", "body"), known);
    EXPECT_NE(requestIdentity("POST", "/a?b", "other", "body"), known);
    EXPECT_NE(requestIdentity("POST", "/a?b", "org", "bodY"), known);
    EXPECT_NE(requestIdentity("POST", "/a?borg", "", "body"), known);
    EXPECT_NE(requestIdentity("POST", "/a?b", "orgbody", ""), known);
    EXPECT_NE(requestIdentity("", "", "", ""), 0U);
}

/// Both at once and seconds apart: as many servers may end under it whatever the pace.
TEST(Quarantine, requestUnderWhichThreeTargetsEndedIsHeld)
{
    for (const Duration gap : { Duration{}, Duration(milliseconds(40)), Duration(seconds(5)) }) {
        Quarantine quarantine = learned();
        quarantine.merge({ attemptReport(1, 50, {}), attemptReport(2, 50, gap) }, start + 3 * gap);
        EXPECT_EQ(quarantine.findHold({ organisation, identity, {} }), nullptr);
        EXPECT_TRUE(quarantine.isSuspected(51, { organisation, identity, {} }, start + 3 * gap))
            << "not sent a second time";
        quarantine.merge({ attemptReport(3, 51, 2 * gap) }, start + 3 * gap);
        const Hold *hold = quarantine.findHold({ organisation, identity, { 8, 9 } });
        ASSERT_NE(hold, nullptr);
        EXPECT_EQ(hold->targets, 3U);
        EXPECT_EQ(hold->requests, 2U);
        EXPECT_EQ(quarantine.findHold({ organisation, identity + 1, {} }), nullptr);
        EXPECT_EQ(quarantine.findHold({ organisation, 0, {} }), nullptr);
    }
}

TEST(Quarantine, oneAttemptThatEndsTargetsHoldsNothing)
{
    Quarantine quarantine = learned();
    for (std::uint64_t i = 0; i < 5; ++i) {
        quarantine.merge({ attemptReport(i, 50, milliseconds(400 * i)) }, start + seconds(2));
    }
    EXPECT_TRUE(quarantine.holds().empty());
}

/// A body that all callers send runs at every target; targets end for other reasons.
TEST(Quarantine, anAnswerSpeaksForItsRequest)
{
    Quarantine quarantine = learned();
    quarantine.recordAnswered({ organisation, identity, {} }, start);
    for (std::uint64_t i = 0; i < 9; ++i) {
        quarantine.merge({ attemptReport(i, 50 + i, seconds(i)) }, start + seconds(i));
    }
    EXPECT_TRUE(quarantine.holds().empty());
    EXPECT_FALSE(quarantine.isSuspected(99, { organisation, identity, {} }, start + seconds(9)));
    for (std::uint64_t i = 0; i < 9; ++i) {
        quarantine.merge(
            { attemptReport(20 + i, 70 + i, seconds(9 + i), identity + 1) }, start + seconds(18));
    }
    EXPECT_EQ(quarantine.holds().size(), 1U);
    quarantine.recordAnswered({ organisation, identity + 1, {} }, start + seconds(19));
    EXPECT_TRUE(quarantine.holds().empty()) << "an answer that was under way";
}

/// What is known doesn't lapse while such requests still come, and a process that starts later
/// learns it from the others.
TEST(Quarantine, heldRequestStaysHeldOnItsEvidence)
{
    Quarantine quarantine = learned();
    // All three within a moment, two of them under one attempt.
    quarantine.merge(
        { attemptReport(1, 50, {}), attemptReport(2, 50, {}), attemptReport(3, 51, {}) },
        start + seconds(1));
    for (std::uint64_t i = 0; i < 30; ++i) {
        quarantine.merge({ attemptReport(10 + i, 60 + i, seconds(i)) }, start + seconds(31));
    }
    quarantine.expire(start + seconds(3'600));
    EXPECT_NE(quarantine.findHold({ organisation, identity, {} }), nullptr);
    EXPECT_LE(quarantine.reports().size(), Quarantine::Limits().evidencePerHold);
    Quarantine fresh;
    fresh.merge(quarantine.reports(), start + seconds(3'600));
    EXPECT_NE(fresh.findHold({ organisation, identity, {} }), nullptr);
    EXPECT_EQ(fresh.digest(), quarantine.digest());
}

/// The parts of one request that comes again are no evidence, also where another one waited beside
/// it once.
TEST(Quarantine, oneRequestThatComesAgainHoldsNoneOfItsParts)
{
    Quarantine quarantine = learned();
    for (std::uint64_t i = 0; i < 12; ++i) {
        quarantine.merge({ attemptReport(i, 50 + i, milliseconds(400 * i), identity, { 1, 2 }) },
            start + seconds(5));
    }
    quarantine.merge(
        { attemptReport(4, 90, milliseconds(1'600), identity + 1, { 1, 3 }) }, start + seconds(5));
    ASSERT_EQ(quarantine.holds().size(), 1U);
    EXPECT_EQ(quarantine.holds().front().identity, identity);
    EXPECT_EQ(quarantine.findHold({ organisation, identity + 2, { 1, 2 } }), nullptr);
}

/// Requests with a crashing part, each of which its caller repeats.
TEST(Quarantine, partIsHeldThoughEachOfItsRequestsComesAgain)
{
    Quarantine quarantine = learned({ first });
    std::uint64_t target = 100;
    for (std::uint64_t request = 0; request < 3; ++request) {
        for (std::uint64_t attempt = 0; attempt < 3; ++attempt) {
            quarantine.merge({ attemptReport(target, target, milliseconds(300 * (target - 100)),
                                 identity + request, { first, 300 + request, crashing }) },
                start + seconds(5));
            ++target;
        }
    }
    EXPECT_NE(quarantine.findHold({ organisation, 1, { first, 400, crashing } }), nullptr);
    EXPECT_EQ(quarantine.findHold({ organisation, 1, { first, 300 } }), nullptr);
}

TEST(Quarantine, releasedRequestIsNotBroughtBack)
{
    Quarantine quarantine = learned();
    const std::vector<CrashReport> reports{ attemptReport(1, 50, {}), attemptReport(2, 51, {}),
        attemptReport(3, 52, {}) };
    quarantine.merge(reports, start + seconds(1));
    ASSERT_EQ(quarantine.holds().size(), 1U);
    EXPECT_TRUE(quarantine.release(quarantine.holds().front().id, start + seconds(2)));
    quarantine.merge(reports, start + seconds(3));
    EXPECT_TRUE(quarantine.holds().empty());
    for (std::uint64_t i = 0; i < 3; ++i) {
        quarantine.merge({ attemptReport(10 + i, 60 + i, seconds(4 + i)) }, start + seconds(7));
    }
    EXPECT_EQ(quarantine.holds().size(), 1U) << "what happens later counts";
}

/// One organisation's requests, however many, don't push out what is known of another's.
TEST(Quarantine, anotherOrganisationsRequestsPushNoRequestOut)
{
    Quarantine quarantine = learned();
    quarantine.merge(
        { attemptReport(1, 50, {}), attemptReport(2, 51, {}), attemptReport(3, 52, {}) },
        start + seconds(1));
    std::mt19937_64 random(1);
    for (int i = 0; i < 2'000; ++i) {
        CrashReport other = attemptReport(random(), random(), seconds(2), random());
        other.organisation = 8;
        quarantine.merge({ other }, start + seconds(3));
        quarantine.recordAnswered({ 8, random(), {} }, start + seconds(3));
    }
    EXPECT_NE(quarantine.findHold({ organisation, identity, {} }), nullptr);
    EXPECT_LE(quarantine.reports().size(), 2 * Quarantine::Limits().reportsPerOrganisation);
}

} // namespace
} // namespace wigeonsill
