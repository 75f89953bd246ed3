/// \file entrycore.cpp
/// The entry's decisions apart from the agents' messages: arrivals, callers, the store, time.
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

RequestId EntryCore::arrive(TimePoint now, CallerRequest request)
{
    const RequestId id{ this->d->incarnation, this->d->nextSequence++ };
    this->d->presentTime = now;
    request.profile.id = id;
    EntryRequest &entry = this->d->requests[id.sequence];
    entry.caller = std::move(request);
    entry.arrivedAt = now;
    RequestProfile &profile = entry.caller.profile;
    profile.outputTokens
        = this->d->sizes.estimate(profile.organisation, profile.service, profile.outputTokens);
    entry.deadline = now + entry.caller.profile.timeLeft;
    this->d->retries.earn(entry.caller.profile.organisation, entry.caller.profile.pool);
    if (this->d->draining) {
        this->d->finish(entry, ResultCode::Draining);
        return id;
    }
    if (!this->d->agents.hasUsable(entry.caller.profile.pool)) {
        this->d->finish(entry, ResultCode::NoTargetAvailable);
        return id;
    }
    const std::optional<ResultCode> refusal = this->d->refusalOf(now, entry.caller.profile);
    if (refusal) {
        this->d->finish(entry, *refusal);
        return id;
    }
    entry.quotaDelay = this->d->quotas.take(now, profile, entry.caller.quotaTokensPerSecond);
    if (entry.quotaDelay > Duration::zero()) {
        this->d->finish(entry, ResultCode::QuotaExceeded);
        return id;
    }
    this->d->deadlines.emplace(entry.deadline, id.sequence);
    ++this->d->waiting;
    if (entry.isClaimed()) {
        entry.phase = RequestPhase::Claiming;
        const std::uint64_t digest
            = stableHash(entry.caller.request.body, stableHash(entry.caller.request.path));
        this->d->actions.emplace_back(
            ClaimKey{ id, entry.caller.profile.organisation, entry.caller.idempotencyKey, digest });
        return id;
    }
    this->d->beginWaiting(now, entry);
    return id;
}

void EntryCore::claimDecided(TimePoint now, const RequestId &id, const ClaimDecision &decision)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr || request->phase != RequestPhase::Claiming) {
        return;
    }
    if (decision.replay && !request->callerIsGone) {
        this->d->actions.emplace_back(DeliverHead{ id, decision.status, decision.headers });
        this->d->actions.emplace_back(DeliverBytes{ id, decision.body });
    }
    if (decision.replay) {
        request->caller.idempotencyKey.clear();
        this->d->finish(*request, ResultCode::Ok);
        return;
    }
    if (decision.result != ResultCode::Ok) {
        // The key is not ours, so nothing is recorded under it.
        request->caller.idempotencyKey.clear();
        this->d->finish(*request, decision.result);
        return;
    }
    if (request->callerIsGone) {
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
        // The claim took longer than the request may wait.
        this->finish(request, ResultCode::RequestExpired);
        return;
    }
    AgentView *pushed
        = this->pushPlacement.pick(this->limits.placement, this->agents, request.caller.profile);
    if (pushed != nullptr) {
        this->bind(now, request, *pushed);
        return;
    }
    if (!this->placeAffine(now, request)) {
        this->placeReservations(now, request);
    }
    this->watchRisk(now, request);
}

void EntryCore::Private::placeReservations(
    TimePoint now, EntryRequest &request, const std::string &avoid)
{
    const std::size_t wanted = this->wantedCandidates(request);
    const RequestProfile &profile = request.caller.profile;
    if (request.reservedAt.size() >= wanted) {
        return;
    }
    if (!this->floors.admits(now, profile.pool, profile.tier)) {
        this->noteUnplaced(request);
        return;
    }
    std::set<std::string> excluded = request.excluded;
    excluded.insert(request.reservedAt.begin(), request.reservedAt.end());
    excluded.insert(avoid);
    const PlacementQuery query{ &request.caller.profile, &excluded,
        wanted - request.reservedAt.size() };
    for (const std::string &name : pickCandidates(this->agents, query, this->random)) {
        this->reserveAt(now, request, name);
    }
    this->noteUnplaced(request);
}

void EntryCore::Private::reserveAt(TimePoint now, EntryRequest &request, const std::string &agent)
{
    request.reservedAt.insert(agent);
    this->agents.get(agent).reserved.insert(request.id().sequence);
    Reserve reserve{ request.caller.profile };
    reserve.profile.timeLeft = request.deadline - now;
    this->send(agent, std::move(reserve));
}

void EntryCore::Private::noteUnplaced(const EntryRequest &request)
{
    const std::pair key(request.caller.profile.tier, request.id().sequence);
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
    this->unwatchRisk(request);
}

void EntryCore::Private::bind(TimePoint now, EntryRequest &request, AgentView &agent)
{
    agent.reserved.erase(request.id().sequence);
    request.reservedAt.erase(agent.name);
    this->stopWaiting(request);
    request.phase = RequestPhase::Bound;
    request.agent = agent.name;
    request.agentIncarnation = agent.incarnation;
    this->prefixes.remember(now, agent.name, request.caller.profile.prefixHashes);
    request.lastProgress = now;
    agent.bound.insert(request.id().sequence);
    this->send(agent.name, Bind{ request.caller.profile, request.caller.request });
}

