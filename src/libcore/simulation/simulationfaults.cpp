/// \file simulationfaults.cpp
/// The steps of a schedule, faults among them.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

namespace {

template <class Owner>
auto &pick(std::vector<std::unique_ptr<Owner>> &owners, std::uint32_t number)
{
    return *owners[number % owners.size()];
}

} // namespace

void Simulation::perform(const Step &step)
{
    static const std::map<StepKind, Handler> handlers = {
        { StepKind::Arrive, &Simulation::submitRequest },
        { StepKind::Deliver, &Simulation::deliverOne },
        { StepKind::DeliverAll, &Simulation::deliverEverything },
        { StepKind::Advance, &Simulation::advanceShort },
        { StepKind::AdvanceLong, &Simulation::advanceLong },
        { StepKind::TargetStep, &Simulation::stepTarget },
        { StepKind::StoreStep, &Simulation::stepStore },
        { StepKind::CallerTakes, &Simulation::callerTakes },
        { StepKind::CallerGone, &Simulation::callerLeaves },
        { StepKind::DrainAgent, &Simulation::drainAgent },
        { StepKind::DrainEntry, &Simulation::drainEntry },
        { StepKind::LeaveAgent, &Simulation::leaveAgent },
        { StepKind::Repeat, &Simulation::repeatMessage },
        { StepKind::Reorder, &Simulation::reorderMessages },
        { StepKind::Lose, &Simulation::loseMessage },
        { StepKind::Stray, &Simulation::deliverStray },
        { StepKind::Cut, &Simulation::cutConnection },
        { StepKind::Silence, &Simulation::silenceConnection },
        { StepKind::PauseAgent, &Simulation::pauseAgent },
        { StepKind::PauseEntry, &Simulation::pauseEntry },
        { StepKind::KillAgent, &Simulation::killAgent },
        { StepKind::KillEntry, &Simulation::killEntry },
    };
    if (!this->options.faults && step.kind >= StepKind::Repeat) {
        return;
    }
    (this->*handlers.at(step.kind))(step);
}

void Simulation::deliverOne(const Step &step)
{
    Connection &connection = pick(this->connections, step.a);
    if (step.b % 2 == 0) {
        this->deliverToAgent(connection);
    } else {
        this->deliverToEntry(connection);
    }
}

void Simulation::deliverEverything(const Step &)
{
    this->deliverAll();
}

void Simulation::advanceShort(const Step &step)
{
    this->advance(milliseconds(100 + step.a % 500));
    if (!this->options.faults) {
        // Messages that are late for seconds are a fault.
        this->deliverAll();
    }
}

void Simulation::advanceLong(const Step &step)
{
    // Without faults, messages are never late for seconds.
    const Duration step1 = milliseconds(500);
    for (std::uint32_t i = 0; i < 4 + step.a % 24; ++i) {
        this->advance(step1);
        if (!this->options.faults || step.b % 2 == 0) {
            this->deliverAll();
        }
    }
}

void Simulation::stepTarget(const Step &step)
{
    AgentProcess &agent = pick(this->agents, step.a);
    if (agent.paused) {
        return;
    }
    std::vector<std::string> ids;
    ids.reserve(agent.runs.size());
    for (const auto &[text, run] : agent.runs) {
        ids.push_back(text);
    }
    for (const std::string &text : ids) {
        const auto found = agent.runs.find(text);
        if (found != agent.runs.end()) {
            this->stepRun(agent, found->second, step.b + std::uint32_t(stableHash(text) % 64));
        }
    }
}

void Simulation::callerTakes(const Step &)
{
    this->takeAll();
}

void Simulation::callerLeaves(const Step &step)
{
    std::vector<CallerRecord *> open;
    for (auto &[text, record] : this->records) {
        if (record.ends == 0 && !record.gone && !record.entryDied) {
            open.push_back(&record);
        }
    }
    if (open.empty()) {
        return;
    }
    CallerRecord &record = *open[step.a % open.size()];
    EntryProcess &entry = *this->entries[record.entry];
    if (entry.paused) {
        return;
    }
    record.gone = true;
    entry.core->callerDisconnected(this->timeAt(entry), record.id);
    this->pump(entry);
}

void Simulation::drainAgent(const Step &step)
{
    AgentProcess &agent = pick(this->agents, step.a);
    if (agent.paused || agent.drainedAt) {
        return;
    }
    agent.drainedAt = this->clock;
    agent.core->drain(this->timeAt(agent));
    this->pump(agent);
}

void Simulation::drainEntry(const Step &step)
{
    EntryProcess &entry = pick(this->entries, step.a);
    if (!entry.paused) {
        entry.draining = true;
        entry.core->drain();
    }
}

