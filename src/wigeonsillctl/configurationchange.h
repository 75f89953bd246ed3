/// \file configurationchange.h
/// One change of the configuration: merges it with the changes stored since its base, stores the
/// parts, and replaces the root by compare-and-swap.
#pragma once

#include "configurationstore.h"

namespace wigeonsill {

/// Result of a change.
enum class ChangeState : std::uint8_t {
    Stored, ///< Durably stored.
    Unchanged, ///< The stored configuration already has the declared content.
    Conflict, ///< Nothing was stored; ChangeReport::conflicts says why.
    Failed, ///< Nothing was stored.
    Unknown, ///< It may have been stored; repeating it with the same change id resolves this.
};
inline constexpr std::array changeStateNames = {
    EnumName<ChangeState>{ ChangeState::Stored, "stored" },
    EnumName<ChangeState>{ ChangeState::Unchanged, "unchanged" },
    EnumName<ChangeState>{ ChangeState::Conflict, "conflict" },
    EnumName<ChangeState>{ ChangeState::Failed, "failed" },
    EnumName<ChangeState>{ ChangeState::Unknown, "unknown" },
};

/// A change that an operator asks for.
struct ChangeRequest
{
    Configuration declared;
    std::optional<std::uint64_t> base; ///< Revision that the declarations are based on.
    std::string changeId;
    bool isRepeated = false; ///< The change id may be stored already: search the history.
    std::string author;
    std::string storedAt; ///< UTC time in ISO 8601 format.
};

/// Result of a change, with its details.
struct ChangeReport
{
    ChangeState state = ChangeState::Failed;
    std::uint64_t revision = 0; ///< Of this change, or the current one; 0 if it failed.
    bool merged = false; ///< The base was outdated: merged with later changes.
    /// From the stored to the declared or merged configuration.
    std::vector<ConfigurationDifference> differences;
    std::vector<std::string> conflicts; ///< Changed on both sides, or invalid after the merge.
    Error error; ///< Set if the state is Failed.
};

/// Stores a change. Idempotent: repeating a stored change changes nothing.
boost::asio::awaitable<ChangeReport> changeConfiguration(
    ConfigurationStore &store, const ChangeRequest &request);

} // namespace wigeonsill
