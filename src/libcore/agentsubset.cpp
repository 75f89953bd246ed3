/// \file agentsubset.cpp
/// Choice of an entry's agents by rendezvous hashing.
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
    for (auto item = ranked.begin(); item != end; ++item) {
        chosen.push_back(std::move(item->second));
    }
    return chosen;
}

} // namespace wigeonsill
