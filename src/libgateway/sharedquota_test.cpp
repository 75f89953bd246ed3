/// \file sharedquota_test.cpp
/// Tests of quotas that hundreds of entries share by reports that are late, lost or doubled.
#include "wigeonsill/gateway.h"
#include "wigeonsill/outcomes.h"

#include <gtest/gtest.h>

#include <numeric>
#include <queue>

namespace wigeonsill {
namespace {

constexpr Duration window = seconds(8);

/// An organisation and its load as on the users' large deployment.
struct Scenario
{
    int entries = 103;
    double ratePerSecond = 326'000;
    double slack = 140'000; ///< The operator's.
    double meanCost = 7'500; ///< Exponentially distributed.
    double maximumCost = 1e9;
    double load = 0.9; ///< Requested per second, relative to the quota.
    double laterLoad = 0.9; ///< After ten seconds.
    double laterRate = 326'000; ///< Quota after ten seconds.
    Duration maximumDelay = milliseconds(80); ///< Of a datagram; uniformly distributed.
    double lostShare = 0.05;
    double doubledShare = 0.05;
    /// Refused callers return once after this delay; empty if they do not return.
    std::function<Duration(double uniformRandom)> returnDelay;
    /// The later load lasts until then.
    Duration laterLoadEnd = seconds(30);
    /// Time at which one of the two collectors is killed and another one takes its place.
    std::optional<Duration> collectorKilledAt;
    /// For these two seconds, half of the entries reach no collector.
    std::optional<Duration> cutAt;
    /// Interval at which an entry is killed, one after another, and started again at once.
    std::optional<Duration> entryKilledEvery;
    /// Time at which a third of the entries are killed and started again at once.
    std::optional<Duration> thirdKilledAt;
    unsigned seed = 7;
};

struct Outcome
{
    double excess = 0; ///< Most admitted in a window, relative to what the operator accepts.
    double admittedShare = 0; ///< Of what was requested within the quota, in the last ten seconds.
    double refusedShare = 0; ///< Of all callers, those refused for good.
};

/// Plays thirty seconds.
class QuotaSimulation
{
public:
    explicit QuotaSimulation(const Scenario &played)
        : scenario(played)
        , limiters(static_cast<std::size_t>(played.entries), makeLimiter(played))
        , incarnations(this->limiters.size())
        , collectors(2, UsageCollector(window, start - seconds(20)))
    {
        std::iota(this->incarnations.begin(), this->incarnations.end(), 0);
    }

    Outcome run()
    {
        Outcome outcome;
        for (TimePoint now = start; now < start + seconds(30); now += step) {
            OrganisationAccount organisation;
            organisation.name = "hot";
            organisation.countsTokens = true;
            organisation.ratePerSecond
                = now >= start + changeAt ? this->scenario.laterRate : this->scenario.ratePerSecond;
            organisation.burst = organisation.ratePerSecond;
            this->killEntries(now);
            this->exchangeReports(now);
            this->sendRequests(organisation, now);
            outcome.excess = std::max(outcome.excess, this->usageInWindow(now) / accepted(now));
        }
        const double quota = this->scenario.laterRate * 10;
        outcome.admittedShare = this->admittedLate / std::min(this->requestedLate, quota);
        outcome.refusedShare = static_cast<double>(this->refused) / this->callers;
        return outcome;
    }

private:
    static constexpr TimePoint start{ seconds(100) };
    static constexpr Duration step = milliseconds(5);
    static constexpr Duration changeAt = seconds(10); ///< To the later load and quota.
    static constexpr Duration lateFrom = seconds(20);
    static constexpr double excess = 0.1;
    static constexpr Duration reportInterval = milliseconds(250);

    struct Datagram
    {
        TimePoint arrival;
        std::size_t entry = 0;
        std::uint64_t incarnation = 0; ///< Of the entry.
        std::size_t collector = 0;
        std::optional<UsageByOrganisation> usage; ///< Empty in a reply.
        UsageReport report;
        bool operator>(const Datagram &other) const { return this->arrival > other.arrival; }
    };

