/// \file estimates_test.cpp
/// Tests of the answer size estimates, the quotas and the retry delays of refused callers.
#include "callerretryschedule.h"
#include "sizeestimator.h"

#include <gtest/gtest.h>

#include <cmath>

namespace wigeonsill {
namespace {

TEST(SizeEstimator, tracksEachServiceAcrossAHundredfoldSpread)
{
    SizeEstimator sizes(100);
    std::mt19937_64 random(1);
    // Sizes between a tenth and ten times 200, log-uniformly distributed.
    std::uniform_real_distribution<double> spread(-std::log(10.0), std::log(10.0));
    double total = 0;
    for (int i = 0; i < 1000; ++i) {
        const double tokens = 200 * std::exp(spread(random));
        total += tokens;
        sizes.learn("org", "long", static_cast<std::uint32_t>(tokens));
        sizes.learn("org", "short", 8);
    }
    const double mean = total / 1000;
    EXPECT_GT(sizes.estimate("org", "long", 100'000), mean / 2);
    EXPECT_LT(sizes.estimate("org", "long", 100'000), mean * 2);
    EXPECT_LT(sizes.estimate("org", "short", 100'000), 16U);
    EXPECT_EQ(sizes.estimate("org", "long", 20), 20U);
}

TEST(SizeEstimator, newServiceStartsFromTheMeanOfAllServices)
{
    SizeEstimator sizes(100);
    for (int i = 0; i < 50; ++i) {
        sizes.learn("org", "known", 40);
    }
    const std::uint32_t initialEstimate = sizes.estimate("other", "new", 1000);
    EXPECT_GE(initialEstimate, 20U);
    EXPECT_LE(initialEstimate, 80U);
    sizes.learn("other", "new", 10'000);
    EXPECT_LT(sizes.estimate("other", "new", 100'000), 2'000U);
}

TEST(SizeEstimator, memoryIsBounded)
{
    SizeEstimator sizes(1'000);
    for (int i = 0; i < 38'000; ++i) {
        sizes.learn(std::to_string(i), "service", 10);
    }
    EXPECT_EQ(sizes.size(), 1'000U);
}

RequestProfile makeProfile(std::uint32_t tokens)
{
    RequestProfile profile;
    profile.organisation = "org";
    profile.pool = "pool";
    profile.outputTokens = tokens;
    return profile;
}

TEST(Quotas, limitAnOrganisationToItsRate)
{
    Quotas quotas;
    const RequestProfile profile = makeProfile(10);
    TimePoint now{ seconds(1) };
    std::size_t acceptedTokens = 0;
    for (int i = 0; i < 6'000; ++i) {
        now += milliseconds(10);
        acceptedTokens += quotas.take(now, profile, 100) == Duration::zero() ? 10 : 0;
    }
    // One minute at 100 tokens per second, plus a burst of 10 s.
    EXPECT_NEAR(double(acceptedTokens), 7'000, 100);
    const Duration delay = quotas.take(now, profile, 100);
    EXPECT_GT(delay, Duration::zero());
    EXPECT_EQ(quotas.take(now + delay, profile, 100), Duration::zero());
    EXPECT_EQ(quotas.take(now, profile, 0), Duration::zero());
}

TEST(CallerRetrySchedule, retryDelaysSpreadCallersAtTheCompletionRate)
{
    CallerRetrySchedule schedule;
    const RequestProfile profile = makeProfile(10);
    std::mt19937_64 random(1);
    TimePoint now{ seconds(1) };
    for (int i = 0; i < 3'000; ++i) {
        now += milliseconds(10);
        schedule.recordCompletion(now, profile);
    }
    // The pool completes 100 requests per second, so 3,000 retries are spread over 30 s.
    std::map<std::int64_t, int> perSecond;
    for (int i = 0; i < 3'000; ++i) {
        const Duration delay = schedule.retryDelay(now, profile, seconds(2), random);
        EXPECT_GE(delay, seconds(2));
        ++perSecond[std::chrono::duration_cast<seconds>(delay).count()];
    }
    for (const auto &[second, count] : perSecond) {
        EXPECT_LE(count, 150) << second;
    }
}

} // namespace
} // namespace wigeonsill
