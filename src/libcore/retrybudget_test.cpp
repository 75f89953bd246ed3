/// \file retrybudget_test.cpp
/// Retries stay a bounded share of the arrivals, for each organisation and pool apart.
#include "retrybudget.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

TEST(RetryBudget, retriesAreABoundedShareOfArrivals)
{
    RetryBudget budget;
    int granted = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.earn("org", "pool");
        granted += budget.take("org", "pool") ? 1 : 0;
    }
    EXPECT_GE(granted, 100);
    EXPECT_LE(granted, 111);
}

TEST(RetryBudget, organisationsAndPoolsDoNotShare)
{
    RetryBudget budget;
    while (budget.take("org", "pool")) { }
    EXPECT_TRUE(budget.take("other", "pool"));
    EXPECT_TRUE(budget.take("org", "other"));
    EXPECT_FALSE(budget.take("org", "pool"));
}

} // namespace
} // namespace wigeonsill
