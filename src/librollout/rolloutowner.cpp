/// \file rolloutowner.cpp
/// The owner's part in a rollout: when a stage ends, and which records the store gets.
#include "wigeonsill/rollout.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Answers of the new version that the Trial and Moving stages need, where there is traffic.
constexpr std::uint64_t minimumTargetAnswers = 20;
/// Below this number of requests since the order there may be too few for any judgement.
constexpr std::uint64_t littleTraffic = 300;
/// Time under full load, in which answers of the new version show what it does there.
constexpr Duration minimumTrialTime = milliseconds(1'500);
/// Time for all entries to act on Moving and to report requests in progress since then.
constexpr Duration minimumMovingTime = seconds(1);
/// The same where the rollout is late.
constexpr Duration shortMovingTime = milliseconds(400);
/// An entry whose last report is older has ended or is cut off.
constexpr Duration reportTimeout = seconds(2);
/// Least slots of the new version, against those of the old ones, that can take all requests.
constexpr double minimumRoomShare = 0.8;
/// A store that came back from an older copy may lack an order for so long.
constexpr Duration removedOrderGrace = seconds(3);

std::uint64_t answersOf(const std::map<std::string, RouteEvidence, std::less<>> &routes)
{
    std::uint64_t result = 0;
    for (const auto &[name, evidence] : routes) {
        result += evidence.answers;
    }
    return result;
}

bool belongsTo(const RolloutRecord &record, const RolloutOrder &order)
{
    return record.order.revision == order.id.revision
        && record.targetVersion == order.targetVersion;
}

} // namespace

RolloutOwner::RolloutOwner(const RolloutLimits &bounds)
    : limits(bounds)
{
}

void RolloutOwner::apply(const RolloutSnapshot &snapshot, TimePoint now, std::int64_t unixMs)
{
    const TimePoint givenAfter = this->previousReadAt.value_or(snapshot.readAt);
    this->unixMsAtRead = unixMs;
    this->readAt = now;
    for (const auto &[name, order] : snapshot.orders) {
        Rollout &rollout = this->rollouts[name];
        rollout.removedAt.reset();
        if (rollout.order && isSameOrder(*rollout.order, order)) {
            rollout.order->id = order.id;
            continue;
        }
        rollout.order = order;
        rollout.givenAt = givenAfter;
        rollout.stageSince = now;
        rollout.reports.clear();
    }
    for (const auto &[name, record] : snapshot.records) {
        Rollout &rollout = this->rollouts[name];
        this->applyRecord(rollout, record, now);
        const bool isFirstRead = !this->previousReadAt;
        if (isFirstRead && rollout.order && belongsTo(record, *rollout.order)
            && record.orderedUnixMs > 0) {
            const auto age = std::clamp<Duration>(milliseconds(unixMs - record.orderedUnixMs),
                Duration::zero(), rollout.order->duration);
            rollout.givenAt = std::min(rollout.givenAt, now - age);
        }
    }
    for (auto &[name, rollout] : this->rollouts) {
        if (!snapshot.orders.contains(name) && !rollout.removedAt) {
            rollout.removedAt = now;
        }
        if (!snapshot.records.contains(name)) {
            rollout.record.reset();
        }
    }
    this->previousReadAt = snapshot.readAt;
}

void RolloutOwner::applyRecord(Rollout &rollout, const RolloutRecord &record, TimePoint now)
{
    const bool stageChanged = !rollout.record || rollout.record->stage != record.stage
        || rollout.record->order != record.order;
    if (stageChanged) {
        rollout.stageSince = now;
    }
    rollout.record = record;
}

void RolloutOwner::setTargets(
    const std::string &service, const VersionTargets &targets, TimePoint /*now*/)
{
    Rollout &rollout = this->rollouts[service];
    rollout.targets = targets;
    rollout.targetsKnown = true;
}

void RolloutOwner::merge(std::uint64_t entry, const RolloutReport &report, TimePoint now)
{
    const auto found = this->rollouts.find(report.service);
    if (found == this->rollouts.end() || !found->second.order
        || found->second.order->id != report.order) {
        return;
    }
    Rollout &rollout = found->second;
    const auto known = rollout.reports.find(entry);
    if (known != rollout.reports.end() && known->second.report.sequence >= report.sequence) {
        return;
    }
    rollout.reports[entry] = { report, now };
    rollout.givenAt = std::min(rollout.givenAt, now - report.orderAge);
}

