/// \file requestrelay.cpp
/// A target's answer on its way to the caller, and second sends.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>

namespace wigeonsill {

void RequestFlow::onSent()
{
    this->bytesLeft = true;
    this->sentBefore = true;
    ++this->attempts;
}

void RequestFlow::onAnswerHead(const MessageHead &received)
{
    const auto self = this->shared_from_this();
    const AnswerFacts facts = this->state.dialect.decodeAnswer(received);
    if (facts.otherTarget) {
        this->state.noteReplaced(this->target->id);
        // The target that it was meant for never got it.
        --this->attempts;
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
    // A target that never got a byte does not count as an attempt.
    if (!this->mayRepeat()) {
        return false;
    }
    if (this->timeLeft() <= leastTimeLeft || this->views().empty()) {
        return false;
    }
    if (this->sentBefore && !this->state.repeats.take(this->service->name, currentTime())) {
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

} // namespace wigeonsill
