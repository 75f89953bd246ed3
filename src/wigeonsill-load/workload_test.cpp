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

std::vector<PlannedRequest> drawAllRequests(const Scenario &scenario)
{
    Workload workload(scenario, 1);
    std::vector<PlannedRequest> requests;
    while (std::optional<PlannedRequest> planned = workload.next()) {
        requests.push_back(*planned);
    }
    return requests;
}

TEST(Workload, MatchesTheArrivalRateOfEachPhase)
{
    std::size_t steady = 0;
    std::size_t burst = 0;
    for (const PlannedRequest &planned : drawAllRequests(scenarioWithBurst())) {
        ++(planned.arrivalTime < seconds(100) ? steady : burst);
    }
    EXPECT_NEAR(double(steady), 1000, 150);
    EXPECT_NEAR(double(burst), 2000, 200);
}

TEST(Workload, IsReproducibleForASeedAndVariesLengths)
{
    const std::vector<PlannedRequest> first = drawAllRequests(scenarioWithBurst());
    const std::vector<PlannedRequest> second = drawAllRequests(scenarioWithBurst());
    ASSERT_EQ(first.size(), second.size());
    EXPECT_EQ(first.back().prompt, second.back().prompt);
    EXPECT_EQ(first.back().arrivalTime, second.back().arrivalTime);
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

TEST(AnswerCheck, DistinguishesCompletePartialAndWrongAnswers)
{
    char hashDigits[17];
    std::snprintf(hashDigits, sizeof hashDigits, "%08llx",
        static_cast<unsigned long long>(stableHash("my prompt") & 0xFFFFFFFFULL));
    const std::string hash = hashDigits;
    const std::string twoWords = hash + ":0 " + hash + ":1 ";
    EXPECT_EQ(checkAnswer("my prompt", 2, twoWords), AnswerCheck::Complete);
    EXPECT_EQ(checkAnswer("my prompt", 3, twoWords), AnswerCheck::Partial);
    EXPECT_EQ(
        checkAnswer("my prompt", 2, twoWords.substr(0, twoWords.size() - 2)), AnswerCheck::Partial);
    EXPECT_EQ(checkAnswer("my prompt", 1, twoWords), AnswerCheck::Wrong);
    EXPECT_EQ(checkAnswer("another prompt", 2, twoWords), AnswerCheck::Wrong);
    EXPECT_EQ(checkAnswer("my prompt", 2, hash + ":1 " + hash + ":0 "), AnswerCheck::Wrong);
}

} // namespace
