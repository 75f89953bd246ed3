/// \file retrybudget_test.cpp
/// Tests that retries stay a bounded share of the arrivals, separately for each organisation and
/// pool.
#include "retrybudget.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

TEST(RetryBudget, retriesAreABoundedShareOfArrivals)
{
    RetryBudget budget;
    int granted = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.recordArrival("org", "pool");
        granted += budget.take("org", "pool") ? 1 : 0;
    }
    EXPECT_GE(granted, 100);
    EXPECT_LE(granted, 111);
}

TEST(RetryBudget, budgetsAreSeparateByOrganisationAndPool)
{
    RetryBudget budget;
    while (budget.take("org", "pool")) { }
    EXPECT_TRUE(budget.take("other", "pool"));
    EXPECT_TRUE(budget.take("org", "other"));
    EXPECT_FALSE(budget.take("org", "pool"));
}

} // namespace
} // namespace wigeonsill