void EntryCore::Private::unbind(TimePoint now, EntryRequest &request, ResultCode reason)
{
    const RequestProfile &profile = request.caller.profile;
    const bool failed = reason != ResultCode::TierFloor;
    if (failed && !this->retries.take(profile.organisation, profile.pool)) {
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
        this->watchRisk(now, request);
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
        const bool keepAnswer
            = result == ResultCode::Ok && request.recorded.size() == request.received;
        this->actions.emplace_back(RecordClaim{ id, request.caller.profile.organisation,
            request.caller.idempotencyKey, result, request.status, request.headers,
            keepAnswer ? request.recorded : std::string() });
    }
    if (!request.callerIsGone) {
        this->actions.emplace_back(DeliverEnd{ id, result, this->retryAfter(request, result) });
    }
    this->requests.erase(id.sequence);
}

void EntryCore::callerGone(TimePoint, const RequestId &id)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr) {
        return;
    }
    request->callerIsGone = true;
    const bool claimInFlight = request->phase == RequestPhase::Claiming;
    const bool mustRunOn = request->phase == RequestPhase::Bound && request->isClaimed();
    if (mustRunOn) {
        // What the caller did not take must not close the agent's window.
        request->taken = request->received;
        request->acknowledged = request->received;
        this->d->send(request->agent, Acknowledge{ id, request->received, false });
    }
    if (claimInFlight || mustRunOn) {
        return;
    }
    if (request->phase == RequestPhase::Bound) {
        this->d->send(request->agent, CancelRun{ id });
    }
    this->d->finish(*request, ResultCode::CallerGone);
}

void EntryCore::callerTook(TimePoint, const RequestId &id, std::uint64_t offset)
{
    EntryRequest *request = this->d->find(id);
    if (request == nullptr || request->phase != RequestPhase::Bound) {
        return;
    }
    request->taken = std::max(request->taken, offset);
    if (request->taken - request->acknowledged >= this->d->limits.acknowledgeEvery) {
        request->acknowledged = request->taken;
        this->d->send(request->agent, Acknowledge{ id, request->taken, false });
    }
}

void EntryCore::agentLeaving(TimePoint now, const std::string &agent, bool leaving)
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
            // Whether the key is ours is not known yet; the claim's own time limit ends this.
            this->deadlines.erase(this->deadlines.begin());
            --this->waiting;
            continue;
        }
        this->finish(request, ResultCode::RequestExpired);
    }
}

void EntryCore::Private::watchAgents(TimePoint now)
{
    for (auto &[name, agent] : this->agents.all()) {
        if (agent.connected && now - agent.lastHeard > this->limits.silenceLimit) {
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

void EntryCore::Private::askAboutBound(TimePoint now)
{
    if (now - this->lastAsk < this->limits.heartbeatInterval) {
        return;
    }
    this->lastAsk = now;
    for (auto &[name, agent] : this->agents.all()) {
        if (!agent.connected) {
            continue;
        }
        for (const std::uint64_t sequence : agent.bound) {
            EntryRequest &request = this->requests.at(sequence);
            if (now - request.lastProgress > this->limits.askInterval) {
                request.lastProgress = now;
                this->ask(request);
            }
        }
    }
}

void EntryCore::Private::sendHeartbeats(TimePoint now)
{
    if (now - this->lastHeartbeat < this->limits.heartbeatInterval) {
        return;
    }
    this->tellFloors(now);
}

void EntryCore::tick(TimePoint now)
{
    this->d->presentTime = now;
    this->d->renewFloors(now);
    this->d->shedWhereAllowed(now);
    this->d->expireWaiting(now);
    this->d->placeUnplaced(now);
    this->d->endAffineHolds(now);
    this->d->watchAgents(now);
    this->d->askAboutBound(now);
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
    return static_cast<std::size_t>(std::count_if(
        agents.begin(), agents.end(), [](const auto &row) { return row.second.connected; }));
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
            { "quietForUs", (now - agent.lastHeard).count() },
            { "reserved", agent.reserved.size() }, { "bound", agent.bound.size() },
            { "tokensInFlight", agent.load.tokensInFlight },
            { "tokenLimit", agent.load.tokenLimit }, { "waitingThere", agent.load.waiting } });
    }
    state["agents"] = std::move(agents);
    json::array requests;
    for (const auto &[sequence, request] : this->d->requests) {
        requests.push_back({ { "request", toString(request.id()) },
            { "phase", enumName(requestPhaseNames, request.phase) },
            { "tier", enumName(tierNames, request.caller.profile.tier) },
            { "organisation", request.caller.profile.organisation }, { "agent", request.agent },
            { "received", request.received }, { "ageUs", (now - request.arrivedAt).count() } });
    }
    state["requests"] = std::move(requests);
    return state;
}

} // namespace wigeonsill
