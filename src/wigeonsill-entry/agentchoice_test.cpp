/// \file agentchoice_test.cpp
/// Which listed agents an entry connects to.
#include "agentchoice.h"

#include <gtest/gtest.h>

#include <algorithm>

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

TEST(AgentChoice, subsetOfEachPoolAndRegion)
{
    auto instances = listAgents("home", "large", 100);
    const auto far = listAgents("far", "large", 100);
    const auto few = listAgents("home", "small", 3);
    instances.insert(instances.end(), far.begin(), far.end());
    instances.insert(instances.end(), few.begin(), few.end());
    const auto chosen = chooseAgents(entry, instances, {});
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

} // namespace
} // namespace wigeonsill
