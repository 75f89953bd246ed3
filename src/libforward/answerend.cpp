/// \file answerend.cpp
/// The end of a target's answer: whether it is whole, and what the caller gets then.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>

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

DoubtStep RequestFlow::settleDoubt(BodyDoubt doubt, std::string_view held)
{
    const DoubtfulBody doubtful(this->attempt->body + std::string(held));
    DoubtOptions options;
    options.isStream = this->attempt->streaming;
    options.isConfirmed = std::any_of(this->doubtfulBodies.begin(), this->doubtfulBodies.end(),
        [&doubtful](const DoubtfulBody &earlier) { return doubtful.isConfirmedBy(earlier); });
    options.wasRepeated = !this->doubtfulBodies.empty();
    options.isRepeatable = this->mayAskOtherTarget();
    const DoubtStep step = chooseDoubtStep(doubt, options);
    this->doubtfulBodies.push_back(doubtful);
    const std::string stepName(enumName(doubtStepNames, step));
    this->state.metrics.count("wigeonsill_doubtful_bodies_total", "step=\"" + stepName + "\"");
    DecisionLine line("entry", "body-doubtful");
    line.text("request", this->request.id)
        .text("target", this->attempt->target.id)
        .text("why", enumName(bodyDoubtNames, doubt))
        .text("step", stepName)
        .number("confirmed", options.isConfirmed ? 1 : 0)
        .number("held_bytes", static_cast<double>(held.size()));
    this->state.log.decision(line);
    return step;
}

bool RequestFlow::mayHaveBeenKilled() const
{
    return this->attempt->head.endsAtClose && this->attempt->head.status < 300;
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
