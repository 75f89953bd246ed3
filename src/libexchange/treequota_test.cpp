/// \file treequota_test.cpp
/// Plays of a quota that 300 entries in two regions share through groups and holders.
#include "wigeonsill/exchange.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>

namespace wigeonsill {
namespace {

constexpr Duration window = seconds(8);
constexpr Duration step = milliseconds(5);
constexpr Duration reportInterval = milliseconds(250);
constexpr TimePoint start{ seconds(100) };
constexpr int domainsOfRegion = 3;
constexpr int regions = 2;

/// An organisation and its load as on the users' large deployment.
struct Scenario
{
    int entries = 300;
    double rate = 326'000;
    double slack = 140'000; ///< The operator's.
    double meanCost = 7'500; ///< Exponentially distributed.
    double load = 0.98; ///< Relative to the quota.
    double laterLoad = 0.98; ///< After 20 s.
    Duration maximumDelay = milliseconds(20); ///< Of a datagram; uniformly distributed.
    double lostShare = 0.05;
    double doubledShare = 0.05;
    std::optional<Duration> entryKilledEvery; ///< One after another, started again at once.
    std::optional<Duration> holdersKilledAt; ///< All holders, started again at once.
    std::optional<Duration> domainKilledAt; ///< Entries and agents of one, started again at once.
    std::optional<Duration> allKilledAt; ///< Entries and agents, started again at once.
    std::optional<Duration> linkCutAt; ///< Between the regions, for linkCutTime.
    Duration linkCutTime = seconds(5);
    unsigned seed = 7;
};

struct Outcome
{
    double excess = 0; ///< Most admitted in a window, relative to what the operator accepts.
    double admittedShare = 0; ///< Of what is requested within the quota, in the last ten seconds.
    std::size_t busiestNode = 0; ///< Datagrams that it received in the last second.
    std::size_t linkDatagrams = 0; ///< Between the regions, in the last second.
    /// Seconds' worth of the rate, admitted within 2 s after all processes were killed.
    double servedAfterKill = 1;
};

/// Plays forty seconds.
class TreeSimulation
{
public:
    explicit TreeSimulation(const Scenario &played)
        : scenario(played)
    {
        for (int i = 0; i < 2 * played.entries; ++i) {
            Target engine;
            engine.failureDomain = std::to_string(i % (domainsOfRegion * regions));
            engine.region = std::to_string(i % regions);
            engine.address = std::to_string(100'000 + i);
            this->engines.push_back(engine);
        }
        for (const Target &engine : this->engines) {
            this->engineList.push_back(&engine);
        }
        for (int i = 0; i < played.entries; ++i) {
            Entry &entry = this->entries.emplace_back();
            entry.location
                = { std::to_string(i % (domainsOfRegion * regions)), std::to_string(i % regions) };
            this->startEntry(entry);
        }
    }

    Outcome run()
    {
        Outcome outcome;
        for (TimePoint now = start; now < start + seconds(40); now += step) {
            this->disturb(now);
            this->sendReports(now);
            this->sendSummaries(now);
            this->deliver(now);
            this->sendRequests(now);
            outcome.excess = std::max(outcome.excess, this->usageInWindow(now) / this->accepted());
        }
        for (const auto &[address, node] : this->nodes) {
            outcome.busiestNode = std::max(outcome.busiestNode, node.received);
        }
        outcome.linkDatagrams = this->linkDatagrams;
        if (this->scenario.allKilledAt) {
            outcome.servedAfterKill = this->admittedAfterKill / this->scenario.rate;
        }
        outcome.admittedShare
            = this->admittedLate / std::min(this->requestedLate, this->scenario.rate * 10);
        return outcome;
    }

private:
    struct Entry
    {
        EntryLocation location;
        std::uint64_t id = 0;
        ExchangePlace place;
        QuotaLimiter limiter{ {} };
    };
    struct Node
    {
        std::uint64_t id = 0;
        std::string region;
        std::string domain;
        std::unique_ptr<ExchangeNode> decisions;
        std::vector<std::string> holders; ///< As the entries' reports name them.
        std::vector<std::string> peers;
        bool isHolder = false;
        TimePoint sentAt;
        std::size_t received = 0; ///< In the last second.
    };
    struct Datagram
    {
        TimePoint arrival;
        std::function<void(TimePoint now)> handle;
        bool operator>(const Datagram &other) const { return this->arrival > other.arrival; }
    };

    double accepted() const { return this->scenario.rate * 9 * 1.1 + this->scenario.slack; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void startEntry(Entry &entry)
    {
        entry.id = ++this->lastId;
        entry.place = placeEntry(
            this->engineList, entry.location, entry.id, groupCount(this->scenario.entries));
        entry.limiter = QuotaLimiter({ window, this->scenario.slack, 0.1 });
    }

    Node &nodeAt(const std::string &address, TimePoint now)
    {
        Node &node = this->nodes[address];
        if (!node.decisions) {
            const auto engine = std::find_if(this->engines.begin(), this->engines.end(),
                [&address](const Target &target) { return target.address == address; });
            node.region = engine->region;
            node.domain = engine->failureDomain;
            this->startNode(node, now);
        }
        return node;
    }

    void startNode(Node &node, TimePoint now)
    {
        node.id = ++this->lastId;
        node.decisions = std::make_unique<ExchangeNode>(node.region, node.id, window, now);
    }

    void send(const std::string &fromRegion, const std::string &toRegion, TimePoint now,
        const std::function<void(TimePoint now)> &handle)
    {
        if (fromRegion != toRegion) {
            this->linkDatagrams += now >= start + seconds(39) ? 1 : 0;
            const auto &cutAt = this->scenario.linkCutAt;
            if (cutAt && now >= start + *cutAt
                && now < start + *cutAt + this->scenario.linkCutTime) {
                return;
            }
        }
        if (this->uniform() < this->scenario.lostShare) {
            return;
        }
        const int copies = this->uniform() < this->scenario.doubledShare ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            this->underway.push({ now
                    + std::chrono::duration_cast<Duration>(
                        this->scenario.maximumDelay * this->uniform()),
                handle });
        }
    }

    void report(Entry &entry, TimePoint now)
    {
        const UsageByOrganisation usage = entry.limiter.ownUsage(now);
        for (const std::string &address : entry.place.collectors) {
            Node &node = this->nodeAt(address, now);
            node.holders = entry.place.regionHolders;
            node.peers = entry.place.otherHolders;
            this->send(entry.location.region, node.region, now,
                [this, &entry, &node, usage, id = entry.id, group = entry.place.group](
                    TimePoint arrival) {
                    this->count(node, arrival);
                    node.decisions->addReport(group, id, usage, arrival);
                    const auto answer = node.decisions->reportFor(group, id, arrival);
                    if (!answer) {
                        return;
                    }
                    this->send(node.region, entry.location.region, arrival,
                        [&entry, id, answer = *answer](TimePoint answeredAt) {
                            if (entry.id == id) {
                                entry.limiter.applyReport(answer, answeredAt);
                            }
                        });
                });
        }
    }

    void count(Node &node, TimePoint now) { node.received += now >= start + seconds(39) ? 1 : 0; }

    void sendReports(TimePoint now)
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            const Duration offset = reportInterval * i / this->entries.size() / step * step;
            if ((now - start - offset) % reportInterval == Duration::zero()) {
                this->report(this->entries[i], now);
            }
        }
    }

