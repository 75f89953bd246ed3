/// \file eventsplitter.h
/// Extraction of complete events from a text/event-stream body.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Buffers a stream of events so that only complete events are relayed. Not thread-safe.
class EventSplitter
{
public:
    /// Largest event that is kept, in bytes. Targets send a few tokens an event.
    static constexpr std::size_t maximumEventSize = 1'048'576;

    /// Appends bytes and returns the events that are complete now. An event that is not complete
    /// within maximumEventSize is dropped, and nothing is returned from then on.
    std::string feed(std::string_view bytes);
    /// Id of the first complete event; empty before it.
    const std::string &firstId() const { return this->firstEventId; }
    /// Whether an event was dropped since it was too large.
    bool isOversized() const { return this->oversized; }
    /// Id of the last complete event; empty before the first.
    const std::string &lastId() const { return this->lastEventId; }
    /// Whether the last complete event has an id, so that a stream can be resumed after it.
    bool endsAtId() const { return this->lastEventHasId; }
    /// Number of complete events.
    std::uint64_t count() const { return this->eventCount; }
    /// Bytes after the last complete event, to be relayed at the end of a complete answer.
    const std::string &remainder() const { return this->partial; }

private:
    void readLine(std::string_view line);

    std::string partial;
    std::string firstEventId;
    std::string lastEventId;
    std::uint64_t eventCount = 0;
    bool oversized = false;
    bool inEvent = false; ///< The block being read has a line that is no comment.
    bool eventHasId = false;
    bool lastEventHasId = false;
};

} // namespace wigeonsill
