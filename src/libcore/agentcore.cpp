/// \file agentcore.cpp
/// Agent core: pulls, target events, heartbeats, timeouts and the state dump.
#include "agentstate.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr double maximumExpectedWaitSeconds = 3600;

} // namespace

AgentCoreBuilder &AgentCoreBuilder::incarnation(const Incarnation &value)
{
    this->ownIncarnation = value;
    return *this;
}

AgentCoreBuilder &AgentCoreBuilder::location(Location value)
{
    this->ownLocation = std::move(value);
    return *this;
}

AgentCoreBuilder &AgentCoreBuilder::pools(std::vector<std::string> value)
{
    this->ownPools = std::move(value);
    return *this;
}

AgentCoreBuilder &AgentCoreBuilder::limits(const AgentLimits &value)
{
    this->ownLimits = value;
    return *this;
}

std::unique_ptr<AgentCore> AgentCoreBuilder::build() const
{
    auto state = std::make_unique<AgentCore::Private>(this->ownLimits, this->ownIncarnation);
    state->location = this->ownLocation;
    state->pools = this->ownPools;
    return std::unique_ptr<AgentCore>(new AgentCore(std::move(state)));
}

AgentCore::AgentCore(std::unique_ptr<Private> state)
    : d(std::move(state))
{
}

AgentCore::~AgentCore() = default;

AgentHello AgentCore::hello() const
{
    return { this->d->incarnation, this->d->location, this->d->pools, this->d->draining };
}

void AgentCore::Private::send(const Incarnation &entry, AgentMessage message)
{
    this->actions.emplace_back(SendToEntry{ entry, std::move(message) });
}

bool AgentCore::Private::hasCapacityFor(std::uint64_t tokens) const
{
    if (this->running + this->pulls.size() >= this->limits.maximumRunning) {
        return false;
    }
    // A request larger than the limit is admitted when nothing else is in flight; otherwise it
    // could never run.
    return this->tokensInFlight == 0 || this->tokensInFlight + tokens <= this->admission.tokens();
}

void AgentCore::Private::pullQueuedRequests(TimePoint now)
{
    if (this->draining || now < this->targetBackoffUntil) {
        return;
    }
    const ReservationQueue::Reservation *next = this->queue.front();
    while (next != nullptr && this->hasCapacityFor(next->profile.tokens())) {
        const ReservationQueue::Reservation reservation = this->queue.takeFront();
        this->dequeueMeter.add(double(reservation.profile.tokens()));
        const RequestId id = reservation.profile.id;
        this->tokensInFlight += reservation.profile.tokens();
        this->pulls[id] = PendingPull{ reservation.profile.tokens(), now };
        this->send(id.entry, Pull{ id });
        next = this->queue.front();
    }
    this->admission.onLoad(this->tokensInFlight, next != nullptr);
}

void AgentCore::Private::releasePull(const RequestId &id)
{
    const auto found = this->pulls.find(id);
    if (found == this->pulls.end()) {
        return;
    }
    this->tokensInFlight -= found->second.tokens;
    this->pulls.erase(found);
}

void AgentCore::Private::releasePullsOf(const Incarnation &entry)
{
    std::vector<RequestId> ids;
    for (const auto &[id, pull] : this->pulls) {
        if (id.entry == entry) {
            ids.push_back(id);
        }
    }
    for (const RequestId &id : ids) {
        this->releasePull(id);
    }
}

void AgentCore::Private::expirePulls(TimePoint now)
{
    std::vector<RequestId> unanswered;
    for (const auto &[id, pull] : this->pulls) {
        if (now - pull.sentAt > this->limits.pullTimeout) {
            unanswered.push_back(id);
        }
    }
    for (const RequestId &id : unanswered) {
        this->releasePull(id);
        // A Bind that arrives later answers an expired pull and must not start the request.
        this->tombstones.markRejected(id);
        this->send(id.entry, ReservationEnded{ id, ResultCode::NoTargetAvailable, {} });
    }
}

