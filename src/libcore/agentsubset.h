/// \file agentsubset.h
/// Which agents an entry keeps a connection to when there are too many for a full mesh.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace wigeonsill {

/// Chooses the agents of one pool for one entry by rendezvous hashing: every process computes the
/// same choice, an agent that comes or goes changes it only for the entries that had it, and each
/// agent is chosen by about size * entries / agents entries. Thread-safe.
/// \param entry Name of the entry. \param agents Names of the pool's agents, in any order.
/// \param size Agents wanted; all are returned when there are no more than that.
/// \return The chosen names in descending order of preference.
std::vector<std::string> chooseAgentSubset(
    const std::string &entry, const std::vector<std::string> &agents, std::size_t size);

} // namespace wigeonsill
