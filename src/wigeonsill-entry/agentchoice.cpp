/// \file agentchoice.cpp
/// Which listed agents an entry connects to.
#include "agentchoice.h"

#include <algorithm>
#include <set>

namespace wigeonsill {

namespace {

/// Agents that can stand in for one another: same pool, same region.
using GroupKey = std::pair<std::string, std::string>;

std::map<GroupKey, std::vector<std::string>> groupAgents(
    const std::vector<ListedInstance> &instances)
{
    std::map<GroupKey, std::vector<std::string>> groups;
    for (const ListedInstance &instance : instances) {
        if (instance.role != "agent" || instance.leaving) {
            continue;
        }
        for (const std::string &pool : instance.pools) {
            groups[{ pool, instance.region }].push_back(instance.name);
        }
    }
    return groups;
}

/// Entries of the region that the list names, this one included.
std::vector<std::string> entriesOf(
    const Location &entry, const std::vector<ListedInstance> &instances)
{
    std::vector<std::string> names;
    bool anyListed = false;
    for (const ListedInstance &instance : instances) {
        const bool counts
            = instance.role == "entry" && instance.region == entry.region && !instance.leaving;
        if (counts) {
            anyListed = true;
            if (instance.name != entry.instance) {
                names.push_back(instance.name);
            }
        }
    }
    if (anyListed) {
        names.push_back(entry.instance);
    }
    return names;
}

} // namespace

std::vector<ListedInstance> chooseAgents(const Location &entry,
    const std::vector<ListedInstance> &instances, const AgentChoiceLimits &limits)
{
    std::set<std::string> chosen;
    for (const auto &[key, names] : groupAgents(instances)) {
        const bool isHome = key.second == entry.region;
        const std::size_t size = isHome ? limits.perPoolAtHome : limits.perPoolElsewhere;
        const std::vector<std::string> subset = chooseAgentSubset(entry.instance, names, size);
        chosen.insert(subset.begin(), subset.end());
    }
    const std::vector<std::string> entries = entriesOf(entry, instances);
    const auto mustServe = [&](const ListedInstance &agent) {
        if (agent.region != entry.region) {
            return false;
        }
        const auto served = chooseAgentSubset(agent.name, entries, limits.entriesPerAgent);
        return entries.empty() || std::ranges::find(served, entry.instance) != served.end();
    };
    std::vector<ListedInstance> result;
    for (const ListedInstance &instance : instances) {
        // A leaving agent stays in the list, so that the entry is told that it leaves.
        const bool wanted = instance.role == "agent"
            && (instance.pools.empty() || instance.leaving || chosen.contains(instance.name)
                || mustServe(instance));
        if (wanted) {
            result.push_back(instance);
        }
    }
    return result;
}

} // namespace wigeonsill
