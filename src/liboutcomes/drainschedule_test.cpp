/// \file drainschedule_test.cpp
/// Tests of the timetable of a stopping process.
#include "wigeonsill/outcomes.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

/// LOST: a stream accepted 3.2 s after SIGTERM with a deadline at 7.9 s was cut off at 7.6 s.
TEST(DrainSchedule, requestIsAdmittedOnlyIfItsTimeIsOverBeforeRequestsAreEnded)
{
    const DrainSchedule schedule(seconds(8));
    EXPECT_FALSE(schedule.admits(milliseconds(3'200), milliseconds(4'700)));
    for (Duration sinceStop = milliseconds(2'750); sinceStop < seconds(8);
         sinceStop += milliseconds(50)) {
        for (Duration limit = milliseconds(50); limit < seconds(9); limit += milliseconds(50)) {
            EXPECT_EQ(
                schedule.admits(sinceStop, limit), sinceStop + limit <= schedule.requestEnd());
        }
    }
}

TEST(DrainSchedule, requestsOfAnyLengthAreAdmittedWhileTheBalancerSendsConnections)
{
    const DrainSchedule schedule(seconds(8));
    EXPECT_TRUE(schedule.admits(milliseconds(2'500), seconds(60)));
    EXPECT_TRUE(schedule.acceptsConnections(seconds(3)));
    EXPECT_FALSE(schedule.acceptsConnections(seconds(4)));
}

TEST(DrainSchedule, finalAnswersHaveTimeBeforeTheProcessExits)
{
    const DrainSchedule schedule(seconds(8));
    EXPECT_GT(schedule.processEnd(), schedule.requestEnd());
    EXPECT_LT(schedule.processEnd(), seconds(8));
}

} // namespace
} // namespace wigeonsill
