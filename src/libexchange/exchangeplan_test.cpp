/// \file exchangeplan_test.cpp
/// Tests of who reports to whom, and when entries move.
#include "wigeonsill/exchange.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const TimePoint start{ seconds(100) };

std::vector<Target> makeEngines(int count)
{
    std::vector<Target> engines;
    for (int i = 0; i < count; ++i) {
        Target engine;
        engine.address = std::to_string(1'000 + i);
        engine.failureDomain = std::to_string(i % 6);
        engine.region = std::to_string(i % 2);
        engines.push_back(engine);
    }
    return engines;
}

std::vector<const Target *> pointersTo(const std::vector<Target> &engines)
{
    std::vector<const Target *> result;
    result.reserve(engines.size());
    for (const Target &engine : engines) {
        result.push_back(&engine);
    }
    return result;
}

/// Guards against a change of anything in deployments of up to 40 entries.
TEST(ExchangePlan, fewEntriesReportToTheFirstTwoAddresses)
{
    EXPECT_EQ(groupCount(40), 1);
    const auto engines = makeEngines(60);
    const ExchangePlace place = placeEntry(pointersTo(engines), { "5", "1" }, 7, 1);
    EXPECT_TRUE(place.group.empty());
    EXPECT_TRUE(place.regionHolders.empty());
    EXPECT_EQ(place.collectors, (std::vector<std::string>{ "1000", "1001" }));
}

TEST(ExchangePlan, manyEntriesReportWithinTheirFailureDomainAndNotToHolders)
{
    const auto engines = makeEngines(600);
    std::map<std::string, int> entriesOfGroup;
    for (std::uint64_t entry = 1; entry <= 300; ++entry) {
        const EntryLocation location{ std::to_string(entry % 6), std::to_string(entry % 2) };
        const ExchangePlace place
            = placeEntry(pointersTo(engines), location, entry, groupCount(300));
        ++entriesOfGroup[place.group];
        ASSERT_EQ(place.collectors.size(), 2);
        EXPECT_NE(place.collectors[0], place.collectors[1]);
        EXPECT_EQ(place.otherHolders.size(), 2);
        for (const std::string &address : place.collectors) {
            EXPECT_EQ(std::to_string((std::stoi(address) - 1'000) % 6), location.failureDomain);
            EXPECT_EQ(
                std::count(place.regionHolders.begin(), place.regionHolders.end(), address), 0);
        }
    }
    EXPECT_EQ(entriesOfGroup.size(), 18);
    for (const auto &[group, entries] : entriesOfGroup) {
        EXPECT_LE(entries, 30) << group;
    }
}

TEST(ExchangePlan, entryWithoutEnginesInItsDomainFindsCollectors)
{
    const auto engines = makeEngines(3);
    EXPECT_EQ(placeEntry(pointersTo(engines), { "9", "9" }, 7, 16).collectors.size(), 2);
    EXPECT_EQ(placeEntry({}, { "9", "9" }, 7, 16).collectors.size(), 0);
}

/// Guards against moves to and fro while killed entries still count beside their successors.
TEST(FormSwitch, changesOnlyWhatLasts)
{
    FormSwitch form;
    EXPECT_EQ(form.update(40, start), 1);
    EXPECT_EQ(form.update(60, start + seconds(1)), 1);
    EXPECT_EQ(form.update(40, start + seconds(4)), 1) << "counted twice for three seconds";
    EXPECT_EQ(form.update(60, start + seconds(5)), 1);
    EXPECT_EQ(form.update(60, start + seconds(11)), 4);
    EXPECT_EQ(form.update(36, start + seconds(20)), 4);
    EXPECT_EQ(form.update(36, start + seconds(30)), 4) << "within the hysteresis";
    EXPECT_EQ(form.update(30, start + seconds(31)), 4);
    EXPECT_EQ(form.update(30, start + seconds(37)), 1);
}

TEST(ExchangeInterval, boundsTheMessagesOfANode)
{
    EXPECT_EQ(exchangeInterval(2), milliseconds(100));
    EXPECT_EQ(exchangeInterval(40), milliseconds(200));
    EXPECT_EQ(exchangeInterval(400), milliseconds(250));
}

} // namespace
} // namespace wigeonsill
