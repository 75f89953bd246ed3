/// \file answerend.cpp
/// The end of a target's answer: whether it is whole, and what the caller gets then.
#include "requestflow.h"

#include "callerconnection.h"

namespace wigeonsill {

void RequestFlow::onAnswerEnd()
{
    const auto self = this->shared_from_this();
    if (this->attempt->endedWithinAnEvent()) {
        this->onAnswerFailed(TargetFailure::Truncated);
        return;
    }
    this->attempt->connection.reset();
    if (this->mayHaveBeenKilled()) {
        this->confirmEnd();
    } else {
        this->finishAnswer();
    }
}

bool RequestFlow::mayHaveBeenKilled() const
{
    if (!this->attempt->head.endsAtClose || this->attempt->head.status >= 300) {
        return false;
    }
    // One that leaves may take no connections while it gives its last answers. Only the rest of a
    // stream can be asked for without harm if nothing is missing.
    const bool canAskForRest
        = this->attempt->streaming && this->headSentToCaller && this->canContinueElsewhere();
    return canAskForRest || this->state.targets.isUsable(this->attempt->target.id);
}

void RequestFlow::confirmEnd()
{
    this->attempt->readingPaused = false;
    this->state.pool.probe(this->attempt->target,
        [weak = this->weak_from_this(), sentAt = this->attempt->sentAt](bool refused) {
            const std::shared_ptr<RequestFlow> flow = weak.lock();
            // The request may have been moved or ended meanwhile.
            if (!flow || flow->phase != Phase::Relaying || !flow->attempt
                || flow->attempt->sentAt != sentAt) {
                return;
            }
            if (refused) {
                flow->state.metrics.count("wigeonsill_answers_of_ended_targets_total");
                flow->onAnswerFailed(TargetFailure::Truncated);
            } else {
                flow->finishAnswer();
            }
        });
}

void RequestFlow::finishAnswer()
{
    this->state.closeIdleIfUnusable(this->attempt->target.id);
    if (this->attempt->head.status < 400) {
        this->recordLatencySample(); // A refused request tells nothing of the time of others.
    }
    if (this->attempt->head.status < 500) {
        this->state.recordSuccess(this->attempt->target.id);
    }
    if (this->attempt->head.status < 300
        && (!this->attempt->streaming || this->attempt->events.count() > 0)) {
        this->recordAnswering();
    } else if (this->attempt->head.status >= 300) {
        this->state.crashes.recordRejected(this->suspect);
    }
    CallerConnection *answeredCaller = this->caller;
    const std::string remainder
        = this->attempt->streaming ? this->attempt->events.remainder() : this->attempt->body;
    if (this->headSentToCaller) {
        this->finish("answered", this->relayedHead.status, {});
        answeredCaller->writeBody(remainder);
        answeredCaller->endAnswer();
        return;
    }
    this->relayedHead = this->attempt->head;
    this->finish("answered", this->relayedHead.status, {});
    HttpFields fields = this->relayedFields();
    const std::string length(fieldValue(this->relayedHead.fields, "Content-Length"));
    if (this->head.method == "HEAD" && !length.empty()) {
        fields.push_back({ "Content-Length", length });
    }
    answeredCaller->respond(this->relayedHead.status, this->relayedHead.reason, fields, remainder);
}

} // namespace wigeonsill
