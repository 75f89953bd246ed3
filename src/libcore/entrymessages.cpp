/// \file entrymessages.cpp
/// EntryCore: messages from agents, and agents that connect or disconnect.
#include "entrystate.h"

namespace wigeonsill {

void EntryCore::agentConnected(TimePoint now, const AgentHello &hello)
{
    const std::string &name = hello.location.instance;
    AgentView &agent = this->d->agents.get(name);
    agent.name = name;
    if (agent.incarnation != hello.incarnation) {
        this->d->endBoundRequests(agent);
        agent.load = {};
        agent.confirmedFloors.clear();
        this->d->prefixes.removeAgent(name);
    }
    agent.connected = false;
    this->d->dropReservations(now, agent);
    agent.incarnation = hello.incarnation;
    agent.location = hello.location;
    agent.connected = true;
    agent.draining = hello.draining;
    agent.lastMessageAt = now;
    this->d->agents.setPools(agent, hello.pools);
    this->d->floors.resetConfirmations();
    this->d->send(name, this->d->floors.makeStatement(now, this->d->configurationRevision));
    for (const std::uint64_t sequence : agent.bound) {
        this->d->queryRunStatus(this->d->requests.at(sequence));
    }
    const auto unplaced = this->d->unplaced;
    for (const auto &[tier, sequence] : unplaced) {
        this->d->placeReservations(now, this->d->requests.at(sequence));
    }
}

void EntryCore::agentDisconnected(TimePoint now, const std::string &name)
{
    AgentView *agent = this->d->agents.find(name);
    if (agent == nullptr || !agent->connected) {
        return;
    }
    agent->connected = false;
    agent->disconnectedAt = now;
    this->d->dropReservations(now, *agent);
}

void EntryCore::receive(TimePoint now, const std::string &name, const Incarnation &incarnation,
    const AgentMessage &message)
{
    AgentView *agent = this->d->agents.find(name);
    if (agent == nullptr || agent->incarnation != incarnation) {
        return;
    }
    agent->lastMessageAt = now;
    this->d->presentTime = now;
    std::visit(
        [this, now, agent](const auto &typed) { this->d->onMessage(now, *agent, typed); }, message);
}

EntryRequest *EntryCore::Private::findBound(const AgentView &agent, const RequestId &id)
{
    EntryRequest *request = this->find(id);
    const bool bound = request != nullptr && request->phase == RequestPhase::Bound
        && request->agent == agent.name && request->agentIncarnation == agent.incarnation;
    return bound ? request : nullptr;
}

bool EntryCore::Private::hasEnded(const RequestId &id) const
{
    return id.entry == this->incarnation && !this->requests.contains(id.sequence);
}

void EntryCore::Private::dropReservations(TimePoint now, AgentView &agent)
{
    const std::set<std::uint64_t> sequences = std::exchange(agent.reserved, {});
    for (const std::uint64_t sequence : sequences) {
        EntryRequest &request = this->requests.at(sequence);
        request.reservedAt.erase(agent.name);
        this->placeReservations(now, request);
    }
}

void EntryCore::Private::endBoundRequests(AgentView &agent)
{
    const std::set<std::uint64_t> sequences = std::exchange(agent.bound, {});
    for (const std::uint64_t sequence : sequences) {
        EntryRequest &request = this->requests.at(sequence);
        const bool hasAnswer = request.haveHead || request.receivedBytes > 0;
        this->finish(request, hasAnswer ? ResultCode::AnswerLost : ResultCode::AgentLost);
    }
}

void EntryCore::Private::queryRunStatus(EntryRequest &request)
{
    // An acknowledgement may have been lost, and without it the agent's send window stays full.
    if (request.consumedBytes > 0) {
        this->send(request.agent, Acknowledge{ request.id(), request.consumedBytes, false });
    }
    this->send(request.agent, Resume{ request.id(), request.receivedBytes, !request.haveHead });
}

void EntryCore::Private::onMessage(TimePoint, AgentView &, const AgentHello &) { }

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const Pull &message)
{
    EntryRequest *request = this->find(message.id);
    if (this->findBound(agent, message.id) != nullptr) {
        return;
    }
    const bool wanted = request != nullptr && request->phase == RequestPhase::Waiting
        && !request->excluded.contains(agent.name) && agent.isUsable() && request->deadline > now;
    if (!wanted) {
        this->send(agent.name, Decline{ message.id });
        return;
    }
    if (!this->floors.admits(
            now, request->callerRequest.profile.pool, request->callerRequest.profile.tier)) {
        agent.reserved.erase(message.id.sequence);
        request->reservedAt.erase(agent.name);
        this->updateUnplaced(*request);
        this->send(agent.name, Decline{ message.id });
        return;
    }
    this->bind(now, *request, agent);
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const ReservationEnded &message)
{
    EntryRequest *request = this->find(message.id);
    if (request == nullptr || request->phase != RequestPhase::Waiting) {
        return;
    }
    this->floors.addReported(now, message.floors);
    agent.reserved.erase(message.id.sequence);
    request->reservedAt.erase(agent.name);
    if (message.reason == ResultCode::Draining) {
        agent.draining = true;
    }
    if (message.reason == ResultCode::NoTargetAvailable) {
        request->excluded.insert(agent.name);
    }
    this->placeReservations(now, *request, agent.name);
    if (!request->reservedAt.empty()) {
        return;
    }
    const bool noUsableAgent = !this->agents.hasUsable(request->callerRequest.profile.pool);
    if (noUsableAgent) {
        this->finish(*request, ResultCode::NoTargetAvailable);
    } else if (message.reason == ResultCode::Overloaded) {
        this->shed(now, *request, ResultCode::Overloaded);
    } else if (message.reason != ResultCode::TierFloor) {
        this->placeReservations(now, *request);
    }
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const AnswerHead &message)
{
    EntryRequest *request = this->findBound(agent, message.id);
    if (request == nullptr || request->haveHead) {
        return;
    }
    request->lastProgress = now;
    request->haveHead = true;
    request->status = message.status;
    request->headers = message.headers;
    if (!request->isCallerDisconnected) {
        this->actions.emplace_back(DeliverHead{ message.id, message.status, message.headers });
    }
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const AnswerBytes &message)
{
    EntryRequest *request = this->findBound(agent, message.id);
    if (request == nullptr) {
        return;
    }
    const std::uint64_t end = message.offset + message.bytes.size();
    // A gap means that a message was lost; the next status query fetches the missing bytes.
    if (!request->haveHead || message.offset > request->receivedBytes
        || end <= request->receivedBytes) {
        return;
    }
    request->lastProgress = now;
    std::string bytes = message.bytes.substr(request->receivedBytes - message.offset);
    request->receivedBytes = end;
    if (request->isClaimed()
        && request->recordedAnswer.size() + bytes.size()
            <= this->limits.maximumRecordedAnswerBytes) {
        request->recordedAnswer += bytes;
    }
    if (request->isCallerDisconnected) {
        request->consumedBytes = request->receivedBytes;
        request->acknowledgedBytes = request->receivedBytes;
        this->send(agent.name, Acknowledge{ message.id, request->receivedBytes, false });
        return;
    }
    this->actions.emplace_back(DeliverBytes{ message.id, std::move(bytes) });
}