    /// To holders, which answer, and between the holders of different regions.
    void sendSummaries(TimePoint now)
    {
        std::vector<std::string> addresses;
        addresses.reserve(this->nodes.size());
        for (const auto &[address, node] : this->nodes) {
            addresses.push_back(address);
        }
        for (const std::string &address : addresses) {
            Node &node = this->nodes[address];
            if (now - node.sentAt < node.decisions->interval(now)) {
                continue;
            }
            node.sentAt = now;
            for (const std::string &holderAddress : node.holders) {
                Node &holder = this->nodeAt(holderAddress, now);
                holder.isHolder = true;
                holder.peers = node.peers;
                this->send(node.region, holder.region, now,
                    [this, &node, &holder,
                        message = node.decisions->messageToHolder(holder.id, now)](
                        TimePoint arrival) {
                        this->count(holder, arrival);
                        holder.decisions->receive(message, arrival);
                        this->send(holder.region, node.region, arrival,
                            [this, &node,
                                answer = holder.decisions->messageToCollector(
                                    message.sender, arrival)](TimePoint answeredAt) {
                                this->count(node, answeredAt);
                                node.decisions->receive(answer, answeredAt);
                            });
                    });
            }
            for (const std::string &peerAddress :
                node.isHolder ? node.peers : std::vector<std::string>()) {
                Node &peer = this->nodeAt(peerAddress, now);
                this->send(node.region, peer.region, now,
                    [this, &peer, message = node.decisions->messageToPeer(peer.id, now)](
                        TimePoint arrival) {
                        this->count(peer, arrival);
                        peer.decisions->receive(message, arrival);
                    });
            }
        }
    }

    void deliver(TimePoint now)
    {
        while (!this->underway.empty() && this->underway.top().arrival <= now) {
            const Datagram datagram = this->underway.top();
            this->underway.pop();
            datagram.handle(now);
        }
    }

    void disturb(TimePoint now)
    {
        const auto &every = this->scenario.entryKilledEvery;
        if (every && now != start && (now - start) % *every == Duration::zero()) {
            Entry &killed = this->entries[this->kills++ * 7 % this->entries.size()];
            this->startEntry(killed);
            this->report(killed, now);
        }
        const bool holdersDie
            = this->scenario.holdersKilledAt && now == start + *this->scenario.holdersKilledAt;
        const bool domainDies
            = this->scenario.domainKilledAt && now == start + *this->scenario.domainKilledAt;
        const bool allDie
            = this->scenario.allKilledAt && now == start + *this->scenario.allKilledAt;
        for (auto &[address, node] : this->nodes) {
            if (allDie || (holdersDie && node.isHolder) || (domainDies && node.domain == "1")) {
                this->startNode(node, now);
            }
        }
        for (Entry &entry : this->entries) {
            if (allDie || (domainDies && entry.location.failureDomain == "1")) {
                this->startEntry(entry);
            }
        }
    }

