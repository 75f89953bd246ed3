/// \file rolloutgate.cpp
/// Each entry's part in a rollout: which version a request goes to, and what is counted.
#include "wigeonsill/rollout.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Parts of the exposed share that the new version may have got at the end of a stage. The rest is
/// for requests that are sent before a bad judgement has reached all entries.
constexpr double canaryPart = 0.3;
constexpr double trialPart = 0.8;
/// Targets of the new version in the Canary stage, so that each has about the load of an old one.
constexpr std::size_t canaryTargetCount = 3;
/// An entry that has heard neither from the store nor from the owner for so long may act on a stage
/// that was taken back.
constexpr Duration contactTimeout = seconds(4);
/// How long reports go on after a rollout is final, so that the owner sees its end everywhere.
constexpr Duration finalReportTime = seconds(3);
/// Share of the additional requests that all entries' allowances add up to, since a process that
/// starts again has its allowance anew.
constexpr double slackPart = 0.5;

double ratioOf(Duration latency, Duration reference)
{
    const double measured = std::max<double>(static_cast<double>(latency.count()), 1);
    return measured / static_cast<double>(reference.count());
}

} // namespace

RolloutStage laterStage(RolloutStage first, RolloutStage second)
{
    return std::max(first, second);
}

bool isSameOrder(const RolloutOrder &known, const RolloutOrder &read)
{
    const bool isEqual
        = known.targetVersion == read.targetVersion && known.duration == read.duration;
    return isEqual && (known.id == read.id || known.id.history != read.id.history);
}