void EntryCore::Private::onMessage(TimePoint, AgentView &agent, const AnswerEnd &message)
{
    EntryRequest *request = this->findBound(agent, message.id);
    if (request == nullptr) {
        if (this->hasEnded(message.id)) {
            this->send(agent.name, Acknowledge{ message.id, 0, true });
        }
        return;
    }
    const bool isComplete = request->haveHead && request->receivedBytes == message.totalBytes;
    if (message.result == ResultCode::Ok && !isComplete) {
        this->queryRunStatus(*request);
        return;
    }
    this->send(agent.name, Acknowledge{ message.id, request->receivedBytes, true });
    this->learn(request->callerRequest.profile, message);
    this->finish(*request, message.result);
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const NotRun &message)
{
    EntryRequest *request = this->findBound(agent, message.id);
    if (request == nullptr) {
        return;
    }
    if (request->isCallerDisconnected) {
        this->finish(*request, ResultCode::CallerGone);
        return;
    }
    this->retryOrRefuse(now, *request, message.reason);
}

void EntryCore::Private::onMessage(TimePoint, AgentView &agent, const StillRunning &message)
{
    if (this->hasEnded(message.id)) {
        this->send(agent.name, CancelRun{ message.id });
    }
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const AgentHeartbeat &message)
{
    agent.load = message;
    this->floors.addReported(now, message.floors);
    this->floors.confirm(now, agent, message.floorSequence);
    if (message.draining && !agent.draining) {
        agent.draining = true;
        this->dropReservations(now, agent);
    }
}

} // namespace wigeonsill
