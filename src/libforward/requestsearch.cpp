/// \file requestsearch.cpp
/// The search for another target while the current one is silent.
#include "requestflow.h"

namespace wigeonsill {

AnswerContinuation::Options RequestFlow::continuationOptions() const
{
    return { this->canContinueElsewhere(), this->route->maximumAttempts - this->attempts,
        this->timeLeft() };
}

bool RequestFlow::mayAskOtherTarget()
{
    const AnswerContinuation::Options options = this->continuationOptions();
    if (this->isHeld() || !options.repeatable || options.attemptsLeft <= 0
        || !this->continuation.isTimeLeft(options.timeLeft)) {
        return false;
    }
    const bool wasExcluded = !this->excludedTargets.insert(this->attempt->target.id).second;
    const bool isAnyLeft = !this->targetViews().empty() || this->isWaitUseful();
    if (!wasExcluded) {
        this->excludedTargets.erase(this->attempt->target.id);
    }
    if (!isAnyLeft || !this->state.retryBudget.tryAcquire(this->service->name, currentTime())) {
        return false;
    }
    this->state.retryBudget.refund(this->service->name); // Acquired again when it is repeated.
    return true;
}

void RequestFlow::searchOtherTarget()
{
    if (this->isHeld()) {
        return;
    }
    if (!this->state.retryBudget.tryAcquire(this->service->name, currentTime())) {
        this->state.metrics.count("wigeonsill_repeats_over_budget_total");
        return;
    }
    this->state.recordFailure(this->attempt->target.id);
    this->excludedTargets.insert(this->attempt->target.id);
    this->maximumWait = this->timeLimit;
    if (!this->beginReservations()) {
        this->state.retryBudget.refund(this->service->name);
        return;
    }
    DecisionLine line("entry", "searching");
    line.text("request", this->request.id)
        .text("target", this->attempt->target.id)
        .ms("silent_ms", this->continuation.silence(currentTime()))
        .number("events", static_cast<double>(this->relayedEvents))
        .number("attempts", this->attempts)
        .ms("left_ms", this->timeLeft());
    this->state.log.decision(line);
}

void RequestFlow::endSearch()
{
    this->withdrawReservations();
    this->state.retryBudget.refund(this->service->name);
    this->excludedTargets.erase(this->attempt->target.id);
}

void RequestFlow::recordProgress()
{
    this->continuation.recordProgress(currentTime());
    if (this->isSearching()) {
        this->endSearch();
    }
}

void RequestFlow::moveTo(const Target &chosen, bool byGrant)
{
    if (this->attempt) {
        this->logMove("the target is silent and another one has room");
        this->recordLatencySample();
        this->releaseTarget();
    }
    const std::uint64_t reservation = this->reservationId;
    this->withdrawReservations(chosen.id);
    this->sendTo(chosen, reservation, byGrant);
}

} // namespace wigeonsill
