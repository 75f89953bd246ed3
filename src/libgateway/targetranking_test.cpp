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
