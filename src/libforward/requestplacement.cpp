/// \file requestplacement.cpp
/// A request's way to a target: reservations, the wait for room, and the send.
#include "requestflow.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// A reservation that was not answered is sent again after this: above the round trip between
/// regions of 16 ms with the pauses of a process that has a fifth of a core.
constexpr Duration repeatAsk = milliseconds(60);
/// Pause between two looks at a request that waits for room.
constexpr Duration waitTick = milliseconds(30);
/// Agents that one request reserves at. Each costs two datagrams; with four the chance that all
/// are full while others have room is small.
constexpr std::size_t askLimit = 10;
/// Requests that an entry sends past a silent agent to its target at the same time.
constexpr int directLimit = 2;
/// A resumable stream that is silent this long goes on elsewhere. Callers wait two seconds.
constexpr Duration streamSilence = milliseconds(1'300);
} // namespace

Duration RequestFlow::waitFrom(Duration start) const
{
    const WaitPolicy &policy = this->state.settings.wait;
    const auto byObjective
        = std::chrono::duration_cast<Duration>(this->route->targetLatency * policy.objectiveShare);
    const auto byLimit = std::chrono::duration_cast<Duration>(this->limit * policy.limitShare);
    return std::min(this->limit, start + std::max(byObjective, byLimit));
}

double RequestFlow::size() const
{
    return generationSize(this->request.promptTokens, this->request.likelyOutput());
}

TicketProfile RequestFlow::profile() const
{
    TicketProfile result;
    result.ticket.number = this->ticket;
    result.requestId = this->request.id;
    result.promptTokens = this->request.promptTokens;
    result.outputTokens = this->request.likelyOutput();
    const int rank = this->route->priority;
    const int organisationRank
        = this->organisation != nullptr ? this->organisation->priority.value_or(0) : 0;
    const double relativeSize = this->state.served.relativeSize(rank, this->size());
    const bool returned = this->spentBefore > Duration::zero();
    const AnswerWorth worth = answerWorth(rank, organisationRank, relativeSize, returned);
    result.worth = worth.onTime * this->state.served.boost(rank, this->size(), currentTime());
    result.lateShare = worth.lateShare;
    result.latencyLeft = this->route->targetLatency - this->spentBefore - this->elapsed();
    result.waitLeft = this->patience - this->elapsed();
    result.timeLeft = this->timeLeft();
    return result;
}

std::vector<TargetView> RequestFlow::views() const
{
    const TimePoint now = currentTime();
    std::vector<TargetView> result;
    for (const Target *candidate : this->state.targets.usable(this->service->name)) {
        if (this->refusedBy.contains(candidate->id)) {
            continue;
        }
        TargetView view;
        view.target = candidate;
        view.ownRequests = this->state.requestsAt(candidate->id);
        view.failing = this->state.isFailing(candidate->id, now);
        if (this->service->isEngine) {
            const AgentView agent = this->state.grants.view(*candidate, now);
            view.load = agent.load;
            view.loadAge = agent.loadAge;
            view.agentSilent = agent.silent;
        }
        result.push_back(view);
    }
    return result;
}

void RequestFlow::placeDirectly()
{
    const std::vector<TargetView> known = this->views();
    const auto order
        = rankTargets(known, this->request, this->state.settings.place, this->state.random());
    if (order.empty()) {
        this->refuse(ResultCode::NoTargetAvailable, "no target of the service is known",
            this->returnDelay());
        return;
    }
    this->sendTo(*order.front()->target);
}

void RequestFlow::placeByAgents()
{
    const std::vector<TargetView> known = this->views();
    this->ranked.clear();
    this->rankedVersion = this->state.targetsVersion;
    this->nextRanked = 0;
    this->asks.clear();
    for (const TargetView *view :
        rankTargets(known, this->request, this->state.settings.place, this->state.random())) {
        this->ranked.push_back(*view->target);
    }
    if (this->ranked.empty()) {
        this->refuse(ResultCode::NoTargetAvailable, "no target of the service is known",
            this->returnDelay());
        return;
    }
    this->phase = Phase::Reserving;
    this->ticket = this->state.grants.open(*this);
    this->askNext(1);
    this->armTick(waitTick);
}

