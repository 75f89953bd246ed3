/// \file storehistory_test.cpp
/// Tests of a store that comes back from an older copy.
#include "wigeonsill/directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace wigeonsill {
namespace {

constexpr TimePoint start{ seconds(100) };

Target makeTarget(const std::string &id, bool leaving = false)
{
    Target result;
    result.id = id;
    result.service = "engines";
    result.address = "10.0.0.1:" + std::to_string(8'000 + id.back());
    result.leaving = leaving;
    return result;
}

std::vector<std::string> idsOf(const TargetRecords &records)
{
    std::vector<std::string> result;
    for (const Target &target : records.list()) {
        result.push_back(target.id);
    }
    return result;
}

using Ids = std::vector<std::string>;

TEST(StoreHistory, noticesReplacementAlthoughTheRevisionWasOvertaken)
{
    StoreHistory history;
    EXPECT_EQ(history.recordHistory(1, start), HistoryChange::Same);
    history.recordRevision(500);
    // The new history has already reached revision 600 when this process asks again.
    EXPECT_EQ(history.recordHistory(2, start + seconds(1)), HistoryChange::Replaced);
    EXPECT_EQ(history.revision(), 0U) << "a revision of another history means nothing";
    EXPECT_EQ(history.recordHistory(2, start + seconds(2)), HistoryChange::Same);
}

TEST(StoreHistory, noticesTwoReplacementsInARow)
{
    StoreHistory history;
    history.recordHistory(1, start);
    EXPECT_EQ(history.recordHistory(2, start), HistoryChange::Replaced);
    EXPECT_EQ(history.recordHistory(3, start), HistoryChange::Replaced);
    EXPECT_EQ(history.recordHistory(2, start), HistoryChange::Outdated);
    EXPECT_EQ(history.history(), 3U) << "a delayed answer changes nothing";
}

TEST(StoreHistory, worksWithAStoreThatStatesNoHistory)
{
    StoreHistory history;
    EXPECT_EQ(history.recordHistory({}, start), HistoryChange::Same);
    EXPECT_EQ(history.recordHistory(4, start), HistoryChange::Same);
    EXPECT_EQ(history.recordHistory({}, start), HistoryChange::Same);
}

/// The operator revoked a key in version 8; the copy holds version 7.
TEST(StoreHistory, olderConfigurationConfirmsNothing)
{
    StoreHistory history;
    history.recordHistory(1, start);
    history.recordConfiguration(8);
    EXPECT_TRUE(history.confirmsConfiguration(start));
    history.recordHistory(2, start + seconds(10));
    EXPECT_FALSE(history.confirmsConfiguration(start + seconds(10))) << "not read yet";
    history.recordConfiguration(7);
    EXPECT_FALSE(history.confirmsConfiguration(start + seconds(60)));
    history.recordConfiguration(8); // Written again.
    EXPECT_TRUE(history.confirmsConfiguration(start + seconds(61)));
}

/// A version that was acknowledged and lost before this process saw it is written again shortly.
TEST(StoreHistory, sameConfigurationConfirmsOnlyAfterTheOperatorCouldWriteAgain)
{
    StoreHistory history;
    history.recordHistory(1, start);
    history.recordConfiguration(8);
    const TimePoint replaced = start + seconds(10);
    history.recordHistory(2, replaced);
    history.recordConfiguration(8);
    EXPECT_FALSE(history.confirmsConfiguration(replaced + milliseconds(1'900)));
    EXPECT_TRUE(history.confirmsConfiguration(replaced + seconds(2)));
    history.recordHistory(3, replaced + seconds(5));
    history.recordConfiguration(9);
    EXPECT_TRUE(history.confirmsConfiguration(replaced + seconds(5))) << "written since";
}

/// CONFIG: an entry that started while the store was back from an older copy confirmed the copy's
/// configuration at once, and a key that it still held worked again.
TEST(StoreHistory, startInAReplacedHistoryConfirmsOnlyAfterTheOperatorCouldWriteAgain)
{
    StoreHistory history;
    EXPECT_EQ(history.recordHistory(2, start), HistoryChange::Same);
    history.recordConfiguration(8);
    EXPECT_FALSE(history.confirmsConfiguration(start));
    EXPECT_FALSE(history.confirmsConfiguration(start + milliseconds(2'100)));
    EXPECT_TRUE(history.confirmsConfiguration(start + milliseconds(2'500)));
    history.recordConfiguration(9);
    EXPECT_FALSE(history.confirmsConfiguration(start + seconds(1)))
        << "two versions may have been lost, so that a newer one need not be the newest";
}

/// The store was replaced before the process had read any configuration.
TEST(StoreHistory, firstConfigurationOfAReplacedHistoryIsNotTakenForANewerOne)
{
    StoreHistory history;
    history.recordHistory(1, start);
    history.recordHistory(2, start + seconds(1));
    history.recordConfiguration(8);
    EXPECT_FALSE(history.confirmsConfiguration(start + seconds(1)));
    EXPECT_TRUE(history.confirmsConfiguration(start + seconds(3)));
}

TEST(TargetRecords, copyBringsNoGoneOrLeavingTargetBack)
{
    TargetRecords records;
    records.beginRead(false);
    for (const char *id : { "i1", "i2", "i3" }) {
        records.recordRead(makeTarget(id));
    }
    records.endRead(start);
    records.recordWritten(makeTarget("i1", true));
    records.recordRemoved("i2", start);
    // The copy was made before, and has another target that was never seen.
    records.beginRead(true);
    for (const char *id : { "i1", "i2", "i3", "i4" }) {
        records.recordRead(makeTarget(id));
    }
    records.endRead(start + seconds(1));
    EXPECT_EQ(idsOf(records), (Ids{ "i1", "i3", "i4" }));
    EXPECT_TRUE(records.list().front().leaving);
    // A record that is written in the new history is the target's own word.
    records.recordWritten(makeTarget("i1"));
    records.recordWritten(makeTarget("i2"));
    EXPECT_EQ(idsOf(records), (Ids{ "i1", "i2", "i3", "i4" }));
    EXPECT_FALSE(records.list().front().leaving);
}

/// The copy lacks targets that are alive: they are not taken for gone, and a history that is
/// replaced while it is read is read again from the start.
TEST(TargetRecords, listHalfWrittenAgainForgetsNoLiveTarget)
{
    TargetRecords records;
    records.beginRead(false);
    records.recordRead(makeTarget("i1"));
    records.recordRead(makeTarget("i2"));
    records.endRead(start);
    records.beginRead(true);
    records.recordRead(makeTarget("i7")); // Found in a history that is replaced as well.
    records.beginRead(true);
    records.recordRead(makeTarget("i1"));
    records.endRead(start + seconds(1));
    EXPECT_EQ(idsOf(records), Ids{ "i1" });
    records.beginRead(true);
    records.recordRead(makeTarget("i2")); // It is in the next copy, and was never removed.
    records.endRead(start + seconds(2));
    EXPECT_EQ(idsOf(records), Ids{ "i2" });
}

TEST(TargetRecords, readOfTheSameHistoryIsBelieved)
{
    TargetRecords records;
    records.beginRead(false);
    records.recordRead(makeTarget("i1", true));
    records.recordRead(makeTarget("i2"));
    records.endRead(start);
    records.beginRead(false);
    records.recordRead(makeTarget("i1"));
    records.endRead(start + seconds(1));
    EXPECT_EQ(idsOf(records), Ids{ "i1" });
    EXPECT_FALSE(records.list().front().leaving);
    records.beginRead(true);
    records.recordRead(makeTarget("i2"));
    records.endRead(start + seconds(2));
    EXPECT_EQ(idsOf(records), Ids{}) << "it was missing from a complete list";
}

/// Live targets that the copy lacks stay usable until they had time to write again.
TEST(TargetDirectory, keepsTargetsForTwoSecondsAfterAReplacedHistory)
{
    StoreOutageDetector outage(milliseconds(1'200));
    TargetDirectory directory;
    outage.recordList(500, 2, start);
    directory.replace({ makeTarget("i1"), makeTarget("i2") }, false);
    TimePoint now = start + seconds(1);
    outage.recordHistoryReplaced(now);
    outage.recordList(300, 1, now); // Revisions went back.
    ASSERT_TRUE(outage.listMayBeIncomplete(now));
    directory.replace({ makeTarget("i1") }, outage.listMayBeIncomplete(now));
    EXPECT_EQ(directory.usable("engines").size(), 2U);
    now += seconds(2);
    outage.recordList(330, 1, now);
    ASSERT_FALSE(outage.listMayBeIncomplete(now));
    directory.replace({ makeTarget("i1") }, outage.listMayBeIncomplete(now));
    EXPECT_EQ(directory.usable("engines").size(), 1U);
}

/// Draws histories, configurations and pauses: a version older than one that was seen is never
/// confirmed, and a history never goes back.
RC_GTEST_PROP(StoreHistory, neverConfirmsLessThanWasSeen, ())
{
    StoreHistory history;
    std::uint64_t newest = 0;
    std::uint64_t latestHistory = 1;
    history.recordHistory(1, start);
    TimePoint now = start;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 20)));
    for (const auto &[action, value] : steps) {
        now += milliseconds(100 * value);
        const auto number = static_cast<std::uint64_t>(value);
        if (action == 0) {
            const HistoryChange change = history.recordHistory(number, now);
            RC_ASSERT((change == HistoryChange::Replaced) == (number > latestHistory));
            RC_ASSERT((change == HistoryChange::Outdated) == (number < latestHistory));
            latestHistory = std::max(latestHistory, number);
            if (change == HistoryChange::Replaced) {
                RC_ASSERT(!history.confirmsConfiguration(now + seconds(60)));
            }
        } else {
            history.recordConfiguration(number);
            newest = std::max(newest, number);
            RC_ASSERT(!history.confirmsConfiguration(now) || number == newest);
        }
    }
}

} // namespace
} // namespace wigeonsill
