/// \file grantmessage.h
/// Datagrams between entries and agents.
#pragma once

#include "wigeonsill/gateway.h"

namespace wigeonsill {

/// What a datagram asks or tells; numbered as in grant.capnp.
enum class GrantKind : std::uint16_t {
    Reserve, ///< Entry: this request wants room.
    Release, ///< Entry: it ended, went elsewhere or was given up.
    Began, ///< Entry: its first event arrived.
    Queued, ///< Agent: it waits.
    Granted, ///< Agent: send it now.
    Declined, ///< Agent: it waited to the end of its time.
    Usage, ///< Entry: what it admitted for each organisation lately.
    OthersUsage, ///< Agent: the sum of the other entries' reports.
};

/// One datagram, decoded.
struct GrantMessage
{
    GrantKind kind = GrantKind::Reserve;
    std::uint64_t sender = 0;
    TicketProfile profile; ///< ticket.entry is not on the wire: it is the entry's sender number.
    std::uint32_t generated = 0; ///< In Release: output tokens of a request that ended.
    int slots = 1;
    TargetLoad load;
    UsageByOrganisation ownUse; ///< In Usage.
    UsageReport usage; ///< In OthersUsage.
};

std::string encode(const GrantMessage &message);
/// Empty when the bytes are no message.
std::optional<GrantMessage> decodeGrantMessage(std::string_view bytes);

} // namespace wigeonsill
