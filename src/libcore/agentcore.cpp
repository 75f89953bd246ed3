/// \file agentcore.cpp
/// The agent's decisions apart from its messages: pulling, the target's events, time.
#include "agentstate.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr double longestExpectedWait = 3600; ///< Seconds.

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

bool AgentCore::Private::hasRoomFor(std::uint64_t tokens) const
{
    if (this->running + this->pulls.size() >= this->limits.maximumRunning) {
        return false;
    }
    // One request always fits, however large, so that it cannot wait for ever.
    return this->tokensInFlight == 0 || this->tokensInFlight + tokens <= this->admission.tokens();
}

void AgentCore::Private::pullNext(TimePoint now)
{
    if (this->draining || now < this->targetUsableAt) {
        return;
    }
    const ReservationQueue::Entry *next = this->queue.front();
    while (next != nullptr && this->hasRoomFor(next->profile.tokens())) {
        const ReservationQueue::Entry taken = this->queue.takeFront();
        this->drained.add(double(taken.profile.tokens()));
        const RequestId id = taken.profile.id;
        this->tokensInFlight += taken.profile.tokens();
        this->pulls[id] = PendingPull{ taken.profile.tokens(), now };
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
        // A hand-over that comes later answers a pull that is over; it must not start.
        this->tombstones.markRefused(id);
        this->send(id.entry, ReservationEnded{ id, ResultCode::NoTargetAvailable, {} });
    }
}

void AgentCore::entryConnected(TimePoint now, const Incarnation &entry)
{
    this->d->queue.removeEntry(entry);
    this->d->releasePullsOf(entry);
    EntryLink &link = this->d->entries[entry];
    link.connected = true;
    link.lastHeard = now;
}

void AgentCore::entryDisconnected(TimePoint now, const Incarnation &entry)
{
    const auto found = this->d->entries.find(entry);
    if (found == this->d->entries.end() || !found->second.connected) {
        return;
    }
    found->second.connected = false;
    found->second.disconnectedAt = now;
    this->d->queue.removeEntry(entry);
}

void AgentCore::receive(TimePoint now, const Incarnation &entry, const EntryMessage &message)
{
    EntryLink &link = this->d->entries[entry];
    link.lastHeard = now;
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
        this->d->discard(run);
        return;
    }
    this->d->flush(run);
    if (!run.paused && run.answer.size() >= this->d->limits.maximumBuffered) {
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
        this->d->tombstones.markRefused(id);
        this->d->lingersUntil = now + this->d->limits.heartbeatInterval;
        this->d->targetUsableAt = now + this->d->limits.targetBackoff;
        this->d->send(id.entry, NotRun{ id, ResultCode::TargetRefusedConnection });
        return;
    }
    ResultCode result = ResultCode::Ok;
    if (end == TargetEnd::Silent) {
        result = ResultCode::TargetSilent;
    } else if (end == TargetEnd::BrokeOff) {
        // Without the head of an answer nobody knows whether the target ran it.
        result = run.haveHead ? ResultCode::TargetBrokeOff : ResultCode::TargetSilent;
    }
    this->d->endRun(now, run, result);
    this->d->pullNext(now);
}

