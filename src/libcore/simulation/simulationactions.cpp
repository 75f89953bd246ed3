/// \file simulationactions.cpp
/// What the simulation does with the cores' actions, and what the oracle says of them.
#include "simulationstate.h"

namespace wigeonsill::test {

namespace {

constexpr Duration drainGrace = seconds(2);

} // namespace

std::string Simulation::contentOf(const RequestId &id)
{
    const std::string piece = toString(id) + "|";
    const std::size_t size = stableHash(piece) % 400;
    std::string content;
    while (content.size() < size) {
        content += piece;
    }
    content.resize(size);
    return content;
}

void Simulation::pump(EntryProcess &entry)
{
    for (EntryAction &action : entry.core->takeActions()) {
        std::visit([this, &entry](auto &typed) { this->onAction(entry, typed); }, action);
    }
}

void Simulation::pump(AgentProcess &agent)
{
    for (AgentAction &action : agent.core->takeActions()) {
        std::visit([this, &agent](auto &typed) { this->onAction(agent, typed); }, action);
    }
}

void Simulation::onAction(EntryProcess &entry, SendToAgent &action)
{
    for (const auto &connection : this->connections) {
        const bool matches = connection->entryIndex == entry.index
            && this->agents[connection->agentIndex]->name == action.agent;
        if (matches && connection->open && connection->helloAtEntry) {
            connection->toAgent.push_back(std::move(action.message));
        }
    }
}

void Simulation::onAction(EntryProcess &entry, ReconnectAgent &action)
{
    for (const auto &connection : this->connections) {
        if (connection->entryIndex == entry.index
            && this->agents[connection->agentIndex]->name == action.agent) {
            this->closeConnection(*connection, true, false);
        }
    }
}

void Simulation::onAction(EntryProcess &, DeliverHead &action)
{
    CallerRecord &record = this->records.at(toString(action.id));
    this->check(record.ends == 0 && !record.headSeen, "a head came twice or after the end");
    record.headSeen = true;
}

void Simulation::onAction(EntryProcess &, DeliverBytes &action)
{
    CallerRecord &record = this->records.at(toString(action.id));
    this->check(record.ends == 0 && record.headSeen, "bytes came after the end or before the head");
    const std::string &content = record.isReplay ? record.replayed : record.content;
    this->check(content.substr(std::min(record.bytes.size(), content.size()), action.bytes.size())
            == action.bytes,
        toString(action.id) + " got bytes that are not its own");
    record.bytes += action.bytes;
}

void Simulation::onAction(EntryProcess &, DeliverEnd &action)
{
    const std::string text = toString(action.id);
    CallerRecord &record = this->records[text];
    ++record.ends;
    record.result = action.result;
    this->check(record.ends == 1, text + " ended twice");
    this->check(!record.gone, text + " ended for a caller that was gone");
    if (action.result == ResultCode::Ok) {
        const std::string &content = record.isReplay ? record.replayed : record.content;
        this->check(record.isReplay || record.ranWhole, text + " is Ok but did not run whole");
        this->check(record.headSeen && record.bytes == content, text + " is Ok but not whole");
    }
    const Outcome outcome = resultInfo(action.result).outcome;
    this->check(outcome != Outcome::NotRun || record.reached == 0, text + " ran but is not-run");
    // A repeat whose first attempt ended with an answer too large to record was not cut off.
    const bool cutOff = outcome != Outcome::Completed && outcome != Outcome::NotRun
        && action.result != ResultCode::EarlierAttemptUnknown;
    this->check(this->options.faults || !cutOff,
        text + " was cut off without a fault: " + std::string(resultInfo(action.result).name));
    this->check(action.result != ResultCode::EarlierAttemptUnknown || record.reached == 0,
        text + " ran although an earlier attempt may have run");
}

void Simulation::onAction(EntryProcess &entry, ClaimKey &action)
{
    entry.book->claim(this->timeAt(entry), std::move(action));
    this->pumpClaims(entry);
}

void Simulation::onAction(EntryProcess &entry, RecordClaim &action)
{
    entry.book->record(this->timeAt(entry), std::move(action));
    this->pumpClaims(entry);
}

void Simulation::onAction(AgentProcess &agent, SendToEntry &action)
{
    for (const auto &connection : this->connections) {
        const bool matches = connection->agentIndex == agent.index
            && this->entries[connection->entryIndex]->incarnation == action.entry;
        if (matches && connection->open && connection->helloAtAgent) {
            connection->toEntry.push_back(std::move(action.message));
        }
    }
}

void Simulation::onAction(AgentProcess &agent, StartAtTarget &action)
{
    const std::string text = toString(action.id);
    this->check(!agent.drainedAt || this->clock - *agent.drainedAt <= drainGrace,
        agent.name + " started work long after its drain");
    const CallerRecord &record = this->records.at(text);
    this->check(record.ends == 0 || record.result == ResultCode::Ok || record.gone,
        text + " was started after its caller was told how it ended");
    this->check(!agent.runs.contains(text), text + " was started twice");
    agent.runs[text].id = action.id;
}

void Simulation::onAction(AgentProcess &agent, CancelAtTarget &action)
{
    const auto found = agent.runs.find(toString(action.id));
    if (found != agent.runs.end()) {
        this->check(this->records.at(found->first).key.empty(),
            found->first + " is non-idempotent and was cancelled");
        found->second.cancelled = true;
    }
}

void Simulation::onAction(AgentProcess &agent, PauseTarget &action)
{
    const auto found = agent.runs.find(toString(action.id));
    if (found != agent.runs.end()) {
        found->second.paused = action.paused;
    }
}

void Simulation::reachTarget(AgentProcess &, TargetRun &run)
{
    const std::string text = toString(run.id);
    CallerRecord &record = this->records.at(text);
    run.reached = true;
    run.content = contentOf(run.id);
    record.content = run.content;
    ++record.reached;
    this->check(record.reached == 1, text + " was dispatched twice");
    this->check(record.ends == 0 || resultInfo(record.result).outcome != Outcome::NotRun,
        text + " ran after its caller was told not-run");
    if (!record.key.empty()) {
        const int runs = ++this->reachedByKey[record.key];
        this->check(runs == 1, record.key + " ran twice");
    }
}

void Simulation::endRun(AgentProcess &agent, const RequestId &id, TargetEnd end)
{
    agent.runs.erase(toString(id));
    if (end == TargetEnd::Complete) {
        this->records.at(toString(id)).ranWhole = true;
    }
    agent.core->targetEnded(this->timeAt(agent), id, end, {});
    this->pump(agent);
}

bool Simulation::stepRun(AgentProcess &agent, TargetRun &run, std::uint32_t choice)
{
    const RequestId id = run.id;
    const bool faulty = this->options.faults && !this->settling;
    if (run.cancelled) {
        this->endRun(agent, id, run.reached ? TargetEnd::Truncated : TargetEnd::NeverSent);
    } else if (!run.reached && faulty && choice % 8 == 0) {
        this->endRun(agent, id, TargetEnd::NeverSent);
    } else if (!run.reached) {
        this->reachTarget(agent, run);
    } else if (faulty && choice % 16 == 0) {
        this->endRun(agent, id, run.headGiven ? TargetEnd::Truncated : TargetEnd::TimedOut);
    } else if (!run.headGiven) {
        run.headGiven = true;
        agent.core->targetHead(this->timeAt(agent), id, 200, {});
        this->pump(agent);
    } else if (run.given < run.content.size() && !run.paused) {
        const std::string piece = run.content.substr(run.given, 1 + choice % 90);
        run.given += piece.size();
        agent.core->targetBytes(this->timeAt(agent), id, piece);
        this->pump(agent);
    } else if (run.given >= run.content.size()) {
        this->endRun(agent, id, TargetEnd::Complete);
    } else {
        return false;
    }
    return true;
}

} // namespace wigeonsill::test
