/// \file requestflow.cpp
/// A request's decisions and its way to a target.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// A reservation that was not answered is sent again after this: above the round trip between
/// regions of 16 ms with the pauses of a process that has a fifth of a core.
constexpr Duration repeatAsk = milliseconds(60);
/// Pause between two looks at a request that waits for room.
constexpr Duration waitTick = milliseconds(30);
/// Agents that one request reserves at. Each costs two datagrams; with four the chance that all
/// are full while others have room is small.
constexpr std::size_t askLimit = 4;
/// Requests that an entry sends past a silent agent to its target at the same time.
constexpr int directLimit = 2;
/// After SIGTERM, a request that may last to the end of the process is refused from here on. The
/// balancer sends no new connections after two missed questions, one a second.
constexpr Duration refuseLongAfterStop = milliseconds(2'700);
/// A resumable stream that is silent this long goes on elsewhere. Callers wait two seconds.
constexpr Duration streamSilence = milliseconds(1'300);
/// No second send with less than this left: it could not be answered.
constexpr Duration leastTimeLeft = milliseconds(100);

/// Worth of a late answer against one on time, as the users weigh it.
constexpr double freshLateShare = 0.3;
/// The same of a request that came back after a refusal: nothing is left to its caller after a
/// second one, which the users weigh as much again.
constexpr double returnedLateShare = 0.6;
/// A caller that has this much less time than usual on the route has been here before.
constexpr Duration returnThreshold = milliseconds(50);

std::string fractionalSeconds(Duration duration)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%lld.%03lld",
        static_cast<long long>(ms / 1'000), static_cast<long long>(ms % 1'000));
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    const std::size_t scanFrom = this->partial.size() < 3 ? 0 : this->partial.size() - 3;
    this->partial += bytes;
    const std::size_t lastEnd = this->partial.rfind("\n\n");
    if (lastEnd == std::string::npos || lastEnd < scanFrom) {
        return {};
    }
    std::string whole = this->partial.substr(0, lastEnd + 2);
    this->partial.erase(0, lastEnd + 2);
    std::size_t line = 0;
    while (line < whole.size()) {
        const std::size_t end = whole.find('\n', line);
        const std::string_view text = std::string_view(whole).substr(line, end - line);
        if (text.starts_with("id:")) {
            const std::size_t value = text.find_first_not_of(' ', 3);
            this->id = value == std::string_view::npos ? "" : text.substr(value);
            ++this->events;
        }
        line = end + 1;
    }
    return whole;
}

RequestFlow::RequestFlow(
    EntryState &shared, CallerConnection &from, MessageHead requestHead, std::string requestBody)
    : keepState(shared.shared_from_this())
    , state(shared)
    , caller(&from)
    , head(std::move(requestHead))
    , body(std::move(requestBody))
    , arrived(currentTime())
    , tick(shared.io)
{
    this->state.flows.insert(this);
}

RequestFlow::~RequestFlow()
{
    this->state.flows.erase(this);
    if (this->ticket != 0) {
        this->state.grants.forget(this->ticket);
    }
}

Duration RequestFlow::elapsed() const
{
    return currentTime() - this->arrived;
}

Duration RequestFlow::timeLeft() const
{
    return this->limit - this->elapsed();
}

void RequestFlow::start()
{
    Result<RequestFacts> decoded = this->state.dialect.decodeRequest(this->head);
    if (!decoded) {
        this->refuse(decoded.error().code, decoded.error().detail);
        return;
    }
    this->request = std::move(decoded.value());
    this->configuration = this->state.configuration;
    if (this->checkConfiguration() && this->checkRoute() && this->checkTimeToEnd()
        && this->checkKey() && this->checkQuota()) {
        this->place();
    }
}

bool RequestFlow::checkConfiguration()
{
    if (!this->configuration) {
        this->refuse(ResultCode::NoConfiguration, "no configuration yet", milliseconds(500));
        return false;
    }
    return true;
}

bool RequestFlow::checkTimeToEnd()
{
    if (!this->state.draining) {
        return true;
    }
    const Duration since = currentTime() - this->state.drainBegan;
    if (since > refuseLongAfterStop && since + this->limit > this->state.settings.grace) {
        this->refuse(ResultCode::Draining, "the process is stopping", milliseconds(100));
        return false;
    }
    return true;
}

