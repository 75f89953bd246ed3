/// \file entrymessages.cpp
/// What an entry does on each message of an agent, and when an agent comes or goes.
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
        this->d->prefixes.forgetAgent(name);
    }
    agent.connected = false;
    this->d->dropReservations(now, agent);
    agent.incarnation = hello.incarnation;
    agent.location = hello.location;
    agent.connected = true;
    agent.draining = hello.draining;
    agent.lastHeard = now;
    this->d->agents.setPools(agent, hello.pools);
    this->d->floors.forgetConsent();
    this->d->send(name, this->d->floors.makeStatement(now, this->d->configurationRevision));
    for (const std::uint64_t sequence : agent.bound) {
        this->d->ask(this->d->requests.at(sequence));
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
    agent->lastHeard = now;
    this->d->presentTime = now;
    std::visit(
        [this, now, agent](const auto &typed) { this->d->onMessage(now, *agent, typed); }, message);
}

EntryRequest *EntryCore::Private::boundTo(const AgentView &agent, const RequestId &id)
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
        const bool ran = request.haveHead || request.received > 0;
        this->finish(request, ran ? ResultCode::AnswerLost : ResultCode::AgentLost);
    }
}

void EntryCore::Private::ask(EntryRequest &request)
{
    // An acknowledgement may have been lost, and without it the agent's window stays closed.
    if (request.taken > 0) {
        this->send(request.agent, Acknowledge{ request.id(), request.taken, false });
    }
    this->send(request.agent, Resume{ request.id(), request.received, !request.haveHead });
}

void EntryCore::Private::onMessage(TimePoint, AgentView &, const AgentHello &) { }

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const Pull &message)
{
    EntryRequest *request = this->find(message.id);
    if (this->boundTo(agent, message.id) != nullptr) {
        return;
    }
    const bool wanted = request != nullptr && request->phase == RequestPhase::Waiting
        && !request->excluded.contains(agent.name) && agent.isUsable() && request->deadline > now;
    if (!wanted) {
        this->send(agent.name, Decline{ message.id });
        return;
    }
    if (!this->floors.admits(now, request->caller.profile.pool, request->caller.profile.tier)) {
        agent.reserved.erase(message.id.sequence);
        request->reservedAt.erase(agent.name);
        this->noteUnplaced(*request);
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
    this->floors.hear(now, message.floors);
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
    const bool noAgentLeft = !this->agents.hasUsable(request->caller.profile.pool);
    if (noAgentLeft) {
        this->finish(*request, ResultCode::NoTargetAvailable);
    } else if (message.reason == ResultCode::Overloaded) {
        this->shed(now, *request, ResultCode::Overloaded);
    } else if (message.reason != ResultCode::TierFloor) {
        this->placeReservations(now, *request);
    }
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const AnswerHead &message)
{
    EntryRequest *request = this->boundTo(agent, message.id);
    if (request == nullptr || request->haveHead) {
        return;
    }
    request->lastProgress = now;
    request->haveHead = true;
    request->status = message.status;
    request->headers = message.headers;
    if (!request->callerIsGone) {
        this->actions.emplace_back(DeliverHead{ message.id, message.status, message.headers });
    }
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const AnswerBytes &message)
{
    EntryRequest *request = this->boundTo(agent, message.id);
    if (request == nullptr) {
        return;
    }
    const std::uint64_t end = message.offset + message.bytes.size();
    // A gap means that a message was lost; the next ask brings what is missing.
    if (!request->haveHead || message.offset > request->received || end <= request->received) {
        return;
    }
    request->lastProgress = now;
    std::string bytes = message.bytes.substr(request->received - message.offset);
    request->received = end;
    if (request->isClaimed()
        && request->recorded.size() + bytes.size() <= this->limits.maximumRecordedAnswer) {
        request->recorded += bytes;
    }
    if (request->callerIsGone) {
        request->taken = request->received;
        request->acknowledged = request->received;
        this->send(agent.name, Acknowledge{ message.id, request->received, false });
        return;
    }
    this->actions.emplace_back(DeliverBytes{ message.id, std::move(bytes) });
}

void EntryCore::Private::onMessage(TimePoint, AgentView &agent, const AnswerEnd &message)
{
    EntryRequest *request = this->boundTo(agent, message.id);
    if (request == nullptr) {
        if (this->hasEnded(message.id)) {
            this->send(agent.name, Acknowledge{ message.id, 0, true });
        }
        return;
    }
    const bool whole = request->haveHead && request->received == message.totalBytes;
    if (message.result == ResultCode::Ok && !whole) {
        this->ask(*request);
        return;
    }
    this->send(agent.name, Acknowledge{ message.id, request->received, true });
    this->learn(request->caller.profile, message);
    this->finish(*request, message.result);
}

void EntryCore::Private::onMessage(TimePoint now, AgentView &agent, const NotRun &message)
{
    EntryRequest *request = this->boundTo(agent, message.id);
    if (request == nullptr) {
        return;
    }
    if (request->callerIsGone) {
        this->finish(*request, ResultCode::CallerGone);
        return;
    }
    this->unbind(now, *request, message.reason);
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
    this->floors.hear(now, message.floors);
    this->floors.confirm(now, agent, message.floorSequence);
    if (message.draining && !agent.draining) {
        agent.draining = true;
        this->dropReservations(now, agent);
    }
}

} // namespace wigeonsill
