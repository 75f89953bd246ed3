/// \file configurationchange.h
/// One change of the configuration: merge with what came meanwhile, store the parts, swap the root.
#pragma once

#include "configurationstore.h"

namespace wigeonsill {

/// How a change ended.
enum class ChangeState : std::uint8_t {
    Stored, ///< Accepted: it cannot be lost any more.
    Unchanged, ///< The stored configuration is already like this.
    Conflict, ///< Nothing was stored; the difference tells why.
    Failed, ///< Nothing was stored.
    Unknown, ///< It may have been stored; running it again with its change id settles that.
};
inline constexpr std::array changeStateNames = {
    EnumName<ChangeState>{ ChangeState::Stored, "stored" },
    EnumName<ChangeState>{ ChangeState::Unchanged, "unchanged" },
    EnumName<ChangeState>{ ChangeState::Conflict, "conflict" },
    EnumName<ChangeState>{ ChangeState::Failed, "failed" },
    EnumName<ChangeState>{ ChangeState::Unknown, "unknown" },
};

struct ChangeRequest
{
    Configuration wanted;
    std::optional<std::uint64_t> base; ///< Revision that the declarations were made from.
    std::string changeId;
    bool isRepeated = false; ///< The change id was used before; the history is searched for it.
    std::string author;
    std::string storedAt;
};

struct ChangeReport
{
    ChangeState state = ChangeState::Failed;
    std::uint64_t revision = 0; ///< Stored or present revision.
    bool merged = false; ///< Another operator's change was kept beside this one.
    std::vector<ConfigurationDifference> differences; ///< From the stored one to the wanted one.
    std::vector<std::string> conflicts; ///< What both sides changed, or what no longer fits.
    Error error; ///< Set when it failed.
};

/// Carries a change out. Repeating it changes nothing.
boost::asio::awaitable<ChangeReport> changeConfiguration(
    ConfigurationStore &store, const ChangeRequest &request);

} // namespace wigeonsill
