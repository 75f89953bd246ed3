/// \file targetrates.h
/// What an entry does about the rates that targets state: tells them to the other processes, and
/// asks for the permits of targets that have no agent. The decisions are in the rates library.
#pragma once

#include "grantclient.h"

#include <random>

namespace wigeonsill {

/// The rates and permits of one entry with its log. An agent grants its own target's room at the
/// target's rate; for other targets, one agent, which all entries choose alike, issues permits. Not
/// thread-safe.
class TargetRates
{
public:
    /// \pre all references outlive this object.
    TargetRates(Metrics &counters, DecisionLog &decisions, GrantClient &grants, StatedRates &stated)
        : metrics(counters)
        , log(decisions)
        , grantClient(grants)
        , rates(stated)
    {
    }

    /// Applies what an answer states. \param sentAt When the request was sent to the target.
    void recordAnswer(const Target &target, const StatedRate &rate, TimePoint sentAt);
    /// Applies what other entries received.
    void adopt(const std::vector<RateStatement> &statements);
    bool isLimited(const Target &target) const { return this->rates.rate(target).has_value(); }
    /// Records that a request could be sent to a target without an agent, and asks for permits.
    void recordDemand(const Target &target);
    /// Whether a request may be sent to a target that has no agent.
    bool admits(const Target &target, TimePoint now);
    /// Uses what admits() found. Returns false when nothing is left.
    bool tryTake(const Target &target, TimePoint now);
    /// Uses this entry's share of the rate of a target whose agent doesn't answer. Returns false
    /// when nothing is left.
    bool tryTakeShare(const Target &target, TimePoint now);
    /// Applies an agent's answer. Returns whether requests may be sent that could not be before.
    bool onPermits(const GrantMessage &message);
    /// Sets the processes that keep rates. Must be called several times a second.
    /// \param agents The engines that have an agent.
    /// \param sharingEntries Number of entries that share a rate while no agent issues permits.
    void update(const std::vector<const Target *> &agents, int sharingEntries,
        const TargetDirectory &targets);
    /// Requests a second that targets take together; empty when one of them states no rate, or
    /// there are none.
    std::optional<double> totalRate(const std::vector<const Target *> &targets) const;

private:
    /// Number of agents that may issue the permits of a target: the first, and its deputy.
    static constexpr std::size_t issuersPerTarget = 2;
    struct Record
    {
        std::int64_t startedMs = 0; ///< Of the incarnation.
        PermitStock stock;
        PermitShare share; ///< While no agent issues permits.
        std::size_t askedIssuer = 0;
        std::array<TimePoint, issuersPerTarget> passedOverUntil{};
    };
    Record &recordFor(const Target &target);
    /// The agents that may issue a target's permits, in the order in which they are asked.
    std::vector<Target> issuersOf(const Target &target) const;
    bool hasIssuer(const Record &record, TimePoint now) const;
    void ask(const Target &target, Record &record, TimePoint now);
    bool isShareAvailable(const Target &target, Record &record, TimePoint now);
    void logChange(const Target &target, std::string_view by);

    Metrics &metrics;
    DecisionLog &log;
    GrantClient &grantClient;
    StatedRates &rates;
    std::vector<Target> issuers; ///< All agents.
    std::mt19937_64 random{ generateIncarnation().low };
    int sharing = QuotaLimiter::largestDeploymentEntries;
    std::map<std::string, Record, std::less<>> records; ///< By target id.
};

} // namespace wigeonsill
