/// \file capacitypublisher.h
/// What an agent has learned about its target, for its operators.
#pragma once

#include "wigeonsill/forward.h"

namespace wigeonsill {

/// Writes what TargetAdmission has learned to the metrics, the log and the state page. Without
/// TargetAdmission::Limits::learnCapacity it writes nothing.
class CapacityPublisher
{
public:
    /// Sets the metrics, and writes a log line when the limit has changed by more than a quarter
    /// since the last one, which must be two seconds ago.
    void publish(
        const TargetAdmission &admission, Metrics &metrics, DecisionLog &log, TimePoint now);
    /// For the state page; null without learnCapacity.
    static boost::json::value dump(const TargetAdmission &admission);

private:
    int loggedLimit = 0;
    TimePoint loggedAt;
};

} // namespace wigeonsill
