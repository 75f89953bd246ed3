/// \file pushplacement_test.cpp
/// Tests of the baseline strategies that dispatch a request on arrival.
#include "pushplacement.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

class PushPlacementTest : public testing::Test
{
protected:
    PushPlacementTest()
    {
        this->profile.pool = "pool";
        for (const char *name : { "a", "b", "c" }) {
            AgentView &agent = this->directory.get(name);
            agent.name = name;
            agent.connected = true;
            this->directory.setPools(agent, { "pool" });
        }
    }
    std::string pick(PlacementStrategy strategy)
    {
        const AgentView *agent = this->placement.pick(strategy, this->directory, this->profile);
        return agent == nullptr ? std::string() : agent->name;
    }
    AgentDirectory directory;
    PushPlacement placement;
    RequestProfile profile;
};

TEST_F(PushPlacementTest, lateBindingNeverPushes)
{
    EXPECT_EQ(this->pick(PlacementStrategy::LateBinding), "");
}

TEST_F(PushPlacementTest, roundRobinSkipsUnusableAgents)
{
    EXPECT_EQ(this->pick(PlacementStrategy::RoundRobin), "a");
    this->directory.get("b").draining = true;
    EXPECT_EQ(this->pick(PlacementStrategy::RoundRobin), "c");
    EXPECT_EQ(this->pick(PlacementStrategy::RoundRobin), "a");
}

TEST_F(PushPlacementTest, leastLoadUsesTheLastReport)
{
    this->directory.get("a").load.tokensInFlight = 30;
    this->directory.get("b").load.tokensInFlight = 10;
    this->directory.get("c").load.tokensInFlight = 20;
    EXPECT_EQ(this->pick(PlacementStrategy::LeastLoad), "b");
    EXPECT_EQ(this->pick(PlacementStrategy::LeastLoad), "b");
    this->directory.get("b").connected = false;
    EXPECT_EQ(this->pick(PlacementStrategy::LeastLoad), "c");
}

} // namespace
} // namespace wigeonsill
