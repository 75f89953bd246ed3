/// \file requestplacement.cpp
/// Placement of a request on a target: reservations, the wait for room, and the send.
#include "requestflow.h"

#include <algorithm>
#include <charconv>

namespace wigeonsill {

namespace {

/// Time after which an unanswered reservation is sent again. It is above the round trip between
/// regions (16 ms) plus the scheduling pauses of a process limited to a fifth of a core.
constexpr Duration reservationResendDelay = milliseconds(60);
/// Interval at which a request that waits for room is checked.
constexpr Duration waitCheckInterval = milliseconds(30);
/// Maximum number of agents at which one request holds reservations. Each reservation costs two
/// datagrams. With four, a request was refused when all four were full although it would have come
/// first in the queues of others.
constexpr std::size_t maximumReservations = 10;
/// Maximum number of this entry's requests, reserved or running, at a target whose agent is
/// unresponsive. Up to it, requests are sent there without a grant.
constexpr int maximumPastUnresponsiveAgent = 2;
/// Least time between two decisions about a target that is silent but cannot be left yet.
constexpr Duration silenceCheckInterval = milliseconds(200);

} // namespace

double RequestFlow::requestSize() const
{
    return generationSize(this->request.promptTokens, this->request.estimatedOutputTokens());
}

std::uint32_t RequestFlow::deliveredTokens() const
{
    const auto tokensPerEvent = static_cast<std::uint64_t>(this->service->tokensPerEvent);
    std::uint64_t inEarlierAnswers = 0;
    if (this->takesUpStream()) {
        // Targets mostly number events from one. Ids of another kind count for nothing.
        const std::string &id = this->request.lastEventId;
        std::uint64_t events = 0;
        std::from_chars(id.data(), id.data() + id.size(), events);
        const std::uint64_t most = this->request.estimatedOutputTokens();
        inEarlierAnswers = std::min(events, most) * tokensPerEvent;
        inEarlierAnswers = std::min(inEarlierAnswers, most);
    }
    return static_cast<std::uint32_t>(inEarlierAnswers + this->relayedEvents * tokensPerEvent);
}

ReservationProfile RequestFlow::profile() const
{
    ReservationProfile result;
    result.reservationId.number = this->reservationId;
    result.requestId = this->request.id;
    result.promptTokens = this->request.promptTokens;
    result.outputTokens = this->request.estimatedOutputTokens();
    const int routePriority = this->route->priority;
    const int organisationPriority
        = this->organisation != nullptr ? this->organisation->priority.value_or(0) : 0;
    const double relativeSize = this->state.served.relativeSize(routePriority, this->requestSize());
    const bool isCallerRetry = this->timeBeforeCallerRetry > Duration::zero();
    const AnswerUtility utility
        = answerUtility(routePriority, organisationPriority, relativeSize, isCallerRetry);
    result.utility = utility.onTime
        * this->state.served.utilityFactor(routePriority, this->requestSize(), currentTime());
    result.lateShare = utility.lateShare;
    result.latencyLeft
        = this->route->latencyObjective - this->timeBeforeCallerRetry - this->elapsed();
    if (this->relayedEvents > 0 || this->takesUpStream()) {
        // The rest of an answer, without which its caller would lose what it has.
        const std::uint32_t generated = this->deliveredTokens();
        result.promptTokens += generated;
        result.outputTokens = std::max(result.outputTokens, generated + 1) - generated;
        result.lateShare = 1;
        result.latencyLeft = this->route->eventGapObjective
            - (this->relayedEvents > 0 ? currentTime() - this->lastEventAt : this->elapsed());
    }
    result.waitLeft = this->maximumWait - this->elapsed();
    result.timeLeft = this->timeLeft();
    return result;
}

void RequestFlow::placeWithoutReservation()
{
    this->settleSide();
    const std::vector<TargetView> knownTargets = this->targetViews();
    auto order = rankTargets(
        knownTargets, this->request, this->state.settings.location, this->state.random());
    // A permit lapses when it isn't used.
    std::stable_partition(order.begin(), order.end(),
        [](const TargetView *view) { return view->hasPermit && !view->failing; });
    const auto chosen = std::find_if(order.begin(), order.end(), [this](const TargetView *view) {
        return this->state.rates.tryTake(*view->target, currentTime());
    });
    if (chosen == order.end()) {
        this->waitOrRefuse();
        return;
    }
    this->state.permitWaiters.erase(this);
    this->sendTo(*(*chosen)->target);
}

void RequestFlow::placePermitWaiters(EntryState &entryState)
{
    std::vector<std::pair<double, std::shared_ptr<RequestFlow>>> byUtility;
    byUtility.reserve(entryState.permitWaiters.size());
    for (RequestFlow *flow : entryState.permitWaiters) {
        byUtility.emplace_back(flow->profile().utility, flow->shared_from_this());
    }
    std::sort(byUtility.rbegin(), byUtility.rend());
    for (const auto &[utility, flow] : byUtility) {
        if (flow->phase == Phase::Reserving && flow->reservations.empty()) {
            flow->place();
        }
    }
}

void RequestFlow::placeByReservation()
{
    if (!this->beginReservations()) {
        this->waitOrRefuse();
        return;
    }
    this->phase = Phase::Reserving;
    if (this->state.grantClient.areAllAgentsSilent(currentTime())) {
        // The reservation that was just made finds out when the agents are back.
        this->sendPastUnresponsiveAgent();
    }
    if (this->phase == Phase::Reserving) {
        this->startTimer(waitCheckInterval);
    }
}

void RequestFlow::waitOrRefuse()
{
    const auto untilRoom = this->untilRateLeavesRoom();
    if (untilRoom && this->elapsed() + *untilRoom > this->maximumWait) {
        this->refuseForRates(*untilRoom);
        return;
    }
    if (this->isWaitUseful()) {
        if (!this->service->isEngine) {
            this->state.permitWaiters.insert(this);
        }
        this->rankedTargetsVersion = this->state.targetsVersion;
        this->phase = Phase::Reserving;
        this->startTimer(waitCheckInterval);
        return;
    }
    const auto quiet
        = this->state.quiet.untilAnyWantsRequests(this->usableTargets(), currentTime());
    this->refuse(quiet ? ResultCode::Overloaded : ResultCode::NoTargetAvailable,
        quiet ? "all targets of the service want no requests for a time"
              : "no target of the service is known",
        this->delayUntilTarget());
}

bool RequestFlow::beginReservations()
{
    this->settleSide();
    const std::vector<TargetView> knownTargets = this->targetViews();
    this->rankedTargets.clear();
    this->rankedTargetsVersion = this->state.targetsVersion;
    this->nextRankedTarget = 0;
    for (const TargetView *view : rankTargets(
             knownTargets, this->request, this->state.settings.location, this->state.random())) {
        this->rankedTargets.push_back(*view->target);
    }
    if (this->rankedTargets.empty()) {
        return false;
    }
    this->reservationId = this->state.grantClient.registerReservationId(*this);
    this->reserveAtNext(1);
    return true;
}

void RequestFlow::reserveAtNext(std::size_t count)
{
    while (count > 0 && this->reservations.size() < maximumReservations
        && this->nextRankedTarget < this->rankedTargets.size()) {
        const Target &candidate = this->rankedTargets[this->nextRankedTarget++];
        if (!this->state.admitsRequest(candidate, currentTime()) || !this->isAdmitted(candidate)) {
            continue;
        }
        --count;
        Reservation reservation;
        reservation.target = candidate;
        reservation.lastSentAt = currentTime();
        reservation.sendCount = 1;
        ++this->state.requestsAt(reservation.target.id);
        this->state.grantClient.reserve(reservation.target, this->profile());
        this->reservations.push_back(std::move(reservation));
    }
}

void RequestFlow::startTimer(Duration time)
{
    const std::weak_ptr<RequestFlow> self = this->weak_from_this();
    this->timer.expires_after(std::max<Duration>(time, milliseconds(1)));
    this->timer.async_wait([self](const boost::system::error_code &error) {
        const std::shared_ptr<RequestFlow> flow = self.lock();
        if (!error && flow) {
            flow->onTimer();
        }
    });
}

void RequestFlow::onReservingTimer()
{
    if (this->refuseIfHeld()) {
        return;
    }
    if (this->elapsed() >= this->maximumWait || !this->continuation.isTimeLeft(this->timeLeft())) {
        if (const auto untilRoom = this->untilRateLeavesRoom()) {
            this->refuseForRates(*untilRoom);
            return;
        }
        this->refuse(ResultCode::Overloaded, "no target had room within the maximum wait",
            this->retryDelay());
        return;
    }
    if (this->rankedTargetsVersion != this->state.targetsVersion) {
        // The targets changed. Reservations at removed targets would never be answered.
        this->withdrawReservations();
        this->place();
        return;
    }
    this->maintainReservations();
    if (this->phase != Phase::Reserving) {
        return;
    }
    if (this->reservations.empty()) {
        this->withdrawReservations();
        this->place();
        return;
    }
    if (this->isDeclinedForRates() && !this->headSentToCaller) {
        this->refuseForRates(this->untilRateLeavesRoom().value_or(Duration::zero()));
        return;
    }
    this->startTimer(waitCheckInterval);
}

void RequestFlow::withdrawFromClosedTargets()
{
    const TimePoint now = currentTime();
    std::erase_if(this->reservations, [this, now](const Reservation &reservation) {
        if (this->state.isOpen(reservation.target, now) && this->isAdmitted(reservation.target)) {
            return false;
        }
        --this->state.requestsAt(reservation.target.id);
        this->state.grantClient.withdraw(reservation.target, this->reservationId);
        return true;
    });
}

void RequestFlow::maintainReservations()
{
    this->withdrawFromClosedTargets();
    const TimePoint now = currentTime();
    bool anyAgentAnswered = false;
    for (Reservation &reservation : this->reservations) {
        anyAgentAnswered = anyAgentAnswered || reservation.state != ReservationState::Requested;
        if (reservation.state == ReservationState::Requested
            && now - reservation.lastSentAt >= reservationResendDelay) {
            reservation.lastSentAt = now;
            ++reservation.sendCount;
            this->state.grantClient.reserve(reservation.target, this->profile());
        }
    }
    if (!anyAgentAnswered && this->mayMove()) {
        this->sendPastUnresponsiveAgent();
    }
    if (this->reservationId != 0) {
        this->reserveAtNext(1);
    }
}

void RequestFlow::onTimer()
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Deciding) {
        this->onOriginTimer();
        return;
    }
    if (this->phase == Phase::Reserving) {
        this->onReservingTimer();
        return;
    }
    if (this->timeLeft() <= Duration::zero()) {
        this->recordTimeLimitSample();
        this->fail(504, "no complete answer within the time limit");
        return;
    }
    if (this->isTargetWaitingForCaller()) {
        this->recordProgress();
    }
    if (this->isSearching()) {
        this->maintainReservations();
    } else if (this->service->isEngine
        && this->continuation.nextStep(this->continuationOptions(), currentTime())
            == ContinuationStep::SearchTarget) {
        this->searchOtherTarget();
    }
    Duration next = this->timeLeft();
    if (this->isSearching()) {
        next = std::min<Duration>(next, waitCheckInterval);
    } else if (this->service->isEngine && this->route->isRetrySafe()) {
        next = std::min(next,
            std::max<Duration>(
                this->continuation.untilSilent(currentTime()), silenceCheckInterval));
    }
    this->startTimer(next);
}

