/// \file entrycore.cpp
/// EntryCore: new requests, callers, claims, timers and diagnostics.
#include "entrystate.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

EntryCoreBuilder &EntryCoreBuilder::incarnation(const Incarnation &value)
{
    this->ownIncarnation = value;
    return *this;
}

EntryCoreBuilder &EntryCoreBuilder::location(Location value)
{
    this->ownLocation = std::move(value);
    return *this;
}

EntryCoreBuilder &EntryCoreBuilder::limits(const EntryLimits &value)
{
    this->ownLimits = value;
    return *this;
}

EntryCoreBuilder &EntryCoreBuilder::seed(std::uint64_t value)
{
    this->ownSeed = value;
    return *this;
}

std::unique_ptr<EntryCore> EntryCoreBuilder::build() const
{
    auto state = std::make_unique<EntryCore::Private>();
    state->incarnation = this->ownIncarnation;
    state->location = this->ownLocation;
    state->limits = this->ownLimits;
    state->random.seed(this->ownSeed);
    return std::unique_ptr<EntryCore>(new EntryCore(std::move(state)));
}

EntryCore::EntryCore(std::unique_ptr<Private> state)
    : d(std::move(state))
{
}

EntryCore::~EntryCore() = default;

EntryRequest *EntryCore::Private::find(const RequestId &id)
{
    if (id.entry != this->incarnation) {
        return nullptr;
    }
    const auto found = this->requests.find(id.sequence);
    return found == this->requests.end() ? nullptr : &found->second;
}

void EntryCore::Private::send(const std::string &agent, EntryMessage message)
{
    this->actions.emplace_back(SendToAgent{ agent, std::move(message) });
}

RequestId EntryCore::submitRequest(TimePoint now, CallerRequest request)
{
    const RequestId id{ this->d->incarnation, this->d->nextSequence++ };
    this->d->presentTime = now;
    request.profile.id = id;
    EntryRequest &record = this->d->requests[id.sequence];
    record.callerRequest = std::move(request);
    record.arrivedAt = now;
    RequestProfile &profile = record.callerRequest.profile;
    profile.outputTokens
        = this->d->sizes.estimate(profile.organisation, profile.service, profile.outputTokens);
    record.deadline = now + record.callerRequest.profile.timeLeft;
    this->d->retryBudget.recordArrival(
        record.callerRequest.profile.organisation, record.callerRequest.profile.pool);
    if (this->d->draining) {
        this->d->finish(record, ResultCode::Draining);
        return id;
    }
    if (!this->d->agents.hasUsable(record.callerRequest.profile.pool)) {
        this->d->finish(record, ResultCode::NoTargetAvailable);
        return id;
    }
    const std::optional<ResultCode> refusal
        = this->d->admissionRefusal(now, record.callerRequest.profile);
    if (refusal) {
        this->d->finish(record, *refusal);
        return id;
    }
    record.quotaDelay
        = this->d->quotas.take(now, profile, record.callerRequest.quotaTokensPerSecond);
    if (record.quotaDelay > Duration::zero()) {
        this->d->finish(record, ResultCode::QuotaExceeded);
        return id;
    }
    this->d->deadlines.emplace(record.deadline, id.sequence);
    ++this->d->waiting;
    if (record.isClaimed()) {
        record.phase = RequestPhase::Claiming;
        const std::uint64_t digest = stableHash(
            record.callerRequest.request.body, stableHash(record.callerRequest.request.path));
        this->d->actions.emplace_back(ClaimKey{ id, record.callerRequest.profile.organisation,
            record.callerRequest.idempotencyKey, digest });
        return id;
    }
    this->d->beginWaiting(now, record);
    return id;
}

