/// \file callerretryschedule.cpp
/// Retry delays for refused callers, and quotas of organisations.
#include "callerretryschedule.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr Duration minimumDelay = seconds(1);
constexpr Duration maximumDelay = seconds(120);
constexpr int jitterDivisor = 4; ///< Up to 1 / jitterDivisor of the delay is added at random.
constexpr double burstSeconds = 10; ///< Capacity of a bucket, in seconds of its quota.
constexpr std::size_t maximumBuckets = 65'536;

Duration toDuration(double secondCount)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondCount));
}

} // namespace

void CallerRetrySchedule::recordCompletion(TimePoint now, const RequestProfile &profile)
{
    RateMeter &rate = this->pools[profile.pool].rate;
    rate.advance(now, true);
    rate.add(double(profile.tokens()));
}

Duration CallerRetrySchedule::retryDelay(
    TimePoint now, const RequestProfile &profile, Duration earliest, std::mt19937_64 &random)
{
    Pool &pool = this->pools[profile.pool];
    pool.rate.advance(now, true);
    TimePoint &next = pool.nextRetry[static_cast<std::size_t>(profile.tier)];
    next = std::max(next, now + earliest);
    const double rate = pool.rate.perSecond();
    const Duration spacing
        = rate > 0 ? toDuration(double(profile.tokens()) / rate) : Duration::zero();
    next = std::min(next + spacing, now + maximumDelay);
    const Duration delay = std::max(next - now, minimumDelay);
    std::uniform_int_distribution<std::int64_t> jitter(0, delay.count() / jitterDivisor);
    return delay + Duration(jitter(random));
}

Duration Quotas::take(TimePoint now, const RequestProfile &profile, double tokensPerSecond)
{
    if (tokensPerSecond <= 0) {
        return Duration::zero();
    }
    const double capacity = std::max(tokensPerSecond * burstSeconds, double(profile.tokens()));
    const auto found = this->byName.find(profile.organisation);
    if (found != this->byName.end()) {
        this->buckets.splice(this->buckets.begin(), this->buckets, found->second);
    } else {
        this->buckets.push_front({ profile.organisation, capacity, now });
        this->byName[profile.organisation] = this->buckets.begin();
    }
    if (this->buckets.size() > maximumBuckets) {
        this->byName.erase(this->buckets.back().organisation);
        this->buckets.pop_back();
    }
    Bucket &bucket = this->buckets.front();
    const double elapsedSeconds = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.tokens = std::min(capacity, bucket.tokens + elapsedSeconds * tokensPerSecond);
    bucket.updatedAt = now;
    const double requestTokens = double(profile.tokens());
    if (bucket.tokens < requestTokens) {
        return std::max(
            minimumDelay, toDuration((requestTokens - bucket.tokens) / tokensPerSecond));
    }
    bucket.tokens -= requestTokens;
    return Duration::zero();
}

} // namespace wigeonsill
