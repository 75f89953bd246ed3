/// \file targetattempt.h
/// One send of a request to a target.
#pragma once

#include "targetpool.h"
#include "wigeonsill/outcomes.h"

namespace wigeonsill {

/// What belongs to one send of a request to a target, and to nothing else: it ends with the
/// attempt, so that no part of one target's answer can be joined with another's. What the caller
/// has already received belongs to the request. Not thread-safe.
struct TargetAttempt
{
    Target target;
    std::uint64_t reservationId = 0; ///< Under which the target was reserved; 0 without one.
    TimePoint sentAt;
    bool latencyRecorded = false; ///< As a sample of a rollout.
    bool failureRecorded = false; ///< As a sample of a rollout.
    bool granted = false; ///< By the target's agent; reset at the first event.
    bool mayHaveRun = false; ///< The target may have received the request.
    std::string resumesAfter; ///< Id of the last event that the caller had; empty for a new run.
    std::shared_ptr<TargetConnection> connection; ///< nullptr once it ended or failed.
    MessageHead head; ///< Of the answer; its status is 0 until it was received.
    bool streaming = false; ///< The answer's body is a stream of events.
    std::string body; ///< Received and not relayed, unless streaming.
    EventSplitter events; ///< The answer's body when streaming.
    std::optional<TimePoint> firstEventAt;
    bool readingPaused = false; ///< Much is held already; see RequestFlow::paceReading().
    std::size_t readAheadLeft = 0; ///< Bytes that may be read before it pauses.
    bool answering = false; ///< It has gone on after the first event, or ended whole.

    /// Bytes of the answer that were received and not relayed.
    std::size_t heldBytes() const { return this->body.size() + this->events.remainder().size(); }
    /// Whether the answer's events may follow those that the caller has. An event without an id
    /// can't be shown to follow another one. \pre the first event was received.
    bool hasResumed() const
    {
        const std::string &first = this->events.firstId();
        return this->resumesAfter.empty()
            || (!first.empty() && isLaterEvent(first, this->resumesAfter));
    }
    /// Whether a stream ended in the middle of an event, and so was broken off, however its end was
    /// framed. \pre the answer ended.
    bool endedWithinAnEvent() const { return this->streaming && this->events.isInsideEvent(); }
};

} // namespace wigeonsill
