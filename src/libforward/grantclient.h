/// \file grantclient.h
/// The entry's side of the grant protocol: reservations at agents, and the load that they report.
#pragma once

#include "grantmessage.h"
#include "wigeonsill/forward.h"

#include <set>
#include <unordered_map>

namespace wigeonsill {

/// Receives the agents' answers to one request's reservations.
class GrantListener
{
public:
    virtual ~GrantListener() = default;
    /// Returns whether the request uses the grant. If not, the grant is released.
    virtual bool onGranted(std::uint64_t reservationId, const std::string &targetId) = 0;
    virtual void onQueued(std::uint64_t reservationId, const std::string &targetId) = 0;
    virtual void onDeclined(std::uint64_t reservationId, const std::string &targetId) = 0;
};

/// What the entry knows about an agent.
struct AgentView
{
    std::optional<TargetLoad> load;
    Duration loadAge = {};
    bool unresponsive = false;
};

/// Exchanges datagrams with all agents over one socket. Any datagram may be lost: reservations are
/// resent by the request that made them, and an agent that misses a release detects it from its
/// target's report.
class GrantClient
{
public:
    /// \pre statedRates outlives this object.
    GrantClient(boost::asio::io_context &io, Metrics &counters,
        const ForwardEntrySettings &settings, const StatedRates &statedRates);
    void start();

    /// Allocates a ticket. The listener receives its answers until unregisterReservationId().
    std::uint64_t registerReservationId(GrantListener &listener);
    void unregisterReservationId(std::uint64_t reservationId);
    void reserve(const Target &target, const ReservationProfile &profile);
    /// Releases what was reserved or granted at a target to which the request was not sent.
    void withdraw(const Target &target, std::uint64_t reservationId);
    /// Releases the room of a request that has left the target.
    void release(const Target &target, std::uint64_t reservationId, std::uint32_t generated);
    void reportFirstEvent(const Target &target, std::uint64_t reservationId);
    /// Reports to an agent what this entry admitted; it answers with the other entries' usage.
    /// \param crashDigest Of the reports of ended targets that this entry knows.
    void reportUsage(
        const Target &collector, const UsageByOrganisation &uses, std::uint64_t crashDigest);
    void sendCrashReports(
        const boost::asio::ip::address &agent, const std::vector<GrantMessage> &messages);
    void sendCrashReports(const Target &target, const std::vector<GrantMessage> &messages);
    /// Asks a target's agent whether the target has ended.
    void queryTarget(const Target &target);
    /// Asks an agent for permits to send to a target that has no agent itself.
    /// \param asDeputy Another agent, which should have been asked, doesn't answer.
    void requestPermits(
        const Target &issuer, const RateStatement &statement, int wanted, bool asDeputy);
    /// Tells an agent at which version a stream began.
    /// \param isOnlyVersion This entry knows no other version of the service.
    void shareStreamVersion(
        const Target &keeper, std::uint64_t stream, const std::string &version, bool isOnlyVersion);
    /// The same, as the answer to an agent's question.
    void shareStreamVersion(const boost::asio::ip::udp::endpoint &agent, std::uint64_t stream,
        const std::string &version, bool isOnlyVersion);
    /// Asks an agent at which version a stream began.
    /// \param shouldAskEntries The agent asks the entries if it doesn't know the stream.
    void queryStreamVersion(const Target &keeper, std::uint64_t stream, bool shouldAskEntries);
    /// Sends a report or directive of a rollout to another entry.
    void sendRollout(const boost::asio::ip::udp::endpoint &entry, GrantMessage message);
    /// Random id of this incarnation, which its messages carry.
    std::uint64_t sender() const { return this->senderId; }
    /// Called with each report and directive of a rollout, of other entries.
    std::function<void(const GrantMessage &, const boost::asio::ip::udp::endpoint &entry)>
        onRollout;
    /// Called with an agent's answer to queryStreamVersion().
    std::function<void(const GrantMessage &, const boost::asio::ip::address &agent)> onStreamOrigin;
    /// Called with an agent's question for a stream.
    std::function<void(std::uint64_t stream, const boost::asio::ip::udp::endpoint &agent)>
        onStreamQuery;
    /// Called with an agent's answer to requestPermits().
    std::function<void(const GrantMessage &)> onPermits;
    /// Called with statements of rates that other entries received.
    std::function<void(const std::vector<RateStatement> &)> onRates;
    /// Called with an agent's answer to queryTarget().
    std::function<void(const std::string &targetId, bool ended)> onTargetState;
    /// Called with each report of the other entries' usage.
    std::function<void(const UsageReport &)> onUsageReported;
    /// Called with each message that tells what an agent knows of ended targets.
    std::function<void(const GrantMessage &, const boost::asio::ip::address &agent)> onCrashReports;

    AgentView view(const Target &target, TimePoint now) const;
    /// Whether several agents, and all that were asked lately, leave reservations unanswered.
    bool areAllAgentsSilent(TimePoint now) const;

private:
    struct AgentRecord
    {
        std::optional<TargetLoad> load;
        TimePoint loadReceivedAt;
        std::optional<TimePoint> unansweredSince;
    };
    /// A message to a target's agent, with what the target stated of its rate.
    GrantMessage messageTo(const Target &target, GrantKind kind) const;
    void send(const Target &target, GrantMessage message);
    void returnGrant(const GrantMessage &granted, const boost::asio::ip::udp::endpoint &agent);
    void sendTo(const boost::asio::ip::udp::endpoint &agent, const GrantMessage &message);
    void receive();
    void handle(const GrantMessage &message, const boost::asio::ip::udp::endpoint &from);
    /// Passes an agent's answer to a reservation on to the request that made it.
    void handleReservationAnswer(
        const GrantMessage &message, const boost::asio::ip::udp::endpoint &from);

    Metrics &metrics;
    const StatedRates &rates;
    boost::asio::ip::udp::socket socket;
    std::uint16_t agentPort;
    std::uint64_t senderId;
    std::uint64_t nextReservationId = 1;
    std::array<char, 8'192> buffer;
    boost::asio::ip::udp::endpoint receivedFrom;
    std::map<boost::asio::ip::address, AgentRecord> agents;
    std::map<boost::asio::ip::address, std::string> targetByAddress;
    /// Agents asked since any of them sent a datagram, and when the first of these was asked.
    std::set<boost::asio::ip::address> askedSinceAnswer;
    TimePoint firstAskedAt;
    std::unordered_map<std::uint64_t, GrantListener *> listeners;
};

} // namespace wigeonsill