void RequestFlow::askNext(std::size_t count)
{
    for (; count > 0 && this->asks.size() < askLimit && this->nextRanked < this->ranked.size();
         --count) {
        Ask ask;
        ask.target = this->ranked[this->nextRanked++];
        ask.askedAt = currentTime();
        ask.sends = 1;
        ++this->state.requestsAt(ask.target.id);
        this->state.grants.reserve(ask.target, this->profile());
        this->asks.push_back(std::move(ask));
    }
}

void RequestFlow::armTick(Duration time)
{
    const std::weak_ptr<RequestFlow> self = this->weak_from_this();
    this->tick.expires_after(std::max<Duration>(time, milliseconds(1)));
    this->tick.async_wait([self](const boost::system::error_code &error) {
        const std::shared_ptr<RequestFlow> flow = self.lock();
        if (!error && flow) {
            flow->onTick();
        }
    });
}

void RequestFlow::onTick()
{
    const auto self = this->shared_from_this();
    const TimePoint now = currentTime();
    if (this->phase == Phase::Reserving) {
        if (this->elapsed() >= this->patience || this->timeLeft() <= leastTimeLeft) {
            this->refuse(ResultCode::Overloaded, "no target had room in time", this->returnDelay());
            return;
        }
        if (this->rankedVersion != this->state.targetsVersion) {
            // Reservations at targets that are gone would only wait.
            this->withdraw({});
            this->state.grants.forget(this->ticket);
            this->placeByAgents();
            return;
        }
        bool answered = false;
        for (Ask &ask : this->asks) {
            answered = answered || ask.state != AskState::Asked;
            if (ask.state == AskState::Asked && now - ask.askedAt >= repeatAsk) {
                ask.askedAt = now;
                ++ask.sends;
                this->state.grants.reserve(ask.target, this->profile());
            }
        }
        if (!answered) {
            this->tryWithoutAgents();
        }
        if (this->phase == Phase::Reserving) {
            this->askNext(1);
            this->armTick(waitTick);
        }
        return;
    }
    if (this->timeLeft() <= Duration::zero()) {
        this->fail(504, "no answer within the time limit");
        return;
    }
    if (this->streaming && this->route->resumable && now - this->lastEventAt >= streamSilence) {
        this->state.noteFailure(this->target->id);
        this->resume();
        if (this->phase == Phase::Over) {
            return;
        }
        if (this->phase == Phase::Relaying) {
            this->armTick(std::min(this->timeLeft(), streamSilence));
        }
        return;
    }
    Duration next = this->timeLeft();
    if (this->streaming && this->route->resumable) {
        next = std::min(next, streamSilence - (now - this->lastEventAt));
    }
    this->armTick(next);
}

void RequestFlow::tryWithoutAgents()
{
    const TimePoint now = currentTime();
    for (const Ask &ask : this->asks) {
        const bool silent = this->state.grants.view(ask.target, now).silent;
        // The present request is counted as one of its own.
        if (silent && this->state.requestsAt(ask.target.id) <= directLimit) {
            const Target chosen = ask.target;
            this->state.metrics.count("wigeonsill_sent_without_agent_total");
            this->withdraw(chosen.id);
            this->sendTo(chosen);
            return;
        }
    }
}

void RequestFlow::onQueued(const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (this->phase != Phase::Reserving) {
        return;
    }
    for (Ask &ask : this->asks) {
        if (ask.target.id == targetId) {
            ask.state = AskState::Queued;
        }
    }
    this->askNext(2);
}

void RequestFlow::onDeclined(const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (this->phase != Phase::Reserving) {
        return;
    }
    for (Ask &ask : this->asks) {
        if (ask.target.id == targetId) {
            ask.state = AskState::Declined;
        }
    }
    this->askNext(1);
}

