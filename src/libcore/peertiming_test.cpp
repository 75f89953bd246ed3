/// \file peertiming_test.cpp
/// Heartbeats and silence of one connection.
#include "peertiming.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const HeartbeatIntervals intervals;
const TimePoint start{ seconds(100) };

TEST(PeerTiming, idleConnectionBeatsMoreSeldom)
{
    PeerTiming timing;
    timing.restart(start);
    EXPECT_FALSE(timing.isBeatDue(start + intervals.busy, intervals));
    EXPECT_TRUE(timing.isBeatDue(start + intervals.idle, intervals));
    timing.setBusy(start, true);
    EXPECT_TRUE(timing.isBeatDue(start + intervals.busy, intervals));
}

TEST(PeerTiming, busyConnectionIsSilentSooner)
{
    PeerTiming timing;
    timing.restart(start);
    const TimePoint late = start + intervals.busySilence + milliseconds(1);
    EXPECT_FALSE(timing.isSilent(late, intervals));
    EXPECT_TRUE(timing.isSilent(start + intervals.idleSilence + milliseconds(1), intervals));
    timing.setBusy(start, true);
    EXPECT_TRUE(timing.isSilent(late, intervals));
}

TEST(PeerTiming, idleConnectionThatBecomesBusyGetsTheBusyLimitFromThen)
{
    PeerTiming timing;
    timing.restart(start);
    const TimePoint quiet = start + intervals.idleSilence - milliseconds(1);
    timing.setBusy(quiet, true);
    EXPECT_FALSE(timing.isSilent(quiet + intervals.busySilence, intervals));
    EXPECT_TRUE(timing.isSilent(quiet + intervals.busySilence + milliseconds(1), intervals));
}

} // namespace
} // namespace wigeonsill
