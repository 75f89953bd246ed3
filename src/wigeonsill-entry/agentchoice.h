/// \file agentchoice.h
/// Selection of the agents that an entry connects to. Performs no I/O.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Limits for the number of agents that an entry connects to.
struct AgentChoiceLimits
{
    std::size_t agentsPerPoolInRegion = 12; ///< Agents per pool in the entry's own region.
    std::size_t agentsPerPoolElsewhere = 2; ///< Agents per pool in each other region.
    std::size_t minimumEntriesPerAgent = 3; ///< Entries of its region that connect to each agent.
};

/// Returns the listed agents that this entry connects to. These are
/// - for each pool and region, a subset that every process computes identically,
/// - each agent of the entry's region for which the entry is one of the minimumEntriesPerAgent
///   chosen entries, so that every agent receives work,
/// - every agent whose pools are not listed, and every leaving agent.
/// If no entry of the region is listed, all agents of the region are returned. Thread-safe.
std::vector<ListedInstance> chooseAgents(const Location &entry,
    const std::vector<ListedInstance> &instances, const AgentChoiceLimits &limits);

} // namespace wigeonsill
