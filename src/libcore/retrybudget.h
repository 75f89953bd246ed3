/// \file retrybudget.h
/// How many requests of an organisation may be dispatched again in a pool.
#pragma once

#include "wigeonsill/core.h"

#include <unordered_map>

namespace wigeonsill {

/// A token bucket for each organisation and pool. Arrivals fill it and each new dispatch of a
/// request that provably did not run takes one token, so that a pool whose targets refuse
/// everything gets a bounded share of retries beside its arrivals. Not thread-safe.
class RetryBudget
{
public:
    /// A request arrived.
    void earn(const std::string &organisation, const std::string &pool);
    /// Takes a token. Returns false when there is none, and the request must be refused.
    bool take(const std::string &organisation, const std::string &pool);

private:
    static constexpr double maximumTokens = 10;
    static constexpr double tokensPerArrival = 0.1;

    double &tokensOf(const std::string &organisation, const std::string &pool);

    std::unordered_map<std::string, double> tokens; ///< A new bucket is full.
};

} // namespace wigeonsill
