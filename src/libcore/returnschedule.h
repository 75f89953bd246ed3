/// \file returnschedule.h
/// When refused callers are asked to come back, and what an organisation may use.
#pragma once

#include "ratemeter.h"
#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// Hands out times to come back, one after another at the rate at which this entry's requests are
/// completed, so that callers who obey do not all meet at once. Not thread-safe.
class ReturnSchedule
{
public:
    /// A request of a pool was completed.
    void completed(TimePoint now, const RequestProfile &profile);
    /// Delay for a refused request. \param earliest Before which there is no room by prediction.
    Duration delayFor(
        TimePoint now, const RequestProfile &profile, Duration earliest, std::mt19937_64 &random);

private:
    struct Pool
    {
        RateMeter rate{ seconds(10) }; ///< Estimated tokens.
        std::array<TimePoint, tierCount> nextReturn;
    };
    std::map<std::string, Pool> pools;
};

/// Token buckets of the organisations that have a quota. Bounded: a full bucket needs no memory,
/// and the one that was used longest ago goes first. Not thread-safe.
class Quotas
{
public:
    /// Takes a request's tokens. Returns zero, or when there will be enough of them.
    /// \param tokensPerSecond 0 means no quota.
    Duration take(TimePoint now, const RequestProfile &profile, double tokensPerSecond);

private:
    struct Bucket
    {
        std::string organisation;
        double tokens = 0;
        TimePoint filledAt;
    };
    std::list<Bucket> buckets; ///< The last one used first.
    std::unordered_map<std::string, std::list<Bucket>::iterator> byName;
};

} // namespace wigeonsill
