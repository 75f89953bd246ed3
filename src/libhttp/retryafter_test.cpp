/// \file retryafter_test.cpp
/// Tests of the times that a Retry-After field may state.
#include "wigeonsill/http.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

TEST(ParseRetryAfter, readsWholeAndFractionalSeconds)
{
    EXPECT_EQ(parseRetryAfter("0"), Duration::zero());
    EXPECT_EQ(parseRetryAfter("0.0"), Duration::zero());
    EXPECT_EQ(parseRetryAfter("3"), seconds(3));
    EXPECT_EQ(parseRetryAfter("007"), seconds(7));
    EXPECT_EQ(parseRetryAfter("0.25"), milliseconds(250));
    EXPECT_EQ(parseRetryAfter("12.500"), milliseconds(12'500));
    EXPECT_EQ(parseRetryAfter(" \t1.5 "), milliseconds(1'500));
}

/// An earlier return than stated would be a request that the target does not want.
TEST(ParseRetryAfter, roundsUp)
{
    EXPECT_EQ(parseRetryAfter("0.0000001"), Duration(1));
    EXPECT_GE(parseRetryAfter("0.3333333333"), milliseconds(333));
}

TEST(ParseRetryAfter, boundsLongTimes)
{
    EXPECT_EQ(parseRetryAfter("86400"), std::chrono::hours(24));
    EXPECT_EQ(parseRetryAfter("86401"), std::chrono::hours(24));
    EXPECT_EQ(parseRetryAfter("18446744073709551616"), std::chrono::hours(24));
    EXPECT_EQ(parseRetryAfter(std::string(4'000, '9')), std::chrono::hours(24));
    EXPECT_EQ(parseRetryAfter("0." + std::string(4'000, '0') + "1"), Duration::zero());
}

TEST(ParseRetryAfter, ignoresWhatIsNoNumberOfSeconds)
{
    for (const char *text : { "", " ", ".", ".5", "5.", "1.2.3", "-1", "-0", "+1", "1e3", "1E-3",
             "0x10", "nan", "NaN", "inf", "infinity", "1,5", "1 5", "1s", "soon", "1;2",
             "Fri, 04 Dec 2026 10:00:00 GMT", "\n1", "1\r" }) {
        EXPECT_EQ(parseRetryAfter(text), std::nullopt) << text;
    }
}

} // namespace
} // namespace wigeonsill
