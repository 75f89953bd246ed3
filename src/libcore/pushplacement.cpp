/// \file pushplacement.cpp
/// Baseline strategies that dispatch a request on arrival.
#include "pushplacement.h"

namespace wigeonsill {

const std::array<PushPlacement::Row, 3> PushPlacement::pickers = { {
    { PlacementStrategy::LateBinding, &PushPlacement::pickNone },
    { PlacementStrategy::RoundRobin, &PushPlacement::pickRoundRobin },
    { PlacementStrategy::LeastLoad, &PushPlacement::pickLeastLoad },
} };

AgentView *PushPlacement::pick(
    PlacementStrategy strategy, AgentDirectory &directory, const RequestProfile &profile)
{
    for (const Row &row : pickers) {
        if (row.strategy == strategy) {
            return (this->*row.picker)(directory, profile);
        }
    }
    return nullptr;
}

AgentView *PushPlacement::pickNone(AgentDirectory &, const RequestProfile &)
{
    return nullptr;
}

AgentView *PushPlacement::pickRoundRobin(AgentDirectory &directory, const RequestProfile &profile)
{
    const std::vector<std::string> &names = directory.namesInPool(profile.pool);
    std::size_t &nextIndex = this->roundRobinIndex[profile.pool];
    for (std::size_t tried = 0; tried < names.size(); ++tried) {
        AgentView &agent = directory.get(names[nextIndex++ % names.size()]);
        if (agent.isUsable()) {
            return &agent;
        }
    }
    return nullptr;
}

AgentView *PushPlacement::pickLeastLoad(AgentDirectory &directory, const RequestProfile &profile)
{
    AgentView *best = nullptr;
    for (const std::string &name : directory.namesInPool(profile.pool)) {
        AgentView &agent = directory.get(name);
        if (!agent.isUsable()) {
            continue;
        }
        if (best == nullptr || agent.load.tokensInFlight < best->load.tokensInFlight) {
            best = &agent;
        }
    }
    return best;
}

} // namespace wigeonsill