void AgentCore::entryConnected(TimePoint now, const Incarnation &entry)
{
    this->d->queue.removeReservationsOf(entry);
    this->d->releasePullsOf(entry);
    EntryConnection &connection = this->d->entries[entry];
    connection.connected = true;
    connection.lastMessageAt = now;
}

void AgentCore::entryDisconnected(TimePoint now, const Incarnation &entry)
{
    const auto found = this->d->entries.find(entry);
    if (found == this->d->entries.end() || !found->second.connected) {
        return;
    }
    found->second.connected = false;
    found->second.disconnectedAt = now;
    this->d->queue.removeReservationsOf(entry);
}

void AgentCore::receive(TimePoint now, const Incarnation &entry, const EntryMessage &message)
{
    const auto [found, isNew] = this->d->entries.try_emplace(entry);
    EntryConnection &connection = found->second;
    // An entry that was silent for too long is forgotten, though its connection may be open.
    connection.connected = connection.connected || isNew;
    connection.lastMessageAt = now;
    std::visit(
        [this, now, &entry](const auto &typed) { this->d->onMessage(now, entry, typed); }, message);
}

void AgentCore::targetHead(TimePoint, const RequestId &id, int status, Headers headers)
{
    const auto found = this->d->runs.find(id);
    if (found == this->d->runs.end()) {
        return;
    }
    AgentRun &run = found->second;
    run.haveHead = true;
    run.status = status;
    run.headers = std::move(headers);
    this->d->admission.onHead(run.timing, run.headers);
    this->d->send(id.entry, AnswerHead{ id, run.status, run.headers });
}

void AgentCore::targetBytes(TimePoint now, const RequestId &id, std::string_view bytes)
{
    const auto found = this->d->runs.find(id);
    if (found == this->d->runs.end()) {
        return;
    }
    AgentRun &run = found->second;
    this->d->admission.onBytes(now, run.timing, run.paused);
    run.answer.append(bytes);
    if (run.discarding) {
        this->d->discardAnswer(run);
        return;
    }
    this->d->flush(run);
    if (!run.paused && run.answer.size() >= this->d->limits.maximumBufferedBytes) {
        run.paused = true;
        this->d->actions.emplace_back(PauseTarget{ id, true });
    }
}

void AgentCore::targetEnded(
    TimePoint now, const RequestId &id, TargetEnd end, const TokenUsage &usage)
{
    const auto found = this->d->runs.find(id);
    if (found == this->d->runs.end() || found->second.ended) {
        return;
    }
    AgentRun &run = found->second;
    run.usage = usage;
    if (end == TargetEnd::NeverSent) {
        this->d->tokensInFlight -= run.profile.tokens();
        --this->d->running;
        this->d->runs.erase(found);
        this->d->tombstones.markRejected(id);
        this->d->rejectionInTransitUntil = now + this->d->limits.heartbeatInterval;
        this->d->targetBackoffUntil = now + this->d->limits.targetBackoff;
        this->d->send(id.entry, NotRun{ id, ResultCode::TargetRefusedConnection });
        return;
    }
    ResultCode result = ResultCode::Ok;
    if (end == TargetEnd::TimedOut) {
        result = ResultCode::TargetSilent;
    } else if (end == TargetEnd::Truncated) {
        // Without the head of an answer it is unknown whether the target ran the request.
        result = run.haveHead ? ResultCode::TargetBrokeOff : ResultCode::TargetSilent;
    }
    this->d->endRun(now, run, result);
    this->d->pullQueuedRequests(now);
}

