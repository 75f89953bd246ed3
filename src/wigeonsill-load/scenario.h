/// \file scenario.h
/// What a load run sends: phases, kinds of requests, and how callers retry.
#pragma once

#include "wigeonsill/config.h"

namespace wigeonsill {

/// Lengths in tokens, drawn log-uniformly so that a hundredfold spread has no typical value.
struct TokenRange
{
    std::int64_t minimum = 1;
    std::int64_t maximum = 1;
};

/// Callers of one service of one organisation.
struct RequestKind
{
    std::string name;
    std::string service;
    std::string token; ///< Bearer token of the organisation.
    Tier tier = Tier::Normal; ///< As declared for the service; used for reporting only.
    double share = 1; ///< Of all arrivals, relative to the other kinds.
    bool stream = true;
    Duration usefulWithin = seconds(10); ///< From arrival to the last byte.
    TokenRange promptTokens; ///< Without the shared prefix.
    TokenRange outputTokens;
    std::int64_t prefixCount = 0; ///< Distinct shared prefixes; 0 for none.
    std::int64_t prefixTokens = 0; ///< Length of each shared prefix.
};

/// A stretch of time with one rate. A burst is a short phase with a high rate.
struct Phase
{
    std::string name;
    Duration length = seconds(1);
    double rate = 1; ///< Arrivals per second; Poisson.
};

/// How a caller takes a refusal.
struct RetryRule
{
    bool obeyRetryAfter = false;
    std::int64_t maximumRetries = 0;
};

/// One load run.
struct Scenario
{
    std::uint64_t seed = 1;
    std::vector<Phase> phases;
    std::vector<RequestKind> kinds;
    RetryRule retry;
    Duration settleTime = seconds(10); ///< Wait for answers after the last arrival.

    /// Total length of the phases.
    Duration length() const;
};

/// Reads a scenario. Faults are added to the reader's problems; then the result is not usable.
Scenario readScenario(SettingsReader &reader);

} // namespace wigeonsill
