/// \file rolloutowner.cpp
/// The owner's part in a rollout: when a stage ends, and which records the store gets.
#include "rolloutrules.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Answers of the new version that the Trial and Moving stages need, where there is traffic.
constexpr std::uint64_t minimumTargetAnswers = 20;
/// Below this number of requests since the order there may be too few for any judgement.
constexpr std::uint64_t littleTraffic = 300;
/// Time under full load, in which answers of the new version show what it does there.
constexpr Duration minimumTrialTime = milliseconds(1'500);
/// Time for all entries to act on Moving and to report requests in progress since then, and for
/// the load to show: a version that is slow under load reaches its full load only after some
/// answers. With 1 s, 6 of 30 versions that are bad under load were completed.
constexpr Duration minimumMovingTime = seconds(3);
/// The same where the rollout is late.
constexpr Duration shortMovingTime = milliseconds(400);
/// The same after the deadline, which no longer presses: requests at old targets end first.
constexpr Duration lateMovingTime = seconds(6);
/// Time under full load in which a bad version is found out and left.
constexpr Duration verdictTime = seconds(1);
/// An entry whose last report is older, and older than so many intervals, has ended or is cut off.
constexpr Duration minimumReportTimeout = seconds(2);
constexpr int reportTimeoutIntervals = 3;
/// Entries learn of a new owner with their next read of the store, each 1.8 s. Until they have
/// reported, it cannot tell whether old targets are idle.
constexpr Duration newOwnerTime = seconds(3);
/// Without any report for so long, this process was not the owner.
constexpr Duration reportGap = seconds(1);
/// Between two judgements, which take some hundred microseconds each.
constexpr Duration judgementInterval = milliseconds(100);
/// Least slots of the new version, against those of the old ones, that can take all requests.
constexpr double minimumRoomShare = 0.8;

std::uint64_t answersOf(const std::map<std::string, RouteEvidence, std::less<>> &routes)
{
    std::uint64_t result = 0;
    for (const auto &[name, evidence] : routes) {
        result += evidence.answers;
    }
    return result;
}

Duration reportTimeout(std::size_t entries)
{
    return std::max(minimumReportTimeout, reportTimeoutIntervals * reportInterval(entries));
}

} // namespace

RolloutOwner::RolloutOwner(const RolloutLimits &bounds)
    : limits(bounds)
{
}

RolloutOwner::RolloutOwner(RolloutOwner &&other) noexcept = default;
RolloutOwner &RolloutOwner::operator=(RolloutOwner &&other) noexcept = default;
RolloutOwner::~RolloutOwner() = default;

RolloutOwner::Rollout &RolloutOwner::findOrAdd(const std::string &service)
{
    std::unique_ptr<Rollout> &rollout = this->rollouts[service];
    if (!rollout) {
        rollout = std::make_unique<Rollout>();
    }
    return *rollout;
}

const RolloutOwner::Rollout *RolloutOwner::find(const std::string &service) const
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() ? nullptr : found->second.get();
}

void RolloutOwner::apply(const RolloutSnapshot &snapshot, TimePoint now, std::int64_t unixMs)
{
    const TimePoint givenAfter = this->previousReadAt.value_or(snapshot.readAt);
    this->unixMsAtRead = unixMs;
    this->readAt = now;
    // The order that is known may have ended before another one replaced it.
    for (const auto &[name, record] : snapshot.records) {
        this->applyRecord(this->findOrAdd(name), record, now);
    }
    for (const auto &[name, order] : snapshot.orders) {
        if (!order.targetVersion.empty()) {
            this->applyOrder(this->findOrAdd(name), order, givenAfter, now);
        }
    }
    for (const auto &[name, record] : snapshot.records) {
        Rollout &rollout = this->findOrAdd(name);
        this->applyRecord(rollout, record, now);
        const bool isFirstRead = !this->previousReadAt;
        if (isFirstRead && currentRecord(rollout) != nullptr && record.orderedUnixMs > 0) {
            const auto age = std::clamp<Duration>(milliseconds(unixMs - record.orderedUnixMs),
                Duration::zero(), std::max(rollout.order->duration, Duration::zero()));
            rollout.givenAt = std::min(rollout.givenAt, now - age);
        }
    }
    for (auto &[name, known] : this->rollouts) {
        Rollout &rollout = *known;
        // An order that cannot be read ends the one before it.
        const auto order = snapshot.orders.find(name);
        const bool isGone = order == snapshot.orders.end() || order->second.targetVersion.empty();
        if (isGone && !rollout.order && rollout.record) {
            const RolloutRecord &record = *rollout.record; // Removed before this process started.
            rollout.order = RolloutOrder{ record.order, name, record.targetVersion, {}, {} };
            rollout.givenAt = now;
            this->applyRecord(rollout, record, now);
        }
        if (isGone && !rollout.removedAt) {
            rollout.removedAt = now;
        }
        if (!snapshot.records.contains(name)) {
            rollout.record.reset();
        }
    }
    this->previousReadAt = snapshot.readAt;
}