void AgentCore::Private::endRun(TimePoint now, AgentRun &run, ResultCode result)
{
    this->tokensInFlight -= run.profile.tokens();
    --this->running;
    if (result == ResultCode::Ok) {
        this->completionMeter.add(double(run.profile.tokens()));
        this->admission.onEnd(now, run.timing, run.usage.output);
    }
    run.ended = true;
    run.endedAt = now;
    run.result = result;
    if (run.preempted && result != ResultCode::Ok) {
        run.result = ResultCode::Preempted;
    } else if (run.cancelled) {
        this->runs.erase(run.profile.id);
        return;
    }
    this->flush(run);
}

void AgentCore::setConfigurationRevision(std::uint64_t revision)
{
    this->d->configurationRevision = std::max(this->d->configurationRevision, revision);
}

void AgentCore::drain(TimePoint now)
{
    if (this->d->draining) {
        return;
    }
    this->d->draining = true;
    for (const RequestId &id : this->d->queue.removeAll()) {
        this->d->send(id.entry, ReservationEnded{ id, ResultCode::Draining, {} });
    }
    this->d->sendHeartbeats(now);
}

AgentHeartbeat AgentCore::Private::load() const
{
    AgentHeartbeat heartbeatMessage;
    heartbeatMessage.configurationRevision = this->configurationRevision;
    heartbeatMessage.draining = this->draining;
    heartbeatMessage.tokensInFlight = this->tokensInFlight;
    heartbeatMessage.tokenLimit = this->admission.tokens();
    heartbeatMessage.running = this->running;
    heartbeatMessage.waiting = static_cast<std::uint32_t>(this->queue.size());
    heartbeatMessage.tokensPerSecond = this->completionMeter.perSecond();
    heartbeatMessage.expectedWait = this->expectedWait();
    return heartbeatMessage;
}

AgentHeartbeat AgentCore::Private::heartbeat(TimePoint now, const EntryConnection &connection) const
{
    AgentHeartbeat heartbeatMessage = this->load();
    heartbeatMessage.floors = this->floors.list(now);
    heartbeatMessage.floorSequence = connection.floorSequence;
    return heartbeatMessage;
}

std::array<Duration, tierCount> AgentCore::Private::expectedWait() const
{
    std::array<Duration, tierCount> waits{};
    const double rate = this->dequeueMeter.perSecond();
    if (rate <= 0) {
        return waits;
    }
    double tokensAhead = 0;
    for (std::size_t i = 0; i < tierCount; ++i) {
        tokensAhead += double(this->queue.tokensOf(static_cast<Tier>(i)));
        const double wait = std::min(tokensAhead / rate, maximumExpectedWaitSeconds);
        waits[i] = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    }
    return waits;
}

void AgentCore::Private::removeDispatched(const RequestId &id)
{
    const ReservationQueue::Reservation *queued = this->queue.find(id);
    if (queued != nullptr) {
        this->dequeueMeter.add(double(queued->profile.tokens()));
        this->queue.remove(id);
    }
}

void AgentCore::Private::updateRates(TimePoint now)
{
    this->completionMeter.advance(now, this->running > 0);
    this->dequeueMeter.advance(now, this->queue.size() > 0);
}

void AgentCore::Private::sendHeartbeats(TimePoint now)
{
    this->lastHeartbeat = now;
    for (const auto &[entry, connection] : this->entries) {
        if (connection.connected) {
            this->send(entry, this->heartbeat(now, connection));
        }
    }
}

void AgentCore::Private::removeExpiredAnswers(TimePoint now)
{
    for (auto run = this->runs.begin(); run != this->runs.end();) {
        // Messages from an entry with a slow caller extend the retention of its answer.
        const TimePoint idleSince = std::max(run->second.endedAt, run->second.lastMessageAt);
        const bool expired = run->second.ended && now - idleSince > this->limits.answerRetention;
        run = expired ? this->runs.erase(run) : std::next(run);
    }
}

void AgentCore::Private::queryRunStatus(TimePoint now)
{
    for (auto &[id, run] : this->runs) {
        if (now - std::max(run.lastMessageAt, run.lastQueriedAt)
            > this->limits.statusQueryInterval) {
            run.lastQueriedAt = now;
            this->send(id.entry, StillRunning{ id });
        }
    }
}

