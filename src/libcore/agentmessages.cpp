/// \file agentmessages.cpp
/// What an agent does on each message of an entry.
#include "agentstate.h"

namespace wigeonsill {

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Reserve &message)
{
    const RequestProfile &profile = message.profile;
    ResultCode reason = ResultCode::Ok;
    if (this->draining) {
        reason = ResultCode::Draining;
    } else if (this->tombstones.verdict(profile.id) != Tombstones::Verdict::Unseen) {
        reason = ResultCode::NoTargetAvailable;
    } else if (!this->floors.admits(now, profile.pool, profile.tier)) {
        reason = ResultCode::TierFloor;
    } else if (!this->makeRoomFor(profile)) {
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
    this->pullNext(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Withdraw &message)
{
    this->removeServed(message.id);
    this->releasePull(message.id);
    this->pullNext(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Decline &message)
{
    this->releasePull(message.id);
    this->pullNext(now);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Bind &message)
{
    const RequestId id = message.profile.id;
    const auto pull = this->pulls.find(id);
    // The hand-over was sent after the pull, so the pull's age by the own clock bounds its age.
    const bool fresh
        = pull != this->pulls.end() && now - pull->second.sentAt <= this->limits.pullTimeout;
    this->queue.remove(id);
    this->releasePull(id);
    const Tombstones::Verdict verdict = this->tombstones.verdict(id);
    if (verdict == Tombstones::Verdict::Refused) {
        this->send(id.entry, NotRun{ id, ResultCode::RequestExpired });
        return;
    }
    if (verdict != Tombstones::Verdict::Unseen) {
        return;
    }
    const bool late = !fresh && !this->limits.acceptPushed;
    if (this->draining || late) {
        this->refuse(now, id, this->draining ? ResultCode::Draining : ResultCode::RequestExpired);
        return;
    }
    if (!this->floors.admits(now, message.profile.pool, message.profile.tier)) {
        this->refuse(now, id, ResultCode::TierFloor);
        return;
    }
    this->tombstones.markStarted(id);
    AgentRun &run = this->runs[id];
    run.profile = message.profile;
    run.timing.startedAt = now;
    run.timing.startedAlone = this->running == 0;
    run.lastHeard = now;
    this->tokensInFlight += run.profile.tokens();
    ++this->running;
    this->actions.emplace_back(StartAtTarget{ id, message.request });
}

void AgentCore::Private::onMessage(TimePoint, const Incarnation &, const CancelRun &message)
{
    const auto found = this->runs.find(message.id);
    if (found == this->runs.end()) {
        if (this->tombstones.verdict(message.id) == Tombstones::Verdict::Unseen) {
            this->queue.remove(message.id);
            this->releasePull(message.id);
            this->tombstones.markRefused(message.id);
        }
        return;
    }
    if (found->second.ended) {
        this->runs.erase(found);
        return;
    }
    this->cancel(found->second);
}

void AgentCore::Private::onMessage(TimePoint now, const Incarnation &, const Resume &message)
{
    const auto found = this->runs.find(message.id);
    if (found == this->runs.end()) {
        switch (this->tombstones.verdict(message.id)) {
        case Tombstones::Verdict::Unseen:
            this->refuse(now, message.id, ResultCode::ConnectionClosed);
            break;
        case Tombstones::Verdict::Refused:
            this->send(message.id.entry, NotRun{ message.id, ResultCode::ConnectionClosed });
            break;
        case Tombstones::Verdict::Started:
            this->send(
                message.id.entry, AnswerEnd{ message.id, ResultCode::AnswerLost, 0, 0, 0, 0 });
            break;
        case Tombstones::Verdict::Forgotten:
            this->send(
                message.id.entry, AnswerEnd{ message.id, ResultCode::AgentLost, 0, 0, 0, 0 });
            break;
        }
        return;
    }
    AgentRun &run = found->second;
    run.lastHeard = now;
    if (message.offset < run.answer.begin()) {
        // An entry acknowledges only what it has, so without discarding this is an old message.
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
    run.sent = std::min(message.offset, run.answer.end());
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
    run.lastHeard = now;
    if (message.final && run.ended) {
        this->runs.erase(found);
        return;
    }
    if (message.final) {
        this->cancel(run);
        return;
    }
    run.acknowledged = std::max(run.acknowledged, message.offset);
    run.answer.acknowledge(message.offset);
    this->flush(run);
    this->resumeReading(run);
}

void AgentCore::Private::refuse(TimePoint now, const RequestId &id, ResultCode reason)
{
    this->lingersUntil = now + this->limits.heartbeatInterval;
    this->queue.remove(id);
    this->releasePull(id);
    this->tombstones.markRefused(id);
    this->send(id.entry, NotRun{ id, reason });
}

void AgentCore::Private::cancel(AgentRun &run)
{
    // Money-bearing work is never stopped half way, whoever has gone.
    if (run.cancelled || run.ended) {
        return;
    }
    if (run.profile.nonIdempotent) {
        this->discard(run);
        return;
    }
    run.cancelled = true;
    this->actions.emplace_back(CancelAtTarget{ run.profile.id });
}

void AgentCore::Private::discard(AgentRun &run)
{
    run.discarding = true;
    run.answer.acknowledge(run.answer.end());
    run.sent = run.answer.end();
    this->resumeReading(run);
}

void AgentCore::Private::resumeReading(AgentRun &run)
{
    if (run.paused && run.answer.size() < this->limits.maximumBuffered / 2) {
        run.paused = false;
        this->actions.emplace_back(PauseTarget{ run.profile.id, false });
    }
}

void AgentCore::Private::flush(AgentRun &run)
{
    const RequestId &id = run.profile.id;
    while (run.sent < run.answer.end() && run.sent < run.acknowledged + this->limits.window) {
        const std::uint64_t allowed = run.acknowledged + this->limits.window - run.sent;
        const std::string_view bytes = run.answer.read(run.sent, allowed);
        if (bytes.empty()) {
            break;
        }
        this->send(id.entry, AnswerBytes{ id, run.sent, std::string(bytes) });
        run.sent += bytes.size();
    }
    if (run.ended && !run.endSent && run.sent >= run.answer.end()) {
        run.endSent = true;
        this->send(id.entry,
            AnswerEnd{ id, run.result, run.answer.end(), run.usage.prompt, run.usage.cached,
                run.usage.output });
    }
}

} // namespace wigeonsill
