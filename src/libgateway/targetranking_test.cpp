/// \file targetranking_test.cpp
/// Tests of the order in which targets are tried for a request.
#include "wigeonsill/gateway.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Target makeTarget(const std::string &id)
{
    Target result;
    result.id = id;
    result.service = "engines";
    result.address = "10.0.0." + id.substr(1) + ":80";
    result.slots = 8;
    return result;
}

/// Engines of a pool differ by a factor of eight in the time per token. Even on the fastest ones,
/// the longest answers take most of their callers' deadlines.
TEST(RankTargets, prefersFasterTargetForLongAnswers)
{
    const Target nearTarget = makeTarget("i1");
    const Target farTarget = makeTarget("i2");
    TargetView slow;
    slow.target = &nearTarget;
    slow.load = TargetLoad{ 8, 0, {}, 36, 1.0 / 17 };
    TargetView fast;
    fast.target = &farTarget;
    fast.load = TargetLoad{ 0, 9, milliseconds(700), 180, 1.0 / 2.5 };
    RequestMetadata request;
    request.promptTokens = 600;
    request.outputTokens = 2'880;
    request.deadline = seconds(12);
    request.callerOutputEstimate = 1'200;
    EXPECT_EQ(rankTargets({ slow, fast }, request, {}, 1).front()->target->id, "i2");
    request.callerOutputEstimate = 24;
    EXPECT_EQ(rankTargets({ slow, fast }, request, {}, 1).front()->target->id, "i1");
}

/// An entry among hundreds has heard of few targets lately. A long answer goes to a quick one that
/// it knows, not to one of unknown speed.
TEST(RankTargets, doesNotTakeUnknownTargetsForTheQuickest)
{
    const Target knownTarget = makeTarget("i1");
    const Target slowTarget = makeTarget("i2");
    std::vector<Target> unknownTargets;
    for (int i = 3; i < 30; ++i) {
        unknownTargets.push_back(makeTarget("i" + std::to_string(i)));
    }
    std::vector<TargetView> views(2);
    views[0].target = &knownTarget;
    views[0].load = TargetLoad{ 4, 0, {}, 100, 1.0 / 3 };
    views[1].target = &slowTarget;
    views[1].load = TargetLoad{ 4, 0, {}, 40, 1.0 / 17 };
    for (const Target &target : unknownTargets) {
        views.emplace_back().target = &target;
    }
    RequestMetadata request;
    request.promptTokens = 200;
    request.outputTokens = 2'880;
    request.deadline = seconds(10);
    request.callerOutputEstimate = 1'700;
    EXPECT_EQ(rankTargets(views, request, {}, 1).front()->target->id, "i1");
    EXPECT_EQ(rankTargets(views, request, {}, 1).back()->target->id, "i2");
    request.callerOutputEstimate = 10;
    EXPECT_NE(rankTargets(views, request, {}, 1).front()->target->id, "i1")
        << "short answers go to unknown targets too";
}

TEST(RankTargets, prefersOwnFailureDomainAndAvoidsFailingTargets)
{
    Target nearTarget = makeTarget("i1");
    Target farTarget = makeTarget("i2");
    nearTarget.failureDomain = "a";
    nearTarget.region = "r";
    farTarget.failureDomain = "b";
    farTarget.region = "s";
    std::vector<TargetView> views(2);
    views[0].target = &farTarget;
    views[1].target = &nearTarget;
    const EntryLocation location{ "a", "r" };
    EXPECT_EQ(rankTargets(views, {}, location, 1).front()->target->id, "i1");
    views[1].failing = true;
    EXPECT_EQ(rankTargets(views, {}, location, 1).front()->target->id, "i2");
    views[1].failing = false;
    views[1].load = TargetLoad{ 0, 20, seconds(2), 60, 0.2 };
    EXPECT_EQ(rankTargets(views, {}, location, 1).front()->target->id, "i2");
}

} // namespace
} // namespace wigeonsill
