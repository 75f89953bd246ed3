/// \file linkcounters.h
/// Counts the messages between an entry and its agents by kind.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// Messages and bytes of each kind since the start. Not thread-safe.
class LinkCounters
{
public:
    void countSent(const EntryMessage &message, std::size_t bytes);
    void countReceived(const AgentMessage &message, std::size_t bytes);
    /// Messages and bytes by direction and kind; kinds that never came are left out.
    boost::json::object toJson() const;

private:
    struct Total
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    std::array<Total, std::variant_size_v<EntryMessage>> sent{};
    std::array<Total, std::variant_size_v<AgentMessage>> received{};
};

} // namespace wigeonsill