    double usageInWindow(TimePoint now)
    {
        while (!this->admitted.empty() && now - this->admitted.front().first > window) {
            this->inWindow -= this->admitted.front().second;
            this->admitted.pop_front();
        }
        return this->inWindow;
    }

    void sendRequests(TimePoint now)
    {
        OrganisationAccount organisation;
        organisation.name = "hot";
        organisation.countsTokens = true;
        organisation.ratePerSecond = organisation.burst = this->scenario.rate;
        const double load
            = now < start + seconds(20) ? this->scenario.load : this->scenario.laterLoad;
        const bool late = now >= start + seconds(30);
        std::exponential_distribution<double> cost(1 / this->scenario.meanCost);
        std::uniform_int_distribution<std::size_t> anyEntry(0, this->entries.size() - 1);
        this->pending += this->scenario.rate * load * std::chrono::duration<double>(step).count();
        while (this->pending > 0) {
            const double tokens = cost(this->random);
            this->pending -= tokens;
            this->requestedLate += late ? tokens : 0;
            Entry &entry = this->entries[anyEntry(this->random)];
            if (entry.limiter.admit(organisation, tokens, now)) {
                continue;
            }
            if (entry.limiter.isReportDue()) {
                this->report(entry, now);
            }
            this->admitted.emplace_back(now, tokens);
            this->inWindow += tokens;
            this->admittedLate += late ? tokens : 0;
            const auto &killedAt = this->scenario.allKilledAt;
            const bool afterKill
                = killedAt && now >= start + *killedAt && now < start + *killedAt + seconds(2);
            this->admittedAfterKill += afterKill ? tokens : 0;
        }
    }

    Scenario scenario;
    std::vector<Target> engines;
    std::vector<const Target *> engineList;
    std::deque<Entry> entries;
    std::map<std::string, Node> nodes;
    std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> underway;
    std::deque<std::pair<TimePoint, double>> admitted; ///< In the window.
    double inWindow = 0;
    double pending = 0; ///< Tokens that are to be requested.
    double requestedLate = 0;
    double admittedLate = 0;
    double admittedAfterKill = 0;
    std::uint64_t lastId = 0;
    std::size_t kills = 0;
    std::size_t linkDatagrams = 0;
    std::mt19937_64 random{ this->scenario.seed };
};

struct Case
{
    const char *name;
    void (*change)(Scenario &);
    double minimumAdmitted; ///< Share of what is requested within the quota.
};

class TreeQuota : public testing::TestWithParam<Case>
{
};

/// Guards against usage that is not counted on its way through groups and holders.
TEST_P(TreeQuota, staysWithinWhatTheOperatorAccepts)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        Scenario scenario;
        GetParam().change(scenario);
        scenario.seed = seed;
        const Outcome outcome = TreeSimulation(scenario).run();
        EXPECT_LE(outcome.excess, 1) << "seed " << seed;
        EXPECT_GE(outcome.admittedShare, GetParam().minimumAdmitted) << "seed " << seed;
        EXPECT_LE(outcome.busiestNode, 400) << "seed " << seed;
        EXPECT_LE(outcome.linkDatagrams, 200) << "seed " << seed;
        EXPECT_GE(outcome.servedAfterKill, 0.5) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Deployments, TreeQuota,
    testing::Values(Case{ "withinTheQuota", [](Scenario &) {}, 0.95 },
        Case{ "jump", [](Scenario &s) { s.laterLoad = 7.5; }, 0.9 },
        Case{ "entriesKilled",
            [](Scenario &s) { s.laterLoad = 5, s.entryKilledEvery = milliseconds(500); }, 0.85 },
        Case{ "holdersKilled",
            [](Scenario &s) { s.laterLoad = 5, s.holdersKilledAt = seconds(25); }, 0.85 },
        Case{ "domainKilled",
            [](Scenario &s) { s.laterLoad = 5, s.domainKilledAt = milliseconds(20'600); }, 0.7 },
        Case{ "allKilled",
            [](Scenario &s) { s.laterLoad = 5, s.allKilledAt = milliseconds(27'000); }, 0.7 },
        Case{ "linkCut", [](Scenario &s) { s.laterLoad = 5, s.linkCutAt = seconds(24); }, 0.7 },
        Case{ "linkCutForLong",
            [](Scenario &s) {
                s.laterLoad = 5, s.linkCutAt = seconds(21), s.linkCutTime = seconds(12);
            },
            0.7 }),
    [](const testing::TestParamInfo<Case> &parameter) { return parameter.param.name; });

} // namespace
} // namespace wigeonsill
