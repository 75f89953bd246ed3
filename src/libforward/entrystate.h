/// \file entrystate.h
/// What all connections and requests of one entry share.
#pragma once

#include "grantclient.h"
#include "targetpool.h"

namespace wigeonsill {

class RequestFlow;

/// Failures of a target that this entry saw lately.
struct TargetHealth
{
    int failuresInRow = 0;
    TimePoint avoidUntil;
};

/// Owned by the entry and by each of its connections and requests, since their handlers may be
/// destroyed after the entry, with the io_context.
struct EntryState : public std::enable_shared_from_this<EntryState>
{
    EntryState(boost::asio::io_context &context, Metrics &metricsIn, DecisionLog &logIn,
        const WireDialect &dialectIn, const ForwardEntrySettings &settingsIn);

    /// Age of the newest confirmation that the configuration is the newest.
    Duration timeSinceConfirmation() const;
    /// Whether keys may still be honoured.
    bool areKeysCurrent() const;
    /// Whether names that the configuration lacks may be refused for good.
    bool isConfigurationCurrent() const;
    /// Another incarnation answers at a target's address.
    void recordReplacement(const std::string &targetId);
    void recordFailure(const std::string &targetId);
    void recordSuccess(const std::string &targetId);
    bool isFailing(const std::string &targetId, TimePoint now) const;
    int &requestsAt(const std::string &targetId) { return this->ownRequests[targetId]; }

    boost::asio::io_context &io;
    Metrics &metrics;
    DecisionLog &log;
    const WireDialect &dialect;
    ForwardEntrySettings settings;
    TargetPool pool;
    GrantClient grantClient;
    RepeatBudget repeats;
    QuotaLedger quotas;
    ServedShares served;
    TargetDirectory targets;
    std::uint64_t targetsVersion = 0; ///< Grows when targets come or go.
    std::function<void()> refreshTargets; ///< Reads the list anew.
    std::shared_ptr<const ServingConfiguration> configuration;
    std::optional<Duration> configurationConfirmedAt; ///< On the boot clock.
    Duration targetsReadAt = {}; ///< On the boot clock.
    std::map<std::string, int, std::less<>> ownRequests;
    std::map<std::string, TargetHealth, std::less<>> health;
    std::set<RequestFlow *> flows;
    std::map<std::string, Duration, std::less<>> longestDeadline; ///< Seen, by route.
    std::mt19937_64 random;
    bool draining = false;
    TimePoint drainStartedAt;

    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
};

} // namespace wigeonsill
