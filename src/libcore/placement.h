/// \file placement.h
/// Which agents are asked for a request.
#pragma once

#include "agentdirectory.h"

namespace wigeonsill {

/// Facts of one placement.
struct PlacementQuery
{
    const RequestProfile *profile = nullptr;
    const std::set<std::string> *excluded = nullptr; ///< Agents that must not be asked.
    std::size_t wanted = 1;
};

/// Picks up to wanted agents: idle ones first, then the shorter queues of random picks.
/// \pre profile and excluded are set.
std::vector<std::string> pickCandidates(
    AgentDirectory &directory, const PlacementQuery &query, std::mt19937_64 &random);

} // namespace wigeonsill
