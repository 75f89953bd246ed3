/// \file placement.h
/// Which agents are asked for a request.
#pragma once

#include "agentdirectory.h"
#include "prefixdirectory.h"

namespace wigeonsill {

/// Facts of one placement.
struct PlacementQuery
{
    const RequestProfile *profile = nullptr;
    const std::set<std::string> *excluded = nullptr; ///< Agents that must not be asked.
    std::size_t wanted = 1;
};

/// How long a request waits for an agent that holds its prefix before others are asked too.
Duration affinityPatience(Weighting weighting);

/// Picks the agent that probably holds the request's prefix, unless its queue is longer than the
/// prefix is worth. A hot prefix so spreads to further agents. Empty when there is none.
/// \pre profile and excluded are set.
std::string pickAffine(AgentDirectory &directory, const PrefixDirectory &prefixes,
    const PlacementQuery &query, TimePoint now);

/// Picks up to wanted agents: idle ones first, then the shorter queues of random picks.
/// \pre profile and excluded are set.
std::vector<std::string> pickCandidates(
    AgentDirectory &directory, const PlacementQuery &query, std::mt19937_64 &random);

} // namespace wigeonsill