void RequestFlow::sendPastUnresponsiveAgent()
{
    const TimePoint now = currentTime();
    for (const Reservation &reservation : this->reservations) {
        const bool unresponsive
            = this->state.grantClient.view(reservation.target, now).unresponsive;
        // The count includes the current request.
        if (unresponsive && this->state.isOpen(reservation.target, now)
            && this->maySendTo(reservation.target)
            && this->state.requestsAt(reservation.target.id) <= maximumPastUnresponsiveAgent
            && this->state.rates.tryTakeShare(reservation.target, now)) {
            const Target chosen = reservation.target;
            this->state.metrics.count("wigeonsill_sent_without_agent_total");
            this->moveTo(chosen, false);
            return;
        }
    }
}

void RequestFlow::onQueued(std::uint64_t reservation, const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (reservation != this->reservationId) {
        return;
    }
    this->setReservationState(targetId, ReservationState::Queued);
    this->reserveAtNext(2);
}

void RequestFlow::setReservationState(const std::string &targetId, ReservationState newState)
{
    for (Reservation &reservation : this->reservations) {
        if (reservation.target.id == targetId) {
            reservation.state = newState;
        }
    }
}

void RequestFlow::onDeclined(std::uint64_t reservation, const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (reservation != this->reservationId) {
        return;
    }
    this->setReservationState(targetId, ReservationState::Declined);
    this->reserveAtNext(1);
}