void EntryCore::claimDecided(TimePoint now, const RequestId &id, const ClaimDecision &decision)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr || request->phase != RequestPhase::Claiming) {
        return;
    }
    if (decision.replay && !request->isCallerDisconnected) {
        this->d->actions.emplace_back(DeliverHead{ id, decision.status, decision.headers });
        this->d->actions.emplace_back(DeliverBytes{ id, decision.body });
    }
    if (decision.replay) {
        request->callerRequest.idempotencyKey.clear();
        this->d->finish(*request, ResultCode::Ok);
        return;
    }
    if (decision.result != ResultCode::Ok) {
        // This request does not own the key, so no result may be recorded under it.
        request->callerRequest.idempotencyKey.clear();
        this->d->finish(*request, decision.result);
        return;
    }
    if (request->isCallerDisconnected) {
        this->d->finish(*request, ResultCode::CallerGone);
        return;
    }
    if (request->deadline <= now) {
        this->d->finish(*request, ResultCode::RequestExpired);
        return;
    }
    this->d->beginWaiting(now, *request);
}

void EntryCore::Private::beginWaiting(TimePoint now, EntryRequest &request)
{
    request.phase = RequestPhase::Waiting;
    if (request.deadline <= now) {
        // The claim took longer than the maximum wait.
        this->finish(request, ResultCode::RequestExpired);
        return;
    }
    AgentView *pushed = this->pushPlacement.pick(
        this->limits.placement, this->agents, request.callerRequest.profile);
    if (pushed != nullptr) {
        this->bind(now, request, *pushed);
        return;
    }
    if (!this->reserveAtPrefixHolder(now, request)) {
        this->placeReservations(now, request);
    }
    this->startRiskTracking(now, request);
}

void EntryCore::Private::placeReservations(
    TimePoint now, EntryRequest &request, const std::string &avoid)
{
    const std::size_t wanted = this->wantedCandidates(request);
    const RequestProfile &profile = request.callerRequest.profile;
    if (request.reservedAt.size() >= wanted) {
        return;
    }
    if (!this->floors.admits(now, profile.pool, profile.tier)) {
        this->updateUnplaced(request);
        return;
    }
    std::set<std::string> excluded = request.excluded;
    excluded.insert(request.reservedAt.begin(), request.reservedAt.end());
    excluded.insert(avoid);
    const PlacementQuery query{ &request.callerRequest.profile, &excluded,
        wanted - request.reservedAt.size() };
    for (const std::string &name : pickCandidates(this->agents, query, this->random)) {
        this->reserveAt(now, request, name);
    }
    this->updateUnplaced(request);
}

void EntryCore::Private::reserveAt(TimePoint now, EntryRequest &request, const std::string &agent)
{
    request.reservedAt.insert(agent);
    this->agents.get(agent).reserved.insert(request.id().sequence);
    Reserve reserve{ request.callerRequest.profile };
    reserve.profile.timeLeft = request.deadline - now;
    this->send(agent, std::move(reserve));
}

void EntryCore::Private::updateUnplaced(const EntryRequest &request)
{
    const std::pair key(request.callerRequest.profile.tier, request.id().sequence);
    if (request.reservedAt.empty()) {
        this->unplaced.insert(key);
    } else {
        this->unplaced.erase(key);
    }
}

void EntryCore::Private::stopWaiting(EntryRequest &request)
{
    if (request.phase == RequestPhase::Bound) {
        return;
    }
    if (this->deadlines.erase({ request.deadline, request.id().sequence }) > 0) {
        --this->waiting;
    }
    for (const std::string &name : request.reservedAt) {
        this->agents.get(name).reserved.erase(request.id().sequence);
        this->send(name, Withdraw{ request.id() });
    }
    request.reservedAt.clear();
    this->stopRiskTracking(request);
}

void EntryCore::Private::bind(TimePoint now, EntryRequest &request, AgentView &agent)
{
    agent.reserved.erase(request.id().sequence);
    request.reservedAt.erase(agent.name);
    this->stopWaiting(request);
    request.phase = RequestPhase::Bound;
    request.agent = agent.name;
    request.agentIncarnation = agent.incarnation;
    this->prefixes.recordPrefixes(now, agent.name, request.callerRequest.profile.prefixHashes);
    request.lastProgress = now;
    agent.bound.insert(request.id().sequence);
    this->send(agent.name, Bind{ request.callerRequest.profile, request.callerRequest.request });
}

