/// \file agentmessages.cpp
/// Agent core: handling of each message from an entry.
#include "agentstate.h"

namespace wigeonsill {

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Reserve &message)
{
    const RequestProfile &profile = message.profile;
    ResultCode reason = ResultCode::Ok;
    if (this->draining) {
        reason = ResultCode::Draining;
    } else if (this->tombstones.requestState(profile.id) != Tombstones::RequestState::Unseen) {
        reason = ResultCode::NoTargetAvailable;
    } else if (!this->floors.admits(now, profile.pool, profile.tier)) {
        reason = ResultCode::TierFloor;
    } else if (!this->makeQueueSpaceFor(profile)) {
        reason = ResultCode::Overloaded;
    }
    if (reason != ResultCode::Ok) {
        this->send(
            profile.id.entry, ReservationEnded{ profile.id, reason, this->floors.list(now) });
        return;
    }
    if (this->pulls.contains(profile.id)) {
        return;
    }
    this->queue.add(profile, now + profile.timeLeft);
    this->pullQueuedRequests(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Withdraw &message)
{
    this->removeDispatched(message.id);
    this->releasePull(message.id);
    this->pullQueuedRequests(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Decline &message)
{
    this->releasePull(message.id);
    this->pullQueuedRequests(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Bind &message)
{
    const RequestId id = message.profile.id;
    const auto pull = this->pulls.find(id);
    // The Bind was sent after the pull, so the pull's age on this agent's clock is an upper bound
    // of the Bind's age.
    const bool withinPullTimeout
        = pull != this->pulls.end() && now - pull->second.sentAt <= this->limits.pullTimeout;
    this->queue.remove(id);
    this->releasePull(id);
    const Tombstones::RequestState requestState = this->tombstones.requestState(id);
    if (requestState == Tombstones::RequestState::Rejected) {
        this->send(id.entry, NotRun{ id, ResultCode::RequestExpired });
        return;
    }
    if (requestState != Tombstones::RequestState::Unseen) {
        return;
    }
    const bool lateBind = !withinPullTimeout && !this->limits.acceptPushed;
    if (this->draining || lateBind) {
        this->rejectPermanently(
            now, id, this->draining ? ResultCode::Draining : ResultCode::RequestExpired);
        return;
    }
    if (!this->floors.admits(now, message.profile.pool, message.profile.tier)) {
        this->rejectPermanently(now, id, ResultCode::TierFloor);
        return;
    }
    this->tombstones.markStarted(id);
    AgentRun &run = this->runs[id];
    run.profile = message.profile;
    run.timing.startedAt = now;
    run.timing.startedOnIdleTarget = this->running == 0;
    run.lastMessageAt = now;
    this->tokensInFlight += run.profile.tokens();
    ++this->running;
    this->actions.emplace_back(StartAtTarget{ id, message.request });
}

void AgentCore::Private::onMessage(TimePoint, const Incarnation &, const CancelRun &message)
{
    const auto found = this->runs.find(message.id);
    if (found == this->runs.end()) {
        if (this->tombstones.requestState(message.id) == Tombstones::RequestState::Unseen) {
            this->queue.remove(message.id);
            this->releasePull(message.id);
            this->tombstones.markRejected(message.id);
        }
        return;
    }
    if (found->second.ended) {
        this->runs.erase(found);
        return;
    }
    this->cancelOrDiscard(found->second);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Resume &message)
{
    const auto found = this->runs.find(message.id);
    if (found == this->runs.end()) {
        switch (this->tombstones.requestState(message.id)) {
        case Tombstones::RequestState::Unseen:
            this->rejectPermanently(now, message.id, ResultCode::ConnectionClosed);
            break;
        case Tombstones::RequestState::Rejected:
            this->send(message.id.entry, NotRun{ message.id, ResultCode::ConnectionClosed });
            break;
        case Tombstones::RequestState::Started:
            this->send(
                message.id.entry, AnswerEnd{ message.id, ResultCode::AnswerLost, 0, 0, 0, 0 });
            break;
        case Tombstones::RequestState::BelowWatermark:
            this->send(
                message.id.entry, AnswerEnd{ message.id, ResultCode::AgentLost, 0, 0, 0, 0 });
            break;
        }
        return;
    }
    AgentRun &run = found->second;
    run.lastMessageAt = now;
    if (message.offset < run.answer.begin()) {
        // An entry acknowledges only bytes that it has, so an offset below the buffer comes from a
        // delayed message unless the answer was discarded.
        if (run.discarding) {
            this->send(
                message.id.entry, AnswerEnd{ message.id, ResultCode::AnswerLost, 0, 0, 0, 0 });
        }
        return;
    }
    run.discarding = false;
    if (run.haveHead && message.needHead) {
        this->send(message.id.entry, AnswerHead{ message.id, run.status, run.headers });
    }
    run.sentOffset = std::min(message.offset, run.answer.end());
    run.endSent = false;
    this->send(message.id.entry, StillRunning{ message.id });
    this->flush(run);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Acknowledge &message)
{
    const auto found = this->runs.find(message.id);
    if (found == this->runs.end()) {
        return;
    }
    AgentRun &run = found->second;
    run.lastMessageAt = now;
    if (message.final && run.ended) {
        this->runs.erase(found);
        return;
    }
    if (message.final) {
        this->cancelOrDiscard(run);
        return;
    }
    run.acknowledgedOffset = std::max(run.acknowledgedOffset, message.offset);
    run.answer.acknowledge(message.offset);
    this->flush(run);
    this->resumeReading(run);
}

void AgentCore::Private::rejectPermanently(TimePoint now, const RequestId &id, ResultCode reason)
{
    this->rejectionInTransitUntil = now + this->limits.heartbeatInterval;
    this->queue.remove(id);
    this->releasePull(id);
    this->tombstones.markRejected(id);
    this->send(id.entry, NotRun{ id, reason });
}

void AgentCore::Private::cancelOrDiscard(AgentRun &run)
{
    if (run.cancelled || run.ended) {
        return;
    }
    // Non-idempotent work, such as a payment, is never interrupted, even when its caller or entry
    // has disconnected.
    if (run.profile.nonIdempotent) {
        this->discardAnswer(run);
        return;
    }
    run.cancelled = true;
    this->actions.emplace_back(CancelAtTarget{ run.profile.id });
}

void AgentCore::Private::discardAnswer(AgentRun &run)
{
    run.discarding = true;
    run.answer.acknowledge(run.answer.end());
    run.sentOffset = run.answer.end();
    this->resumeReading(run);
}

void AgentCore::Private::resumeReading(AgentRun &run)
{
    if (run.paused && run.answer.size() < this->limits.maximumBufferedBytes / 2) {
        run.paused = false;
        this->actions.emplace_back(PauseTarget{ run.profile.id, false });
    }
}

void AgentCore::Private::flush(AgentRun &run)
{
    const RequestId &id = run.profile.id;
    while (run.sentOffset < run.answer.end()
        && run.sentOffset < run.acknowledgedOffset + this->limits.sendWindowBytes) {
        const std::uint64_t allowed
            = run.acknowledgedOffset + this->limits.sendWindowBytes - run.sentOffset;
        const std::string_view bytes = run.answer.read(run.sentOffset, allowed);
        if (bytes.empty()) {
            break;
        }
        this->send(id.entry, AnswerBytes{ id, run.sentOffset, std::string(bytes) });
        run.sentOffset += bytes.size();
    }
    if (run.ended && !run.endSent && run.sentOffset >= run.answer.end()) {
        run.endSent = true;
        this->send(id.entry,
            AnswerEnd{ id, run.result, run.answer.end(), run.usage.prompt, run.usage.cached,
                run.usage.output });
    }
}

} // namespace wigeonsill