const RolloutRecord *RolloutOwner::currentRecord(const Rollout &rollout) const
{
    const bool isCurrent
        = rollout.record && rollout.order && belongsTo(*rollout.record, *rollout.order);
    return isCurrent ? &*rollout.record : nullptr;
}

RolloutEvidence RolloutOwner::evidenceOf(const Rollout &rollout) const
{
    RolloutEvidence sum;
    for (const auto &[entry, record] : rollout.reports) {
        add(sum, record.report.evidence);
    }
    return sum;
}

RolloutEvidence RolloutOwner::evidence(const std::string &service) const
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() ? RolloutEvidence() : this->evidenceOf(found->second);
}

Judgement RolloutOwner::judgement(const std::string &service) const
{
    return judgeVersion(this->evidence(service));
}

std::size_t RolloutOwner::reportingEntries(const std::string &service, TimePoint now) const
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.reports.begin(), found->second.reports.end(),
            [now](const auto &record) { return now - record.second.at < reportTimeout; }));
}

RolloutDirective RolloutOwner::directive(const std::string &service, TimePoint now) const
{
    RolloutDirective result;
    result.service = service;
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end() || !found->second.order) {
        return result;
    }
    const Rollout &rollout = found->second;
    result.order = rollout.order->id;
    result.orderAge = now - rollout.givenAt;
    const RolloutRecord *record = this->currentRecord(rollout);
    result.stage = record != nullptr ? record->stage : RolloutStage::Canary;
    if (!isFinal(result.stage) && this->judgement(service).verdict == Verdict::Bad) {
        result.stage = RolloutStage::RolledBack; // Entries stop before the store has the record.
    }
    return result;
}

bool RolloutOwner::hasRoomForAll(const Rollout &rollout) const
{
    int oldSlots = 0;
    int targetSlots = 0;
    for (const auto &[version, slots] : rollout.targets.usableSlots) {
        (version == rollout.order->targetVersion ? targetSlots : oldSlots) += slots;
    }
    return targetSlots > 0 && targetSlots >= minimumRoomShare * oldSlots;
}

bool RolloutOwner::isOldVersionIdle(const Rollout &rollout, TimePoint now) const
{
    bool anyReport = false;
    for (const auto &[entry, record] : rollout.reports) {
        if (now - record.at >= reportTimeout) {
            continue;
        }
        anyReport = true;
        if (record.report.stage < RolloutStage::Moving || record.report.inProgressAtOld > 0
            || record.at < rollout.stageSince) {
            return false;
        }
    }
    return anyReport;
}