void EntryCore::Private::retryOrRefuse(TimePoint now, EntryRequest &request, ResultCode reason)
{
    const RequestProfile &profile = request.callerRequest.profile;
    const bool failed = reason != ResultCode::TierFloor;
    if (failed && !this->retryBudget.take(profile.organisation, profile.pool)) {
        const bool isRefusal = resultInfo(reason).outcome == Outcome::NotRun;
        this->finish(request, isRefusal ? reason : ResultCode::NoTargetAvailable);
        return;
    }
    this->agents.get(request.agent).bound.erase(request.id().sequence);
    request.excluded.insert(request.agent);
    request.agent.clear();
    request.phase = RequestPhase::Waiting;
    this->deadlines.emplace(request.deadline, request.id().sequence);
    ++this->waiting;
    this->placeReservations(now, request);
    if (!request.reservedAt.empty()) {
        this->startRiskTracking(now, request);
    } else if (reason == ResultCode::TierFloor) {
        this->shed(now, request, reason);
    } else {
        this->finish(request, ResultCode::NoTargetAvailable);
    }
}

void EntryCore::Private::finish(EntryRequest &request, ResultCode result)
{
    const RequestId id = request.id();
    this->stopWaiting(request);
    if (request.phase == RequestPhase::Bound) {
        this->agents.get(request.agent).bound.erase(id.sequence);
    }
    if (request.isClaimed()) {
        const bool recordsAnswer
            = result == ResultCode::Ok && request.recordedAnswer.size() == request.receivedBytes;
        this->actions.emplace_back(RecordClaim{ id, request.callerRequest.profile.organisation,
            request.callerRequest.idempotencyKey, result, request.status, request.headers,
            recordsAnswer ? request.recordedAnswer : std::string() });
    }
    if (!request.isCallerDisconnected) {
        this->actions.emplace_back(DeliverEnd{ id, result, this->retryAfter(request, result) });
    }
    this->requests.erase(id.sequence);
}

void EntryCore::callerDisconnected(TimePoint, const RequestId &id)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr) {
        return;
    }
    request->isCallerDisconnected = true;
    const bool claimInFlight = request->phase == RequestPhase::Claiming;
    const bool mustContinue = request->phase == RequestPhase::Bound && request->isClaimed();
    if (mustContinue) {
        // Bytes that the caller did not consume must not block the agent's send window.
        request->consumedBytes = request->receivedBytes;
        request->acknowledgedBytes = request->receivedBytes;
        this->d->send(request->agent, Acknowledge{ id, request->receivedBytes, false });
    }
    if (claimInFlight || mustContinue) {
        return;
    }
    if (request->phase == RequestPhase::Bound) {
        this->d->send(request->agent, CancelRun{ id });
    }
    this->d->finish(*request, ResultCode::CallerGone);
}

void EntryCore::callerConsumed(TimePoint, const RequestId &id, std::uint64_t offset)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr || request->phase != RequestPhase::Bound) {
        return;
    }
    request->consumedBytes = std::max(request->consumedBytes, offset);
    if (request->consumedBytes - request->acknowledgedBytes
        >= this->d->limits.acknowledgeIntervalBytes) {
        request->acknowledgedBytes = request->consumedBytes;
        this->d->send(request->agent, Acknowledge{ id, request->consumedBytes, false });
    }
}

void EntryCore::setAgentLeaving(TimePoint now, const std::string &agent, bool leaving)
{
    AgentView &view = this->d->agents.get(agent);
    view.name = agent;
    const bool changed = view.leaving != leaving;
    view.leaving = leaving;
    if (changed && leaving) {
        for (const std::uint64_t sequence : view.reserved) {
            this->d->send(agent, Withdraw{ { this->d->incarnation, sequence } });
        }
        this->d->dropReservations(now, view);
    }
}

void EntryCore::setConfigurationRevision(std::uint64_t revision)
{
    this->d->configurationRevision = std::max(this->d->configurationRevision, revision);
}

void EntryCore::drain()
{
    this->d->draining = true;
}

void EntryCore::Private::expireWaiting(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        EntryRequest &request = this->requests.at(this->deadlines.begin()->second);
        if (request.phase == RequestPhase::Claiming) {
            // It is not known yet whether this request owns the key; the claim's timeout ends the
            // wait.
            this->deadlines.erase(this->deadlines.begin());
            --this->waiting;
            continue;
        }
        this->finish(request, ResultCode::RequestExpired);
    }
}

