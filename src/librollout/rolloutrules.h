/// \file rolloutrules.h
/// What the gate and the owner must decide alike.
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

} // namespace wigeonsill