bool RequestFlow::checkRoute()
{
    const std::string_view path
        = std::string_view(this->head.target).substr(0, this->head.target.find('?'));
    this->route = this->configuration->findRoute(fieldValue(this->head.fields, "Host"), path);
    if (this->route == nullptr) {
        if (!this->state.isConfigurationCurrent()) {
            this->refuse(ResultCode::NoConfiguration,
                "the route is unknown and the configuration is old", milliseconds(500));
        } else {
            this->refuse(ResultCode::UnknownService, "no route for this host and path");
        }
        return false;
    }
    this->limit = this->route->timeout;
    if (this->request.deadline) {
        this->limit = std::min(this->limit, *this->request.deadline);
        Duration &usual = this->state.usualDeadline[this->route->name];
        usual = std::max(usual, *this->request.deadline);
        this->spentBefore = usual - *this->request.deadline;
    }
    this->service = this->configuration->findService(drawService(*this->route, this->state.draw()));
    if (this->service == nullptr) {
        this->refuse(ResultCode::NoTargetAvailable, "the route's service is not declared",
            this->returnDelay());
        return false;
    }
    return true;
}

bool RequestFlow::checkKey()
{
    if (this->route->anonymous) {
        return true;
    }
    if (!this->state.areKeysCurrent()) {
        this->refuse(ResultCode::NoConfiguration,
            "keys cannot be honoured: the configuration was not confirmed lately",
            std::min<Duration>(this->returnDelay(), seconds(1)));
        return false;
    }
    this->organisation = this->configuration->findOrganisation(this->request.key);
    if (this->organisation != nullptr) {
        return true;
    }
    if (!this->request.key.empty() && !this->state.isConfigurationCurrent()) {
        this->refuse(ResultCode::NoConfiguration, "the key is unknown and the configuration is old",
            milliseconds(500));
    } else {
        this->refuse(ResultCode::UnknownOrganisation, "unknown key");
    }
    return false;
}

bool RequestFlow::checkQuota()
{
    if (this->organisation == nullptr) {
        return true;
    }
    const double cost = quotaCost(*this->organisation, this->request);
    const auto wait = this->state.quotas.admit(*this->organisation, cost, this->arrived);
    if (wait) {
        this->refuse(ResultCode::QuotaExceeded, "the organisation's quota is used up",
            std::max<Duration>(*wait, milliseconds(100)));
        return false;
    }
    this->quotaTaken = cost;
    return true;
}

void RequestFlow::place()
{
    this->state.repeats.arrived(this->service->name, this->arrived);
    this->patience = this->waitFrom(Duration::zero());
    if (this->service->isEngine) {
        this->placeByAgents();
    } else {
        this->placeDirectly();
    }
}

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
    result.worth
        = requestWorth(rank, organisationRank, this->state.served.relativeSize(rank, this->size()));
    result.worth *= this->state.served.boost(rank, this->size(), currentTime());
    result.lateShare = this->spentBefore > returnThreshold ? returnedLateShare : freshLateShare;
    result.latencyLeft = this->route->targetLatency - this->spentBefore - this->elapsed();
    result.waitLeft = this->patience - this->elapsed();
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

void RequestFlow::onSent()
{
    this->bytesLeft = true;
    ++this->attempts;
}

void RequestFlow::onAnswerHead(const MessageHead &received)
{
    const auto self = this->shared_from_this();
    const AnswerFacts facts = this->state.dialect.decodeAnswer(received);
    if (facts.otherTarget) {
        this->state.targets.replacedAtItsAddress(this->target->id);
        this->state.log.change(
            DecisionLine("entry", "target-replaced").text("target", this->target->id));
    }
    if (facts.notRun) {
        this->bytesLeft = false;
        this->refusedBy.insert(this->target->id);
        const std::string why = "the target refused with " + std::to_string(received.status);
        this->state.metrics.count("wigeonsill_target_refusals_total");
        if (!this->tryElsewhere(why)) {
            this->refuse(ResultCode::Overloaded, why, this->returnDelay());
        }
        return;
    }
    this->ranSomewhere = true;
    if (received.status >= 500) {
        this->state.noteFailure(this->target->id);
        this->refusedBy.insert(this->target->id);
        if (this->route->isRepeatable() && this->tryElsewhere("the target failed")) {
            return;
        }
        if (this->callerHasHead) {
            this->breakOff("the target that should go on failed");
            return;
        }
    }
    if (this->callerHasHead) {
        if (received.status >= 300) {
            this->breakOff("the target that should go on answered otherwise");
            return;
        }
    } else {
        this->answerHead = received;
    }
    this->streaming = this->route->repeatability == Repeatability::Stream && received.status < 300;
    this->phase = Phase::Relaying;
}

