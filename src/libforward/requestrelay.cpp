/// \file requestrelay.cpp
/// Relay of a target's answer to the caller, and retries at other targets.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>

namespace wigeonsill {

void RequestFlow::onSent()
{
    this->currentTargetMayHaveRun = true;
    this->sentToAnyTarget = true;
    ++this->attempts;
}

void RequestFlow::onAnswerHead(const MessageHead &received)
{
    const auto self = this->shared_from_this();
    const AnswerFacts facts = this->state.dialect.decodeAnswer(received);
    this->state.recordTargetFacts(*this->target, facts);
    if (facts.isWrongTarget) {
        this->state.recordReplacement(this->target->id);
        // The intended target never received it, so this was not an attempt.
        --this->attempts;
    }
    if (facts.notRun) {
        this->currentTargetMayHaveRun = false;
        this->excludedTargets.insert(this->target->id);
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
        this->state.quiet.recordSuccess(*this->target, this->arrived + *this->timeToSend);
    }
    if (received.status >= 500) {
        this->state.recordFailure(this->target->id);
        this->excludedTargets.insert(this->target->id);
        if (this->route->isRetrySafe()
            && this->retryAtOtherTarget("the target answered with a server error")) {
            return;
        }
        if (this->headSentToCaller) {
            this->abortAnswer(
                "the target that was to resume the stream answered with a server error");
            return;
        }
    }
    if (this->headSentToCaller) {
        if (received.status >= 300) {
            this->abortAnswer(
                "the target that was to resume the stream answered without a success status");
            return;
        }
    } else {
        this->answerHead = received;
    }
    this->streaming = this->route->routeType == RouteType::Stream && received.status < 300;
    this->phase = Phase::Relaying;
    this->recordProgress();
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
    this->headSentToCaller = true;
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
    // Larger answers are relayed as they arrive, so that memory stays bounded.
    constexpr std::size_t answerBufferLimit = 262'144;
    this->answerBody += bytes;
    if (this->headSentToCaller || this->answerBody.size() > answerBufferLimit) {
        if (!this->headSentToCaller) {
            this->beginRelay();
        }
        this->caller->writeBody(this->answerBody);
        this->answerBody.clear();
    }
}

void RequestFlow::forwardEvents(std::string_view bytes)
{
    const std::string completeEvents = this->events.feed(bytes);
    if (completeEvents.empty()) {
        return;
    }
    this->lastEventAt = currentTime();
    this->recordProgress();
    if (!this->timeToFirstEvent) {
        this->timeToFirstEvent = this->elapsed();
        this->state.metrics.sample("wigeonsill_first_event_ms",
            "priority=\"" + std::to_string(this->route->priority) + "\"",
            static_cast<double>(this->timeToFirstEvent->count()) / 1'000);
    }
    if (this->granted) {
        this->granted = false;
        this->state.grantClient.reportFirstEvent(*this->target, this->targetReservationId);
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
        .text("target", this->target->id)
        .text("answer_to", answerId)
        .number("earlier_requests", static_cast<double>(earlierRequests));
    this->state.log.decision(line);
}

void RequestFlow::onAnswerEnd()
{
    const auto self = this->shared_from_this();
    this->connection.reset();
    this->state.closeIdleIfUnusable(this->target->id);
    if (this->answerHead.status < 500) {
        this->state.recordSuccess(this->target->id);
    }
    CallerConnection *answeredCaller = this->caller;
    const std::string remainder = this->streaming ? this->events.remainder() : this->answerBody;
    this->finish("answered", this->answerHead.status, {});
    if (this->headSentToCaller) {
        answeredCaller->writeBody(remainder);
        answeredCaller->endAnswer();
        return;
    }
    HttpFields fields = this->relayedFields();
    const std::string length(fieldValue(this->answerHead.fields, "Content-Length"));
    if (this->head.method == "HEAD" && !length.empty()) {
        fields.push_back({ "Content-Length", length });
    }
    answeredCaller->respond(this->answerHead.status, this->answerHead.reason, fields, remainder);
}

void RequestFlow::onAnswerFailed(TargetFailure failure)
{
    const auto self = this->shared_from_this();
    this->connection.reset();
    const std::string cause(enumName(targetFailureNames, failure));
    this->state.metrics.count("wigeonsill_target_failures_total", "why=\"" + cause + "\"");
    this->state.recordFailure(this->target->id);
    this->excludedTargets.insert(this->target->id);
    if (failure == TargetFailure::NotConnected) {
        this->currentTargetMayHaveRun = false;
        if (!this->retryAtOtherTarget(cause)) {
            this->refuse(ResultCode::TargetRefusedConnection,
                "no connection to the target could be made", this->retryDelay());
        }
        return;
    }
    this->anyTargetMayHaveRun = true;
    if (this->headSentToCaller) {
        if (this->streaming && this->route->resumable) {
            this->resumeStream();
        } else {
            this->abortAnswer(cause);
        }
        return;
    }
    this->answerBody.clear();
    if (this->route->isRetrySafe() && this->retryAtOtherTarget(cause)) {
        return;
    }
    this->fail(502, cause);
}

void RequestFlow::logMove(std::string_view cause)
{
    DecisionLine line("entry", "moved");
    line.text("request", this->request.id)
        .text("from", this->target ? this->target->id : "")
        .text("why", cause)
        .number("attempts", this->attempts)
        .number("relayed_events", static_cast<double>(this->events.count()))
        .number("held_bytes",
            static_cast<double>(this->events.remainder().size() + this->answerBody.size()))
        .ms("left_ms", this->timeLeft());
    this->state.log.decision(line);
}

bool RequestFlow::retryAtOtherTarget(std::string_view cause)
{
    this->continuation.recordLost();
    // A target that received no byte of the request does not count as an attempt.
    AnswerContinuation::Options options = this->continuationOptions();
    options.repeatable = options.repeatable || !this->currentTargetMayHaveRun;
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

void RequestFlow::resumeStream()
{
    this->events.discardPartial();
    if (!this->retryAtOtherTarget("the stream was interrupted")) {
        this->fail(502, "the stream was interrupted and cannot be resumed");
    }
}

} // namespace wigeonsill
