/// \file pushplacement.h
/// Baselines for measurements: the agent is chosen at arrival and gets the request at once.
#pragma once

#include "agentdirectory.h"

namespace wigeonsill {

/// Chooses agents by the strategies that push. Not thread-safe.
class PushPlacement
{
public:
    /// The agent that gets a request at once; nullptr when the strategy does not push or when no
    /// agent is usable.
    AgentView *pick(
        PlacementStrategy strategy, AgentDirectory &directory, const RequestProfile &profile);

private:
    using Picker = AgentView *(PushPlacement::*)(AgentDirectory &, const RequestProfile &);
    struct Row
    {
        PlacementStrategy strategy;
        Picker picker;
    };
    static const std::array<Row, 3> pickers;

    AgentView *pickNone(AgentDirectory &directory, const RequestProfile &profile);
    AgentView *pickRoundRobin(AgentDirectory &directory, const RequestProfile &profile);
    AgentView *pickLeastLoad(AgentDirectory &directory, const RequestProfile &profile);

    std::map<std::string, std::size_t> turns; ///< By pool.
};

} // namespace wigeonsill
