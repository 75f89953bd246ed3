/// \file returnschedule.cpp
/// When refused callers are asked to come back, and what an organisation may use.
#include "returnschedule.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr Duration shortestDelay = seconds(1);
constexpr Duration longestDelay = seconds(120);
constexpr int jitterDivisor = 4; ///< The delay is lengthened by up to this part.
constexpr double burstSeconds = 10; ///< Of a quota that may be used at once.
constexpr std::size_t maximumBuckets = 65'536;

Duration inDuration(double inSeconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(inSeconds));
}

} // namespace

void ReturnSchedule::completed(TimePoint now, const RequestProfile &profile)
{
    RateMeter &rate = this->pools[profile.pool].rate;
    rate.advance(now, true);
    rate.add(double(profile.tokens()));
}

Duration ReturnSchedule::delayFor(
    TimePoint now, const RequestProfile &profile, Duration earliest, std::mt19937_64 &random)
{
    Pool &pool = this->pools[profile.pool];
    pool.rate.advance(now, true);
    TimePoint &next = pool.nextReturn[static_cast<std::size_t>(profile.tier)];
    next = std::max(next, now + earliest);
    const double rate = pool.rate.perSecond();
    const Duration turn = rate > 0 ? inDuration(double(profile.tokens()) / rate) : Duration::zero();
    next = std::min(next + turn, now + longestDelay);
    const Duration delay = std::max(next - now, shortestDelay);
    std::uniform_int_distribution<std::int64_t> jitter(0, delay.count() / jitterDivisor);
    return delay + Duration(jitter(random));
}

Duration Quotas::take(TimePoint now, const RequestProfile &profile, double tokensPerSecond)
{
    if (tokensPerSecond <= 0) {
        return Duration::zero();
    }
    const double most = std::max(tokensPerSecond * burstSeconds, double(profile.tokens()));
    const auto found = this->byName.find(profile.organisation);
    if (found != this->byName.end()) {
        this->buckets.splice(this->buckets.begin(), this->buckets, found->second);
    } else {
        this->buckets.push_front({ profile.organisation, most, now });
        this->byName[profile.organisation] = this->buckets.begin();
    }
    if (this->buckets.size() > maximumBuckets) {
        this->byName.erase(this->buckets.back().organisation);
        this->buckets.pop_back();
    }
    Bucket &bucket = this->buckets.front();
    const double passed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(most, bucket.tokens + passed * tokensPerSecond);
    bucket.filledAt = now;
    const double wanted = double(profile.tokens());
    if (bucket.tokens < wanted) {
        return std::max(shortestDelay, inDuration((wanted - bucket.tokens) / tokensPerSecond));
    }
    bucket.tokens -= wanted;
    return Duration::zero();
}

} // namespace wigeonsill
