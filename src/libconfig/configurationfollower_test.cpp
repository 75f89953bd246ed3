/// \file configurationfollower_test.cpp
/// Tests that revisions converge and never decrease despite stale peers, store outages and
/// processes that stop or lose the store.
#include "wigeonsill/config.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace wigeonsill {
namespace {

constexpr Duration step = milliseconds(50);

/// Simulates processes of two regions and a store, with injected faults and simulated time.
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

    /// Activates a received revision if it is newer. Fails if the active revision decreases.
    void applyRevision(std::size_t node, std::uint64_t revision)
    {
        ConfigurationFollower &follower = this->nodes[node]->follower;
        const std::uint64_t before = follower.activeRevision();
        if (follower.isNewer(revision)) {
            follower.activate(revision);
        }
        RC_ASSERT(follower.activeRevision() >= before);
        RC_ASSERT(follower.activeRevision() <= this->storedRevision);
    }

    std::uint64_t lowestRevision() const
    {
        std::uint64_t result = UINT64_MAX;
        for (const auto &node : this->nodes) {
            if (node->isAlive) {
                result = std::min(result, node->follower.activeRevision());
            }
        }
        return result;
    }

    struct OpenFetch
    {
        RootFetch fetch;
        TimePoint since;
    };
    struct Node
    {
        Node(ConfigurationMember member, std::uint64_t seed)
            : follower(std::move(member), FollowerLimits(), seed)
        {
        }
        ConfigurationFollower follower;
        std::vector<OpenFetch> openFetches;
        bool isAlive = true;
        bool isStale = false; ///< Never offers more than revision 1.
        bool canReachStore = true;
        bool isLagging = false; ///< The store shows it the revision before the newest.
    };

    std::vector<ConfigurationMember> members;
    std::vector<std::unique_ptr<Node>> nodes;
    TimePoint now;
    std::uint64_t storedRevision = 0;
    bool isStoreUp = true;
    std::uint64_t storeCalls = 0;

private:
    std::optional<std::uint64_t> fetchResult(std::size_t node, const RootFetch &fetch) const
    {
        if (fetch.source == RootSource::Store) {
            const bool isReachable = this->isStoreUp && this->nodes[node]->canReachStore;
            const std::uint64_t lag
                = this->nodes[node]->isLagging && this->storedRevision > 0 ? 1 : 0;
            return isReachable ? std::optional(this->storedRevision - lag) : std::nullopt;
        }
        RC_ASSERT(fetch.peer != this->members[node].instance);
        const std::size_t index = std::stoul(fetch.peer.substr(6));
        const Node &peer = *this->nodes[index];
        if (!peer.isAlive) {
            return std::nullopt;
        }
        const std::uint64_t peerRevision = peer.follower.activeRevision();
        return peer.isStale ? std::min<std::uint64_t>(1, peerRevision) : peerRevision;
    }

    void runNode(std::size_t index)
    {
        Node &node = *this->nodes[index];
        if (!node.isAlive) {
            return;
        }
        std::vector<OpenFetch> stillOpen;
        for (const OpenFetch &open : node.openFetches) {
            const auto answer = this->fetchResult(index, open.fetch);
            const bool isDue = this->now - open.since >= open.fetch.wait;
            const bool hasResult = !answer || node.follower.isNewer(*answer);
            if (!isDue && !hasResult) {
                stillOpen.push_back(open);
                continue;
            }
            node.follower.fetchEnded(this->now, open.fetch.source, answer);
            if (answer) {
                this->applyRevision(index, *answer);
            }
        }
        node.openFetches = std::move(stillOpen);
        for (const RootFetch &fetch : node.follower.tick(this->now)) {
            this->storeCalls += fetch.source == RootSource::Store ? 1 : 0;
            node.openFetches.push_back({ fetch, this->now });
        }
        RC_ASSERT(node.openFetches.size() <= 2U);
    }
};

TEST(ConfigurationFollower, revisionsNeverDecreaseAndConvergeAfterFaults)
{
    const bool holds = rc::check("spread under faults", [] {
        FollowerNetwork network(6);
        const auto events = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            40, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<std::size_t>(0, 6)));
        for (const auto &[event, index] : events) {
            FollowerNetwork::Node &node = *network.nodes[index];
            switch (event) {
            case 0:
                network.storedRevision += network.isStoreUp ? 1 : 0;
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
                node.canReachStore = !node.canReachStore;
                break;
            case 5:
                node.follower.revisionReceived(network.now, network.storedRevision);
                break;
            case 6:
                network.applyRevision(index, network.storedRevision / 2);
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
            node->canReachStore = true;
            node->isLagging = false;
        }
        ++network.storedRevision;
        network.advance(20 * 60);
        RC_ASSERT(network.lowestRevision() == network.storedRevision);
    });
    EXPECT_TRUE(holds);
}

TEST(ConfigurationFollower, onlyWatchersContactTheStore)
{
    for (const std::size_t count : { std::size_t(2), std::size_t(20), std::size_t(80) }) {
        FollowerNetwork network(count);
        network.storedRevision = 1;
        network.advance(20 * 60);
        EXPECT_EQ(network.lowestRevision(), 1U);
        // Two regions with one watcher each. A watch of the store is renewed every 10 s.
        EXPECT_LE(network.storeCalls, 2U * (60 / 10 + 3)) << count << " processes";
    }
}

TEST(ConfigurationFollower, stoppedWatcherThatIsStillListedIsReplaced)
{
    FollowerNetwork network(6);
    network.storedRevision = 1;
    network.advance(200);
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        network.nodes[i]->isAlive = !network.nodes[i]->follower.isWatcher(network.now);
    }
    network.storedRevision = 2;
    network.advance(20 * 30);
    EXPECT_EQ(network.lowestRevision(), 2U);
}

TEST(ConfigurationFollower, startsFromAPeerDuringAStoreOutage)
{
    FollowerNetwork network(4);
    network.storedRevision = 3;
    network.advance(200);
    network.isStoreUp = false;
    network.nodes[2]
        = std::make_unique<FollowerNetwork::Node>(network.members[2], std::uint64_t(99));
    network.nodes[2]->follower.setMembers(network.members);
    network.advance(40);
    EXPECT_EQ(network.nodes[2]->follower.activeRevision(), 3U);
}

TEST(ConfigurationFollower, storeOutageCausesNoRetryStorm)
{
    FollowerNetwork network(20);
    network.storedRevision = 1;
    network.advance(200);
    network.isStoreUp = false;
    network.advance(20 * 60);
    const std::uint64_t before = network.storeCalls;
    network.advance(20 * 600);
    // Two watchers, each at most one call per 7.5 s, half of the maximum retry delay.
    EXPECT_LE(network.storeCalls - before, 2U * 600 * 2 / 15);
}

TEST(ConfigurationFollower, reportsCutOffAndKeepsItsConfiguration)
{
    FollowerNetwork network(1);
    network.storedRevision = 5;
    network.advance(100);
    EXPECT_FALSE(network.nodes[0]->follower.isCutOff(network.now));
    network.isStoreUp = false;
    network.advance(20 * 30);
    EXPECT_TRUE(network.nodes[0]->follower.isCutOff(network.now));
    EXPECT_EQ(network.nodes[0]->follower.activeRevision(), 5U);
    network.isStoreUp = true;
    network.advance(20 * 16);
    EXPECT_FALSE(network.nodes[0]->follower.isCutOff(network.now));
}

} // namespace
} // namespace wigeonsill