HttpFields RequestFlow::relayedFields() const
{
    HttpFields result;
    const std::string_view connectionField = fieldValue(this->answerHead.fields, "Connection");
    for (const HttpField &field : this->answerHead.fields) {
        if (!isHopByHop(field.name, connectionField)
            && !equalsIgnoringCase(field.name, "Content-Length")) {
            result.push_back(field);
        }
    }
    return result;
}

void RequestFlow::beginRelay()
{
    this->callerHasHead = true;
    this->caller->beginAnswer(
        this->answerHead.status, this->answerHead.reason, this->relayedFields());
}

void RequestFlow::onAnswerBody(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->streaming) {
        this->forwardEvents(bytes);
        return;
    }
    // Larger answers are passed on as they come, so that memory stays bounded.
    constexpr std::size_t holdLimit = 262'144;
    this->answerBody += bytes;
    if (this->callerHasHead || this->answerBody.size() > holdLimit) {
        if (!this->callerHasHead) {
            this->beginRelay();
        }
        this->caller->writeBody(this->answerBody);
        this->answerBody.clear();
    }
}

void RequestFlow::forwardEvents(std::string_view bytes)
{
    const std::string whole = this->events.take(bytes);
    if (whole.empty()) {
        return;
    }
    this->lastEventAt = currentTime();
    if (!this->firstEventAt) {
        this->firstEventAt = this->elapsed();
        this->state.metrics.sample("wigeonsill_first_event_ms",
            "priority=\"" + std::to_string(this->route->priority) + "\"",
            static_cast<double>(this->firstEventAt->count()) / 1'000);
    }
    if (this->granted) {
        this->granted = false;
        this->state.grants.began(*this->target, this->ticket);
    }
    if (!this->callerHasHead) {
        this->beginRelay();
    }
    this->caller->writeBody(whole);
}

void RequestFlow::onAnswerEnd()
{
    const auto self = this->shared_from_this();
    this->connection.reset();
    if (this->answerHead.status < 500) {
        this->state.noteSuccess(this->target->id);
    }
    CallerConnection *answered = this->caller;
    const std::string rest = this->streaming ? this->events.rest() : this->answerBody;
    this->finish("answered", this->answerHead.status, {});
    if (this->callerHasHead) {
        answered->writeBody(rest);
        answered->endAnswer();
        return;
    }
    HttpFields fields = this->relayedFields();
    const std::string length(fieldValue(this->answerHead.fields, "Content-Length"));
    if (this->head.method == "HEAD" && !length.empty()) {
        fields.push_back({ "Content-Length", length });
    }
    answered->respond(this->answerHead.status, this->answerHead.reason, fields, rest);
}

void RequestFlow::onAnswerFailed(TargetFailure failure)
{
    const auto self = this->shared_from_this();
    this->connection.reset();
    const std::string why(enumName(targetFailureNames, failure));
    this->state.metrics.count("wigeonsill_target_failures_total", "why=\"" + why + "\"");
    this->state.noteFailure(this->target->id);
    this->refusedBy.insert(this->target->id);
    if (failure == TargetFailure::NotConnected) {
        this->bytesLeft = false;
        if (!this->tryElsewhere(why)) {
            this->refuse(ResultCode::TargetRefusedConnection, "no connection", this->returnDelay());
        }
        return;
    }
    this->ranSomewhere = true;
    if (this->callerHasHead) {
        if (this->streaming && this->route->resumable) {
            this->resume();
        } else {
            this->breakOff(why);
        }
        return;
    }
    this->answerBody.clear();
    if (this->route->isRepeatable() && this->tryElsewhere(why)) {
        return;
    }
    this->fail(502, why);
}

bool RequestFlow::mayRepeat() const
{
    return this->attempts<this->route->maximumAttempts &&this->timeLeft()> leastTimeLeft;
}

bool RequestFlow::tryElsewhere(std::string_view why)
{
    const bool wasSent = this->attempts > 0;
    // A target that never got a byte does not count as an attempt.
    if (wasSent && !this->mayRepeat()) {
        return false;
    }
    if (this->timeLeft() <= leastTimeLeft || this->views().empty()) {
        return false;
    }
    if (wasSent && !this->state.repeats.take(this->service->name, currentTime())) {
        this->state.metrics.count("wigeonsill_repeats_over_budget_total");
        return false;
    }
    DecisionLine line("entry", "moved");
    line.text("request", this->request.id)
        .text("from", this->target ? this->target->id : "")
        .text("why", why)
        .number("attempts", this->attempts)
        .ms("left_ms", this->timeLeft());
    this->state.log.decision(line);
    this->releaseTarget();
    if (this->ticket != 0) {
        this->state.grants.forget(this->ticket);
    }
    if (this->service->isEngine) {
        // The wait for the second target is counted from now.
        this->patience = this->waitFrom(this->elapsed());
        this->placeByAgents();
    } else {
        this->placeDirectly();
    }
    return true;
}

void RequestFlow::resume()
{
    this->refusedBy.insert(this->target->id);
    this->ranSomewhere = true;
    this->events.dropPartial();
    if (this->tryElsewhere("the stream broke off or fell silent")) {
        return;
    }
    if (this->connection) {
        return; // Still open: it may go on.
    }
    this->fail(502, "the stream broke off and cannot be resumed");
}

Duration RequestFlow::returnDelay() const
{
    // Callers honour up to a third of their time left. A burst lasts seconds, so an early return
    // would find it again; the spread keeps the returns from being a wave.
    const double third = static_cast<double>(this->timeLeft().count()) / 3;
    const double share = 0.6 + 0.39 * this->state.draw();
    constexpr double longest = 5'000'000;
    const double wait = std::clamp(third * share, 100'000.0, longest);
    return Duration(static_cast<std::int64_t>(wait));
}

void RequestFlow::refuse(ResultCode code, std::string_view detail, Duration retryAfter)
{
    if (this->ranSomewhere || this->bytesLeft || this->callerHasHead) {
        this->fail(502, detail);
        return;
    }
    const auto self = this->shared_from_this();
    HttpResponse response = problemResponse(code, detail);
    if (retryAfter > Duration::zero()) {
        response.fields.push_back({ "Retry-After", fractionalSeconds(retryAfter) });
    }
    if (this->quotaTaken > 0) {
        this->state.quotas.giveBack(this->organisation->name, this->quotaTaken, currentTime());
    }
    CallerConnection *answered = this->caller;
    this->finish("refused", response.status, detail);
    answered->respond(response.status, {}, response.fields, response.body);
}

void RequestFlow::fail(int status, std::string_view detail)
{
    const auto self = this->shared_from_this();
    if (this->callerHasHead) {
        // A second head would be read as a part of the stream.
        this->breakOff(detail);
        return;
    }
    const bool mayHaveRun = this->ranSomewhere || this->bytesLeft;
    if (!mayHaveRun && status == 504) {
        this->refuse(ResultCode::RequestExpired, detail, this->returnDelay());
        return;
    }
    CallerConnection *answered = this->caller;
    this->finish("failed", status, detail);
    answered->respond(status, {}, {}, {});
}

void RequestFlow::breakOff(std::string_view why)
{
    const auto self = this->shared_from_this();
    CallerConnection *answered = this->caller;
    this->finish("broken-off", this->answerHead.status, why);
    answered->abort();
}

void RequestFlow::callerGone()
{
    if (this->phase != Phase::Over) {
        this->finish("caller-gone", 0, {});
    }
}

void RequestFlow::endNow()
{
    if (this->phase == Phase::Over) {
        return;
    }
    this->refuse(ResultCode::Draining, "the process is ending", milliseconds(100));
}

void RequestFlow::finish(std::string_view outcome, int status, std::string_view detail)
{
    this->phase = Phase::Over;
    this->tick.cancel();
    DecisionLine line("entry", "finished");
    line.text("request", this->request.id)
        .text("route", this->route != nullptr ? this->route->name : "")
        .text("outcome", outcome)
        .number("status", status)
        .ms("took_ms", this->elapsed())
        .number("attempts", this->attempts)
        .number("events", static_cast<double>(this->events.count()));
    if (this->firstEventAt) {
        line.ms("first_event_ms", *this->firstEventAt);
    }
    if (this->target) {
        line.text("target", this->target->id);
    }
    if (this->organisation != nullptr) {
        line.text("organisation", this->organisation->name);
    }
    if (!detail.empty()) {
        line.text("why", detail)
            .number("asked", static_cast<double>(this->asks.size()))
            .ms("configuration_age_ms", this->state.configurationAge());
    }
    this->state.log.decision(line);
    if (this->service != nullptr && this->service->isEngine && outcome != "caller-gone") {
        this->state.served.note(
            this->route->priority, this->size(), outcome == "answered", currentTime());
    }
    this->state.metrics.count("wigeonsill_requests_total",
        "outcome=\"" + std::string(outcome) + "\",status=\"" + std::to_string(status) + "\"");
    this->state.metrics.sample(
        "wigeonsill_request_ms", {}, static_cast<double>(this->elapsed().count()) / 1'000);
    if (this->target) {
        this->releaseTarget();
    } else {
        this->withdraw({});
    }
    if (this->ticket != 0) {
        this->state.grants.forget(this->ticket);
        this->ticket = 0;
    }
}

} // namespace wigeonsill
