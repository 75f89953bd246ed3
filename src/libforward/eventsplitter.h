/// \file eventsplitter.h
/// Whole events of a stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Splits a body of events so that only whole events are passed on.
class EventSplitter
{
public:
    /// Takes bytes and returns the whole events that they complete.
    std::string feed(std::string_view bytes);
    /// Id of the last whole event; empty before the first.
    const std::string &lastId() const { return this->lastEventId; }
    std::uint64_t count() const { return this->eventCount; }
    /// Bytes behind the last whole event; they are handed out at the end of a whole answer.
    const std::string &remainder() const { return this->partial; }
    /// Forgets the bytes of an event that will not be completed.
    void discardPartial() { this->partial.clear(); }

private:
    std::string partial;
    std::string lastEventId;
    std::uint64_t eventCount = 0;
};

} // namespace wigeonsill
