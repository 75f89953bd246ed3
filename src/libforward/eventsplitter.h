/// \file eventsplitter.h
/// Extraction of complete events from a text/event-stream body.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Buffers a stream of events so that only complete events are relayed.
class EventSplitter
{
public:
    /// Appends bytes and returns the events that are complete now.
    std::string feed(std::string_view bytes);
    /// Id of the first complete event; empty before it.
    const std::string &firstId() const { return this->firstEventId; }
    /// Id of the last complete event; empty before the first.
    const std::string &lastId() const { return this->lastEventId; }
    /// Number of id fields in the complete events.
    std::uint64_t count() const { return this->eventCount; }
    /// Bytes after the last complete event, to be relayed at the end of a complete answer.
    const std::string &remainder() const { return this->partial; }

private:
    std::string partial;
    std::string firstEventId;
    std::string lastEventId;
    std::uint64_t eventCount = 0;
};

} // namespace wigeonsill