void RolloutOwner::applyOrder(
    Rollout &rollout, const RolloutOrder &order, TimePoint givenAfter, TimePoint now)
{
    const bool isEnded = rollout.furthest && isFinal(rollout.furthest->stage);
    const bool isGivenAgain = rollout.removedAt && isEnded;
    rollout.removedAt.reset();
    if (rollout.order && isSameOrder(*rollout.order, order) && !isGivenAgain) {
        rollout.order->id = order.id;
        return;
    }
    if (rollout.order && rollout.order->problem.empty() && !isEnded
        && !rollout.usedVersions.contains(rollout.order->targetVersion)) {
        rollout.barredVersions.insert(rollout.order->targetVersion);
    }
    if (order.problem.empty()) {
        rollout.barredVersions.erase(order.targetVersion);
    }
    rollout.order = order;
    rollout.furthest.reset();
    rollout.reportedEnd.reset();
    rollout.givenAt = givenAfter;
    rollout.stageSince = now;
    rollout.reports.clear();
    rollout.evidence = {};
    rollout.stageEvidence = {};
    rollout.judge = {};
    rollout.judgement = {};
    rollout.judgedAt.reset();
    rollout.hadTargets = rollout.targets.usableTargets.contains(order.targetVersion);
}

void RolloutOwner::applyRecord(Rollout &rollout, const RolloutRecord &record, TimePoint now)
{
    const bool isOfOrder = rollout.order && belongsTo(record, *rollout.order);
    const bool isEarlier = rollout.furthest && isOfOrder
        && laterStage(record.stage, rollout.furthest->stage) != record.stage;
    if (isOfOrder && !isEarlier) {
        if (!rollout.furthest || rollout.furthest->stage != record.stage) {
            rollout.stageSince = now;
            rollout.stageEvidence = rollout.evidence;
        }
        rollout.furthest = record;
        if (isFinal(record.stage)) {
            rollout.reports.clear(); // The sum stays for the state page.
        }
    }
    rollout.barredVersions.insert(record.rejectedVersions.begin(), record.rejectedVersions.end());
    if (record.stage == RolloutStage::Completed) {
        rollout.barredVersions.insert(record.oldVersions.begin(), record.oldVersions.end());
    }
    if (rollout.order && rollout.order->problem.empty() && !rollout.removedAt
        && !(rollout.furthest && rollout.furthest->stage == RolloutStage::RolledBack)) {
        rollout.barredVersions.erase(rollout.order->targetVersion);
    }
    for (const std::string &version : rollout.barredVersions) {
        rollout.usedVersions.erase(version);
    }
    rollout.record = record;
}

void RolloutOwner::setTargets(
    const std::string &service, const VersionTargets &targets, TimePoint /*now*/)
{
    Rollout &rollout = this->findOrAdd(service);
    rollout.targets = targets;
    rollout.targetsKnown = true;
    for (const auto &[version, count] : targets.usableTargets) {
        const bool isOrdered = rollout.order && version == rollout.order->targetVersion
            && !(rollout.furthest && rollout.furthest->stage == RolloutStage::Completed);
        if (!isOrdered && !rollout.barredVersions.contains(version) && count > 0) {
            rollout.usedVersions.insert(version);
        }
    }
    rollout.hadTargets = rollout.hadTargets
        || (rollout.order && targets.usableTargets.contains(rollout.order->targetVersion));
}

bool RolloutOwner::merge(std::uint64_t entry, const RolloutReport &report, TimePoint now)
{
    const auto found = this->rollouts.find(report.service);
    if (found == this->rollouts.end() || !found->second->order
        || found->second->order->id != report.order || report.orderAge < Duration::zero()) {
        return false;
    }
    Rollout &rollout = *found->second;
    if (rollout.furthest && isFinal(rollout.furthest->stage)) {
        return true;
    }
    Rollout::Report &known = rollout.reports[entry];
    if (known.report.sequence >= report.sequence) {
        return false;
    }
    if (isFinal(report.stage)) {
        rollout.reportedEnd = report.stage;
    }
    add(rollout.evidence, evidenceSince(report.evidence, known.report.evidence));
    known = { report, now };
    if (now - rollout.lastReportAt >= reportGap + reportInterval(rollout.reports.size())) {
        rollout.collectingSince = now;
    }
    rollout.lastReportAt = now;
    rollout.givenAt = std::min(rollout.givenAt, now - report.orderAge);
    this->judge(rollout, now);
    return true;
}

