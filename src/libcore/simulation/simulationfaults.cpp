/// \file simulationfaults.cpp
/// Performs the steps of a schedule, including faults.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

namespace {

template <class Element>
auto &chooseElement(std::vector<std::unique_ptr<Element>> &elements, std::uint32_t number)
{
    return *elements[number % elements.size()];
}

} // namespace

void Simulation::perform(const Step &step)
{
    static const std::map<StepKind, StepHandler> handlers = {
        { StepKind::SubmitRequest, &Simulation::submitRequest },
        { StepKind::DeliverMessage, &Simulation::deliverMessage },
        { StepKind::DeliverAllMessages, &Simulation::deliverAllMessages },
        { StepKind::AdvanceClockShort, &Simulation::advanceClockShort },
        { StepKind::AdvanceClockLong, &Simulation::advanceClockLong },
        { StepKind::AdvanceTarget, &Simulation::advanceTarget },
        { StepKind::AdvanceStore, &Simulation::advanceStore },
        { StepKind::ConsumeAnswers, &Simulation::consumeAnswers },
        { StepKind::DisconnectCaller, &Simulation::disconnectCaller },
        { StepKind::DrainAgent, &Simulation::drainAgent },
        { StepKind::DrainEntry, &Simulation::drainEntry },
        { StepKind::AnnounceAgentLeaving, &Simulation::announceAgentLeaving },
        { StepKind::DuplicateMessage, &Simulation::duplicateMessage },
        { StepKind::ReorderMessages, &Simulation::reorderMessages },
        { StepKind::DropMessage, &Simulation::dropMessage },
        { StepKind::DeliverDelayedMessage, &Simulation::deliverDelayedMessage },
        { StepKind::ResetConnection, &Simulation::resetConnection },
        { StepKind::StallConnection, &Simulation::stallConnection },
        { StepKind::ToggleAgentPause, &Simulation::toggleAgentPause },
        { StepKind::ToggleEntryPause, &Simulation::toggleEntryPause },
        { StepKind::KillAgent, &Simulation::killAgent },
        { StepKind::KillEntry, &Simulation::killEntry },
    };
    if (!this->options.injectFaults && step.kind >= StepKind::DuplicateMessage) {
        return;
    }
    (this->*handlers.at(step.kind))(step);
}

void Simulation::deliverMessage(const Step &step)
{
    Connection &connection = chooseElement(this->connections, step.selector);
    if (step.parameter % 2 == 0) {
        this->deliverToAgent(connection);
    } else {
        this->deliverToEntry(connection);
    }
}

void Simulation::deliverAllMessages(const Step &)
{
    this->deliverUntilIdle();
}

void Simulation::advanceClockShort(const Step &step)
{
    this->advanceClock(milliseconds(100 + step.selector % 500));
    if (!this->options.injectFaults) {
        // A message delay of seconds counts as a fault.
        this->deliverUntilIdle();
    }
}

void Simulation::advanceClockLong(const Step &step)
{
    // A message delay of seconds counts as a fault, so without faults messages are delivered after
    // each interval.
    const Duration interval = milliseconds(500);
    for (std::uint32_t i = 0; i < 4 + step.selector % 24; ++i) {
        this->advanceClock(interval);
        if (!this->options.injectFaults || step.parameter % 2 == 0) {
            this->deliverUntilIdle();
        }
    }
}

void Simulation::advanceTarget(const Step &step)
{
    AgentProcess &agent = chooseElement(this->agents, step.selector);
    if (agent.paused) {
        return;
    }
    std::vector<std::string> ids;
    ids.reserve(agent.runs.size());
    for (const auto &[idText, run] : agent.runs) {
        ids.push_back(idText);
    }
    for (const std::string &idText : ids) {
        const auto found = agent.runs.find(idText);
        if (found != agent.runs.end()) {
            this->advanceRun(
                agent, found->second, step.parameter + std::uint32_t(stableHash(idText) % 64));
        }
    }
}

void Simulation::consumeAnswers(const Step &)
{
    this->consumeAllAnswers();
}

void Simulation::disconnectCaller(const Step &step)
{
    std::vector<CallerRecord *> openCallers;
    for (auto &[idText, record] : this->callerRecords) {
        if (record.endCount == 0 && !record.disconnected && !record.entryKilled) {
            openCallers.push_back(&record);
        }
    }
    if (openCallers.empty()) {
        return;
    }
    CallerRecord &record = *openCallers[step.selector % openCallers.size()];
    EntryProcess &entry = *this->entries[record.entryIndex];
    if (entry.paused) {
        return;
    }
    record.disconnected = true;
    entry.core->callerDisconnected(this->localTime(entry), record.id);
    this->performActions(entry);
}

void Simulation::drainAgent(const Step &step)
{
    AgentProcess &agent = chooseElement(this->agents, step.selector);
    if (agent.paused || agent.drainStartedAt) {
        return;
    }
    agent.drainStartedAt = this->clock;
    agent.core->drain(this->localTime(agent));
    this->performActions(agent);
}

void Simulation::drainEntry(const Step &step)
{
    EntryProcess &entry = chooseElement(this->entries, step.selector);
    if (!entry.paused) {
        entry.draining = true;
        entry.core->drain();
    }
}