void Simulation::leaveAgent(const Step &step)
{
    const AgentProcess &agent = pick(this->agents, step.a);
    for (const auto &entry : this->entries) {
        if (!entry->paused) {
            entry->core->setAgentLeaving(this->timeAt(*entry), agent.name, step.b % 2 == 0);
            this->pump(*entry);
        }
    }
}

void Simulation::repeatMessage(const Step &step)
{
    Connection &connection = pick(this->connections, step.a);
    if (step.b % 2 == 0 && !connection.toAgent.empty()) {
        connection.toAgent.push_back(connection.toAgent.front());
    } else if (connection.helloAtEntry && !connection.toEntry.empty()) {
        connection.toEntry.push_back(connection.toEntry.front());
    }
}

void Simulation::reorderMessages(const Step &step)
{
    Connection &connection = pick(this->connections, step.a);
    if (step.b % 2 == 0 && !connection.toAgent.empty()) {
        std::swap(connection.toAgent.front(),
            connection.toAgent[(step.b / 2) % connection.toAgent.size()]);
    } else if (connection.helloAtEntry && !connection.toEntry.empty()) {
        std::swap(connection.toEntry.front(),
            connection.toEntry[(step.b / 2) % connection.toEntry.size()]);
    }
}

void Simulation::loseMessage(const Step &step)
{
    Connection &connection = pick(this->connections, step.a);
    if (step.b % 2 == 0 && !connection.toAgent.empty()) {
        connection.toAgent.pop_front();
    } else if (connection.helloAtEntry && !connection.toEntry.empty()) {
        connection.toEntry.pop_front();
    }
}

void Simulation::deliverStray(const Step &step)
{
    if (this->strays.empty()) {
        return;
    }
    const std::size_t index = step.a % this->strays.size();
    const StrayMessage stray = this->strays[index];
    if (step.b % 4 != 0) {
        this->strays.erase(this->strays.begin() + std::ptrdiff_t(index));
    }
    for (const auto &agent : this->agents) {
        const auto *message = std::get_if<EntryMessage>(&stray.message);
        if (message != nullptr && agent->incarnation == stray.agent && !agent->paused) {
            agent->core->receive(this->timeAt(*agent), stray.entry, *message);
            this->pump(*agent);
        }
    }
    for (const auto &entry : this->entries) {
        const auto *message = std::get_if<AgentMessage>(&stray.message);
        if (message == nullptr || entry->incarnation != stray.entry || entry->paused) {
            continue;
        }
        for (const auto &agent : this->agents) {
            entry->core->receive(this->timeAt(*entry), agent->name, stray.agent, *message);
        }
        this->pump(*entry);
    }
}

void Simulation::cutConnection(const Step &step)
{
    Connection &connection = pick(this->connections, step.a);
    const bool paused = this->entries[connection.entryIndex]->paused
        || this->agents[connection.agentIndex]->paused;
    if (!paused) {
        this->closeConnection(connection, true, true);
    }
}

void Simulation::silenceConnection(const Step &step)
{
    pick(this->connections, step.a).silent = true;
}

void Simulation::pauseAgent(const Step &step)
{
    AgentProcess &agent = pick(this->agents, step.a);
    agent.paused = !agent.paused;
    if (agent.paused || step.b % 2 == 0) {
        return;
    }
    // What lay in its sockets may be read before any timer runs.
    const std::vector<StrayMessage> waiting = this->strays;
    for (const StrayMessage &stray : waiting) {
        const auto *message = std::get_if<EntryMessage>(&stray.message);
        if (message != nullptr && stray.agent == agent.incarnation) {
            agent.core->receive(this->timeAt(agent), stray.entry, *message);
            this->pump(agent);
        }
    }
}

void Simulation::pauseEntry(const Step &step)
{
    EntryProcess &entry = pick(this->entries, step.a);
    entry.paused = !entry.paused;
}

void Simulation::killAgent(const Step &step)
{
    const std::size_t index = step.a % this->agents.size();
    for (const auto &connection : this->connections) {
        if (connection->agentIndex == index) {
            const bool told = !this->entries[connection->entryIndex]->paused;
            this->closeConnection(*connection, told, false);
        }
    }
    this->startAgent(index);
}

void Simulation::killEntry(const Step &step)
{
    const std::size_t index = step.a % this->entries.size();
    for (const auto &connection : this->connections) {
        if (connection->entryIndex == index) {
            const bool told = step.b % 2 == 0 && !this->agents[connection->agentIndex]->paused;
            this->closeConnection(*connection, false, told);
        }
    }
    for (auto &[text, record] : this->records) {
        if (record.entry == index && record.ends == 0 && !record.gone) {
            record.entryDied = true;
        }
    }
    this->startEntry(index);
}

} // namespace wigeonsill::test
