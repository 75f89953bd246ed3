/// \file configurationfollower_test.cpp
/// Revisions spread, and never go down, under stale peers, outages and lost messages.
#include "wigeonsill/config.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace wigeonsill {
namespace {

constexpr Duration step = milliseconds(50);

/// Processes of two regions, a store and the faults between them, in simulated time.
class FollowerNetwork
{
public:
    explicit FollowerNetwork(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->members.push_back({ "entry-" + std::to_string(i), i % 2 == 0 ? "a" : "b" });
        }
        for (std::size_t i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<Node>(this->members[i], i));
            this->nodes.back()->follower.setMembers(this->members);
        }
    }

    void advance(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            this->now += step;
            for (std::size_t node = 0; node < this->nodes.size(); ++node) {
                this->runNode(node);
            }
        }
    }

    /// Fails the test when the configuration of a process went back.
    void put(std::size_t node, std::uint64_t revision)
    {
        ConfigurationFollower &follower = this->nodes[node]->follower;
        const std::uint64_t before = follower.inForce();
        if (follower.isNewer(revision)) {
            follower.putInForce(revision);
        }
        RC_ASSERT(follower.inForce() >= before);
        RC_ASSERT(follower.inForce() <= this->stored);
    }

    std::uint64_t lowest() const
    {
        std::uint64_t result = UINT64_MAX;
        for (const auto &node : this->nodes) {
            if (node->isAlive) {
                result = std::min(result, node->follower.inForce());
            }
        }
        return result;
    }

    struct Open
    {
        FetchRoot fetch;
        TimePoint since;
    };
    struct Node
    {
        Node(ConfigurationMember member, std::uint64_t seed)
            : follower(std::move(member), FollowerLimits(), seed)
        {
        }
        ConfigurationFollower follower;
        std::vector<Open> open;
        bool isAlive = true;
        bool isStale = false; ///< Always offers revision 1.
        bool seesStore = true;
        bool isLagging = false; ///< Its watch shows the state before the last change.
    };

    std::vector<ConfigurationMember> members;
    std::vector<std::unique_ptr<Node>> nodes;
    TimePoint now;
    std::uint64_t stored = 0;
    bool isStoreUp = true;
    std::uint64_t storeCalls = 0;

private:
    std::optional<std::uint64_t> ask(std::size_t node, const FetchRoot &fetch) const
    {
        if (fetch.source == RootSource::Store) {
            const bool answers = this->isStoreUp && this->nodes[node]->seesStore;
            const std::uint64_t lag = this->nodes[node]->isLagging && this->stored > 0 ? 1 : 0;
            return answers ? std::optional(this->stored - lag) : std::nullopt;
        }
        RC_ASSERT(fetch.peer != this->members[node].instance);
        const std::size_t index = std::stoul(fetch.peer.substr(6));
        const Node &peer = *this->nodes[index];
        if (!peer.isAlive) {
            return std::nullopt;
        }
        const std::uint64_t held = peer.follower.inForce();
        return peer.isStale ? std::min<std::uint64_t>(1, held) : held;
    }

    void runNode(std::size_t index)
    {
        Node &node = *this->nodes[index];
        if (!node.isAlive) {
            return;
        }
        std::vector<Open> stillOpen;
        for (const Open &open : node.open) {
            const auto answer = this->ask(index, open.fetch);
            const bool isDue = this->now - open.since >= open.fetch.wait;
            const bool isNews = !answer || node.follower.isNewer(*answer);
            if (!isDue && !isNews) {
                stillOpen.push_back(open);
                continue;
            }
            node.follower.fetchEnded(this->now, open.fetch.source, answer);
            if (answer) {
                this->put(index, *answer);
            }
        }
        node.open = std::move(stillOpen);
        for (const FetchRoot &fetch : node.follower.tick(this->now)) {
            this->storeCalls += fetch.source == RootSource::Store ? 1 : 0;
            node.open.push_back({ fetch, this->now });
        }
        RC_ASSERT(node.open.size() <= 2U);
    }
};