bool RequestFlow::onGranted(std::uint64_t reservation, const std::string &targetId)
{
    const auto self = this->shared_from_this();
    if (this->attempt && this->attempt->reservationId == reservation
        && this->attempt->target.id == targetId) {
        return true; // A repeated grant.
    }
    if (reservation != this->reservationId || !this->mayMove()
        || (!this->attempt && this->refuseIfHeld())) {
        return false;
    }
    const auto granted = std::find_if(this->reservations.begin(), this->reservations.end(),
        [&targetId](const Reservation &record) { return record.target.id == targetId; });
    if (granted == this->reservations.end()) {
        return false;
    }
    if (!this->state.isOpen(granted->target, currentTime())) {
        granted->state = ReservationState::Declined;
        this->reserveAtNext(1);
        return false;
    }
    if (!this->maySendTo(granted->target)) {
        this->leaveSide(targetId);
        return false;
    }
    const Target *listedTarget = this->state.targets.find(targetId);
    const std::optional<TargetLoad> load
        = this->state.grantClient.view(*listedTarget, currentTime()).load;
    if (load && listedTarget->startedMs != 0 && load->startedMs > listedTarget->startedMs) {
        // The incarnation that took over the address would refuse the request.
        granted->state = ReservationState::Declined;
        this->state.recordReplacement(*listedTarget);
        this->reserveAtNext(1);
        return false;
    }
    const Target chosen = *listedTarget;
    this->moveTo(chosen, true);
    return true;
}

