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

} // namespace
} // namespace wigeonsill