bool RequestFlow::onGranted(const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (this->target && this->target->id == targetId) {
        return true; // The grant was repeated.
    }
    const auto ask = std::find_if(this->asks.begin(), this->asks.end(),
        [&targetId](const Ask &row) { return row.target.id == targetId; });
    if (ask == this->asks.end() || this->phase != Phase::Reserving) {
        return false;
    }
    const Target *listed = this->state.targets.find(targetId);
    if (listed == nullptr || listed->leaving) {
        return false;
    }
    const std::optional<TargetLoad> load = this->state.grants.view(*listed, currentTime()).load;
    if (load && listed->startedMs != 0 && load->startedMs > listed->startedMs) {
        // Sent there, it would be refused by the incarnation that took the address over.
        ask->state = AskState::Declined;
        this->state.noteReplaced(targetId);
        this->askNext(1);
        return false;
    }
    const Target chosen = *listed;
    this->withdraw(targetId);
    this->granted = true;
    this->sendTo(chosen);
    return true;
}

void RequestFlow::withdraw(const std::string &exceptTarget)
{
    for (const Ask &ask : this->asks) {
        if (ask.target.id == exceptTarget) {
            continue;
        }
        this->state.grants.release(ask.target, this->ticket);
        --this->state.requestsAt(ask.target.id);
    }
    const bool keepsOne = !exceptTarget.empty();
    std::erase_if(
        this->asks, [&](const Ask &ask) { return !keepsOne || ask.target.id != exceptTarget; });
}

void RequestFlow::releaseTarget()
{
    if (this->connection) {
        this->connection->cancel();
        this->connection.reset();
    }
    if (!this->target) {
        return;
    }
    if (this->ticket != 0) {
        const std::uint64_t generated
            = this->events.count() * static_cast<std::uint64_t>(this->service->tokensPerEvent);
        this->state.grants.release(
            *this->target, this->ticket, static_cast<std::uint32_t>(generated));
    }
    --this->state.requestsAt(this->target->id);
    this->asks.clear();
    this->granted = false;
    this->target.reset();
}

void RequestFlow::sendTo(const Target &chosen)
{
    if (this->asks.empty()) {
        ++this->state.requestsAt(chosen.id);
    }
    this->target = chosen;
    this->phase = Phase::Sent;
    this->bytesLeft = false;
    this->sentAt = this->elapsed();
    ForwardContext context;
    context.organisation = this->organisation != nullptr ? this->organisation->name : "";
    context.targetId = chosen.id;
    context.timeLeft = this->timeLeft();
    context.resumeAfter
        = this->events.count() > 0 ? this->events.lastId() : this->request.resumeAfter;
    const HttpFields fields = this->state.dialect.encodeRequest(this->head, context);
    OutgoingRequest outgoing;
    outgoing.id = this->request.id;
    outgoing.isHead = this->head.method == "HEAD";
    std::string &bytes = outgoing.bytes;
    bytes.reserve(this->body.size() + 1'024);
    bytes += this->head.method + " " + this->head.target + " HTTP/1.1\r\n";
    for (const HttpField &field : fields) {
        bytes += field.name + ": " + field.value + "\r\n";
    }
    const bool hadBody = this->head.chunked || this->head.length.has_value();
    if (hadBody) {
        bytes += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
    }
    bytes += "\r\n";
    bytes += this->body;
    DecisionLine line("entry", "sent");
    line.text("request", this->request.id)
        .text("route", this->route->name)
        .text("target", chosen.id)
        .text("by", this->granted ? "grant" : "own-choice")
        .ms("waited_ms", this->elapsed())
        .number("attempt", this->attempts + 1)
        .number("prompt_tokens", this->request.promptTokens)
        .number("output_limit", this->request.outputTokens)
        .number("output_likely", this->request.likelyOutput())
        .number("configuration", static_cast<double>(this->configuration->version()))
        .ms("configuration_age_ms", this->state.configurationAge())
        .ms("targets_age_ms", bootTime() - this->state.targetsReadAt);
    this->state.log.decision(line);
    this->lastEventAt = currentTime();
    Duration next = this->timeLeft();
    if (this->route->resumable) {
        next = std::min(next, streamSilence);
    }
    this->armTick(next);
    this->connection = this->state.pool.send(chosen, std::move(outgoing), *this);
}

} // namespace wigeonsill