TEST(ConfigurationFollower, revisionsNeverGoDownAndSpreadOnceFaultsEnd)
{
    const bool holds = rc::check("spread under faults", [] {
        FollowerNetwork network(6);
        const auto events = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            40, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<std::size_t>(0, 6)));
        for (const auto &[event, index] : events) {
            FollowerNetwork::Node &node = *network.nodes[index];
            switch (event) {
            case 0:
                network.stored += network.isStoreUp ? 1 : 0;
                break;
            case 1:
                network.isStoreUp = !network.isStoreUp;
                break;
            case 2:
                node.isAlive = !node.isAlive;
                break;
            case 3:
                node.isStale = !node.isStale;
                break;
            case 4:
                node.seesStore = !node.seesStore;
                break;
            case 5:
                node.follower.revisionHeard(network.now, network.stored);
                break;
            case 6:
                network.put(index, network.stored / 2);
                break;
            case 7:
                node.isLagging = !node.isLagging;
                break;
            default:
                network.advance(20);
            }
        }
        network.isStoreUp = true;
        for (const auto &node : network.nodes) {
            node->isAlive = true;
            node->isStale = false;
            node->seesStore = true;
            node->isLagging = false;
        }
        ++network.stored;
        network.advance(20 * 60);
        RC_ASSERT(network.lowest() == network.stored);
    });
    EXPECT_TRUE(holds);
}

TEST(ConfigurationFollower, onlyTheWatchersCallTheStore)
{
    for (const std::size_t count : { std::size_t(2), std::size_t(20), std::size_t(80) }) {
        FollowerNetwork network(count);
        network.stored = 1;
        network.advance(20 * 60);
        EXPECT_EQ(network.lowest(), 1U);
        // Two regions with one watcher each; one watch is open for 10 s.
        EXPECT_LE(network.storeCalls, 2U * (60 / 10 + 3)) << count << " processes";
    }
}

TEST(ConfigurationFollower, aDeadWatcherThatIsStillListedIsReplaced)
{
    FollowerNetwork network(6);
    network.stored = 1;
    network.advance(200);
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        network.nodes[i]->isAlive = !network.nodes[i]->follower.isWatcher(network.now);
    }
    network.stored = 2;
    network.advance(20 * 30);
    EXPECT_EQ(network.lowest(), 2U);
}

TEST(ConfigurationFollower, startsFromAPeerWhileTheStoreIsDown)
{
    FollowerNetwork network(4);
    network.stored = 3;
    network.advance(200);
    network.isStoreUp = false;
    network.nodes[2]
        = std::make_unique<FollowerNetwork::Node>(network.members[2], std::uint64_t(99));
    network.nodes[2]->follower.setMembers(network.members);
    network.advance(40);
    EXPECT_EQ(network.nodes[2]->follower.inForce(), 3U);
}

TEST(ConfigurationFollower, anOutageOfTheStoreMakesNoStorm)
{
    FollowerNetwork network(20);
    network.stored = 1;
    network.advance(200);
    network.isStoreUp = false;
    network.advance(20 * 60);
    const std::uint64_t before = network.storeCalls;
    network.advance(20 * 600);
    // Two watchers, each at most once in half of the longest interval between retries.
    EXPECT_LE(network.storeCalls - before, 2U * 600 * 2 / 15);
}

TEST(ConfigurationFollower, knowsThatItIsCutOffAndKeepsItsConfiguration)
{
    FollowerNetwork network(1);
    network.stored = 5;
    network.advance(100);
    EXPECT_FALSE(network.nodes[0]->follower.isCutOff(network.now));
    network.isStoreUp = false;
    network.advance(20 * 30);
    EXPECT_TRUE(network.nodes[0]->follower.isCutOff(network.now));
    EXPECT_EQ(network.nodes[0]->follower.inForce(), 5U);
    network.isStoreUp = true;
    network.advance(20 * 16);
    EXPECT_FALSE(network.nodes[0]->follower.isCutOff(network.now));
}

} // namespace
} // namespace wigeonsill
