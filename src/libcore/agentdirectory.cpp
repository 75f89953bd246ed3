/// \file agentdirectory.cpp
/// Agents known to an entry.
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
        std::erase(this->namesByPool[pool], agent.name);
        std::erase(this->viewsByPool[pool], &agent);
    }
    agent.pools = newPools;
    for (const std::string &pool : newPools) {
        this->namesByPool[pool].push_back(agent.name);
        this->viewsByPool[pool].push_back(&agent);
    }
}

const std::vector<std::string> &AgentDirectory::namesInPool(const std::string &pool) const
{
    static const std::vector<std::string> none;
    const auto found = this->namesByPool.find(pool);
    return found == this->namesByPool.end() ? none : found->second;
}

const std::vector<AgentView *> &AgentDirectory::agentsInPool(const std::string &pool) const
{
    static const std::vector<AgentView *> none;
    const auto found = this->viewsByPool.find(pool);
    return found == this->viewsByPool.end() ? none : found->second;
}

bool AgentDirectory::hasUsable(const std::string &pool) const
{
    const std::vector<AgentView *> &poolAgents = this->agentsInPool(pool);
    return std::any_of(poolAgents.begin(), poolAgents.end(),
        [](const AgentView *agent) { return agent->isUsable(); });
}

} // namespace wigeonsill
