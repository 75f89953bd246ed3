/// \file rolloutgate.cpp
/// Each entry's part in a rollout: which version a request goes to, and what is counted.
#include "rolloutrules.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Parts of the exposed share that the new version may have got at the end of a stage. The rest is
/// for requests that are sent before a bad judgement has reached all entries.
constexpr double canaryPart = 0.3;
constexpr double trialPart = 0.6;
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

/// Own evidence is judged again when the bad answers have grown by a part of this size, so that the
/// effort of a bad version's entries stays small.
constexpr std::uint64_t badAnswersPerJudgement = 16;

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
    // The order that is known may have ended before another one replaced it.
    for (const auto &[name, record] : snapshot.records) {
        this->applyRecord(this->findOrAdd(name), record, now);
    }
    for (const auto &[name, order] : snapshot.orders) {
        this->applyOrder(this->findOrAdd(name), order, givenAfter);
    }
    for (const auto &[name, record] : snapshot.records) {
        this->applyRecord(this->findOrAdd(name), record, now);
    }
    for (auto &[name, service] : this->services) {
        const auto order = snapshot.orders.find(name);
        const auto record = snapshot.records.find(name);
        const bool hasRecord = record != snapshot.records.end();
        // A status can only be written for an order that names a target; another ends the one
        // before it.
        if (order == snapshot.orders.end() || order->second.targetVersion.empty()) {
            applyMissingOrder(service, hasRecord);
        } else {
            const RolloutOrder &given = order->second;
            const bool isEnded
                = hasRecord && isFinal(record->second.stage) && belongsTo(record->second, given);
            service.needsOwner = !isEnded;
        }
        updateBarred(service);
        updateTargets(service);
    }
    this->previousReadAt = snapshot.readAt;
    this->lastContactAt = now;
}

void RolloutGate::applyOrder(Service &service, const RolloutOrder &order, TimePoint givenAfter)
{
    if (!order.problem.empty()) {
        // It replaces the order in progress, but cannot be carried out itself.
        if (service.order && service.order->id != order.id && !isFinal(service.stage)) {
            service.stage = RolloutStage::RolledBack;
        }
        service.wasRemoved = true;
        return;
    }
    const bool isGivenAgain = service.wasRemoved && isFinal(service.stage);
    if (service.order && isSameOrder(*service.order, order) && !isGivenAgain) {
        service.order->id = order.id;
        service.wasRemoved = false;
        return;
    }
    if (service.order && service.stage != RolloutStage::Completed
        && !service.usedVersions.contains(service.order->targetVersion)) {
        service.barredVersions.insert(service.order->targetVersion);
    }
    service.barredVersions.erase(order.targetVersion);
    service.order = order;
    service.wasRemoved = false;
    service.stage = RolloutStage::Canary;
    service.orderSeenAt = givenAfter;
    service.finalSince.reset();
    service.evidence = {};
    service.sequence = 0;
    service.stoppedByOwnEvidence = false;
    service.judge = {};
    service.judgedBefore = {};
    service.badAnswers = 0;
    service.judgedBadAnswers = 0;
    service.hadOldTargets = false;
}

void RolloutGate::applyRecord(Service &service, const RolloutRecord &record, TimePoint now)
{
    service.record = record;
    if (!service.order || !belongsTo(record, *service.order)) {
        return;
    }
    // An end in the store is the end: the other targets stop then, whatever a directive said.
    const bool isEnd = isFinal(record.stage) && service.stage != record.stage
        && !(service.stage == RolloutStage::Completed);
    this->setStage(service, isEnd ? record.stage : laterStage(service.stage, record.stage), now);
}

void RolloutGate::applyMissingOrder(Service &service, bool recordIsThere)
{
    service.wasRemoved = true;
    const bool isEnded = !recordIsThere || !service.record || isFinal(service.record->stage);
    const bool isOpen = service.order && !isFinal(service.stage);
    service.needsOwner = isOpen || !isEnded;
}

void RolloutGate::updateBarred(Service &service)
{
    if (service.record) {
        const RolloutRecord &record = *service.record;
        service.barredVersions.insert(
            record.rejectedVersions.begin(), record.rejectedVersions.end());
        if (record.stage == RolloutStage::Completed) {
            service.barredVersions.insert(record.oldVersions.begin(), record.oldVersions.end());
        }
        const bool isOfOrder = service.order && belongsTo(record, *service.order);
        if (isOfOrder && !isFinal(record.stage)) {
            for (const std::string &version : record.oldVersions) {
                service.barredVersions.erase(version); // What all entries go by.
            }
        }
        if (!isFinal(record.stage) && !isOfOrder && !record.oldVersions.empty()
            && !service.usedVersions.contains(record.targetVersion)) {
            service.barredVersions.insert(record.targetVersion); // Its order was replaced.
        }
    }
    if (service.order && service.stage != RolloutStage::RolledBack && !service.wasRemoved) {
        service.barredVersions.erase(service.order->targetVersion);
    }
    for (const std::string &version : service.barredVersions) {
        service.usedVersions.erase(version);
    }
}

bool RolloutGate::applyDirective(const RolloutDirective &directive, TimePoint now)
{
    const auto found = this->services.find(directive.service);
    if (found == this->services.end() || !found->second.order
        || found->second.order->id != directive.order || directive.orderAge < Duration::zero()) {
        return false;
    }
    Service &service = found->second;
    this->lastContactAt = now;
    service.orderSeenAt = std::min(service.orderSeenAt, now - directive.orderAge);
    if (isFinal(service.stage)) {
        return true;
    }
    this->setStage(service, laterStage(service.stage, directive.stage), now);
    if (service.stage == RolloutStage::Completed) {
        // The record, which names the old versions, has not been read yet.
        for (const auto &[id, version] : service.versions) {
            if (version != service.order->targetVersion) {
                service.barredVersions.insert(version);
            }
        }
    }
    return true;
}