void RolloutOwner::judge(Rollout &rollout, TimePoint now)
{
    const bool isDue = !rollout.judgedAt || now - *rollout.judgedAt >= judgementInterval;
    if (!isDue || rollout.judgement.verdict == Verdict::Bad) {
        return;
    }
    rollout.judgedAt = now;
    rollout.judgement = rollout.judge.judge(rollout.evidence, basisOf(rollout));
    rollout.judge.keep(rollout.evidence, now);
}

JudgementBasis RolloutOwner::basisOf(const Rollout &rollout)
{
    JudgementBasis basis;
    for (const auto &[version, count] : rollout.targets.usableTargets) {
        basis.oldTargets
            += version == rollout.order->targetVersion ? 0 : static_cast<std::size_t>(count);
    }
    return basis;
}

std::pair<RolloutStage, std::string> RolloutOwner::unlessBad(
    const Rollout &rollout, std::pair<RolloutStage, std::string> next)
{
    JudgementBasis basis = basisOf(rollout);
    basis.isLast = true;
    basis.comparisons = 2;
    Judgement last = judgeVersion(rollout.evidence, basis);
    return last.verdict == Verdict::Bad
        ? std::pair(RolloutStage::RolledBack, std::move(last.reason))
        : std::move(next);
}

bool RolloutOwner::isSettled(const Rollout &rollout)
{
    if (rollout.evidence.sentToOld + rollout.evidence.sentToTarget < littleTraffic) {
        return true;
    }
    RolloutEvidence later = evidenceSince(rollout.evidence, rollout.stageEvidence);
    later.oldByRoute = rollout.evidence.oldByRoute;
    return rollout.judgement.verdict == Verdict::Good
        && (rollout.furthest->stage < RolloutStage::Moving
            || judgeVersion(later, basisOf(rollout)).verdict == Verdict::Good);
}

const RolloutRecord *RolloutOwner::currentRecord(const Rollout &rollout)
{
    const bool isCurrent
        = rollout.record && rollout.order && belongsTo(*rollout.record, *rollout.order);
    return isCurrent ? &*rollout.record : nullptr;
}

RolloutEvidence RolloutOwner::evidence(const std::string &service) const
{
    const Rollout *rollout = this->find(service);
    return rollout == nullptr ? RolloutEvidence() : rollout->evidence;
}

Judgement RolloutOwner::judgement(const std::string &service) const
{
    const Rollout *rollout = this->find(service);
    return rollout == nullptr ? Judgement() : rollout->judgement;
}

std::size_t RolloutOwner::reportingEntries(const std::string &service, TimePoint now) const
{
    const Rollout *rollout = this->find(service);
    if (rollout == nullptr) {
        return 0;
    }
    const auto &reports = rollout->reports;
    const Duration timeout = reportTimeout(reports.size());
    return static_cast<std::size_t>(std::count_if(reports.begin(), reports.end(),
        [&](const auto &record) { return now - record.second.at < timeout; }));
}

RolloutDirective RolloutOwner::directive(const std::string &service, TimePoint now) const
{
    RolloutDirective result;
    result.service = service;
    const Rollout *found = this->find(service);
    if (found == nullptr || !found->order) {
        return result;
    }
    const Rollout &rollout = *found;
    result.order = rollout.order->id;
    result.orderAge = now - rollout.givenAt;
    result.stage = rollout.furthest ? rollout.furthest->stage : RolloutStage::Canary;
    if (!isFinal(result.stage) && rollout.judgement.verdict == Verdict::Bad) {
        result.stage = RolloutStage::RolledBack; // Entries stop before the store has the record.
    }
    return result;
}

bool RolloutOwner::hasRoomForAll(const Rollout &rollout)
{
    const RolloutRecord *record = currentRecord(rollout);
    int oldSlots = 0;
    int targetSlots = 0;
    for (const auto &[version, slots] : rollout.targets.usableSlots) {
        const bool isRejected = record != nullptr && record->rejectedVersions.contains(version);
        if (version == rollout.order->targetVersion) {
            targetSlots += slots;
        } else {
            oldSlots += isRejected ? 0 : slots;
        }
    }
    return targetSlots > 0 && targetSlots >= minimumRoomShare * oldSlots;
}

bool RolloutOwner::hasOldVersions(const Rollout &rollout, const RolloutRecord &record)
{
    const auto &targets = rollout.targets.usableTargets;
    return !record.oldVersions.empty()
        || std::any_of(targets.begin(), targets.end(), [&](const auto &entry) {
               return entry.second > 0 && entry.first != record.targetVersion
                   && !record.rejectedVersions.contains(entry.first);
           });
}

