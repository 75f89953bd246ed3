/// \file callerretryschedule.h
/// Retry delays for refused callers, and quotas of organisations.
#pragma once

#include "ratemeter.h"
#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// Assigns retry times to refused callers at the rate at which this entry's requests complete, so
/// that callers that honour the delay do not all retry at once. Not thread-safe.
class CallerRetrySchedule
{
public:
    /// Records a completed request of a pool.
    void recordCompletion(TimePoint now, const RequestProfile &profile);
    /// Returns the retry delay for a refused request.
    /// \param earliest Predicted time until capacity is available.
    Duration retryDelay(
        TimePoint now, const RequestProfile &profile, Duration earliest, std::mt19937_64 &random);

private:
    struct Pool
    {
        RateMeter rate{ seconds(10) }; ///< Estimated tokens completed.
        std::array<TimePoint, tierCount> nextRetry; ///< Last assigned retry time, by tier.
    };
    std::map<std::string, Pool> pools;
};

/// Token buckets of the organisations that have a quota. Memory is bounded: the least recently used
/// bucket is evicted first, and a full bucket can be dropped without loss. Not thread-safe.
class Quotas
{
public:
    /// Takes a request's tokens. Returns zero, or the time until there are enough tokens.
    /// \param tokensPerSecond 0 means no quota.
    Duration take(TimePoint now, const RequestProfile &profile, double tokensPerSecond);

private:
    struct Bucket
    {
        std::string organisation;
        double tokens = 0;
        TimePoint updatedAt;
    };
    std::list<Bucket> buckets; ///< Most recently used first.
    std::unordered_map<std::string, std::list<Bucket>::iterator> byName;
};

} // namespace wigeonsill