    static double toSeconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }
    /// Most that the operator accepts in the window before now.
    double accepted(TimePoint now) const
    {
        // A lowered quota binds one window after it was lowered.
        const double rate = now < start + changeAt + window
            ? std::max(this->scenario.ratePerSecond, this->scenario.laterRate)
            : this->scenario.laterRate;
        return (rate * toSeconds(window) + rate) * (1 + excess) + this->scenario.slack;
    }

    double usageInWindow(TimePoint now)
    {
        while (!this->admitted.empty() && now - this->admitted.front().first > window) {
            this->inWindow -= this->admitted.front().second;
            this->admitted.pop_front();
        }
        return this->inWindow;
    }

    bool tryAdmit(const OrganisationAccount &organisation, double tokens, TimePoint now)
    {
        std::uniform_int_distribution<std::size_t> anyEntry(0, this->limiters.size() - 1);
        const std::size_t entry = anyEntry(this->random);
        if (this->limiters[entry].admit(organisation, tokens, now)) {
            return false;
        }
        if (this->limiters[entry].isReportDue()) {
            this->report(entry, now);
        }
        this->admitted.emplace_back(now, tokens);
        this->inWindow += tokens;
        this->admittedLate += now >= start + lateFrom ? tokens : 0;
        return true;
    }

    void sendRequests(const OrganisationAccount &organisation, TimePoint now)
    {
        for (; !this->returning.empty() && this->returning.begin()->first <= now;
             this->returning.erase(this->returning.begin())) {
            const bool served = this->tryAdmit(organisation, this->returning.begin()->second, now);
            this->refused += served ? 0 : 1;
        }
        const bool raised = now >= start + changeAt && now < start + this->scenario.laterLoadEnd;
        const double load = raised ? this->scenario.laterLoad : this->scenario.load;
        std::exponential_distribution<double> cost(1 / this->scenario.meanCost);
        this->pending += this->scenario.ratePerSecond * load * toSeconds(step);
        while (this->pending > 0) {
            const double tokens = std::min(cost(this->random), this->scenario.maximumCost);
            this->pending -= tokens;
            ++this->callers;
            this->requestedLate += now >= start + lateFrom ? tokens : 0;
            if (this->tryAdmit(organisation, tokens, now)) {
                continue;
            }
            if (this->scenario.returnDelay) {
                this->returning.emplace(now + this->scenario.returnDelay(this->uniform()), tokens);
            } else {
                ++this->refused;
            }
        }
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void send(Datagram datagram, TimePoint now)
    {
        const bool cut = this->scenario.cutAt && datagram.entry % 2 == 0
            && now >= start + *this->scenario.cutAt
            && now < start + *this->scenario.cutAt + seconds(2);
        if (cut || this->uniform() < this->scenario.lostShare) {
            return;
        }
        const int copies = this->uniform() < this->scenario.doubledShare ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            datagram.arrival = now
                + std::chrono::duration_cast<Duration>(
                    this->scenario.maximumDelay * this->uniform());
            this->underway.push(datagram);
        }
    }

    static QuotaLimiter makeLimiter(const Scenario &played)
    {
        return QuotaLimiter({ window, played.slack, excess });
    }

    /// Kills the entries that it is time for.
    void killEntries(TimePoint now)
    {
        if (this->scenario.entryKilledEvery && now != start
            && (now - start) % *this->scenario.entryKilledEvery == Duration::zero()) {
            this->kill(this->kills % this->limiters.size(), now);
        }
        if (this->scenario.thirdKilledAt && now == start + *this->scenario.thirdKilledAt) {
            for (std::size_t entry = 0; entry < this->limiters.size(); entry += 3) {
                this->kill(entry, now);
            }
        }
    }

    /// Kills an entry. Its successor reports at once.
    void kill(std::size_t entry, TimePoint now)
    {
        ++this->kills;
        this->limiters[entry] = makeLimiter(this->scenario);
        this->incarnations[entry] = this->limiters.size() + this->kills;
        this->report(entry, now);
    }