std::optional<std::pair<RolloutStage, std::string>> RolloutOwner::nextStage(
    const Rollout &rollout, const Judgement &judgement, TimePoint now) const
{
    using Next = std::pair<RolloutStage, std::string>;
    if (judgement.verdict == Verdict::Bad) {
        return Next{ RolloutStage::RolledBack, judgement.reason };
    }
    if (rollout.removedAt && this->currentRecord(rollout)->oldVersions.empty()) {
        return Next{ RolloutStage::Completed, "all targets have the version" };
    }
    if (rollout.removedAt) {
        return now - *rollout.removedAt >= removedOrderGrace
            ? std::optional(Next{ RolloutStage::RolledBack, "the order was removed" })
            : std::nullopt;
    }
    const RolloutStage stage = this->currentRecord(rollout)->stage;
    const RolloutSchedule schedule(rollout.order->duration);
    const Duration age = now - rollout.givenAt;
    const Duration inStage = now - rollout.stageSince;
    const RolloutEvidence evidence = this->evidenceOf(rollout);
    const bool isEvident = answersOf(evidence.targetByRoute) >= minimumTargetAnswers
        || evidence.sentToOld + evidence.sentToTarget < littleTraffic;
    const bool hasRoom = this->hasRoomForAll(rollout);
    const bool isLate = age >= schedule.endTime();
    if (isLate && !hasRoom && rollout.targetsKnown) {
        return Next{ RolloutStage::RolledBack, "too few targets of the new version are usable" };
    }
    switch (stage) {
    case RolloutStage::Canary:
        if (hasRoom
            && ((age >= schedule.canaryEnd() && isEvident) || age >= schedule.latestMove())) {
            return Next{ RolloutStage::Trial, judgement.reason };
        }
        return std::nullopt;
    case RolloutStage::Trial:
        if (hasRoom
            && ((inStage >= minimumTrialTime && isEvident) || age >= schedule.latestMove())) {
            return Next{ RolloutStage::Moving, judgement.reason };
        }
        return std::nullopt;
    case RolloutStage::Moving:
        if (inStage >= minimumMovingTime && this->isOldVersionIdle(rollout, now)) {
            return Next{ RolloutStage::Completed, "no request is in progress at an old target" };
        }
        if (isLate && inStage >= shortMovingTime) {
            return Next{ RolloutStage::Completed, "the deadline is near" };
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

RolloutRecord RolloutOwner::firstRecord(const Rollout &rollout, TimePoint now) const
{
    RolloutRecord record;
    record.service = rollout.order->service;
    record.order = rollout.order->id;
    record.targetVersion = rollout.order->targetVersion;
    const auto age = std::chrono::duration_cast<milliseconds>(now - rollout.givenAt);
    const auto sinceRead = std::chrono::duration_cast<milliseconds>(now - this->readAt);
    record.orderedUnixMs = this->unixMsAtRead + sinceRead.count() - age.count();
    for (const auto &[version, count] : rollout.targets.usableTargets) {
        if (version != record.targetVersion && count > 0) {
            record.oldVersions.insert(version);
        }
    }
    record.reason = "the order was given";
    if (rollout.record) {
        // Of an earlier order for the service.
        record.rejectedVersions = rollout.record->rejectedVersions;
        record.rejectedVersions.erase(record.targetVersion);
        record.recordRevision = rollout.record->recordRevision;
        record.statusRevision = rollout.record->statusRevision;
    }
    return record;
}

std::vector<RolloutRecord> RolloutOwner::changes(TimePoint now)
{
    std::vector<RolloutRecord> result;
    for (auto &[name, rollout] : this->rollouts) {
        if (!rollout.order || !rollout.targetsKnown) {
            continue;
        }
        const RolloutRecord *current = this->currentRecord(rollout);
        if (current == nullptr) {
            if (rollout.removedAt) {
                continue;
            }
            RolloutRecord record = this->firstRecord(rollout, now);
            if (!rollout.order->problem.empty()) {
                record.stage = RolloutStage::RolledBack;
                record.reason = rollout.order->problem;
                result.push_back(std::move(record));
                continue;
            }
            const bool isThere = rollout.targets.usableTargets.contains(record.targetVersion);
            if (record.oldVersions.empty() && isThere && rollout.targets.listComplete) {
                record.stage = RolloutStage::Completed;
                record.reason = "all targets have the version";
            }
            result.push_back(std::move(record));
            continue;
        }
        if (isFinal(current->stage)) {
            continue;
        }
        const auto next = this->nextStage(rollout, this->judgement(name), now);
        if (!next) {
            continue;
        }
        RolloutRecord record = *current;
        record.order = rollout.order->id;
        record.stage = next->first;
        record.reason = next->second;
        for (const auto &[version, count] : rollout.targets.usableTargets) {
            if (version != record.targetVersion && count > 0) {
                record.oldVersions.insert(version);
            }
        }
        if (record.stage == RolloutStage::RolledBack) {
            record.rejectedVersions.insert(record.targetVersion);
        }
        result.push_back(std::move(record));
    }
    return result;
}

void RolloutOwner::recordWritten(const RolloutRecord &record, std::uint64_t revision, TimePoint now)
{
    const auto found = this->rollouts.find(record.service);
    if (found == this->rollouts.end()) {
        return;
    }
    RolloutRecord written = record;
    written.recordRevision = revision;
    written.statusRevision = revision;
    this->applyRecord(found->second, written, now);
}

} // namespace wigeonsill