void EntryCore::Private::checkAgentConnections(TimePoint now)
{
    for (auto &[name, agent] : this->agents.all()) {
        if (agent.connected && now - agent.lastMessageAt > this->limits.heartbeatTimeout) {
            agent.connected = false;
            agent.disconnectedAt = now;
            this->dropReservations(now, agent);
            this->actions.emplace_back(ReconnectAgent{ name });
        }
        if (!agent.connected && !agent.bound.empty()
            && now - agent.disconnectedAt > this->limits.agentLostAfter) {
            this->endBoundRequests(agent);
        }
    }
}

void EntryCore::Private::queryStalledRuns(TimePoint now)
{
    if (now - this->lastStatusCheck < this->limits.heartbeatInterval) {
        return;
    }
    this->lastStatusCheck = now;
    for (auto &[name, agent] : this->agents.all()) {
        if (!agent.connected) {
            continue;
        }
        for (const std::uint64_t sequence : agent.bound) {
            EntryRequest &request = this->requests.at(sequence);
            if (now - request.lastProgress > this->limits.statusQueryInterval) {
                request.lastProgress = now;
                this->queryRunStatus(request);
            }
        }
    }
}

void EntryCore::Private::sendHeartbeats(TimePoint now)
{
    if (now - this->lastHeartbeat < this->limits.heartbeatInterval) {
        return;
    }
    this->publishFloors(now);
}

void EntryCore::tick(TimePoint now)
{
    this->d->presentTime = now;
    this->d->updateRiskAndFloors(now);
    this->d->shedPendingRequests(now);
    this->d->expireWaiting(now);
    this->d->placeUnplaced(now);
    this->d->endAffinityWaits(now);
    this->d->checkAgentConnections(now);
    this->d->queryStalledRuns(now);
    this->d->sendHeartbeats(now);
}

std::vector<EntryAction> EntryCore::takeActions()
{
    return std::exchange(this->d->actions, {});
}

std::size_t EntryCore::requestsInProgress() const
{
    return this->d->requests.size();
}

std::size_t EntryCore::requestsWaiting() const
{
    return this->d->waiting;
}

std::size_t EntryCore::connectedAgents() const
{
    const auto &agents = this->d->agents.all();
    return static_cast<std::size_t>(std::count_if(agents.begin(), agents.end(),
        [](const auto &element) { return element.second.connected; }));
}

json::object EntryCore::dumpState(TimePoint now) const
{
    json::object state;
    state["incarnation"] = toString(this->d->incarnation);
    state["instance"] = this->d->location.instance;
    state["draining"] = this->d->draining;
    state["configurationRevision"] = this->d->configurationRevision;
    state["waiting"] = this->d->waiting;
    json::array agents;
    for (const auto &[name, agent] : this->d->agents.all()) {
        agents.push_back({ { "name", name }, { "incarnation", toString(agent.incarnation) },
            { "pools", json::value_from(agent.pools) }, { "connected", agent.connected },
            { "draining", agent.draining }, { "leaving", agent.leaving },
            { "quietForUs", (now - agent.lastMessageAt).count() },
            { "reserved", agent.reserved.size() }, { "bound", agent.bound.size() },
            { "tokensInFlight", agent.load.tokensInFlight },
            { "tokenLimit", agent.load.tokenLimit }, { "waitingThere", agent.load.waiting } });
    }
    state["agents"] = std::move(agents);
    json::array requests;
    for (const auto &[sequence, request] : this->d->requests) {
        requests.push_back({ { "request", toString(request.id()) },
            { "phase", enumName(requestPhaseNames, request.phase) },
            { "tier", enumName(tierNames, request.callerRequest.profile.tier) },
            { "organisation", request.callerRequest.profile.organisation },
            { "agent", request.agent }, { "received", request.receivedBytes },
            { "ageUs", (now - request.arrivedAt).count() } });
    }
    state["requests"] = std::move(requests);
    return state;
}

} // namespace wigeonsill
