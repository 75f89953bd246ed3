/// \file rolloutrecords.cpp
/// Which record the owner writes next.
#include "rolloutrules.h"

namespace wigeonsill {

RolloutRecord RolloutOwner::firstRecord(const Rollout &rollout, TimePoint now) const
{
    RolloutRecord record;
    record.service = rollout.order->service;
    record.order = rollout.order->id;
    record.targetVersion = rollout.order->targetVersion;
    const auto age = std::chrono::duration_cast<milliseconds>(now - rollout.givenAt);
    const auto sinceRead = std::chrono::duration_cast<milliseconds>(now - this->readAt);
    record.orderedUnixMs = this->unixMsAtRead + sinceRead.count() - age.count();
    record.reason = "the order was given";
    if (rollout.record) {
        const RolloutRecord &earlier = *rollout.record;
        if (!isFinal(earlier.stage) && !earlier.oldVersions.empty()
            && !rollout.usedVersions.contains(earlier.targetVersion)) {
            record.rejectedVersions.insert(earlier.targetVersion); // Replaced before its end.
        }
        record.recordRevision = earlier.recordRevision;
        record.statusRevision = earlier.statusRevision;
    }
    record.rejectedVersions.insert(rollout.barredVersions.begin(), rollout.barredVersions.end());
    if (rollout.order->problem.empty()) {
        record.rejectedVersions.erase(record.targetVersion);
    }
    return record;
}

std::optional<RolloutRecord> RolloutOwner::nextRecord(const Rollout &rollout, TimePoint now) const
{
    const RolloutOrder &order = *rollout.order;
    const RolloutRecord *current = currentRecord(rollout);
    if (!order.problem.empty()) {
        if (current != nullptr || rollout.removedAt || order.targetVersion.empty()) {
            return std::nullopt; // Answered, gone, or there is nothing that a status could name.
        }
        RolloutRecord record = this->firstRecord(rollout, now);
        record.stage = RolloutStage::RolledBack;
        record.reason = order.problem;
        return record;
    }
    if (rollout.furthest && (current == nullptr || current->stage != rollout.furthest->stage)) {
        // The store came back from an older copy: it gets again what entries act on.
        RolloutRecord record = *rollout.furthest;
        record.order = order.id;
        record.recordRevision = rollout.record ? rollout.record->recordRevision : 0;
        record.statusRevision = rollout.record ? rollout.record->statusRevision : 0;
        return record;
    }
    if (!rollout.targetsKnown || (current != nullptr && isFinal(current->stage))) {
        return std::nullopt;
    }
    RolloutRecord record = current != nullptr ? *current : this->firstRecord(rollout, now);
    if (current != nullptr) {
        const auto next = this->nextStage(rollout, now);
        if (!next) {
            return std::nullopt;
        }
        record.order = order.id;
        record.stage = next->first;
        record.reason = next->second;
    } else if (rollout.removedAt) {
        if (now - *rollout.removedAt < removedOrderTime) {
            return std::nullopt;
        }
        record.stage = RolloutStage::RolledBack;
        record.reason = "the order was removed";
    } else if (!hasOldVersions(rollout, record) && rollout.hadTargets
        && rollout.targets.listComplete) {
        record.stage = RolloutStage::Completed;
        record.reason = "all targets have the version";
    }
    for (const auto &[version, count] : rollout.targets.usableTargets) {
        if (version != record.targetVersion && count > 0
            && !record.rejectedVersions.contains(version)) {
            record.oldVersions.insert(version);
        }
    }
    if (record.stage == RolloutStage::RolledBack) {
        record.rejectedVersions.insert(record.targetVersion);
    }
    return record;
}

} // namespace wigeonsill
