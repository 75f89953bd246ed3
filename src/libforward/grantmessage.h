/// \file grantmessage.h
/// Grant messages between entries and agents.
#pragma once

#include "rolloutmessage.h"
#include "wigeonsill/gateway.h"
#include "wigeonsill/quarantine.h"

namespace wigeonsill {

/// Kind of a grant message; numbered as in grant.capnp.
enum class GrantKind : std::uint16_t {
    Reserve, ///< Entry: reserves room for a request.
    Release, ///< Entry: the request ended, was sent elsewhere or abandoned.
    Began, ///< Entry: the first event of the answer arrived.
    Queued, ///< Agent: the request is queued.
    Granted, ///< Agent: the request may be sent now.
    Declined, ///< Agent: the maximum wait ended without a grant.
    Usage, ///< Entry: what it admitted for each organisation.
    OthersUsage, ///< Agent: the sum of the other entries' reports.
    CrashReports, ///< Both: reports of ended targets.
    TargetQuery, ///< Entry: asks whether the target has ended.
    TargetState, ///< Agent: whether it has, by a report asked for since.
    PermitRequest, ///< Entry: wants to send to a target without an agent that states a rate.
    Permits, ///< Agent: how many requests may be sent there.
    RolloutReport, ///< Entry to the owner of the rollouts: what it saw of one.
    RolloutDirective, ///< The owner's answer.
    StreamBegan, ///< Entry: a stream began, or goes on, at a version.
    StreamQuery, ///< Entry: asks at which version a stream began.
    StreamOrigin, ///< Agent: the answer.
};

/// A decoded datagram.
struct GrantMessage
{
    GrantKind kind = GrantKind::Reserve;
    std::uint64_t sender = 0;
    ReservationProfile profile; ///< ticket.entry is not sent; the receiver sets it from sender.
    std::uint32_t generated = 0; ///< In Release: output tokens of a finished request.
    int slots = 1;
    TargetLoad load;
    UsageByOrganisation ownUsage; ///< In Usage.
    UsageReport usage; ///< In OthersUsage.
    std::vector<CrashReport> crashReports; ///< Sent with their age on this process's clock.
    std::uint64_t crashDigest = 0; ///< Of all reports that the sender knows.
    std::string targetId; ///< In TargetQuery and TargetState; load.startedMs is its start.
    bool targetEnded = false; ///< In TargetState.
    /// In Usage: statements that the entry received. In OthersUsage: all that the agent knows. In
    /// others: that of the message's target, if it stated a rate.
    std::vector<RateStatement> rates;
    PermitIssuer::Answer permits; ///< In PermitRequest: the number wanted.
    bool asDeputy = false; ///< In PermitRequest and Permits: the first issuer didn't answer.
    bool unused = false; ///< In Release: nothing was sent to the target.
    bool moreFollow = false; ///< In CrashReports: this is not the last of several datagrams.
    std::uint64_t stream = 0; ///< In StreamBegan, StreamQuery and StreamOrigin: see streamHash().
    std::string version; ///< In StreamBegan and StreamOrigin: of the targets' software.
    bool isStreamKnown = false; ///< In StreamOrigin.
    /// In StreamOrigin: an entry that knows several versions told the agent of a stream lately.
    bool areSeveralVersionsKnown = false;
    bool shouldAskEntries = false; ///< In StreamQuery: the agents that keep streams don't know it.
    bool isOnlyVersion = false; ///< In StreamBegan: the entry knows no other one of the service.
    std::optional<RolloutReportPart> rolloutReport; ///< In RolloutReport, and always there.
    std::optional<RolloutDirective> rolloutDirective; ///< In RolloutDirective, and always there.
};

/// Splits reports into messages that fit into a datagram; one message when there are no reports.
std::vector<GrantMessage> crashReportMessages(const Quarantine &quarantine);
std::string encode(const GrantMessage &message);
/// Empty when the bytes are not a valid message.
std::optional<GrantMessage> decodeGrantMessage(std::string_view bytes);

} // namespace wigeonsill
