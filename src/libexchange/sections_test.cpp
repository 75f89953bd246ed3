/// \file sections_test.cpp
/// Tests of sections under loss, repeats, reordering, restarts and splits.
#include "wigeonsill/exchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonsill {
namespace {

constexpr Duration window = seconds(8);
const TimePoint start{ seconds(100) };

SectionUpdate makeUpdate(
    const std::string &section, std::uint64_t origin, double usage, Duration coverage, int entries)
{
    SectionPublisher publisher(section, origin);
    publisher.set({ { "hot", { usage, 1 } } }, entries, 0, coverage);
    return publisher.updateSince(0);
}

/// Guards against an organisation that keeps an old amount because an update was lost, came twice
/// or came late.
RC_GTEST_PROP(Sections, areExactAfterLossRepeatsAndReordering, ())
{
    SectionPublisher publisher("g", 1);
    SectionStore store(window, true);
    std::vector<SectionUpdate> underway;
    SectionUsage amounts;
    TimePoint now = start;
    std::uint64_t acknowledged = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const auto name = std::to_string(*rc::gen::inRange(0, 6));
        if (*rc::gen::inRange(0, 4) == 0) {
            amounts.erase(name);
        } else {
            amounts[name] = { static_cast<double>(*rc::gen::inRange(1, 1'000)), 0 };
        }
        publisher.set(amounts, 3, 0, window);
        underway.push_back(publisher.updateSince(acknowledged));
        const int deliveries = *rc::gen::inRange(0, 3);
        for (int k = 0; k < deliveries; ++k) {
            const auto at = *rc::gen::inRange<std::size_t>(0, underway.size());
            store.adopt(underway[at], now);
        }
        if (*rc::gen::inRange(0, 2) == 0) { // Else the acknowledgement is lost.
            acknowledged = std::max(acknowledged, store.acknowledged("g", 1));
        }
        now += milliseconds(10);
    }
    store.adopt(publisher.updateSince(acknowledged), now);
    RC_ASSERT(store.sum("g", now).amounts == amounts);
}

/// Guards against an organisation that left and stays with a recipient that was away for long.
TEST(Sections, recipientFarBehindGetsAllAmounts)
{
    SectionPublisher publisher("g", 1);
    SectionStore store(window, true);
    publisher.set({ { "gone", { 5, 0 } }, { "hot", { 7, 0 } } }, 1, 0, window);
    store.adopt(publisher.updateSince(0), start);
    for (int i = 0; i < 2'000; ++i) {
        publisher.set({ { "hot", { 7, 0 } } }, 1, 0, window);
    }
    const SectionUpdate update = publisher.updateSince(store.acknowledged("g", 1));
    EXPECT_EQ(update.since, 0);
    ASSERT_TRUE(store.adopt(update, start + seconds(1)));
    EXPECT_EQ(store.sum("g", start + seconds(1)).amounts, (SectionUsage{ { "hot", { 7, 0 } } }));
}

TEST(Sections, unchangedOrganisationsAreNotSent)
{
    SectionPublisher publisher("g", 1);
    SectionUsage amounts;
    for (int i = 0; i < 1'000; ++i) {
        amounts[std::to_string(i)] = { 10, 100 };
    }
    publisher.set(amounts, 1, 0, window);
    amounts["7"] = { 11, 100 };
    amounts["8"] = { 10, 98 };
    publisher.set(amounts, 1, 0, window);
    EXPECT_EQ(publisher.updateSince(1).amounts, (SectionUsage{ { "7", { 11, 100 } } }));
}

TEST(Sections, highestOfTwoCollectorsCounts)
{
    SectionStore store(window, true);
    store.adopt(makeUpdate("g", 1, 100, window, 10), start);
    store.adopt(makeUpdate("g", 2, 130, window, 10), start);
    const SectionSum sum = store.sum("g", start);
    EXPECT_EQ(sum.amounts.at("hot").usage, 130);
    EXPECT_EQ(sum.entries, 10);
}

/// Guards against the usage of killed entries being lost with both collectors of their group.
TEST(Sections, whatBothKilledCollectorsKnewCountsForAWindow)
{
    SectionStore store(window, true);
    store.adopt(makeUpdate("g", 1, 100, window, 10), start);
    store.adopt(makeUpdate("g", 2, 100, window, 10), start);
    TimePoint now = start + seconds(2);
    store.adopt(makeUpdate("g", 3, 30, seconds(1), 10), now);
    EXPECT_EQ(store.sum("g", now).amounts.at("hot").usage, 130);
    EXPECT_EQ(store.sum("g", now).entries, 10);
    EXPECT_GE(store.sum("g", now).coverage, window);
    now = start + window + seconds(2);
    store.adopt(makeUpdate("g", 4, 30, window, 10), now);
    EXPECT_EQ(store.sum("g", now).amounts.at("hot").usage, 30);
}

TEST(Sections, oneKilledCollectorIsCoveredByTheOther)
{
    SectionStore store(window, true);
    store.adopt(makeUpdate("g", 1, 100, window, 10), start);
    const TimePoint now = start + seconds(2);
    store.adopt(makeUpdate("g", 2, 60, window + seconds(2), 10), now);
    EXPECT_EQ(store.sum("g", now).amounts.at("hot").usage, 60);
}

/// Guards against both sides of a split using the whole quota.
TEST(Sections, silentSectionKeepsItsUsageAndEntries)
{
    SectionStore store(window, true);
    store.adopt(makeUpdate("a", 1, 100, window, 20), start);
    TimePoint now = start + seconds(2);
    store.adopt(makeUpdate("b", 2, 60, window, 10), now);
    SectionSum sum = store.sum({}, now);
    EXPECT_EQ(sum.amounts.at("hot").usage, 160);
    EXPECT_EQ(sum.amounts.at("hot").demand, 1) << "of the one that is heard";
    EXPECT_EQ(sum.entries, 10);
    EXPECT_EQ(sum.silentEntries, 20);
    sum = store.sum({}, start + seconds(31));
    EXPECT_EQ(sum.silentEntries, 10) << "the first one's entries count as killed";
}

TEST(Sections, unknownToACollectorIsWhatItHasNotStated)
{
    SectionStore store(window, true);
    store.adopt(makeUpdate("a", 1, 100, window, 20), start);
    store.adopt(makeUpdate("a", 2, 104, window, 20), start);
    store.adopt(makeUpdate("b", 3, 60, window, 10), start);
    const SectionSum total = store.sum({}, start);
    const SectionSum unknown = store.unknownTo("a", 1, total, start);
    EXPECT_EQ(unknown.amounts.at("hot").usage, 64) << "4 of its own group, which it missed";
    EXPECT_EQ(unknown.amounts.at("hot").demand, 1);
    EXPECT_EQ(unknown.entries, 10);
}

} // namespace
} // namespace wigeonsill
