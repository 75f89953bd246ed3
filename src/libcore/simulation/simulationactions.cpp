/// \file simulationactions.cpp
/// Performs the actions of entries and agents and checks them against the oracle.
#include "simulationstate.h"

namespace wigeonsill::test {

namespace {

constexpr Duration drainGracePeriod = seconds(2);

} // namespace

std::string Simulation::answerBodyFor(const RequestId &id)
{
    const std::string chunk = toString(id) + "|";
    const std::size_t size = stableHash(chunk) % 400;
    std::string answerBody;
    while (answerBody.size() < size) {
        answerBody += chunk;
    }
    answerBody.resize(size);
    return answerBody;
}

void Simulation::performActions(EntryProcess &entry)
{
    for (EntryAction &action : entry.core->takeActions()) {
        std::visit([this, &entry](auto &typed) { this->performAction(entry, typed); }, action);
    }
}

void Simulation::performActions(AgentProcess &agent)
{
    for (AgentAction &action : agent.core->takeActions()) {
        std::visit([this, &agent](auto &typed) { this->performAction(agent, typed); }, action);
    }
}

void Simulation::performAction(EntryProcess &entry, SendToAgent &action)
{
    for (const auto &connection : this->connections) {
        const bool matches = connection->entryIndex == entry.index
            && this->agents[connection->agentIndex]->name == action.agent;
        if (matches && connection->open && connection->helloReceivedByEntry) {
            connection->toAgent.push_back(std::move(action.message));
        }
    }
}

void Simulation::performAction(EntryProcess &entry, ReconnectAgent &action)
{
    for (const auto &connection : this->connections) {
        if (connection->entryIndex == entry.index
            && this->agents[connection->agentIndex]->name == action.agent) {
            this->closeConnection(*connection, true, false);
        }
    }
}

void Simulation::performAction(EntryProcess &, DeliverHead &action)
{
    CallerRecord &record = this->callerRecords.at(toString(action.id));
    this->checkInvariant(record.endCount == 0 && !record.headReceived,
        "a response head arrived twice or after the end");
    record.headReceived = true;
}

void Simulation::performAction(EntryProcess &, DeliverBytes &action)
{
    CallerRecord &record = this->callerRecords.at(toString(action.id));
    this->checkInvariant(record.endCount == 0 && record.headReceived,
        "body bytes arrived after the end or before the response head");
    const std::string &answerBody = record.isReplay ? record.replayedBody : record.answerBody;
    this->checkInvariant(
        answerBody.substr(std::min(record.bytes.size(), answerBody.size()), action.bytes.size())
            == action.bytes,
        toString(action.id) + " received bytes that differ from its answer");
    record.bytes += action.bytes;
}

void Simulation::performAction(EntryProcess &, DeliverEnd &action)
{
    const std::string idText = toString(action.id);
    CallerRecord &record = this->callerRecords[idText];
    ++record.endCount;
    record.result = action.result;
    this->checkInvariant(record.endCount == 1, idText + " ended more than once");
    this->checkInvariant(
        !record.disconnected, idText + " ended although its caller had disconnected");
    if (action.result == ResultCode::Ok) {
        const std::string &answerBody = record.isReplay ? record.replayedBody : record.answerBody;
        this->checkInvariant(record.isReplay || record.runCompleted,
            idText + " ended with Ok but its run did not complete");
        this->checkInvariant(record.headReceived && record.bytes == answerBody,
            idText + " ended with Ok but its answer is incomplete");
    }
    const Outcome outcome = resultInfo(action.result).outcome;
    this->checkInvariant(outcome != Outcome::NotRun || record.executions == 0,
        idText + " ran but its outcome is not-run");
    // EarlierAttemptUnknown is no interruption: a caller retry receives it when the answer to the
    // original request was too large to record.
    const bool interrupted = outcome != Outcome::Completed && outcome != Outcome::NotRun
        && action.result != ResultCode::EarlierAttemptUnknown;
    this->checkInvariant(this->options.injectFaults || !interrupted,
        idText
            + " was interrupted without a fault: " + std::string(resultInfo(action.result).name));
    this->checkInvariant(
        action.result != ResultCode::EarlierAttemptUnknown || record.executions == 0,
        idText + " ran although an earlier attempt may have run");
}

void Simulation::performAction(EntryProcess &entry, ClaimKey &action)
{
    entry.claimRegistry->claim(this->localTime(entry), std::move(action));
    this->performClaimActions(entry);
}

void Simulation::performAction(EntryProcess &entry, RecordClaim &action)
{
    entry.claimRegistry->record(this->localTime(entry), std::move(action));
    this->performClaimActions(entry);
}

void Simulation::performAction(AgentProcess &agent, SendToEntry &action)
{
    for (const auto &connection : this->connections) {
        const bool matches = connection->agentIndex == agent.index
            && this->entries[connection->entryIndex]->incarnation == action.entry;
        if (matches && connection->open && connection->helloReceivedByAgent) {
            connection->toEntry.push_back(std::move(action.message));
        }
    }
}

void Simulation::performAction(AgentProcess &agent, StartAtTarget &action)
{
    const std::string idText = toString(action.id);
    this->checkInvariant(
        !agent.drainStartedAt || this->clock - *agent.drainStartedAt <= drainGracePeriod,
        agent.name + " started a run after the grace period of its drain");
    const CallerRecord &record = this->callerRecords.at(idText);
    this->checkInvariant(
        record.endCount == 0 || record.result == ResultCode::Ok || record.disconnected,
        idText + " was started after its caller had received its result");
    this->checkInvariant(!agent.runs.contains(idText), idText + " was started twice");
    agent.runs[idText].id = action.id;
}

void Simulation::performAction(AgentProcess &agent, CancelAtTarget &action)
{
    const auto found = agent.runs.find(toString(action.id));
    if (found != agent.runs.end()) {
        this->checkInvariant(this->callerRecords.at(found->first).key.empty(),
            found->first + " is non-idempotent and was cancelled");
        found->second.cancelled = true;
    }
}

void Simulation::performAction(AgentProcess &agent, PauseTarget &action)
{
    const auto found = agent.runs.find(toString(action.id));
    if (found != agent.runs.end()) {
        found->second.paused = action.paused;
    }
}

void Simulation::beginExecution(AgentProcess &, TargetRun &run)
{
    const std::string idText = toString(run.id);
    CallerRecord &record = this->callerRecords.at(idText);
    run.executing = true;
    run.answerBody = answerBodyFor(run.id);
    record.answerBody = run.answerBody;
    ++record.executions;
    this->checkInvariant(record.executions == 1, idText + " was dispatched twice");
    this->checkInvariant(
        record.endCount == 0 || resultInfo(record.result).outcome != Outcome::NotRun,
        idText + " ran after its caller had received the outcome not-run");
    if (!record.key.empty()) {
        const int runs = ++this->executionsByKey[record.key];
        this->checkInvariant(runs == 1, record.key + " ran more than once");
    }
}

void Simulation::endRun(AgentProcess &agent, const RequestId &id, TargetEnd end)
{
    agent.runs.erase(toString(id));
    if (end == TargetEnd::Complete) {
        this->callerRecords.at(toString(id)).runCompleted = true;
    }
    agent.core->targetEnded(this->localTime(agent), id, end, {});
    this->performActions(agent);
}

bool Simulation::advanceRun(AgentProcess &agent, TargetRun &run, std::uint32_t choice)
{
    const RequestId id = run.id;
    const bool mayFail = this->options.injectFaults && !this->settling;
    if (run.cancelled) {
        this->endRun(agent, id, run.executing ? TargetEnd::Truncated : TargetEnd::NeverSent);
    } else if (!run.executing && mayFail && choice % 8 == 0) {
        this->endRun(agent, id, TargetEnd::NeverSent);
    } else if (!run.executing) {
        this->beginExecution(agent, run);
    } else if (mayFail && choice % 16 == 0) {
        this->endRun(agent, id, run.headSent ? TargetEnd::Truncated : TargetEnd::TimedOut);
    } else if (!run.headSent) {
        run.headSent = true;
        agent.core->targetHead(this->localTime(agent), id, 200, {});
        this->performActions(agent);
    } else if (run.sentBytes < run.answerBody.size() && !run.paused) {
        const std::string chunk = run.answerBody.substr(run.sentBytes, 1 + choice % 90);
        run.sentBytes += chunk.size();
        agent.core->targetBytes(this->localTime(agent), id, chunk);
        this->performActions(agent);
    } else if (run.sentBytes >= run.answerBody.size()) {
        this->endRun(agent, id, TargetEnd::Complete);
    } else {
        return false;
    }
    return true;
}

} // namespace wigeonsill::test
