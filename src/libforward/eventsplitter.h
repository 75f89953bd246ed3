/// \file eventsplitter.h
/// Extraction of complete events from a text/event-stream body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Buffers a stream of events so that only complete events are relayed. Lines end with LF, CRLF or
/// CR. Not thread-safe.
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
    /// Id of the last complete event that has one; empty before it.
    const std::string &lastId() const { return this->lastEventId; }
    /// Whether the last complete event has an id, so that a stream can be resumed after it.
    bool endsAtId() const { return this->lastEventHasId; }
    /// Number of complete events.
    std::uint64_t count() const { return this->eventCount; }
    /// Whether a part of an event follows the last complete one. Comments and empty lines are no
    /// part of an event.
    bool isInsideEvent() const;
    /// Bytes after the last complete event, to be relayed at the end of a complete answer.
    const std::string &remainder() const { return this->partial; }

private:
    /// Reads a complete line of the current event.
    void readLine(std::string_view line);
    /// Ends the current event at an empty line.
    void endEvent();

    std::string partial;
    std::size_t lineStart = 0; ///< Of the incomplete line in partial.
    bool lineFeedMayFollow = false; ///< The last complete line ended with CR.
    std::string firstEventId;
    std::string lastEventId;
    std::uint64_t eventCount = 0;
    bool oversized = false;
    bool inEvent = false; ///< The current event has a complete line that is no comment.
    std::optional<std::string> eventId; ///< Of the current event.
    bool lastEventHasId = false;
};

} // namespace wigeonsill