bool RolloutOwner::isOldVersionIdle(const Rollout &rollout, TimePoint now)
{
    const Duration timeout = reportTimeout(rollout.reports.size());
    bool anyReport = false;
    if (now - rollout.collectingSince < newOwnerTime + reportInterval(rollout.reports.size())) {
        return false;
    }
    for (const auto &[entry, record] : rollout.reports) {
        if (now - record.at >= timeout) {
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

bool RolloutOwner::canAffordMove(const Rollout &rollout, Duration age) const
{
    const RolloutEvidence &evidence = rollout.evidence;
    const auto sentToTarget = static_cast<double>(evidence.sentToTarget);
    const double perSecond = (sentToTarget + static_cast<double>(evidence.sentToOld))
        / std::chrono::duration<double>(age).count();
    const double untilDeadline
        = perSecond * std::chrono::duration<double>(rollout.order->duration).count();
    const double untilVerdict = perSecond * std::chrono::duration<double>(verdictTime).count();
    return sentToTarget + untilVerdict
        <= this->limits.exposedShare * untilDeadline + this->limits.exposedRequests / 2;
}

std::optional<std::pair<RolloutStage, std::string>> RolloutOwner::nextStage(
    const Rollout &rollout, TimePoint now) const
{
    using Next = std::pair<RolloutStage, std::string>;
    const RolloutRecord &record = *currentRecord(rollout);
    if (rollout.reportedEnd) {
        return Next{ *rollout.reportedEnd, "entries act on it by a former owner's directive" };
    }
    if (rollout.judgement.verdict == Verdict::Bad) {
        return Next{ RolloutStage::RolledBack, rollout.judgement.reason };
    }
    const bool hasOld = hasOldVersions(rollout, record);
    if (!hasOld && rollout.hadTargets && (rollout.targets.listComplete || rollout.removedAt)) {
        return Next{ RolloutStage::Completed, "all targets have the version" };
    }
    if (rollout.removedAt) {
        return now - *rollout.removedAt >= removedOrderTime
            ? std::optional(Next{ RolloutStage::RolledBack, "the order was removed" })
            : std::nullopt;
    }
    const RolloutSchedule schedule(rollout.order->duration);
    const Duration age = now - rollout.givenAt;
    const Duration inStage = now - rollout.stageSince;
    const RolloutEvidence &evidence = rollout.evidence;
    const bool isEvident = answersOf(evidence.targetByRoute) >= minimumTargetAnswers
        || evidence.sentToOld + evidence.sentToTarget < littleTraffic;
    const bool hasRoom = hasRoomForAll(rollout);
    const bool isLate = age >= schedule.endTime();
    if (isLate && !hasRoom) {
        return Next{ RolloutStage::RolledBack, "too few targets of the new version are usable" };
    }
    switch (record.stage) {
    case RolloutStage::Canary:
        if (hasRoom
            && ((age >= schedule.canaryEnd() && isEvident) || age >= schedule.latestMove())) {
            return Next{ RolloutStage::Trial, rollout.judgement.reason };
        }
        return std::nullopt;
    case RolloutStage::Trial:
        // A judgement that is still open gets time for more answers.
        if (hasRoom && inStage >= minimumTrialTime && isEvident && isSettled(rollout)) {
            return Next{ RolloutStage::Moving, rollout.judgement.reason };
        }
        if (hasRoom && age >= schedule.latestMove()
            && (age >= rollout.order->duration || this->canAffordMove(rollout, age))) {
            return unlessBad(rollout, Next{ RolloutStage::Moving, rollout.judgement.reason });
        }
        return std::nullopt;
    case RolloutStage::Moving:
        if (inStage >= minimumMovingTime && isOldVersionIdle(rollout, now) && isSettled(rollout)) {
            return Next{ RolloutStage::Completed, "no request is in progress at an old target" };
        }
        if (isLate
            && inStage >= (age < rollout.order->duration ? shortMovingTime : lateMovingTime)) {
            return unlessBad(rollout, Next{ RolloutStage::Completed, "the deadline is near" });
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

std::vector<RolloutRecord> RolloutOwner::changes(TimePoint now)
{
    std::vector<RolloutRecord> result;
    for (auto &[name, known] : this->rollouts) {
        Rollout &rollout = *known;
        if (!rollout.order) {
            continue;
        }
        this->judge(rollout, now);
        if (auto record = this->nextRecord(rollout, now)) {
            result.push_back(std::move(*record));
        }
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
    this->applyRecord(*found->second, written, now);
}

} // namespace wigeonsill
