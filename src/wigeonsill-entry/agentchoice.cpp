/// \file agentchoice.cpp
/// Selection of the agents that an entry connects to.
#include "agentchoice.h"

#include <algorithm>
#include <set>

namespace wigeonsill {

namespace {

/// Pool and region. Agents with the same key are interchangeable.
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

/// Names of the listed entries in this entry's region, always including this entry. Empty if none
/// is listed.
std::vector<std::string> listedEntriesInRegion(
    const Location &entry, const std::vector<ListedInstance> &instances)
{
    std::vector<std::string> names;
    bool anyListed = false;
    for (const ListedInstance &instance : instances) {
        const bool isEntryInRegion
            = instance.role == "entry" && instance.region == entry.region && !instance.leaving;
        if (isEntryInRegion) {
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
        const bool inOwnRegion = key.second == entry.region;
        const std::size_t size
            = inOwnRegion ? limits.agentsPerPoolInRegion : limits.agentsPerPoolElsewhere;
        const std::vector<std::string> subset = chooseAgentSubset(entry.instance, names, size);
        chosen.insert(subset.begin(), subset.end());
    }
    const std::vector<std::string> entries = listedEntriesInRegion(entry, instances);
    const auto isAssigned = [&](const ListedInstance &agent) {
        if (agent.region != entry.region) {
            return false;
        }
        const auto assignedEntries
            = chooseAgentSubset(agent.name, entries, limits.minimumEntriesPerAgent);
        return entries.empty()
            || std::ranges::find(assignedEntries, entry.instance) != assignedEntries.end();
    };
    std::vector<ListedInstance> result;
    for (const ListedInstance &instance : instances) {
        // Leaving agents are kept so that the entry learns that they are leaving.
        const bool isKept = instance.role == "agent"
            && (instance.pools.empty() || instance.leaving || chosen.contains(instance.name)
                || isAssigned(instance));
        if (isKept) {
            result.push_back(instance);
        }
    }
    return result;
}

} // namespace wigeonsill