void Simulation::announceAgentLeaving(const Step &step)
{
    const AgentProcess &agent = chooseElement(this->agents, step.selector);
    for (const auto &entry : this->entries) {
        if (!entry->paused) {
            entry->core->setAgentLeaving(
                this->localTime(*entry), agent.name, step.parameter % 2 == 0);
            this->performActions(*entry);
        }
    }
}

void Simulation::duplicateMessage(const Step &step)
{
    Connection &connection = chooseElement(this->connections, step.selector);
    if (step.parameter % 2 == 0 && !connection.toAgent.empty()) {
        connection.toAgent.push_back(connection.toAgent.front());
    } else if (connection.helloReceivedByEntry && !connection.toEntry.empty()) {
        connection.toEntry.push_back(connection.toEntry.front());
    }
}

void Simulation::reorderMessages(const Step &step)
{
    Connection &connection = chooseElement(this->connections, step.selector);
    if (step.parameter % 2 == 0 && !connection.toAgent.empty()) {
        std::swap(connection.toAgent.front(),
            connection.toAgent[(step.parameter / 2) % connection.toAgent.size()]);
    } else if (connection.helloReceivedByEntry && !connection.toEntry.empty()) {
        std::swap(connection.toEntry.front(),
            connection.toEntry[(step.parameter / 2) % connection.toEntry.size()]);
    }
}

void Simulation::dropMessage(const Step &step)
{
    Connection &connection = chooseElement(this->connections, step.selector);
    if (step.parameter % 2 == 0 && !connection.toAgent.empty()) {
        connection.toAgent.pop_front();
    } else if (connection.helloReceivedByEntry && !connection.toEntry.empty()) {
        connection.toEntry.pop_front();
    }
}

void Simulation::deliverDelayedMessage(const Step &step)
{
    if (this->delayedMessages.empty()) {
        return;
    }
    const std::size_t index = step.selector % this->delayedMessages.size();
    const DelayedMessage delayed = this->delayedMessages[index];
    if (step.parameter % 4 != 0) {
        this->delayedMessages.erase(this->delayedMessages.begin() + std::ptrdiff_t(index));
    }
    for (const auto &agent : this->agents) {
        const auto *message = std::get_if<EntryMessage>(&delayed.message);
        if (message != nullptr && agent->incarnation == delayed.agentIncarnation
            && !agent->paused) {
            agent->core->receive(this->localTime(*agent), delayed.entryIncarnation, *message);
            this->performActions(*agent);
        }
    }
    for (const auto &entry : this->entries) {
        const auto *message = std::get_if<AgentMessage>(&delayed.message);
        if (message == nullptr || entry->incarnation != delayed.entryIncarnation || entry->paused) {
            continue;
        }
        for (const auto &agent : this->agents) {
            entry->core->receive(
                this->localTime(*entry), agent->name, delayed.agentIncarnation, *message);
        }
        this->performActions(*entry);
    }
}

void Simulation::resetConnection(const Step &step)
{
    Connection &connection = chooseElement(this->connections, step.selector);
    const bool paused = this->entries[connection.entryIndex]->paused
        || this->agents[connection.agentIndex]->paused;
    if (!paused) {
        this->closeConnection(connection, true, true);
    }
}

void Simulation::stallConnection(const Step &step)
{
    chooseElement(this->connections, step.selector).stalled = true;
}

void Simulation::toggleAgentPause(const Step &step)
{
    AgentProcess &agent = chooseElement(this->agents, step.selector);
    agent.paused = !agent.paused;
    if (agent.paused || step.parameter % 2 == 0) {
        return;
    }
    // A resumed agent may read messages from its socket buffers before any of its timers runs.
    const std::vector<DelayedMessage> delayedAtResume = this->delayedMessages;
    for (const DelayedMessage &delayed : delayedAtResume) {
        const auto *message = std::get_if<EntryMessage>(&delayed.message);
        if (message != nullptr && delayed.agentIncarnation == agent.incarnation) {
            agent.core->receive(this->localTime(agent), delayed.entryIncarnation, *message);
            this->performActions(agent);
        }
    }
}

void Simulation::toggleEntryPause(const Step &step)
{
    EntryProcess &entry = chooseElement(this->entries, step.selector);
    entry.paused = !entry.paused;
}

void Simulation::killAgent(const Step &step)
{
    const std::size_t index = step.selector % this->agents.size();
    for (const auto &connection : this->connections) {
        if (connection->agentIndex == index) {
            const bool notified = !this->entries[connection->entryIndex]->paused;
            this->closeConnection(*connection, notified, false);
        }
    }
    this->startAgent(index);
}

void Simulation::killEntry(const Step &step)
{
    const std::size_t index = step.selector % this->entries.size();
    for (const auto &connection : this->connections) {
        if (connection->entryIndex == index) {
            const bool notified
                = step.parameter % 2 == 0 && !this->agents[connection->agentIndex]->paused;
            this->closeConnection(*connection, false, notified);
        }
    }
    for (auto &[idText, record] : this->callerRecords) {
        if (record.entryIndex == index && record.endCount == 0 && !record.disconnected) {
            record.entryKilled = true;
        }
    }
    this->startEntry(index);
}

} // namespace wigeonsill::test
