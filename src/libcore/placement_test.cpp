/// \file placement_test.cpp
/// Tests of prefix affinity (recording, expiry, bounds, queue limits) and of the choice of
/// candidates.
#include "placement.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const TimePoint now{ seconds(1000) };

class PlacementTest : public testing::Test
{
protected:
    PlacementTest()
    {
        for (const std::string name : { "a", "b", "c" }) {
            AgentView &agent = this->agents.get(name);
            agent.name = name;
            agent.connected = true;
            agent.load.tokenLimit = 1000;
            this->agents.setPools(agent, { "pool" });
        }
        this->profile.pool = "pool";
        this->profile.prefixHashes = { 1, 2, 3 };
    }

    std::string prefixHolder() const
    {
        const PlacementQuery query{ &this->profile, &this->excluded, 1 };
        return pickPrefixHolder(
            const_cast<AgentDirectory &>(this->agents), this->prefixes, query, now);
    }

    AgentDirectory agents;
    PrefixDirectory prefixes{ 100 };
    RequestProfile profile;
    std::set<std::string> excluded;
};

TEST_F(PlacementTest, holderOfTheLongestKnownPrefixIsPicked)
{
    this->prefixes.recordPrefixes(now, "a", { 1 });
    this->prefixes.recordPrefixes(now, "b", { 1, 2 });
    this->prefixes.recordPrefixes(now, "a", { 1, 9 });
    EXPECT_EQ(this->prefixHolder(), "b");
    this->prefixes.removeAgent("b");
    EXPECT_EQ(this->prefixHolder(), "a");
}

TEST_F(PlacementTest, prefixesExpireByAgeAndAreBounded)
{
    this->prefixes.recordPrefixes(now - seconds(301), "a", { 1, 2, 3 });
    EXPECT_EQ(this->prefixHolder(), "");
    for (std::uint64_t hash = 0; hash < 10'000; ++hash) {
        this->prefixes.recordPrefixes(now, "a", { hash });
    }
    EXPECT_EQ(this->prefixes.size(), 100U);
}

TEST_F(PlacementTest, weightingSetsTheToleratedWait)
{
    this->prefixes.recordPrefixes(now, "a", { 1, 2, 3 });
    this->agents.get("a").load.expectedWait.fill(seconds(1));
    this->profile.weighting = Weighting::Goodput;
    EXPECT_EQ(this->prefixHolder(), "");
    this->profile.weighting = Weighting::Prefill;
    EXPECT_EQ(this->prefixHolder(), "a");
}

TEST_F(PlacementTest, hotPrefixSpreadsToAnotherHolder)
{
    this->prefixes.recordPrefixes(now, "b", { 1, 2, 3 });
    this->prefixes.recordPrefixes(now, "a", { 1, 2, 3 });
    this->agents.get("a").reserved = { 1, 2 };
    EXPECT_EQ(this->prefixHolder(), "b");
    this->agents.get("b").reserved = { 3, 4 };
    EXPECT_EQ(this->prefixHolder(), "");
}

TEST_F(PlacementTest, candidatesAreDistinctUsableAndNotExcluded)
{
    std::mt19937_64 random(1);
    this->agents.get("a").draining = true;
    for (auto &[name, agent] : this->agents.all()) {
        agent.load.waiting = 1;
    }
    this->excluded = { "b" };
    const PlacementQuery query{ &this->profile, &this->excluded, 2 };
    EXPECT_EQ(pickCandidates(this->agents, query, random), std::vector<std::string>{ "c" });
}

} // namespace
} // namespace wigeonsill
