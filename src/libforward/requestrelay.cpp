/// \file requestrelay.cpp
/// Relay of a target's answer to the caller, and retries at other targets.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>
#include <utility>

namespace wigeonsill {

namespace {

/// A target that still answers this long after its first event has not crashed as it began.
constexpr Duration answeringTime = milliseconds(250);
/// Larger answers are relayed as they arrive, so that memory stays bounded.
constexpr std::size_t answerBufferLimit = 262'144;
/// Bytes of an answer that may be held before its reading is paced.
constexpr std::size_t pacedReadingThreshold = answerBufferLimit;
/// Unsent bytes of an answer at which its target has to wait for the caller. Below it, the target
/// is free for others once it has given its answer.
constexpr std::size_t unsentBytesLimit = 4'194'304;

} // namespace

void RequestFlow::onSent()
{
    this->attempt->mayHaveRun = true;
    this->sentToAnyTarget = true;
    ++this->attempts;
}

void RequestFlow::onAnswerHead(const MessageHead &received)
{
    const auto self = this->shared_from_this();
    const AnswerFacts facts = this->state.dialect.decodeAnswer(received);
    this->state.recordTargetFacts(this->attempt->target, facts, this->arrived + *this->timeToSend);
    if (this->wasReplaced(facts)) {
        this->state.recordReplacement(this->attempt->target);
        // The intended target never received it, so this was not an attempt.
        --this->attempts;
    }
    if (facts.notRun) {
        this->attempt->mayHaveRun = false;
        this->excludedTargets.insert(this->attempt->target.id);
        const std::string cause
            = "the target refused the request with status " + std::to_string(received.status);
        this->state.metrics.count("wigeonsill_target_refusals_total");
        if (!this->retryAtOtherTarget(cause)) {
            this->refuse(ResultCode::Overloaded, cause, this->delayUntilTarget());
        }
        return;
    }
    this->anyTargetMayHaveRun = true;
    if (received.status < 500) {
        this->state.quiet.recordSuccess(this->attempt->target, this->arrived + *this->timeToSend);
    }
    if (received.status >= 500) {
        this->recordFailureSample();
        this->state.recordFailure(this->attempt->target.id);
        this->excludedTargets.insert(this->attempt->target.id);
        if (this->canContinueElsewhere()
            && this->retryAtOtherTarget("the target answered with a server error")) {
            return;
        }
        if (this->headSentToCaller) {
            this->abortAnswer(
                "the target that was to resume the stream answered with a server error");
            return;
        }
    }
    if (this->headSentToCaller && !this->continuesRelayedAnswer(received)) {
        this->dropAttempt(TargetFailure::NotResumed);
        return;
    }
    this->attempt->head = received;
    // A body of known length and unknown type may as well be a document, unless it is to go on with
    // the events that the caller has.
    const bool mayBeEvents = isEventStream(received.fields) || this->headSentToCaller
        || (fieldValue(received.fields, "Content-Type").empty() && !received.length);
    this->attempt->streaming
        = this->route->routeType == RouteType::Stream && received.status < 300 && mayBeEvents;
    this->phase = Phase::Relaying;
    this->recordProgress();
}

bool RequestFlow::wasReplaced(const AnswerFacts &facts) const
{
    return facts.isMisdirected && !this->request.hasCondition
        && facts.targetId != this->attempt->target.id;
}

bool RequestFlow::continuesRelayedAnswer(const MessageHead &received) const
{
    return received.status == this->relayedHead.status
        && equalsIgnoringCase(fieldValue(received.fields, "Content-Type"),
            fieldValue(this->relayedHead.fields, "Content-Type"));
}

HttpFields RequestFlow::relayedFields() const
{
    HttpFields result;
    const std::string_view connectionField = fieldValue(this->relayedHead.fields, "Connection");
    for (const HttpField &field : this->relayedHead.fields) {
        if (!isHopByHop(field.name, connectionField)
            && !equalsIgnoringCase(field.name, "Content-Length")) {
            result.push_back(field);
        }
    }
    return result;
}

void RequestFlow::beginRelay()
{
    this->headSentToCaller = true;
    this->relayedHead = this->attempt->head;
    this->caller->beginAnswer(
        this->relayedHead.status, this->relayedHead.reason, this->relayedFields());
}

void RequestFlow::onAnswerBody(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    const TargetConnection *const connection = this->attempt->connection.get();
    if (this->attempt->streaming) {
        this->forwardEvents(bytes);
    } else {
        this->forwardBody(bytes);
    }
    if (this->attempt && this->attempt->connection.get() == connection) {
        this->paceReading(bytes.size());
    }
}

std::size_t RequestFlow::heldAnswerBytes() const
{
    return this->caller->unsentBytes() + this->attempt->heldBytes();
}

bool RequestFlow::isTargetWaitingForCaller() const
{
    return this->phase == Phase::Relaying && this->attempt->readingPaused
        && this->caller->unsentBytes() > pacedReadingThreshold;
}

void RequestFlow::paceReading(std::size_t bytes)
{
    std::size_t &left = this->attempt->readAheadLeft;
    left -= std::min(bytes, left);
    if (left == 0 && this->heldAnswerBytes() > pacedReadingThreshold) {
        this->attempt->readingPaused = true;
        this->attempt->connection->pauseReading();
        this->waitForTurnToRead();
    }
}

void RequestFlow::waitForTurnToRead()
{
    if (!this->waitsForTurnToRead) {
        this->waitsForTurnToRead = true;
        this->state.readAhead->enqueue(this->weak_from_this());
    }
}

bool RequestFlow::readAhead()
{
    this->waitsForTurnToRead = false;
    if (this->phase != Phase::Relaying || !this->attempt->readingPaused) {
        return false;
    }
    if (this->caller->unsentBytes() >= unsentBytesLimit) {
        this->state.metrics.count("wigeonsill_slow_callers_total");
        return false; // Until onCallerWritten().
    }
    this->resumeReading();
    return true;
}

void RequestFlow::resumeReading()
{
    this->attempt->readingPaused = false;
    this->attempt->readAheadLeft = ReadAheadPacer::portion;
    this->attempt->connection->resumeReading();
}

void RequestFlow::onCallerWritten()
{
    if (this->phase != Phase::Relaying || !this->attempt->readingPaused) {
        return;
    }
    this->recordProgress(); // The target waited, and was not silent.
    if (this->heldAnswerBytes() <= pacedReadingThreshold) {
        this->resumeReading();
    } else {
        this->waitForTurnToRead();
    }
}

void RequestFlow::forwardBody(std::string_view bytes)
{
    this->recordProgress();
    std::string &held = this->attempt->body;
    held += bytes;
    if (this->headSentToCaller || held.size() > answerBufferLimit) {
        if (!this->headSentToCaller) {
            this->beginRelay();
        }
        const std::string piece = std::exchange(held, {});
        this->caller->writeBody(piece);
    }
}

void RequestFlow::forwardEvents(std::string_view bytes)
{
    EventSplitter &events = this->attempt->events;
    const std::uint64_t eventsBefore = events.count();
    const std::string completeEvents = events.feed(bytes);
    if (!completeEvents.empty()) {
        this->relayEvents(completeEvents, eventsBefore);
    }
    if (this->attempt && this->attempt->events.containsHead()) {
        this->state.metrics.count("wigeonsill_joined_answers_total");
        this->dropAttempt(TargetFailure::Truncated);
        return;
    }
    if (this->attempt && this->attempt->events.isOversized()) {
        this->attempt->connection->endAtBound(AnswerBound::Event);
    }
}

void RequestFlow::relayEvents(const std::string &completeEvents, std::uint64_t eventsBefore)
{
    const EventSplitter &events = this->attempt->events;
    if (eventsBefore == 0 && events.count() > 0 && !this->attempt->hasResumed()) {
        this->dropAttempt(TargetFailure::NotResumed);
        return;
    }
    if (events.count() > eventsBefore) {
        this->relayedEvents += events.count() - eventsBefore;
        this->lastRelayedEventId = events.endsAtId() ? events.lastId() : "";
    }
    this->lastEventAt = currentTime();
    if (events.count() > 0) {
        this->attempt->firstEventAt = this->attempt->firstEventAt.value_or(this->lastEventAt);
        this->recordLatencySample();
        if (this->lastEventAt - *this->attempt->firstEventAt >= answeringTime) {
            this->recordAnswering();
        }
    }
    this->recordProgress();
    if (!this->timeToFirstEvent) {
        this->timeToFirstEvent = this->elapsed();
        this->state.metrics.sample("wigeonsill_first_event_ms",
            "priority=\"" + std::to_string(this->route->priority) + "\"",
            static_cast<double>(this->timeToFirstEvent->count()) / 1'000);
    }
    if (this->attempt->granted) {
        this->attempt->granted = false;
        this->state.grantClient.reportFirstEvent(
            this->attempt->target, this->attempt->reservationId);
    }
    if (events.count() > eventsBefore) {
        this->recordStreamEvents(eventsBefore == 0);
    }
    if (!this->headSentToCaller) {
        this->beginRelay();
    }
    this->caller->writeBody(completeEvents);
}

void RequestFlow::onForeignAnswer(std::string_view answerId, std::uint64_t earlierRequests)
{
    DecisionLine line("entry", "foreign-answer");
    line.text("request", this->request.id)
        .text("target", this->attempt->target.id)
        .text("answer_to", answerId)
        .number("earlier_requests", static_cast<double>(earlierRequests));
    this->state.log.decision(line);
}

void RequestFlow::onBoundExceeded(AnswerBound bound)
{
    DecisionLine line("entry", "answer-bound");
    line.text("request", this->request.id)
        .text("target", this->attempt->target.id)
        .text("bound", enumName(answerBoundNames, bound));
    this->state.log.decision(line);
}

void RequestFlow::onUnreadable(std::string_view why)
{
    DecisionLine line("entry", "answer-unreadable");
    line.text("request", this->request.id)
        .text("target", this->attempt->target.id)
        .text("why", why);
    this->state.log.decision(line);
}

void RequestFlow::onAnswerFailed(TargetFailure failure)
{
    const auto self = this->shared_from_this();
    this->attempt->connection.reset();
    const std::string cause(enumName(targetFailureNames, failure));
    this->state.metrics.count("wigeonsill_target_failures_total", "why=\"" + cause + "\"");
    this->excludedTargets.insert(this->attempt->target.id);
    const bool neverReceived = failure == TargetFailure::NotConnected;
    if (failure != TargetFailure::Doubtful) { // Its body may be sound.
        this->state.recordFailure(this->attempt->target.id);
        if (!neverReceived) {
            this->recordFailureSample();
        }
    }
    this->attempt->mayHaveRun = !neverReceived;
    this->recordBrokenOff(failure);
    if (this->retryAtOtherTarget(cause)) {
        return;
    }
    if (neverReceived) {
        this->refuse(ResultCode::TargetRefusedConnection,
            "no connection to the target could be made", this->retryDelay());
    } else {
        this->fail(502, cause);
    }
}

void RequestFlow::recordAnswering()
{
    if (!this->attempt->answering) {
        this->attempt->answering = true;
        this->state.crashes.recordAnswered(this->suspect);
    }
}

void RequestFlow::recordBrokenOff(TargetFailure failure)
{
    this->mayHaveEndedTarget = false;
    if (failure == TargetFailure::NotConnected) {
        this->state.crashes.recordNotConnected(this->attempt->target);
        return;
    }
    const bool connectionEnded
        = failure == TargetFailure::ClosedWithoutAnswer || failure == TargetFailure::Truncated;
    const bool hadBegun = this->attempt->answering
        || (this->attempt->firstEventAt
            && currentTime() - *this->attempt->firstEventAt >= answeringTime);
    if (connectionEnded && !hadBegun) {
        this->mayHaveEndedTarget = true;
        this->state.crashes.recordBrokenOff(this->attempt->target, this->suspect);
    }
}

void RequestFlow::dropAttempt(TargetFailure failure)
{
    this->attempt->connection->cancel();
    this->onAnswerFailed(failure);
}

void RequestFlow::logMove(std::string_view cause)
{
    DecisionLine line("entry", "moved");
    line.text("request", this->request.id)
        .text("from", this->attempt ? this->attempt->target.id : "")
        .text("why", cause)
        .number("attempts", this->attempts)
        .number("relayed_events", static_cast<double>(this->relayedEvents))
        .number("held_bytes", this->attempt ? static_cast<double>(this->attempt->heldBytes()) : 0)
        .ms("left_ms", this->timeLeft());
    this->state.log.decision(line);
}

bool RequestFlow::retryAtOtherTarget(std::string_view cause)
{
    this->continuation.recordLost();
    if (this->isHeld()
        || (this->mayHaveEndedTarget && this->state.crashes.isSuspected(this->suspect))) {
        return false;
    }
    // A target that received no byte of the request does not count as an attempt.
    AnswerContinuation::Options options = this->continuationOptions();
    options.repeatable = options.repeatable || !this->attempt->mayHaveRun;
    if (this->continuation.nextStep(options, currentTime()) == ContinuationStep::EndAnswer
        || (this->targetViews().empty() && !this->isWaitUseful())) {
        return false;
    }
    const bool wasSearching = this->isSearching(); // Then the retry is already acquired.
    if (this->sentToAnyTarget && !wasSearching
        && !this->state.retryBudget.tryAcquire(this->service->name, currentTime())) {
        this->state.metrics.count("wigeonsill_repeats_over_budget_total");
        return false;
    }
    this->logMove(cause);
    this->releaseTarget();
    if (this->service->isEngine) {
        // The wait for room at another target starts anew. The rest of a begun answer is waited for
        // until the time limit.
        this->maximumWait
            = this->headSentToCaller ? this->timeLimit : this->waitEnd(this->elapsed());
        if (wasSearching) {
            this->phase = Phase::Reserving;
            this->onReservingTimer();
        } else {
            this->place();
        }
    } else {
        this->place();
    }
    return true;
}

bool RequestFlow::mayHaveRun() const
{
    return this->anyTargetMayHaveRun || (this->attempt && this->attempt->mayHaveRun);
}

bool RequestFlow::canContinueElsewhere() const
{
    // Of an answer that the caller has in part, the rest can only be asked for by the last event.
    return this->headSentToCaller ? this->route->resumable && !this->lastRelayedEventId.empty()
                                  : this->route->isRetrySafe();
}

} // namespace wigeonsill
