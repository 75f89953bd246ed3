/// \file simulationstate.h
/// State of the simulated processes, connections and calls.
#pragma once

#include "simulation.h"

namespace wigeonsill::test {

/// An entry's connection to an agent. A stalled one delivers nothing and notifies neither side.
struct Simulation::Connection
{
    std::size_t entryIndex = 0;
    std::size_t agentIndex = 0;
    bool open = false;
    bool stalled = false;
    bool helloReceivedByAgent = false;
    bool helloReceivedByEntry = false;
    std::deque<EntryMessage> toAgent;
    std::deque<AgentMessage> toEntry;
};

struct Simulation::EntryProcess
{
    std::size_t index = 0;
    Incarnation incarnation;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<ClaimRegistry> claimRegistry;
    double clockRate = 1;
    bool paused = false;
    bool draining = false;

    bool isIdle() const
    {
        return this->core->requestsInProgress() == 0 && this->claimRegistry->inProgress() == 0;
    }
};

/// The execution of a request at a target.
struct Simulation::TargetRun
{
    RequestId id;
    bool executing = false; ///< The target has received the request.
    bool headSent = false;
    bool cancelled = false;
    bool paused = false;
    std::string answerBody;
    std::size_t sentBytes = 0;
};

struct Simulation::AgentProcess
{
    std::size_t index = 0;
    std::string name;
    Incarnation incarnation;
    std::unique_ptr<AgentCore> core;
    double clockRate = 1;
    bool paused = false;
    std::optional<Duration> drainStartedAt;
    std::map<std::string, TargetRun> runs;
};

/// A message that was in flight when its connection closed and may still be delivered.
struct Simulation::DelayedMessage
{
    Incarnation entryIncarnation;
    Incarnation agentIncarnation;
    std::variant<EntryMessage, AgentMessage> message;
};

/// A call to the claim store that has not completed.
struct Simulation::StoreCall
{
    std::size_t entryIndex = 0;
    Incarnation entryIncarnation;
    std::variant<ReadShard, WriteShard> call;
};

} // namespace wigeonsill::test
