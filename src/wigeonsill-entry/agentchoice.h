/// \file agentchoice.h
/// Which listed agents an entry connects to. No input or output.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// How many agents of one pool and region that an entry connects to.
struct AgentChoiceLimits
{
    std::size_t perPoolAtHome = 12; ///< In the entry's own region.
    std::size_t perPoolElsewhere = 2; ///< In each other region.
    std::size_t entriesPerAgent = 3; ///< Entries of its region that each agent gets at least.
};

/// Keeps the agents that this entry connects to: of each pool and region a subset that every
/// process computes alike; those agents of its region that it is one of the entriesPerAgent entries
/// for, so that no agent is left without work; and every agent whose pools the list does not name.
/// Where the list names no entry of the region, all agents are kept. Thread-safe.
std::vector<ListedInstance> chooseAgents(const Location &entry,
    const std::vector<ListedInstance> &instances, const AgentChoiceLimits &limits);

} // namespace wigeonsill