RolloutSchedule::RolloutSchedule(Duration orderDuration)
    : end(orderDuration - std::min<Duration>(milliseconds(2'500), orderDuration / 5))
{
}

RolloutGate::RolloutGate(const RolloutLimits &bounds)
    : limits(bounds)
{
}

const RolloutGate::Service *RolloutGate::find(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
}

RolloutGate::Service &RolloutGate::findOrAdd(std::string_view service)
{
    const auto found = this->services.find(service);
    return found != this->services.end() ? found->second : this->services[std::string(service)];
}

bool RolloutGate::isActive(const Service &service) const
{
    return service.order && service.hadOldTargets && !isFinal(service.stage);
}

void RolloutGate::apply(const RolloutSnapshot &snapshot, TimePoint now)
{
    const TimePoint givenAfter = this->previousReadAt.value_or(snapshot.readAt);
    for (const auto &[name, order] : snapshot.orders) {
        if (!order.problem.empty()) {
            continue;
        }
        this->applyOrder(this->findOrAdd(name), order, givenAfter);
    }
    for (const auto &[name, record] : snapshot.records) {
        Service &service = this->findOrAdd(name);
        service.record = record;
        const bool isOfOrder = service.order && record.targetVersion == service.order->targetVersion
            && record.order.revision == service.order->id.revision;
        if (isOfOrder) {
            this->setStage(service, laterStage(service.stage, record.stage), now);
        }
    }
    this->previousReadAt = snapshot.readAt;
    this->lastContactAt = now;
}

void RolloutGate::applyOrder(Service &service, const RolloutOrder &order, TimePoint givenAfter)
{
    if (service.order && isSameOrder(*service.order, order)) {
        service.order->id = order.id;
        return;
    }
    service.order = order;
    service.stage = RolloutStage::Canary;
    service.orderSeenAt = givenAfter;
    service.finalSince.reset();
    service.evidence = {};
    service.sequence = 0;
    service.stoppedByOwnEvidence = false;
    service.hadOldTargets = false;
    updateTargets(service);
}

void RolloutGate::applyDirective(const RolloutDirective &directive, TimePoint now)
{
    const auto found = this->services.find(directive.service);
    if (found == this->services.end() || !found->second.order
        || found->second.order->id != directive.order) {
        return;
    }
    Service &service = found->second;
    this->lastContactAt = now;
    service.orderSeenAt = std::min(service.orderSeenAt, now - directive.orderAge);
    this->setStage(service, laterStage(service.stage, directive.stage), now);
}

void RolloutGate::setStage(Service &service, RolloutStage stage, TimePoint now)
{
    if (isFinal(stage) && !service.finalSince) {
        service.finalSince = now;
    }
    service.stage = stage;
}

void RolloutGate::setSharingEntries(int entries)
{
    this->sharingEntries = std::max(entries, 1);
}

void RolloutGate::setTargets(
    const std::string &service, std::map<std::string, std::string> versions)
{
    Service &record = this->findOrAdd(service);
    record.versions = std::move(versions);
    updateTargets(record);
}

void RolloutGate::updateTargets(Service &service)
{
    service.canaryTargets.clear();
    if (!service.order) {
        return;
    }
    std::vector<std::pair<std::uint64_t, std::string>> byHash;
    for (const auto &[id, version] : service.versions) {
        service.hadOldTargets = service.hadOldTargets || version != service.order->targetVersion;
        if (version == service.order->targetVersion) {
            byHash.emplace_back(stableHash(id, service.order->id.revision), id);
        }
    }
    std::sort(byHash.begin(), byHash.end());
    for (std::size_t i = 0; i < std::min(canaryTargetCount, byHash.size()); ++i) {
        service.canaryTargets.insert(byHash[i].second);
    }
}

bool RolloutGate::isWithinShare(const Service &service, double share) const
{
    const auto toTarget = static_cast<double>(service.evidence.sentToTarget);
    const double all = toTarget + static_cast<double>(service.evidence.sentToOld);
    const double slack = std::min(
        1.0, slackPart * this->limits.exposedRequests / static_cast<double>(this->sharingEntries));
    return toTarget + 1 <= share * (all + 1) + slack;
}

VersionSide RolloutGate::choose(std::string_view service, double uniformRandom, TimePoint now) const
{
    const Service *record = this->find(service);
    if (record == nullptr || !this->isActive(*record)) {
        return VersionSide::Any;
    }
    if (record->stoppedByOwnEvidence) {
        return VersionSide::Old;
    }
    const bool isInContact = this->lastContactAt && now - *this->lastContactAt < contactTimeout;
    const RolloutStage stage = isInContact ? record->stage : RolloutStage::Canary;
    if (stage == RolloutStage::Moving) {
        return VersionSide::Target;
    }
    if (stage == RolloutStage::Trial) {
        return this->isWithinShare(*record, trialPart * this->limits.exposedShare)
            ? VersionSide::Target
            : VersionSide::Old;
    }
    // Twice the share is drawn, so that the requests that go to the new version are spread over
    // time and routes.
    const double share = canaryPart * this->limits.exposedShare;
    const bool isDrawn = uniformRandom < 2 * share;
    return isDrawn && this->isWithinShare(*record, share) ? VersionSide::Target : VersionSide::Old;
}

bool RolloutGate::admits(std::string_view service, std::string_view version,
    std::string_view targetId, VersionSide side, TimePoint now) const
{
    const Service *record = this->find(service);
    if (record == nullptr) {
        return true;
    }
    const bool isTarget = record->order && version == record->order->targetVersion;
    if (record->record && !isTarget
        && record->record->rejectedVersions.contains(std::string(version))) {
        return false;
    }
    if (!record->order || !record->hadOldTargets) {
        return true;
    }
    if (record->stage == RolloutStage::RolledBack) {
        return !isTarget;
    }
    if (record->stage == RolloutStage::Completed) {
        return !record->record || !record->record->oldVersions.contains(std::string(version));
    }
    if (side != VersionSide::Target) {
        return !isTarget;
    }
    const bool isInContact = this->lastContactAt && now - *this->lastContactAt < contactTimeout;
    const bool isCanary = record->stage == RolloutStage::Canary || !isInContact;
    return isTarget && (!isCanary || record->canaryTargets.contains(std::string(targetId)));
}

VersionSide RolloutGate::sideOf(std::string_view service, std::string_view version) const
{
    const Service *record = this->find(service);
    if (record == nullptr || !this->isActive(*record)) {
        return VersionSide::Any;
    }
    return version == record->order->targetVersion ? VersionSide::Target : VersionSide::Old;
}

void RolloutGate::recordSent(std::string_view service, std::string_view version)
{
    Service &record = this->findOrAdd(service);
    ++record.inProgress[std::string(version)];
    const VersionSide side = this->sideOf(service, version);
    record.evidence.sentToOld += side == VersionSide::Old ? 1 : 0;
    record.evidence.sentToTarget += side == VersionSide::Target ? 1 : 0;
}

void RolloutGate::recordLeft(std::string_view service, std::string_view version)
{
    Service &record = this->findOrAdd(service);
    const auto found = record.inProgress.find(version);
    if (found != record.inProgress.end() && --found->second == 0) {
        record.inProgress.erase(found);
    }
}

void RolloutGate::recordAnswer(const AnswerSample &sample)
{
    const auto found = this->services.find(sample.service);
    if (found == this->services.end() || !this->isActive(found->second)
        || sample.side == VersionSide::Any) {
        return;
    }
    Service &service = found->second;
    RolloutEvidence &evidence = service.evidence;
    const bool isTarget = sample.side == VersionSide::Target;
    RouteEvidence &route = (isTarget ? evidence.targetByRoute : evidence.oldByRoute)[sample.route];
    ++route.answers;
    route.failures += sample.failed ? 1 : 0;
    const bool isExpectationKnown = sample.expectedLatency > Duration::zero();
    if (!sample.failed) {
        route.bySize.record(ratioOf(sample.latency, sample.referenceLatency));
        if (isExpectationKnown) {
            route.byTarget.record(ratioOf(sample.latency, sample.expectedLatency));
        }
    }
    if (!isTarget) {
        return;
    }
    TargetEvidence &target = evidence.byTarget[sample.targetId];
    ++target.answers;
    target.failures += sample.failed ? 1 : 0;
    const bool isSlow = !sample.failed && isExpectationKnown
        && ratioOf(sample.latency, sample.expectedLatency) > TargetEvidence::slowRatio;
    target.slowAnswers += isSlow ? 1 : 0;
    service.stoppedByOwnEvidence
        = service.stoppedByOwnEvidence || judgeVersion(evidence).verdict == Verdict::Bad;
}

std::vector<RolloutReport> RolloutGate::reports(TimePoint now)
{
    std::vector<RolloutReport> result;
    for (auto &[name, service] : this->services) {
        const bool isReported
            = service.order && (!service.finalSince || now - *service.finalSince < finalReportTime);
        if (!isReported) {
            continue;
        }
        RolloutReport report;
        report.service = name;
        report.order = service.order->id;
        report.stage = service.stage;
        report.orderAge = now - service.orderSeenAt;
        for (const auto &[version, count] : service.inProgress) {
            report.inProgressAtOld += version != service.order->targetVersion ? count : 0;
        }
        report.sequence = ++service.sequence;
        report.evidence = service.evidence;
        result.push_back(std::move(report));
    }
    return result;
}

std::vector<std::string> RolloutGate::activeServices() const
{
    std::vector<std::string> result;
    for (const auto &[name, service] : this->services) {
        if (this->isActive(service)) {
            result.push_back(name);
        }
    }
    return result;
}

std::optional<RolloutStage> RolloutGate::stage(std::string_view service) const
{
    const Service *record = this->find(service);
    return record != nullptr && record->order ? std::optional(record->stage) : std::nullopt;
}

bool RolloutGate::isStoppedByOwnEvidence(std::string_view service) const
{
    const Service *record = this->find(service);
    return record != nullptr && record->stoppedByOwnEvidence;
}

} // namespace wigeonsill
