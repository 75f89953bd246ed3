/// \file peertiming.h
/// When a connection between entry and agent needs a heartbeat, and when its silence means loss.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// Times of one connection. A connection is busy while a request depends on it; an idle one beats
/// more seldom, so that control at rest stays small. Not thread-safe.
class PeerTiming
{
public:
    /// A connection begins.
    void restart(TimePoint now);
    /// A message came.
    void heard(TimePoint now) { this->lastHeard = now; }
    /// A heartbeat went out.
    void beat(TimePoint now) { this->lastBeat = now; }
    /// Tells whether requests depend on the connection.
    void setBusy(TimePoint now, bool busy);

    bool isBeatDue(TimePoint now, const HeartbeatIntervals &intervals) const;
    /// Whether the peer has been quiet for longer than a live one would be. An idle connection that
    /// becomes busy is given the busy limit from then on.
    bool isSilent(TimePoint now, const HeartbeatIntervals &intervals) const;
    Duration quietFor(TimePoint now) const { return now - this->lastHeard; }

private:
    TimePoint lastHeard;
    TimePoint lastBeat;
    TimePoint busySince;
    bool busy = false;
};

} // namespace wigeonsill
