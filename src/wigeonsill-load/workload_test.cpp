#include "workload.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <set>

using namespace wigeonsill;

namespace {

Scenario scenarioWithBurst()
{
    Scenario scenario;
    scenario.seed = 7;
    scenario.phases = { { "steady", seconds(100), 10 }, { "burst", seconds(10), 200 } };
    RequestKind kind;
    kind.name = "question";
    kind.promptTokens = { 10, 1000 };
    kind.outputTokens = { 2, 200 };
    kind.prefixCount = 3;
    kind.prefixTokens = 64;
    scenario.kinds = { kind };
    return scenario;
}

std::vector<PlannedRequest> allOf(const Scenario &scenario)
{
    Workload workload(scenario, 1);
    std::vector<PlannedRequest> all;
    while (std::optional<PlannedRequest> planned = workload.next()) {
        all.push_back(*planned);
    }
    return all;
}

TEST(Workload, FollowsTheRateOfEachPhase)
{
    std::size_t steady = 0;
    std::size_t burst = 0;
    for (const PlannedRequest &planned : allOf(scenarioWithBurst())) {
        ++(planned.at < seconds(100) ? steady : burst);
    }
    EXPECT_NEAR(double(steady), 1000, 150);
    EXPECT_NEAR(double(burst), 2000, 200);
}

TEST(Workload, RepeatsItselfForASeedAndSpreadsLengths)
{
    const std::vector<PlannedRequest> first = allOf(scenarioWithBurst());
    const std::vector<PlannedRequest> second = allOf(scenarioWithBurst());
    ASSERT_EQ(first.size(), second.size());
    EXPECT_EQ(first.back().prompt, second.back().prompt);
    EXPECT_EQ(first.back().at, second.back().at);
    std::int64_t shortest = 1000;
    std::int64_t longest = 0;
    std::set<std::string> prefixes;
    for (const PlannedRequest &planned : first) {
        shortest = std::min(shortest, planned.outputTokens);
        longest = std::max(longest, planned.outputTokens);
        prefixes.insert(planned.prompt.substr(0, 256));
    }
    EXPECT_LE(shortest, 3);
    EXPECT_GE(longest, 180);
    EXPECT_EQ(prefixes.size(), 3U);
}

TEST(AnswerCheck, TellsWholePartialAndForeignAnswersApart)
{
    char mark[17];
    std::snprintf(mark, sizeof mark, "%08llx",
        static_cast<unsigned long long>(stableHash("my prompt") & 0xFFFFFFFFULL));
    const std::string hash = mark;
    const std::string two = hash + ":0 " + hash + ":1 ";
    EXPECT_EQ(checkAnswer("my prompt", 2, two), AnswerCheck::Whole);
    EXPECT_EQ(checkAnswer("my prompt", 3, two), AnswerCheck::Partial);
    EXPECT_EQ(checkAnswer("my prompt", 2, two.substr(0, two.size() - 2)), AnswerCheck::Partial);
    EXPECT_EQ(checkAnswer("my prompt", 1, two), AnswerCheck::Wrong);
    EXPECT_EQ(checkAnswer("another prompt", 2, two), AnswerCheck::Wrong);
    EXPECT_EQ(checkAnswer("my prompt", 2, hash + ":1 " + hash + ":0 "), AnswerCheck::Wrong);
}

} // namespace
