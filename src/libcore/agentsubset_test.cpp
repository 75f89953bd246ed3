/// \file agentsubset_test.cpp
/// Tests that the choice of agents is stable and evenly distributed.
#include "wigeonsill/core.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace wigeonsill {
namespace {

std::vector<std::string> makeNames(const std::string &prefix, int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        names.push_back(prefix + std::to_string(i));
    }
    return names;
}

TEST(AgentSubset, fewAgentsAreAllChosen)
{
    const auto agents = makeNames("agent-", 5);
    EXPECT_EQ(chooseAgentSubset("entry", agents, 24).size(), 5U);
}

TEST(AgentSubset, choiceIsIndependentOfTheListOrder)
{
    auto agents = makeNames("agent-", 100);
    const auto chosen = chooseAgentSubset("entry", agents, 10);
    std::reverse(agents.begin(), agents.end());
    EXPECT_EQ(chooseAgentSubset("entry", agents, 10), chosen);
}

TEST(AgentSubset, removingAnAgentReplacesOnlyThatAgent)
{
    const auto agents = makeNames("agent-", 100);
    const auto before = chooseAgentSubset("entry", agents, 10);
    auto fewer = agents;
    std::erase(fewer, before.front());
    auto after = chooseAgentSubset("entry", fewer, 10);
    ASSERT_EQ(after.size(), 10U);
    EXPECT_TRUE(std::equal(before.begin() + 1, before.end(), after.begin()));
}

TEST(AgentSubset, everyAgentIsChosenByEnoughEntriesAtDesignScale)
{
    const auto agents = makeNames("agent-", 760);
    std::map<std::string, int> chosenBy;
    for (const std::string &entry : makeNames("entry-", 380)) {
        for (const std::string &agent : chooseAgentSubset(entry, agents, 24)) {
            ++chosenBy[agent];
        }
    }
    EXPECT_EQ(chosenBy.size(), agents.size());
    const auto byCount
        = [](const auto &left, const auto &right) { return left.second < right.second; };
    const auto [least, most] = std::minmax_element(chosenBy.begin(), chosenBy.end(), byCount);
    // The mean is 12 entries per agent.
    EXPECT_GE(least->second, 2);
    EXPECT_LE(most->second, 36);
}

} // namespace
} // namespace wigeonsill
