/// \file placement.h
/// Choice of the agents at which a request is reserved.
#pragma once

#include "agentdirectory.h"
#include "prefixdirectory.h"

namespace wigeonsill {

/// Input of one placement.
struct PlacementQuery
{
    const RequestProfile *profile = nullptr;
    const std::set<std::string> *excluded = nullptr; ///< Agents that must not be chosen.
    std::size_t wanted = 1; ///< Maximum number of agents to choose.
};

/// How long a request waits for an agent that holds its prefix before it is reserved at others too.
Duration affinityMaximumWait(Weighting weighting);

/// Picks an agent that probably holds the request's prefix and whose queue is short enough for the
/// saved prefill to outweigh the wait. A frequently used prefix thus spreads to further agents.
/// Returns an empty name when there is no such agent.
/// \pre profile and excluded are set.
std::string pickPrefixHolder(AgentDirectory &directory, const PrefixDirectory &prefixes,
    const PlacementQuery &query, TimePoint now);

/// Picks up to query.wanted agents with the shortest queues from a random sample, or only one if
/// that one is idle.
/// \pre profile and excluded are set.
std::vector<std::string> pickCandidates(
    AgentDirectory &directory, const PlacementQuery &query, std::mt19937_64 &random);

} // namespace wigeonsill
