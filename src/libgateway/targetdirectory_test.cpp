/// \file targetdirectory_test.cpp
/// Which targets are used while the store is away and after it.
#include "wigeonsill/gateway.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Target target(const std::string &id, const std::string &address = {})
{
    Target result;
    result.id = id;
    result.service = "engines";
    result.address = address.empty() ? "10.0.0." + id.substr(1) + ":80" : address;
    result.slots = 8;
    return result;
}

TEST(TargetDirectory, missingTargetIsGoneUnlessEntriesMayHaveLapsed)
{
    TargetDirectory directory;
    directory.replace({ target("i1"), target("i2"), target("i3") }, false);
    directory.replace({ target("i1") }, true);
    EXPECT_EQ(directory.usable("engines").size(), 3U);
    directory.replace({ target("i1"), target("i2") }, true);
    // i1 was shown since the store's return, so it has been taken out on purpose.
    directory.replace({ target("i2") }, true);
    EXPECT_EQ(directory.find("i1"), nullptr);
    EXPECT_NE(directory.find("i3"), nullptr);
    directory.replace({ target("i2") }, false);
    EXPECT_EQ(directory.usable("engines").size(), 1U);
}

TEST(TargetDirectory, anotherTargetAtTheAddressEndsAKeptOne)
{
    TargetDirectory directory;
    directory.replace({ target("i1"), target("i2") }, false);
    directory.replace({ target("i1"), target("i9", "10.0.0.2:80") }, true);
    EXPECT_EQ(directory.find("i2"), nullptr);
}

TEST(TargetDirectory, leavingTargetsAreKnownAndNotUsed)
{
    TargetDirectory directory;
    Target leaving = target("i1");
    leaving.leaving = true;
    directory.replace({ leaving, target("i2") }, false);
    EXPECT_EQ(directory.usable("engines").size(), 1U);
    EXPECT_NE(directory.find("i1"), nullptr);
}

TEST(TargetDirectory, targetThatWasReplacedAtItsAddressIsNotUsedThere)
{
    TargetDirectory directory;
    directory.replace({ target("i1"), target("i2") }, false);
    directory.replacedAtItsAddress("i1");
    EXPECT_EQ(directory.usable("engines").size(), 1U);
    directory.replace({ target("i1"), target("i2") }, false);
    EXPECT_EQ(directory.usable("engines").size(), 1U) << "the list is older than the answer";
    directory.replace({ target("i1", "10.0.0.9:80"), target("i2") }, false);
    EXPECT_EQ(directory.usable("engines").size(), 2U) << "it started again elsewhere";
}

/// Twenty targets that write each 1.2 s; lists a second apart but for one gap.
bool lapsesAfterGap(Duration gap, std::uint64_t grownInGap)
{
    OutageJudge judge(milliseconds(1'200));
    TimePoint now{ seconds(100) };
    judge.listed(1'000, 20, now);
    now += gap;
    judge.listed(1'000 + grownInGap, 20, now);
    return judge.mayHaveLapsed(now);
}

/// All targets lost power; the entries of the old incarnations lapse seconds later.
TEST(TargetDirectory, youngestTargetOfAnAddressIsUsed)
{
    TargetDirectory directory;
    Target before = target("i1");
    before.startedMs = 1'000;
    Target after = target("i0", before.address);
    after.startedMs = 9'000;
    Target elsewhere = target("i2");
    directory.replace({ before, after, elsewhere }, false);
    ASSERT_EQ(directory.usable("engines").size(), 2U);
    EXPECT_EQ(directory.usable("engines").front()->id, "i0");
    // Its clock was wrong: the other one answers there.
    directory.replacedAtItsAddress("i0");
    ASSERT_EQ(directory.usable("engines").size(), 2U);
    EXPECT_EQ(directory.usable("engines").front()->id, "i1");
}

TEST(OutageJudge, tellsAnOutageOfTheStoreFromACutOfTheProcess)
{
    EXPECT_TRUE(lapsesAfterGap(seconds(5), 20)) << "each wrote once, at the return";
    EXPECT_FALSE(lapsesAfterGap(seconds(5), 83)) << "all wrote on while this process was cut off";
    EXPECT_FALSE(lapsesAfterGap(milliseconds(1'600), 0)) << "too short for an entry to lapse";
}

TEST(OutageJudge, trustsTheListAgainAfterTwoSeconds)
{
    OutageJudge judge(milliseconds(1'200));
    TimePoint now{ seconds(100) };
    judge.listed(1'000, 20, now);
    now += seconds(6);
    judge.listed(1'010, 20, now);
    EXPECT_EQ(judge.trustedFrom(), now + seconds(2));
    EXPECT_FALSE(judge.mayHaveLapsed(now + seconds(2)));
}

/// Engines of a pool differ eightfold in the time of a token, and the longest answers take the
/// fastest ones most of their callers' time.
TEST(RankTargets, longAnswersGoWhereTheyCanBeCompleteInTime)
{
    const Target near = target("i1");
    const Target far = target("i2");
    TargetView slow;
    slow.target = &near;
    slow.load = TargetLoad{ 8, 0, {}, 36, 1.0 / 17 };
    TargetView quick;
    quick.target = &far;
    quick.load = TargetLoad{ 0, 9, milliseconds(700), 180, 1.0 / 2.5 };
    RequestFacts request;
    request.promptTokens = 600;
    request.outputTokens = 2'880;
    request.deadline = seconds(12);
    request.expectedOutput = 1'200;
    EXPECT_EQ(rankTargets({ slow, quick }, request, {}, 1).front()->target->id, "i2");
    request.expectedOutput = 24;
    EXPECT_EQ(rankTargets({ slow, quick }, request, {}, 1).front()->target->id, "i1");
}

TEST(RankTargets, prefersTheOwnFailureDomainAndAvoidsWhatFails)
{
    Target near = target("i1");
    Target far = target("i2");
    near.failureDomain = "a";
    near.region = "r";
    far.failureDomain = "b";
    far.region = "s";
    std::vector<TargetView> views(2);
    views[0].target = &far;
    views[1].target = &near;
    const EntryPlace place{ "a", "r" };
    EXPECT_EQ(rankTargets(views, {}, place, 1).front()->target->id, "i1");
    views[1].failing = true;
    EXPECT_EQ(rankTargets(views, {}, place, 1).front()->target->id, "i2");
    views[1].failing = false;
    views[1].load = TargetLoad{ 0, 20, seconds(2), 60, 0.2 };
    EXPECT_EQ(rankTargets(views, {}, place, 1).front()->target->id, "i2");
}

} // namespace
} // namespace wigeonsill