void AgentCore::Private::checkEntryTimeouts(TimePoint now)
{
    std::vector<Incarnation> lost;
    for (auto &[entry, connection] : this->entries) {
        if (connection.connected
            && now - connection.lastMessageAt > this->limits.heartbeatTimeout) {
            this->queue.removeReservationsOf(entry);
        }
        const TimePoint idleSince
            = connection.connected ? connection.lastMessageAt : connection.disconnectedAt;
        if (now - idleSince > this->limits.entryLostAfter) {
            lost.push_back(entry);
        }
    }
    for (const Incarnation &entry : lost) {
        for (auto &[id, run] : this->runs) {
            if (id.entry == entry) {
                this->cancelOrDiscard(run);
            }
        }
        this->tombstones.compactEntry(entry);
        this->entries.erase(entry);
    }
}

void AgentCore::tick(TimePoint now)
{
    this->d->admission.tick(now);
    this->d->updateRates(now);
    for (const RequestId &id : this->d->queue.removeExpired(now)) {
        this->d->send(id.entry, ReservationEnded{ id, ResultCode::RequestExpired, {} });
    }
    if (this->d->rejectionInTransitUntil && now >= *this->d->rejectionInTransitUntil) {
        this->d->rejectionInTransitUntil.reset();
    }
    this->d->expirePulls(now);
    this->d->removeExpiredAnswers(now);
    this->d->queryRunStatus(now);
    this->d->checkEntryTimeouts(now);
    if (now - this->d->lastHeartbeat >= this->d->limits.heartbeatInterval) {
        this->d->sendHeartbeats(now);
    }
    this->d->pullQueuedRequests(now);
}

std::vector<AgentAction> AgentCore::takeActions()
{
    return std::exchange(this->d->actions, {});
}

std::size_t AgentCore::requestsInProgress() const
{
    // If the process exited now, its last NotRun message might never be sent.
    const std::size_t rejectionInTransit = this->d->rejectionInTransitUntil ? 1 : 0;
    return this->d->runs.size() + this->d->pulls.size() + rejectionInTransit;
}

AgentHeartbeat AgentCore::load() const
{
    return this->d->load();
}

std::size_t AgentCore::connectedEntries() const
{
    const auto &entries = this->d->entries;
    return static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(), [](const auto &row) { return row.second.connected; }));
}

json::object AgentCore::dumpState(TimePoint now) const
{
    json::object state;
    state["incarnation"] = toString(this->d->incarnation);
    state["instance"] = this->d->location.instance;
    state["pools"] = json::value_from(this->d->pools);
    state["draining"] = this->d->draining;
    state["configurationRevision"] = this->d->configurationRevision;
    state["tokensInFlight"] = this->d->tokensInFlight;
    state["tokenLimit"] = this->d->admission.tokens();
    state["tokensPerSecond"] = this->d->completionMeter.perSecond();
    state["running"] = this->d->running;
    state["queued"] = this->d->queue.size();
    state["tombstones"] = this->d->tombstones.size();
    json::array entries;
    for (const auto &[entry, connection] : this->d->entries) {
        entries.push_back(
            { { "incarnation", toString(entry) }, { "connected", connection.connected },
                { "quietForUs", (now - connection.lastMessageAt).count() } });
    }
    state["entries"] = std::move(entries);
    json::array runs;
    for (const auto &[id, run] : this->d->runs) {
        runs.push_back(
            { { "request", toString(id) }, { "tier", enumName(tierNames, run.profile.tier) },
                { "organisation", run.profile.organisation }, { "ended", run.ended },
                { "bytes", run.answer.end() },
                { "runningForUs", (now - run.timing.startedAt).count() } });
    }
    state["runs"] = std::move(runs);
    return state;
}

} // namespace wigeonsill
