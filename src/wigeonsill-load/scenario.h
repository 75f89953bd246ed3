/// \file scenario.h
/// Workload of a load run: phases, kinds of requests and the retry policy of callers.
#pragma once

#include "wigeonsill/config.h"

namespace wigeonsill {

/// Range of lengths in tokens. Lengths are drawn log-uniformly, so that a range over two orders of
/// magnitude has no typical length.
struct TokenRange
{
    std::int64_t minimum = 1;
    std::int64_t maximum = 1;
};

/// Requests of one organisation to one service.
struct RequestKind
{
    std::string name;
    std::string service;
    std::string token; ///< Bearer token of the organisation.
    Tier tier = Tier::Normal; ///< As configured for the service; used for reporting only.
    double share = 1; ///< Weight among all arrivals, relative to the other kinds.
    bool stream = true;
    Duration usefulWithin = seconds(10); ///< From arrival to the last byte.
    TokenRange promptTokens; ///< Excluding the shared prefix.
    TokenRange outputTokens;
    std::int64_t prefixCount = 0; ///< Distinct shared prefixes; 0 for none.
    std::int64_t prefixTokens = 0; ///< Length of each shared prefix.
};

/// Period with a constant arrival rate. A burst is a short phase with a high rate.
struct Phase
{
    std::string name;
    Duration length = seconds(1);
    double rate = 1; ///< Mean arrivals per second of a Poisson process.
};

/// Whether and how often callers retry a refused request.
struct RetryPolicy
{
    bool obeyRetryAfter = false;
    std::int64_t maximumRetries = 0;
};

/// Description of one load run.
struct Scenario
{
    std::uint64_t seed = 1;
    std::vector<Phase> phases;
    std::vector<RequestKind> kinds;
    RetryPolicy retry;
    Duration settleTime = seconds(10); ///< Wait for outstanding answers after the last phase.

    /// Total length of the phases.
    Duration length() const;
};

/// Reads a scenario. Errors are added to the reader's problems; the result is then not usable.
Scenario readScenario(SettingsReader &reader);

} // namespace wigeonsill
