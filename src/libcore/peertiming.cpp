/// \file peertiming.cpp
/// When a connection needs a heartbeat, and when its silence means loss.
#include "peertiming.h"

#include <algorithm>

namespace wigeonsill {

void PeerTiming::restart(TimePoint now)
{
    *this = {};
    this->lastHeard = now;
    this->lastBeat = now;
}

void PeerTiming::setBusy(TimePoint now, bool nowBusy)
{
    if (nowBusy && !this->busy) {
        this->busySince = now;
    }
    this->busy = nowBusy;
}

bool PeerTiming::isBeatDue(TimePoint now, const HeartbeatIntervals &intervals) const
{
    return now - this->lastBeat >= (this->busy ? intervals.busy : intervals.idle);
}

bool PeerTiming::isSilent(TimePoint now, const HeartbeatIntervals &intervals) const
{
    if (!this->busy) {
        return now - this->lastHeard > intervals.idleSilence;
    }
    return now - std::max(this->lastHeard, this->busySince) > intervals.busySilence;
}

} // namespace wigeonsill
