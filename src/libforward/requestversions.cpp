/// \file requestversions.cpp
/// The version that a request may be sent to: that which began its stream, or the side of a
/// rollout; and what its answers tell about a version.
#include "requestflow.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Latency of a reference target, to which answers of requests of all sizes are compared: prompt
/// tokens that an engine processes in a millisecond, and the time that it takes at least.
constexpr double referenceTokensPerMs = 60;
constexpr Duration engineOverhead = milliseconds(10);
constexpr Duration plainReferenceLatency = milliseconds(20);
/// Interval at which agents are asked again at which version a stream began.
constexpr Duration originAskInterval = milliseconds(80);
/// How long agents and the store are waited for where what is known by then may do. Several round
/// trips between regions, within the latency objective of most routes.
constexpr Duration originWait = milliseconds(300);
/// How long they are asked for a stream that nobody knows. Agents that stand still or start again
/// answer after a while, and callers leave a stream without events after two seconds.
constexpr Duration originLimit = milliseconds(1'500);

Duration promptTime(std::uint32_t tokens, double tokensPerMs)
{
    const std::chrono::duration<double, std::milli> time(tokens / tokensPerMs);
    return std::chrono::duration_cast<Duration>(time) + engineOverhead;
}

} // namespace

bool RequestFlow::takesUpStream() const
{
    return this->service->isEngine && this->route->routeType == RouteType::Stream
        && !this->request.lastEventId.empty();
}

bool RequestFlow::settleStreamVersion()
{
    if (!this->takesUpStream()) {
        return true;
    }
    this->streamVersion
        = this->state.streamVersions.find(this->streamId().value_or(0), currentTime());
    if (this->streamVersion) {
        this->recordTakenUp(OriginSource::OwnRecord);
        return true;
    }
    this->askStreamOrigin();
    return false;
}

void RequestFlow::recordTakenUp(OriginSource source)
{
    const std::string by(enumName(originSourceNames, source));
    this->state.metrics.count("wigeonsill_streams_taken_up_total", "by=\"" + by + "\"");
    DecisionLine line("entry", "taken-up");
    line.text("request", this->request.id)
        .text("resumes", this->request.resumedRequest)
        .text("version", *this->streamVersion)
        .text("by", by)
        .ms("waited_ms", this->elapsed())
        .ms("targets_age_ms", timeSinceBoot() - this->state.targetsReadAt);
    this->state.log.decision(line);
}

void RequestFlow::askStreamOrigin()
{
    this->startTimer(originAskInterval);
    this->state.streamVersions.ask(this->streamId().value_or(0), this->service->name, *this);
}

void RequestFlow::onOriginTimer()
{
    // No agent can know a stream that the caller doesn't name.
    const Duration limit = this->streamId() ? originLimit : originWait;
    if (this->elapsed() >= limit) {
        this->state.streamVersions.stopWaiting(*this);
        return;
    }
    this->askStreamOrigin(); // Datagrams may be lost.
    if (this->elapsed() >= originWait) {
        this->state.streamVersions.decideNow(*this);
    }
}

void RequestFlow::onStreamOrigin(const OriginDecision &decision)
{
    const auto self = this->shared_from_this();
    if (decision.verdict == OriginVerdict::Known) {
        this->streamVersion = decision.version;
        this->recordTakenUp(decision.source);
        this->place();
        return;
    }
    this->state.metrics.count("wigeonsill_streams_of_unknown_version_total");
    const OriginEvidence &evidence = decision.evidence;
    DecisionLine line("entry", "origin-unknown");
    line.text("request", this->request.id)
        .text("resumes", this->request.resumedRequest)
        .number("asked", static_cast<double>(evidence.askedAgents))
        .number("answered", static_cast<double>(evidence.answeredAgents))
        .number("list_read", evidence.isListConfirmed ? 1 : 0)
        .number("several_versions_known", evidence.areSeveralVersionsKnown ? 1 : 0)
        .ms("waited_ms", this->elapsed());
    this->state.log.decision(line);
    this->refuse(ResultCode::NoTargetAvailable,
        "the version at which the stream began is not known, and several may serve");
}

std::optional<std::uint64_t> RequestFlow::streamId() const
{
    const std::string &id
        = this->request.lastEventId.empty() ? this->request.id : this->request.resumedRequest;
    return id.empty() ? std::nullopt : std::optional(streamHash(id));
}

