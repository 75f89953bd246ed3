/// \file callerreturn_test.cpp
/// Tests of when refused callers come back.
#include "wigeonsill/outcomes.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

TEST(CallerReturn, isLateWithinWhatTheCallerAccepts)
{
    for (const double random : { 0.0, 0.5, 0.999 }) {
        const Duration delay = callerReturnDelay(seconds(12), {}, random);
        EXPECT_LE(delay, seconds(4));
        EXPECT_GE(delay, seconds(2));
    }
    EXPECT_EQ(callerReturnDelay(milliseconds(10), {}, 0.5), milliseconds(100));
    EXPECT_EQ(callerReturnDelay(seconds(60), {}, 0.5), seconds(5));
}

TEST(CallerReturn, isNotBeforeThereIsRoom)
{
    EXPECT_EQ(callerReturnDelay(seconds(3), seconds(2), 0), seconds(2));
}

/// Requests refused in the same moment must not return in the same moment.
TEST(CallerReturn, scattersCallers)
{
    const Duration first = callerReturnDelay(seconds(12), {}, 0);
    const Duration last = callerReturnDelay(seconds(12), {}, 0.999);
    EXPECT_GE(last - first, seconds(1));
}

/// All targets of a service want no requests for a time.
TEST(CallerReturn, afterQuietTimeIsNotBeforeItsEndAndScattered)
{
    for (const Duration quiet :
        { Duration(1), Duration(milliseconds(300)), Duration(seconds(60)) }) {
        EXPECT_EQ(quietReturnDelay(quiet, 0), quiet);
        EXPECT_GE(quietReturnDelay(quiet, 0.999) - quiet, milliseconds(240));
        EXPECT_LE(quietReturnDelay(quiet, 0.999), quiet * 5 / 4 + milliseconds(250));
    }
}

/// A prompt part is held back.
TEST(CallerReturn, afterAHoldIsLaterTheLongerItHasLasted)
{
    EXPECT_EQ(heldReturnDelay({}, 0), seconds(1));
    EXPECT_EQ(heldReturnDelay(seconds(20), 0), seconds(20));
    EXPECT_EQ(heldReturnDelay(seconds(3'600), 0), seconds(60));
    EXPECT_GT(heldReturnDelay(seconds(20), 0.9), seconds(24)) << "scattered";
}

} // namespace
} // namespace wigeonsill
