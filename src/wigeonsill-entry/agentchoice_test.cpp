/// \file agentchoice_test.cpp
/// Tests the selection of the agents that an entry connects to.
#include "agentchoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace wigeonsill {
namespace {

const Location entry{ "entry-1", "home", "a" };

std::vector<ListedInstance> makeAgents(
    const std::string &region, const std::string &pool, int count)
{
    std::vector<ListedInstance> instances;
    const std::string prefix = region + "-" + pool + "-";
    for (int i = 0; i < count; ++i) {
        ListedInstance instance;
        instance.name = prefix + std::to_string(i);
        instance.role = "agent";
        instance.region = region;
        instance.pools = { pool };
        instances.push_back(instance);
    }
    return instances;
}

ListedInstance makeEntry(const std::string &name)
{
    ListedInstance instance;
    instance.name = name;
    instance.role = "entry";
    instance.region = "home";
    return instance;
}

TEST(AgentChoice, choosesSubsetOfEachPoolAndRegion)
{
    auto instances = makeAgents("home", "large", 100);
    const auto farAgents = makeAgents("far", "large", 100);
    const auto smallPoolAgents = makeAgents("home", "small", 3);
    instances.insert(instances.end(), farAgents.begin(), farAgents.end());
    instances.insert(instances.end(), smallPoolAgents.begin(), smallPoolAgents.end());
    AgentChoiceLimits limits;
    limits.minimumEntriesPerAgent = 0;
    for (const std::string name : { "entry-1", "entry-2" }) {
        instances.push_back(makeEntry(name));
    }
    const auto chosen = chooseAgents(entry, instances, limits);
    const auto countWithPrefix = [&chosen](const std::string &prefix) {
        return std::count_if(
            chosen.begin(), chosen.end(), [&prefix](const ListedInstance &instance) {
                return instance.name.starts_with(prefix);
            });
    };
    EXPECT_EQ(countWithPrefix("home-large"), 12);
    EXPECT_EQ(countWithPrefix("far-large"), 2);
    EXPECT_EQ(countWithPrefix("home-small"), 3);
}

TEST(AgentChoice, keepsLeavingAgentsAndAgentsWithoutPools)
{
    auto instances = makeAgents("home", "large", 30);
    for (ListedInstance &instance : instances) {
        instance.leaving = true;
    }
    ListedInstance agentWithoutPools;
    agentWithoutPools.name = "unnamed";
    agentWithoutPools.role = "agent";
    ListedInstance otherEntry;
    otherEntry.name = "other-entry";
    otherEntry.role = "entry";
    instances.push_back(agentWithoutPools);
    instances.push_back(otherEntry);
    EXPECT_EQ(chooseAgents(entry, instances, {}).size(), 31U);
}

TEST(AgentChoice, givesEveryAgentMinimumNumberOfEntries)
{
    auto instances = makeAgents("home", "large", 300);
    constexpr int entryCount = 8;
    for (int i = 0; i < entryCount; ++i) {
        instances.push_back(makeEntry("entry-" + std::to_string(i)));
    }
    const AgentChoiceLimits limits;
    std::map<std::string, std::size_t> entriesOfAgent;
    for (int i = 0; i < entryCount; ++i) {
        const Location self{ "entry-" + std::to_string(i), "home", "a" };
        for (const ListedInstance &agent : chooseAgents(self, instances, limits)) {
            ++entriesOfAgent[agent.name];
        }
    }
    EXPECT_EQ(entriesOfAgent.size(), 300U);
    for (const auto &[agent, entries] : entriesOfAgent) {
        EXPECT_GE(entries, limits.minimumEntriesPerAgent) << agent;
    }
}

TEST(AgentChoice, keepsAllAgentsInRegionWithoutListedEntries)
{
    EXPECT_EQ(chooseAgents(entry, makeAgents("home", "large", 300), {}).size(), 300U);
}

} // namespace
} // namespace wigeonsill
