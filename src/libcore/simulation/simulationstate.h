/// \file simulationstate.h
/// The simulated processes and what lies between them.
#pragma once

#include "simulation.h"

namespace wigeonsill::test {

/// An entry's connection to an agent. A silent one carries nothing and nobody is told.
struct Simulation::Connection
{
    std::size_t entryIndex = 0;
    std::size_t agentIndex = 0;
    bool open = false;
    bool silent = false;
    bool helloAtAgent = false;
    bool helloAtEntry = false;
    std::deque<EntryMessage> toAgent;
    std::deque<AgentMessage> toEntry;
};

struct Simulation::EntryProcess
{
    std::size_t index = 0;
    Incarnation incarnation;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<ClaimRegistry> book;
    double clockRate = 1;
    bool paused = false;
    bool draining = false;

    bool isIdle() const
    {
        return this->core->requestsInProgress() == 0 && this->book->inProgress() == 0;
    }
};

/// A request at a target.
struct Simulation::TargetRun
{
    RequestId id;
    bool reached = false;
    bool headGiven = false;
    bool cancelled = false;
    bool paused = false;
    std::string content;
    std::size_t given = 0;
};

struct Simulation::AgentProcess
{
    std::size_t index = 0;
    std::string name;
    Incarnation incarnation;
    std::unique_ptr<AgentCore> core;
    double clockRate = 1;
    bool paused = false;
    std::optional<Duration> drainedAt;
    std::map<std::string, TargetRun> runs;
};

/// A message of a connection that is closed, which may still come.
struct Simulation::StrayMessage
{
    Incarnation entry;
    Incarnation agent;
    std::variant<EntryMessage, AgentMessage> message;
};

struct Simulation::StoreCall
{
    std::size_t entryIndex = 0;
    Incarnation entry;
    std::variant<ReadShard, WriteShard> call;
};

} // namespace wigeonsill::test