void AgentCore::Private::endRun(TimePoint now, AgentRun &run, ResultCode result)
{
    this->tokensInFlight -= run.profile.tokens();
    --this->running;
    if (result == ResultCode::Ok) {
        this->served.add(double(run.profile.tokens()));
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
    AgentHeartbeat beat;
    beat.configurationRevision = this->configurationRevision;
    beat.draining = this->draining;
    beat.tokensInFlight = this->tokensInFlight;
    beat.tokenLimit = this->admission.tokens();
    beat.running = this->running;
    beat.waiting = static_cast<std::uint32_t>(this->queue.size());
    beat.tokensPerSecond = this->served.perSecond();
    beat.expectedWait = this->expectedWait();
    return beat;
}

AgentHeartbeat AgentCore::Private::heartbeat(TimePoint now, const EntryLink &link) const
{
    AgentHeartbeat beat = this->load();
    beat.floors = this->floors.list(now);
    beat.floorSequence = link.floorSequence;
    return beat;
}

std::array<Duration, tierCount> AgentCore::Private::expectedWait() const
{
    std::array<Duration, tierCount> waits{};
    const double rate = this->drained.perSecond();
    if (rate <= 0) {
        return waits;
    }
    double ahead = 0;
    for (std::size_t i = 0; i < tierCount; ++i) {
        ahead += double(this->queue.tokensOf(static_cast<Tier>(i)));
        const double wait = std::min(ahead / rate, longestExpectedWait);
        waits[i] = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    }
    return waits;
}

void AgentCore::Private::removeServed(const RequestId &id)
{
    const ReservationQueue::Entry *queued = this->queue.find(id);
    if (queued != nullptr) {
        this->drained.add(double(queued->profile.tokens()));
        this->queue.remove(id);
    }
}

void AgentCore::Private::measureRates(TimePoint now)
{
    this->served.advance(now, this->running > 0);
    this->drained.advance(now, this->queue.size() > 0);
}

void AgentCore::Private::sendHeartbeats(TimePoint now)
{
    this->lastHeartbeat = now;
    for (const auto &[entry, link] : this->entries) {
        if (link.connected) {
            this->send(entry, this->heartbeat(now, link));
        }
    }
}

void AgentCore::Private::forgetOldAnswers(TimePoint now)
{
    for (auto run = this->runs.begin(); run != this->runs.end();) {
        // An entry whose caller reads slowly keeps asking, and its answer is kept.
        const TimePoint since = std::max(run->second.endedAt, run->second.lastHeard);
        const bool old = run->second.ended && now - since > this->limits.answerRetention;
        run = old ? this->runs.erase(run) : std::next(run);
    }
}

void AgentCore::Private::askAboutRuns(TimePoint now)
{
    for (auto &[id, run] : this->runs) {
        if (now - std::max(run.lastHeard, run.lastAsked) > this->limits.askInterval) {
            run.lastAsked = now;
            this->send(id.entry, StillRunning{ id });
        }
    }
}

void AgentCore::Private::watchEntries(TimePoint now)
{
    std::vector<Incarnation> lost;
    for (auto &[entry, link] : this->entries) {
        if (link.connected && now - link.lastHeard > this->limits.silenceLimit) {
            this->queue.removeEntry(entry);
        }
        const TimePoint since = link.connected ? link.lastHeard : link.disconnectedAt;
        if (now - since > this->limits.entryLostAfter) {
            lost.push_back(entry);
        }
    }
    for (const Incarnation &entry : lost) {
        for (auto &[id, run] : this->runs) {
            if (id.entry == entry) {
                this->cancel(run);
            }
        }
        this->tombstones.forgetEntry(entry);
        this->entries.erase(entry);
    }
}

void AgentCore::tick(TimePoint now)
{
    this->d->admission.tick(now);
    this->d->measureRates(now);
    for (const RequestId &id : this->d->queue.removeExpired(now)) {
        this->d->send(id.entry, ReservationEnded{ id, ResultCode::RequestExpired, {} });
    }
    if (this->d->lingersUntil && now >= *this->d->lingersUntil) {
        this->d->lingersUntil.reset();
    }
    this->d->expirePulls(now);
    this->d->forgetOldAnswers(now);
    this->d->askAboutRuns(now);
    this->d->watchEntries(now);
    if (now - this->d->lastHeartbeat >= this->d->limits.heartbeatInterval) {
        this->d->sendHeartbeats(now);
    }
    this->d->pullNext(now);
}

std::vector<AgentAction> AgentCore::takeActions()
{
    return std::exchange(this->d->actions, {});
}

std::size_t AgentCore::requestsInProgress() const
{
    // A process that ended now could take its last refusal with it.
    const std::size_t lingering = this->d->lingersUntil ? 1 : 0;
    return this->d->runs.size() + this->d->pulls.size() + lingering;
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
    state["tokensPerSecond"] = this->d->served.perSecond();
    state["running"] = this->d->running;
    state["queued"] = this->d->queue.size();
    state["tombstones"] = this->d->tombstones.size();
    json::array entries;
    for (const auto &[entry, link] : this->d->entries) {
        entries.push_back({ { "incarnation", toString(entry) }, { "connected", link.connected },
            { "quietForUs", (now - link.lastHeard).count() } });
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
