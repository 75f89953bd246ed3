/// \file retrybudget.h
/// Limit of retries by organisation and pool.
#pragma once

#include "wigeonsill/core.h"

#include <unordered_map>

namespace wigeonsill {

/// A token bucket for each organisation and pool. Each arrival adds a fraction of a token and each
/// retry of a request that provably did not run takes one token, so that the retries in a pool
/// whose targets reject everything stay a bounded fraction of its arrivals. Not thread-safe.
class RetryBudget
{
public:
    /// Adds the tokens for a new request.
    void recordArrival(const std::string &organisation, const std::string &pool);
    /// Takes a token for a retry. Returns false when there is none; the request must then be
    /// refused.
    bool take(const std::string &organisation, const std::string &pool);

private:
    static constexpr double maximumTokens = 10;
    static constexpr double tokensPerArrival = 0.1;

    double &tokensOf(const std::string &organisation, const std::string &pool);

    /// By "organisation/pool". A new bucket is full.
    std::unordered_map<std::string, double> tokens;
};

} // namespace wigeonsill
