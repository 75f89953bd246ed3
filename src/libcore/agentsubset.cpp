/// \file agentsubset.cpp
/// Rendezvous hashing of agents for an entry.
#include "wigeonsill/core.h"

#include <algorithm>

namespace wigeonsill {

std::vector<std::string> chooseAgentSubset(
    const std::string &entry, const std::vector<std::string> &agents, std::size_t size)
{
    const std::uint64_t seed = stableHash(entry);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(agents.size());
    for (const std::string &agent : agents) {
        ranked.emplace_back(stableHash(agent, seed), agent);
    }
    const std::size_t count = std::min(size, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string> chosen;
    chosen.reserve(count);
    for (auto place = ranked.begin(); place != end; ++place) {
        chosen.push_back(std::move(place->second));
    }
    return chosen;
}

} // namespace wigeonsill
