/// \file entrystate.h
/// State shared by all connections and requests of one entry.
#pragma once

#include "crashwatch.h"
#include "grantclient.h"
#include "readahead.h"
#include "rolloutcoordinator.h"
#include "streamversions.h"
#include "targetpool.h"
#include "targetrates.h"

namespace wigeonsill {

class RequestFlow;

/// Recent failures of a target as observed by this entry.
struct TargetHealth
{
    int failuresInRow = 0;
    TimePoint avoidUntil;
};

/// Shared by the entry, its connections and its requests, since handlers of connections and
/// requests may be destroyed after the entry, together with the io_context.
struct EntryState : public std::enable_shared_from_this<EntryState>
{
    EntryState(boost::asio::io_context &context, Metrics &metricsIn, DecisionLog &logIn,
        const WireDialect &dialectIn, const ForwardEntrySettings &settingsIn);

    /// Time since the configuration was last confirmed to be the newest; Duration::max() before the
    /// first confirmation.
    Duration timeSinceConfirmation() const;
    /// Whether the configuration is recent enough to accept API keys.
    bool areKeysCurrent() const;
    /// Whether the configuration is recent enough to permanently reject names it does not contain.
    bool isConfigurationCurrent() const;
    /// Records that another incarnation answers at a target's address and requests a new list.
    void recordReplacement(const Target &incarnation);
    /// Applies what an answer states about the target that gave it. Must be called with each answer
    /// to a request. \param target As it was when the request was sent to it.
    /// \param sentAt When the request was sent to it.
    void recordTargetFacts(const Target &target, const AnswerFacts &facts, TimePoint sentAt);
    /// Whether a request may be sent to a target that has room for it.
    bool isOpen(const Target &target, TimePoint now) const;
    /// Whether one more request may be reserved or sent at a target.
    bool admitsRequest(const Target &target, TimePoint now);
    /// Counts and logs that a target leaves. \param source Who stated it: "answer" or "store".
    void recordLeaving(const Target &target, std::string_view source);
    /// \pre rollouts is set.
    void startRollouts();
    /// Closes the idle connections of a target that takes no more requests.
    void closeIdleIfUnusable(const std::string &targetId);
    /// All targets that have agents.
    std::vector<const Target *> engines() const;
    /// Sends the quotas' usage to its collectors.
    void sendUsage();
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
    std::shared_ptr<ReadAheadPacer> readAhead;
    StatedRates statedRates;
    GrantClient grantClient;
    TargetRates rates;
    StreamVersions streamVersions;
    CrashWatch crashes;
    ServiceRetryBudget retryBudget;
    QuotaLimiter quotas;
    ServedShareTracker served;
    std::vector<Target> usageCollectors; ///< As of the last round of reports.
    TargetDirectory targets;
    std::optional<RolloutCoordinator> rollouts; ///< Empty where the settings have none.
    QuietTargets quiet;
    /// Incremented when a target is added or starts or stops being usable.
    std::uint64_t targetsVersion = 0;
    std::function<void()> refreshTargets; ///< Re-reads the list of targets.
    std::function<void()> readTargetsFromNow; ///< As above, by a call that begins from now on.
    std::shared_ptr<const ServingConfiguration> configuration;
    std::optional<Duration> configurationConfirmedAt; ///< On the boot clock.
    Duration targetsReadAt = {}; ///< On the boot clock.
    std::map<std::string, int, std::less<>> ownRequests;
    std::map<std::string, TargetHealth, std::less<>> health;
    std::set<RequestFlow *> flows;
    std::set<RequestFlow *> permitWaiters; ///< Of flows: requests that wait for a permit.
    std::map<std::string, Duration, std::less<>> longestDeadline; ///< Received, by route.
    std::mt19937_64 random;
    bool draining = false;
    TimePoint drainStartedAt;

    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
};

} // namespace wigeonsill
