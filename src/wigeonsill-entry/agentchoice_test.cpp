/// \file agentchoice_test.cpp
/// Which listed agents an entry connects to.
#include "agentchoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace wigeonsill {
namespace {

const Location entry{ "entry-1", "home", "a" };

std::vector<ListedInstance> listAgents(
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

ListedInstance listEntry(const std::string &name)
{
    ListedInstance instance;
    instance.name = name;
    instance.role = "entry";
    instance.region = "home";
    return instance;
}

TEST(AgentChoice, subsetOfEachPoolAndRegion)
{
    auto instances = listAgents("home", "large", 100);
    const auto far = listAgents("far", "large", 100);
    const auto few = listAgents("home", "small", 3);
    instances.insert(instances.end(), far.begin(), far.end());
    instances.insert(instances.end(), few.begin(), few.end());
    AgentChoiceLimits limits;
    limits.entriesPerAgent = 0;
    for (const std::string name : { "entry-1", "entry-2" }) {
        instances.push_back(listEntry(name));
    }
    const auto chosen = chooseAgents(entry, instances, limits);
    const auto countOf = [&chosen](const std::string &prefix) {
        return std::count_if(
            chosen.begin(), chosen.end(), [&prefix](const ListedInstance &instance) {
                return instance.name.starts_with(prefix);
            });
    };
    EXPECT_EQ(countOf("home-large"), 12);
    EXPECT_EQ(countOf("far-large"), 2);
    EXPECT_EQ(countOf("home-small"), 3);
}

TEST(AgentChoice, leavingAgentsAndThoseWithoutPoolsAreKept)
{
    auto instances = listAgents("home", "large", 30);
    for (ListedInstance &instance : instances) {
        instance.leaving = true;
    }
    ListedInstance unnamed;
    unnamed.name = "unnamed";
    unnamed.role = "agent";
    ListedInstance other;
    other.name = "other-entry";
    other.role = "entry";
    instances.push_back(unnamed);
    instances.push_back(other);
    EXPECT_EQ(chooseAgents(entry, instances, {}).size(), 31U);
}

TEST(AgentChoice, everyAgentHasItsEntries)
{
    auto instances = listAgents("home", "large", 300);
    constexpr int entryCount = 8;
    for (int i = 0; i < entryCount; ++i) {
        instances.push_back(listEntry("entry-" + std::to_string(i)));
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
        EXPECT_GE(entries, limits.entriesPerAgent) << agent;
    }
}

TEST(AgentChoice, withoutListedEntriesEveryAgentAtHomeIsKept)
{
    EXPECT_EQ(chooseAgents(entry, listAgents("home", "large", 300), {}).size(), 300U);
}

} // namespace
} // namespace wigeonsill
