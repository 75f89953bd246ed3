/// \file agentdirectory.cpp
/// What an entry knows of the agents.
#include "agentdirectory.h"

#include <algorithm>

namespace wigeonsill {

AgentView *AgentDirectory::find(const std::string &name)
{
    const auto found = this->agents.find(name);
    return found == this->agents.end() ? nullptr : &found->second;
}

void AgentDirectory::setPools(AgentView &agent, const std::vector<std::string> &newPools)
{
    for (const std::string &pool : agent.pools) {
        std::erase(this->pools[pool], agent.name);
        std::erase(this->views[pool], &agent);
    }
    agent.pools = newPools;
    for (const std::string &pool : newPools) {
        this->pools[pool].push_back(agent.name);
        this->views[pool].push_back(&agent);
    }
}

const std::vector<std::string> &AgentDirectory::ofPool(const std::string &pool) const
{
    static const std::vector<std::string> none;
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? none : found->second;
}

const std::vector<AgentView *> &AgentDirectory::viewsOf(const std::string &pool) const
{
    static const std::vector<AgentView *> none;
    const auto found = this->views.find(pool);
    return found == this->views.end() ? none : found->second;
}

bool AgentDirectory::hasUsable(const std::string &pool) const
{
    const std::vector<AgentView *> &poolAgents = this->viewsOf(pool);
    return std::any_of(poolAgents.begin(), poolAgents.end(),
        [](const AgentView *agent) { return agent->isUsable(); });
}

} // namespace wigeonsill