void RequestFlow::withdrawReservations(const std::string &exceptTarget)
{
    for (const Reservation &reservation : this->reservations) {
        --this->state.requestsAt(reservation.target.id);
        if (reservation.target.id != exceptTarget) {
            this->state.grantClient.withdraw(reservation.target, this->reservationId);
        }
    }
    this->reservations.clear();
    if (exceptTarget.empty() && this->reservationId != 0) {
        this->state.grantClient.unregisterReservationId(this->reservationId);
    }
    this->reservationId = 0;
}

void RequestFlow::releaseTarget()
{
    if (!this->attempt) {
        return;
    }
    TargetAttempt ended = std::move(*this->attempt);
    this->attempt.reset();
    this->anyTargetMayHaveRun = this->anyTargetMayHaveRun || ended.mayHaveRun;
    if (ended.connection) {
        ended.connection->cancel();
    }
    if (ended.reservationId != 0) {
        const std::uint64_t generated
            = ended.events.count() * static_cast<std::uint64_t>(this->service->tokensPerEvent);
        this->state.grantClient.release(
            ended.target, ended.reservationId, static_cast<std::uint32_t>(generated));
        this->state.grantClient.unregisterReservationId(ended.reservationId);
    }
    --this->state.requestsAt(ended.target.id);
    if (this->state.rollouts) {
        this->state.rollouts->recordLeft(ended.target);
    }
}

void RequestFlow::sendTo(const Target &chosen, std::uint64_t reservation, bool byGrant)
{
    ++this->state.requestsAt(chosen.id);
    this->attempt.emplace();
    this->attempt->target = chosen;
    this->attempt->sentAt = currentTime();
    if (this->state.rollouts) {
        this->state.rollouts->recordSent(chosen);
    }
    this->attempt->reservationId = reservation;
    this->attempt->granted = byGrant;
    this->phase = Phase::Sent;
    this->timeToSend = this->elapsed();
    ForwardContext context;
    context.organisation = this->organisation != nullptr ? this->organisation->name : "";
    context.targetId = chosen.id;
    context.timeLeft = this->timeLeft();
    this->attempt->resumesAfter = this->lastRelayedEventId;
    context.lastEventId
        = this->headSentToCaller ? this->lastRelayedEventId : this->request.lastEventId;
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
        .text("by", byGrant ? "grant" : "own-choice")
        .ms("waited_ms", this->elapsed())
        .number("attempt", this->attempts + 1)
        .number("prompt_tokens", this->request.promptTokens)
        .number("output_limit", this->request.outputTokens)
        .number("output_likely", this->request.estimatedOutputTokens())
        .number("configuration", static_cast<double>(this->configuration->version()))
        .ms("configuration_age_ms", this->state.timeSinceConfirmation())
        .ms("targets_age_ms", timeSinceBoot() - this->state.targetsReadAt);
    this->state.log.decision(line);
    this->continuation.recordSent(currentTime());
    Duration next = this->timeLeft();
    if (this->service->isEngine && this->route->isRetrySafe()) {
        next = std::min(next, this->continuation.untilSilent(currentTime()));
    }
    this->startTimer(next);
    this->attempt->connection = this->state.pool.send(chosen, std::move(outgoing), *this);
}

} // namespace wigeonsill
