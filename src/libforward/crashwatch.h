/// \file crashwatch.h
/// What an entry does about requests and prompt parts that crash targets: reports what it sees,
/// exchanges reports with the agents, and tells which requests are held back. The decisions are in
/// the quarantine library.
#pragma once

#include "grantclient.h"
#include "targetpool.h"

namespace wigeonsill {

/// What matters of a request.
struct SuspectRequest
{
    std::uint64_t attempt = 0; ///< Hash of the id.
    RequestTraits traits;
};
/// \param organisation Name; empty without one.
SuspectRequest makeSuspectRequest(const MessageHead &head, const RequestMetadata &request,
    std::string_view organisation, std::string_view body);

/// The quarantine of one entry with its sockets and log. Not thread-safe.
class CrashWatch
{
public:
    /// \pre all references outlive this object.
    CrashWatch(
        Metrics &counters, DecisionLog &decisions, TargetPool &targetPool, GrantClient &grants);

    /// A target has gone on answering a request, or has answered it whole.
    void recordAnswered(const SuspectRequest &request);
    /// A target has turned a request down with a whole answer, which doesn't speak for its parts.
    void recordRejected(const SuspectRequest &request);
    /// The connection of a request ended before its target had begun to answer it. It counts once
    /// the target is known to have ended.
    void recordBrokenOff(const Target &target, const SuspectRequest &request);
    /// No connection to the target could be made.
    void recordNotConnected(const Target &target);
    /// The target is known to have ended.
    void recordEnd(const std::string &targetId);
    /// The target's agent has told whether the target has ended. One that has not is asked for
    /// again: a target may answer its agent for a moment after it has closed a request's
    /// connection.
    void onTargetState(const std::string &targetId, bool ended);

    /// The hold that a request falls under; nullptr without one. Valid until the next call.
    const Hold *findHold(const SuspectRequest &request) const;
    /// Whether a request whose target ended must not be sent to a second one.
    bool isSuspected(const SuspectRequest &request) const;
    std::uint64_t digest() const { return this->quarantine.digest(); }

    /// Forgets what is too old. While no collector answers, exchanges reports with another agent.
    /// Must be called several times a second. \param agents The engines that have an agent.
    /// \param collectorCount Number of them, from the first on, that get this entry's usage.
    void update(const std::vector<const Target *> &agents, std::size_t collectorCount,
        std::uint64_t random);
    /// Applies what an agent knows. \param agent Its address.
    void onCrashReports(const GrantMessage &message, const boost::asio::ip::address &agent);
    /// Releases a hold. \param id As in the log, in hexadecimal. \returns Whether there was one.
    bool release(std::string_view id);
    /// The holds of parts, or of requests, for the state page.
    boost::json::array dumpPartHolds() const;
    boost::json::array dumpRequestHolds() const;

private:
    /// Finds out whether a target has ended: its machine refuses a connection, or its agent says
    /// so, which also sees a target behind a proxy.
    void probe(const Target &target);
    /// Logs which parts are held or released since the last call.
    void logChanges();
    /// Asks the agents of the targets whose end is not confirmed again.
    void askAgain(TimePoint now);
    /// Sends all reports to the collectors at once.
    void spread();

    Metrics &metrics;
    DecisionLog &log;
    TargetPool &pool;
    GrantClient &grantClient;
    Quarantine quarantine;
    UnconfirmedCrashes unconfirmed;
    std::set<std::string> probedTargets; ///< That are being probed.
    struct Query
    {
        Target target;
        TimePoint askedAt;
    };
    std::map<std::string, Query> queries; ///< By id of the targets whose end is not confirmed.
    std::map<std::uint64_t, Hold> loggedHolds;
    std::vector<Target> collectors;
    std::optional<TimePoint> collectorAnsweredAt;
};

} // namespace wigeonsill
