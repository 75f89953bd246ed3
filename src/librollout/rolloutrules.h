/// \file rolloutrules.h
/// What the gate and the owner must decide alike, and what the owner knows of a rollout.
#pragma once

#include "wigeonsill/rollout.h"

namespace wigeonsill {

/// A store that came back from an older copy may lack an order for so long.
inline constexpr Duration removedOrderTime = seconds(3);

/// Whether a record is about an order. The order of a store that came back from an older copy has
/// the same revision in another history.
inline bool belongsTo(const RolloutRecord &record, const RolloutOrder &order)
{
    return record.order.revision == order.id.revision
        && record.targetVersion == order.targetVersion;
}

struct RolloutOwner::Rollout
{
    struct Report
    {
        RolloutReport report;
        TimePoint at;
    };

    std::optional<RolloutOrder> order;
    /// As the store holds it, of this or an earlier order.
    std::optional<RolloutRecord> record;
    /// The furthest record of this order that was ever seen. The store may come back from an
    /// older copy, but no stage is taken back.
    std::optional<RolloutRecord> furthest;
    TimePoint givenAt; ///< Earliest time at which the order may have been given.
    TimePoint stageSince; ///< When this process saw the record's stage first.
    RolloutEvidence stageEvidence; ///< As it was then.
    std::optional<TimePoint> removedAt; ///< When the order was found to be gone.
    std::map<std::uint64_t, Report> reports; ///< Newest one of each entry's incarnation.
    TimePoint collectingSince; ///< Reports have come without a gap since then.
    TimePoint lastReportAt;
    RolloutEvidence evidence; ///< Sum of all reports.
    VersionJudge judge;
    Judgement judgement; ///< The last one; Bad stays.
    std::optional<TimePoint> judgedAt;
    VersionTargets targets;
    bool targetsKnown = false;
    std::set<std::string> usedVersions; ///< See RolloutGate::Service.
    std::set<std::string> barredVersions; ///< See RolloutGate::Service.
    bool hadTargets = false; ///< Targets of the new version were usable since the order.
    /// A final stage that entries act on by a directive of a former owner.
    std::optional<RolloutStage> reportedEnd;
};

} // namespace wigeonsill
