/// \file agentchoice.h
/// Which listed agents an entry connects to. No input or output.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Most agents of one pool and region that an entry connects to.
struct AgentChoiceLimits
{
    std::size_t perPoolAtHome = 12; ///< In the entry's own region.
    std::size_t perPoolElsewhere = 2; ///< In each other region.
};

/// Keeps the agents that this entry connects to: of each pool and region a subset that every
/// process computes alike, and every agent whose pools the list does not name. Thread-safe.
std::vector<ListedInstance> chooseAgents(const Location &entry,
    const std::vector<ListedInstance> &instances, const AgentChoiceLimits &limits);

} // namespace wigeonsill
