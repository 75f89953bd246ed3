/// \file exchangemembership_test.cpp
/// Test of the moves between the two holders of everything and groups, while messages are lost.
#include "wigeonsill/exchange.h"

#include <gtest/gtest.h>

#include <random>

namespace wigeonsill {
namespace {

constexpr Duration window = seconds(8);
constexpr Duration step = milliseconds(50);
constexpr Duration reportInterval = milliseconds(250);
constexpr double rate = 10; ///< Admitted at each entry in a second.
const TimePoint start{ seconds(100) };

class MovingEntries
{
public:
    MovingEntries()
    {
        for (int i = 0; i < 24; ++i) {
            Target &engine = this->engines.emplace_back();
            engine.address = std::to_string(1'000 + i);
            engine.failureDomain = std::to_string(i % 4);
            engine.region = std::to_string(i % 2);
        }
        for (const Target &engine : this->engines) {
            this->engineList.push_back(&engine);
            this->nodes.try_emplace(
                engine.address, engine.region, std::stoull(engine.address), window, start);
        }
    }

    void setEntries(std::size_t count, TimePoint now)
    {
        for (; this->entries.size() > count; this->entries.pop_back()) { }
        while (this->entries.size() < count) {
            const std::size_t i = ++this->lastEntry;
            this->entries.push_back(
                { 1'000'000 + i, { std::to_string(i % 4), std::to_string(i % 2) }, now,
                    ExchangeMembership(window), {}, {} });
        }
    }

    void play(TimePoint now)
    {
        for (Entry &entry : this->entries) {
            if ((now - start) % reportInterval == step * (entry.id % 5)) {
                this->report(entry, now);
            }
        }
        for (auto &[address, node] : this->nodes) {
            if (!node.isCollector() || this->groupedReports == 0) {
                continue;
            }
            for (const auto &holderAddress : this->holders(this->regionOf(address))) {
                ExchangeNode &holder = this->nodes.at(holderAddress);
                const auto message = node.messageToHolder(std::stoull(holderAddress), now);
                if (this->arrives()) {
                    holder.receive(message, now);
                    const auto answer = holder.messageToCollector(message.sender, now);
                    if (this->arrives()) {
                        node.receive(answer, now);
                    }
                }
            }
        }
        for (const std::string region : { "0", "1" }) {
            for (const auto &from : this->holders(region)) {
                for (const auto &to : this->holders(region == "0" ? "1" : "0")) {
                    const auto message = this->nodes.at(from).messageToPeer(std::stoull(to), now);
                    if (this->groupedReports > 0 && this->arrives()) {
                        this->nodes.at(to).receive(message, now);
                    }
                }
            }
        }
    }

    /// Least and most that an entry knows of the others, relative to what they admitted.
    std::pair<double, double> knowledge(TimePoint now) const
    {
        double all = 0;
        for (const Entry &entry : this->entries) {
            all += inWindow(entry, now);
        }
        std::pair<double, double> result{ 1e9, 0 };
        for (const Entry &entry : this->entries) {
            if (now - entry.startedAt < seconds(2)) {
                continue;
            }
            // As QuotaLimiter: the highest of the answers that came with the last one.
            TimePoint last;
            for (const auto &[node, answer] : entry.answers) {
                last = std::max(last, answer.first);
            }
            double known = 0;
            for (const auto &[node, answer] : entry.answers) {
                if (last - answer.first <= milliseconds(500)) {
                    known = std::max(known, answer.second);
                }
            }
            const double others = all - inWindow(entry, now);
            result.first = std::min(result.first, known / others);
            result.second = std::max(result.second, known / others);
        }
        return result;
    }

    /// Entries that report to holders, and to groups.
    std::pair<int, int> forms(TimePoint now)
    {
        std::pair<int, int> result;
        for (Entry &entry : this->entries) {
            const auto destinations = entry.membership.destinations(now);
            result.first += destinations.holders ? 1 : 0;
            result.second += destinations.group ? 1 : 0;
        }
        return result;
    }
    int groupedReports = 0;

private:
    struct Entry
    {
        std::uint64_t id;
        EntryLocation location;
        TimePoint startedAt;
        ExchangeMembership membership;
        std::string group;
        std::map<std::string, std::pair<TimePoint, double>> answers; ///< By node.
    };

    bool arrives() { return this->random() % 20 != 0; }
    std::string regionOf(const std::string &address) const
    {
        return std::to_string((std::stoi(address) - 1'000) % 2);
    }
    std::vector<std::string> holders(const std::string &region) const
    {
        return placeEntry(this->engineList, { region, region }, 1, 4).regionHolders;
    }
    static double inWindow(const Entry &entry, TimePoint now)
    {
        const Duration admitting = std::min(now - entry.startedAt, window);
        return rate * std::chrono::duration<double>(admitting).count();
    }

    void report(Entry &entry, TimePoint now)
    {
        const auto destinations = entry.membership.destinations(now);
        const double total = rate * std::chrono::duration<double>(now - entry.startedAt).count();
        const UsageByOrganisation usage{ { "hot", { inWindow(entry, now), total, rate } } };
        if (destinations.holders) {
            for (const auto &address :
                placeEntry(this->engineList, entry.location, entry.id, 1).collectors) {
                this->exchange(entry, address, {}, usage, destinations.countedInGroup, now);
            }
        }
        if (destinations.group) {
            ++this->groupedReports;
            const ExchangePlace place
                = placeEntry(this->engineList, entry.location, entry.id, destinations.groups);
            for (const auto &address : place.collectors) {
                this->exchange(entry, address, place.group, usage, destinations.leavesGroup, now);
            }
        }
    }

    void exchange(Entry &entry, const std::string &address, const std::string &group,
        const UsageByOrganisation &usage, bool leaves, TimePoint now)
    {
        if (!this->arrives()) {
            return;
        }
        ExchangeNode &node = this->nodes.at(address);
        if (leaves) {
            node.removeEntry(group, entry.id);
        } else {
            node.addReport(group, entry.id, usage, now);
        }
        const auto answer = node.reportFor(group, entry.id, now);
        if (!answer || !this->arrives()) {
            return;
        }
        const auto known = answer->othersUsage.find("hot");
        entry.answers[address + group]
            = { now, known == answer->othersUsage.end() ? 0 : known->second };
        if (group.empty()) {
            entry.membership.recordHolderAnswer(answer->sharingEntries, now);
        } else {
            entry.membership.recordGroupAnswer(answer->sharingEntries, now);
        }
    }

    std::vector<Target> engines;
    std::vector<const Target *> engineList;
    std::map<std::string, ExchangeNode> nodes;
    std::vector<Entry> entries;
    std::size_t lastEntry = 0;
    std::mt19937_64 random{ 7 };
};

/// Guards against usage that is in no section, or in two for long, while entries change the form
/// at different moments.
TEST(ExchangeMembership, nothingIsOmittedWhileEntriesMove)
{
    MovingEntries play;
    TimePoint now = start;
    play.setEntries(36, now);
    double least = 1e9;
    double most = 0;
    for (; now < start + seconds(80); now += step) {
        if (now == start + seconds(15)) {
            EXPECT_EQ(play.groupedReports, 0) << "36 entries use the two holders";
            play.setEntries(60, now);
        }
        if (now == start + seconds(45)) {
            EXPECT_EQ(play.forms(now), (std::pair(0, 60))) << "60 entries use groups";
            play.setEntries(26, now);
        }
        play.play(now);
        // What the killed entries admitted is not in the truth, but counts until it is 8 s old.
        const bool isMeasured
            = now > start + seconds(10) && (now < start + seconds(45) || now > start + seconds(56));
        if (isMeasured) {
            const auto [low, high] = play.knowledge(now);
            least = std::min(least, low);
            most = std::max(most, high);
            if (now - start > seconds(75)
                || (now - start > seconds(38) && now - start < seconds(45))) {
                EXPECT_LE(high, 1.1) << "at " << (now - start).count() / 1'000 << " ms";
            }
        }
    }
    EXPECT_EQ(play.forms(now), (std::pair(26, 0))) << "26 entries use the two holders again";
    // Two rounds of reports and three hops are some 6 % of a window.
    EXPECT_GE(least, 0.9);
    // A collector that hears of an entry for the first time counts what it admits in the first
    // window beside what was in its window.
    EXPECT_LE(most, 2.3);
}

} // namespace
} // namespace wigeonsill