void RequestFlow::recordStreamEvents(bool isFirst)
{
    const Target &target = this->attempt->target;
    this->streamVersion = this->streamVersion.value_or(target.version);
    const auto stream = this->streamId();
    if (!stream || !this->service->isEngine || !this->route->resumable) {
        return;
    }
    const ServiceVersion version{ target.service, target.version };
    if (isFirst) {
        this->state.streamVersions.recordBegan(*stream, version, currentTime());
    } else {
        this->state.streamVersions.recordGoesOn(*stream, version, currentTime());
    }
}

bool RequestFlow::followsRollout() const
{
    return this->state.rollouts && this->state.rollouts->isRestricting();
}

bool RequestFlow::areVersionsRestricted() const
{
    return this->streamVersion || this->followsRollout();
}

bool RequestFlow::isAdmitted(const Target &target) const
{
    if (this->streamVersion && target.version != *this->streamVersion) {
        return false;
    }
    return !this->followsRollout()
        || this->state.rollouts->admits(target, this->side.value_or(VersionSide::Any));
}

bool RequestFlow::maySendTo(const Target &target) const
{
    return this->isAdmitted(target)
        && (!this->followsRollout() || this->state.rollouts->sideOf(target) != VersionSide::Target
            || this->state.rollouts->mayExpose(target.service));
}

bool RequestFlow::hasTargetOn(VersionSide versionSide) const
{
    const auto targets = this->state.targets.usable(this->service->name);
    return std::any_of(
        targets.begin(), targets.end(), [this, versionSide](const Target *candidate) {
            return !this->excludedTargets.contains(candidate->id)
                && this->state.rollouts->admits(*candidate, versionSide);
        });
}

void RequestFlow::settleSide()
{
    if (!this->followsRollout()) {
        return;
    }
    const std::string &name = this->service->name;
    if (!this->side) {
        // What was sent before the order went to an old target, and stays on that side.
        this->side = this->attempts > 0 ? VersionSide::Old : this->state.rollouts->choose(name);
    }
    const bool mayExpose = this->state.rollouts->mayExpose(name);
    if (this->attempts == 0 && mayExpose && this->state.rollouts->isMoving(name)) {
        // One that still waits must not reach an old target that is about to stop.
        this->side = VersionSide::Target;
    }
    if (this->side == VersionSide::Target) {
        // Others may have used the share since it was chosen.
        if ((!mayExpose || !this->hasTargetOn(VersionSide::Target))
            && this->hasTargetOn(VersionSide::Old)) {
            this->side = VersionSide::Old;
        }
    } else if (mayExpose && !this->hasTargetOn(VersionSide::Old)
        && this->hasTargetOn(VersionSide::Target)) {
        this->side = VersionSide::Target;
    }
}

void RequestFlow::leaveSide(const std::string &targetId)
{
    const auto granted = std::find_if(this->reservations.begin(), this->reservations.end(),
        [&targetId](const Reservation &record) { return record.target.id == targetId; });
    if (granted != this->reservations.end()) {
        --this->state.requestsAt(targetId);
        this->reservations.erase(granted); // The grant is given back by the caller.
    }
    if (this->phase == Phase::Reserving) {
        this->withdrawReservations();
        this->place();
    } else {
        this->reserveAtNext(1);
    }
}

void RequestFlow::recordSample(bool failed)
{
    if (!this->followsRollout() || !this->attempt) {
        return;
    }
    const Target &target = this->attempt->target;
    bool &recorded = failed ? this->attempt->failureRecorded : this->attempt->latencyRecorded;
    AnswerSample sample;
    sample.side = this->state.rollouts->sideOf(target);
    if (recorded || sample.side == VersionSide::Any) {
        return;
    }
    recorded = true;
    sample.service = this->service->name;
    sample.route = this->route->name;
    sample.targetId = target.id;
    sample.failed = failed;
    sample.latency = currentTime() - this->attempt->sentAt;
    sample.referenceLatency = plainReferenceLatency;
    if (this->service->isEngine) {
        sample.referenceLatency = promptTime(this->request.promptTokens, referenceTokensPerMs);
        const AgentView agent = this->state.grantClient.view(target, currentTime());
        if (agent.load && agent.load->prefillTokensPerMs > 0) {
            sample.expectedLatency
                = promptTime(this->request.promptTokens, agent.load->prefillTokensPerMs);
        }
    }
    this->state.rollouts->recordAnswer(sample);
}

void RequestFlow::recordLatencySample()
{
    this->recordSample(false);
}

void RequestFlow::recordFailureSample()
{
    this->recordSample(true);
}

void RequestFlow::recordTimeLimitSample()
{
    const bool isSilent = this->attempt && !this->isTargetWaitingForCaller()
        && this->continuation.silence(currentTime()) > this->route->latencyObjective;
    if (isSilent) {
        this->recordFailureSample();
    }
}

} // namespace wigeonsill