    void report(std::size_t entry, TimePoint now)
    {
        for (std::size_t collector = 0; collector < this->collectors.size(); ++collector) {
            this->send({ {}, entry, this->incarnations[entry], collector,
                           this->limiters[entry].ownUsage(now), {} },
                now);
        }
    }

    void exchangeReports(TimePoint now)
    {
        if (this->scenario.collectorKilledAt && now >= start + *this->scenario.collectorKilledAt) {
            this->collectors.front() = UsageCollector(window, now);
            this->scenario.collectorKilledAt.reset();
        }
        for (std::size_t entry = 0; entry < this->limiters.size(); ++entry) {
            const Duration offset = reportInterval * entry / this->limiters.size() / step * step;
            if ((now - start - offset) % reportInterval != Duration::zero()) {
                continue;
            }
            this->report(entry, now);
        }
        while (!this->underway.empty() && this->underway.top().arrival <= now) {
            Datagram datagram = this->underway.top();
            this->underway.pop();
            if (!datagram.usage) {
                if (datagram.incarnation != this->incarnations[datagram.entry]) {
                    continue;
                }
                this->limiters[datagram.entry].applyReport(datagram.report, now);
                continue;
            }
            UsageCollector &collector = this->collectors[datagram.collector];
            collector.addReport(datagram.incarnation, *datagram.usage, now);
            datagram.usage.reset();
            datagram.report = collector.reportFor(datagram.incarnation, now);
            datagram.report.collector = datagram.collector + 1;
            this->send(std::move(datagram), now);
        }
    }

