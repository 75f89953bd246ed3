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

/// Sessions send their long prompts again and again, through any entry, to targets with and without
/// a known load. Most prompts must find a target that read them before.
TEST(RankTargets, sessionsReturnToTargetsThatReadTheirPrompts)
{
    std::mt19937_64 random(11);
    std::vector<Target> targets;
    for (int i = 0; i < 60; ++i) {
        targets.push_back(makeTarget("i" + std::to_string(i)));
    }
    std::set<std::pair<std::uint64_t, const Target *>> kept;
    int repeated = 0;
    int found = 0;
    std::set<std::uint64_t> seen;
    for (int i = 0; i < 3'000; ++i) {
        std::vector<TargetView> views;
        for (const Target &target : targets) {
            TargetView &view = views.emplace_back();
            view.target = &target;
            if (random() % 4 == 0) { // What this entry has heard of lately.
                view.load = TargetLoad{ 1, 0, milliseconds(random() % 20), 60, 0.2 };
            }
        }
        RequestMetadata request;
        request.promptTokens = 5'000;
        request.parts = { { 1, 500 }, { 100 + random() % 500, 4'500 } };
        const Target *chosen = rankTargets(views, request, {}, random()).front()->target;
        const std::uint64_t session = request.parts.back().id;
        if (!seen.insert(session).second) {
            ++repeated;
            found += kept.contains({ session, chosen }) ? 1 : 0;
        }
        kept.insert({ session, chosen });
    }
    EXPECT_GE(found, repeated * 3 / 4);
}

/// One session gets a large part of the traffic: its home targets fill up and others take over.
TEST(RankTargets, loadMovesAHotSessionAwayFromItsHome)
{
    std::vector<Target> targets;
    for (int i = 0; i < 10; ++i) {
        targets.push_back(makeTarget("i" + std::to_string(i)));
    }
    RequestMetadata request;
    request.promptTokens = 5'000;
    request.parts = { { 7, 5'000 } };
    std::vector<TargetView> views(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        views[i].target = &targets[i];
        views[i].load = TargetLoad{ 4, 0, {}, 60, 0.2 };
    }
    const auto calm = rankTargets(views, request, {}, 1);
    std::set<std::string> homes = { calm[0]->target->id, calm[1]->target->id };
    for (TargetView &view : views) {
        if (homes.contains(view.target->id)) {
            view.load->startDelay = milliseconds(400);
        }
    }
    EXPECT_FALSE(homes.contains(rankTargets(views, request, {}, 1).front()->target->id));
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