void RolloutGate::setStage(Service &service, RolloutStage stage, TimePoint now)
{
    if (isFinal(stage) && !service.finalSince) {
        service.finalSince = now;
    }
    if (stage == RolloutStage::Moving && service.stage != stage && service.stoppedByOwnEvidence) {
        // The owner has judged all entries' evidence; this entry's was chance.
        service.stoppedByOwnEvidence = false;
        service.judgedBefore = service.evidence;
        service.judge = {};
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
    for (const auto &[id, version] : service.versions) {
        const bool isOrdered = service.order && version == service.order->targetVersion
            && service.stage != RolloutStage::Completed;
        if (!isOrdered && !service.barredVersions.contains(version)) {
            service.usedVersions.insert(version);
        }
    }
    if (!service.order) {
        return;
    }
    const RolloutOrder &order = *service.order;
    if (service.record && belongsTo(*service.record, order)) {
        service.hadOldTargets = service.hadOldTargets || !service.record->oldVersions.empty();
    }
    std::vector<std::pair<std::uint64_t, std::string>> byHash;
    for (const auto &[id, version] : service.versions) {
        if (version == order.targetVersion) {
            byHash.emplace_back(stableHash(id, order.id.revision), id);
        } else if (!service.barredVersions.contains(version)) {
            service.hadOldTargets = true;
        }
    }
    std::sort(byHash.begin(), byHash.end());
    for (std::size_t i = 0; i < std::min(canaryTargetCount, byHash.size()); ++i) {
        service.canaryTargets.insert(byHash[i].second);
    }
}

RolloutStage RolloutGate::actingStage(const Service &service, TimePoint now) const
{
    const bool isInContact = this->lastContactAt && now - *this->lastContactAt < contactTimeout;
    return isInContact || isFinal(service.stage) ? service.stage : RolloutStage::Canary;
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
    // Twice the share is drawn, so that the requests that go to the new version are spread over
    // time and routes.
    const bool isDrawn = this->actingStage(*record, now) != RolloutStage::Canary
        || uniformRandom < 2 * canaryPart * this->limits.exposedShare;
    return isDrawn && this->maySend(service, VersionSide::Target, now) ? VersionSide::Target
                                                                       : VersionSide::Old;
}

bool RolloutGate::maySend(std::string_view service, VersionSide side, TimePoint now) const
{
    const Service *record = this->find(service);
    if (record == nullptr || !this->isActive(*record) || side != VersionSide::Target) {
        return true;
    }
    if (record->stoppedByOwnEvidence || record->wasRemoved) {
        return false;
    }
    const RolloutStage stage = this->actingStage(*record, now);
    const double part = stage == RolloutStage::Trial ? trialPart : canaryPart;
    return stage == RolloutStage::Moving
        || this->isWithinShare(*record, part * this->limits.exposedShare);
}

bool RolloutGate::admits(std::string_view service, std::string_view version,
    std::string_view targetId, VersionSide side, TimePoint now) const
{
    const Service *record = this->find(service);
    if (record == nullptr) {
        return true;
    }
    if (record->barredVersions.contains(version)) {
        return false;
    }
    const bool isTarget = record->order && version == record->order->targetVersion;
    if (isTarget && record->stage == RolloutStage::RolledBack) {
        return false;
    }
    if (!this->isActive(*record)) {
        return true;
    }
    if (side != VersionSide::Target) {
        return !isTarget;
    }
    const bool isCanary = this->actingStage(*record, now) == RolloutStage::Canary;
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
    const bool isTarget = sample.side == VersionSide::Target;
    const auto version = service.versions.find(sample.targetId);
    if (version != service.versions.end()
        && (version->second == service.order->targetVersion) != isTarget) {
        return; // Of a request that was sent under an earlier order.
    }
    RolloutEvidence &evidence = service.evidence;
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
    service.badAnswers += sample.failed || isSlow ? 1 : 0;
    const std::uint64_t added = service.badAnswers - service.judgedBadAnswers;
    if (added > 0 && added * badAnswersPerJudgement >= service.badAnswers) {
        this->judgeOwnEvidence(service);
    }
}

void RolloutGate::judgeOwnEvidence(Service &service) const
{
    service.judgedBadAnswers = service.badAnswers;
    JudgementBasis basis;
    basis.comparisons = static_cast<std::size_t>(this->sharingEntries);
    basis.oldTargets
        = static_cast<std::size_t>(std::count_if(service.versions.begin(), service.versions.end(),
            [&](const auto &target) { return target.second != service.order->targetVersion; }));
    service.stoppedByOwnEvidence = service.stoppedByOwnEvidence
        || service.judge.judge(evidenceSince(service.evidence, service.judgedBefore), basis).verdict
            == Verdict::Bad;
}

std::vector<RolloutReport> RolloutGate::reports(TimePoint now)
{
    std::vector<RolloutReport> result;
    for (auto &[name, service] : this->services) {
        const bool isReported = service.order
            && (service.needsOwner || !service.finalSince
                || now - *service.finalSince < finalReportTime);
        if (!isReported) {
            continue;
        }
        if (this->isActive(service)) {
            service.judge.keep(evidenceSince(service.evidence, service.judgedBefore), now);
        }
        RolloutReport report;
        report.service = name;
        report.order = service.order->id;
        // An entry that still sends to old targets does not act on a later stage.
        const bool isStopped = service.stoppedByOwnEvidence || service.wasRemoved;
        report.stage = isStopped && !isFinal(service.stage) ? RolloutStage::Canary
                                                            : this->actingStage(service, now);
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
        if (service.needsOwner) {
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
