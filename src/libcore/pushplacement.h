/// \file pushplacement.h
/// Baseline strategies for measurements: the agent is chosen on arrival and the request sent to it
/// at once.
#pragma once

#include "agentdirectory.h"

namespace wigeonsill {

/// Chooses agents under the push strategies. Not thread-safe.
class PushPlacement
{
public:
    /// Returns the agent to which the request is dispatched at once; nullptr when the strategy does
    /// not push or no agent is usable.
    AgentView *pick(
        PlacementStrategy strategy, AgentDirectory &directory, const RequestProfile &profile);

private:
    using Picker = AgentView *(PushPlacement::*)(AgentDirectory &, const RequestProfile &);
    /// The function that implements a strategy.
    struct Row
    {
        PlacementStrategy strategy;
        Picker picker;
    };
    static const std::array<Row, 3> pickers;

    AgentView *pickNone(AgentDirectory &directory, const RequestProfile &profile);
    AgentView *pickRoundRobin(AgentDirectory &directory, const RequestProfile &profile);
    AgentView *pickLeastLoad(AgentDirectory &directory, const RequestProfile &profile);

    std::map<std::string, std::size_t> roundRobinIndex; ///< By pool.
};

} // namespace wigeonsill