    Scenario scenario;
    double pending = 0; ///< Tokens that are to be requested.
    int callers = 0;
    int refused = 0; ///< For good.
    double requestedLate = 0;
    double admittedLate = 0;
    std::deque<std::pair<TimePoint, double>> admitted; ///< In the window.
    double inWindow = 0;
    std::multimap<TimePoint, double> returning;
    std::mt19937_64 random{ this->scenario.seed };
    std::vector<QuotaLimiter> limiters;
    std::vector<std::uint64_t> incarnations; ///< Of the entries.
    std::size_t kills = 0;
    std::vector<UsageCollector> collectors;
    std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> underway;
};

struct Case
{
    const char *name;
    Scenario scenario;
    double minimumAdmitted; ///< Share of what is requested within the quota.
};

class SharedQuota : public testing::TestWithParam<Case>
{
};

TEST_P(SharedQuota, staysWithinWhatTheOperatorAccepts)
{
    const Outcome outcome = QuotaSimulation(GetParam().scenario).run();
    EXPECT_LE(outcome.excess, 1);
    EXPECT_GE(outcome.admittedShare, GetParam().minimumAdmitted);
}

/// A burst of five seconds of an organisation near its quota, whose callers have 12 s and come back
/// once. Those that return at once meet the burst again.
TEST(SharedQuota, refusedCallersAreServedAfterTheBurst)
{
    Scenario scenario;
    scenario.load = 0.6;
    scenario.laterLoad = 1.6;
    scenario.laterLoadEnd = seconds(15);
    scenario.returnDelay = [](double /*random*/) { return milliseconds(100); };
    const Outcome atOnce = QuotaSimulation(scenario).run();
    scenario.returnDelay
        = [](double random) { return callerReturnDelay(seconds(12), milliseconds(23), random); };
    const Outcome later = QuotaSimulation(scenario).run();
    EXPECT_LE(later.refusedShare, atOnce.refusedShare / 2);
    EXPECT_LE(later.excess, 1);
}

struct KillCase
{
    const char *name;
    double load;
    Duration killInterval;
};

/// Six entries, and requests of up to 0.4 of the slack, as in the soak.
class KilledEntries : public testing::TestWithParam<KillCase>
{
};

TEST_P(KilledEntries, doNotExceedASmallQuota)
{
    constexpr unsigned plays = 200;
    int exceeded = 0;
    double highest = 0;
    for (unsigned seed = 1; seed <= plays; ++seed) {
        Scenario scenario;
        scenario.entries = 6;
        scenario.ratePerSecond = scenario.laterRate = 3'200;
        scenario.slack = 4'000;
        scenario.meanCost = 840;
        scenario.maximumCost = 1'500;
        scenario.load = scenario.laterLoad = GetParam().load;
        scenario.maximumDelay = milliseconds(20);
        scenario.entryKilledEvery = GetParam().killInterval;
        scenario.seed = seed;
        const double excess = QuotaSimulation(scenario).run().excess;
        exceeded += excess > 1 ? 1 : 0;
        highest = std::max(highest, excess);
    }
    EXPECT_EQ(exceeded, 0) << "of " << plays << " plays; highest " << highest;
}

INSTANTIATE_TEST_SUITE_P(Kills, KilledEntries,
    testing::Values(KillCase{ "often", 2, milliseconds(500) }, KillCase{ "seldom", 2, seconds(2) },
        KillCase{ "oftenUnderOverload", 5, milliseconds(500) },
        KillCase{ "seldomUnderOverload", 5, seconds(2) }),
    [](const testing::TestParamInfo<KillCase> &parameter) { return parameter.param.name; });

/// A failure domain is lost while an organisation near its quota jumps to 7.5 times its load.
TEST(SharedQuota, isKeptWhenAThirdOfTheEntriesIsKilledInABurst)
{
    for (const int entries : { 30, 103 }) {
        for (const int killedAtMs : { 10'200, 10'600, 11'000 }) {
            for (unsigned seed = 1; seed <= 10; ++seed) {
                Scenario scenario;
                scenario.entries = entries;
                scenario.ratePerSecond = scenario.laterRate = 511'000;
                scenario.laterLoad = 7.5;
                scenario.thirdKilledAt = milliseconds(killedAtMs);
                scenario.seed = seed;
                EXPECT_LE(QuotaSimulation(scenario).run().excess, 1)
                    << entries << " entries, at " << killedAtMs << " ms, seed " << seed;
            }
        }
    }
}

Case makeCase(const char *name, double minimumAdmitted, void (*change)(Scenario &))
{
    Case result{ name, {}, minimumAdmitted };
    change(result.scenario);
    return result;
}

INSTANTIATE_TEST_SUITE_P(Deployments, SharedQuota,
    testing::Values(makeCase("within the quota", 0.95, [](Scenario &) {}),
        makeCase("three hundred entries", 0.95, [](Scenario &s) { s.entries = 300; }),
        makeCase("jump to 7.5 times the usual load", 0.9,
            [](Scenario &s) { s.load = 0.55, s.laterLoad = 4.2; }),
        makeCase(
            "jump close to the quota", 0.9, [](Scenario &s) { s.load = 0.98, s.laterLoad = 7.5; }),
        makeCase("jump with three hundred entries", 0.9,
            [](Scenario &s) { s.entries = 300, s.load = 0.98, s.laterLoad = 7.5; }),
        makeCase("small quota, three hundred entries", 0.85,
            [](Scenario &s) {
                s.entries = 300, s.ratePerSecond = s.laterRate = 40'000, s.laterLoad = 5;
            }),
        makeCase("quota lowered", 0.85, [](Scenario &s) { s.laterRate = 120'000; }),
        makeCase("collector killed under overload", 0.85,
            [](Scenario &s) { s.laterLoad = 5, s.collectorKilledAt = seconds(15); }),
        makeCase("half of the entries cut off under overload", 0.8,
            [](Scenario &s) { s.laterLoad = 5, s.cutAt = seconds(14); })),
    [](const testing::TestParamInfo<Case> &parameter) {
        std::string result = parameter.param.name;
        std::erase_if(result, [](char letter) { return std::isalnum(letter) == 0; });
        return result;
    });

} // namespace
} // namespace wigeonsill
