/// \file eventsplitter.cpp
/// Splits a text/event-stream body into complete events.
#include "wigeonsill/http.h"

#include <algorithm>

namespace wigeonsill {

bool isEventStream(const HttpFields &fields)
{
    const std::string_view type = fieldValue(fields, "Content-Type");
    return equalsIgnoringCase(type.substr(0, type.find_first_of("; \t")), "text/event-stream");
}

namespace {

bool isEventField(std::string_view line)
{
    constexpr std::array<std::string_view, 4> names = { "data", "id", "event", "retry" };
    const std::string_view name = line.substr(0, line.find(':'));
    // Comments have an empty name.
    return name.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    if (this->oversized || this->headFound) {
        return {};
    }
    std::size_t at = this->partial.size();
    this->partial += bytes;
    std::size_t completeEnd = 0;
    while (at < this->partial.size() && !this->headFound) {
        if (this->lineFeedMayFollow && at == this->lineStart && this->partial[at] == '\n') {
            completeEnd += completeEnd == at ? 1 : 0;
            this->lineStart = ++at;
            this->lineFeedMayFollow = false;
            continue;
        }
        // std::string::find_first_of() makes a call for each byte.
        const auto found = std::find_if(this->partial.begin() + static_cast<std::ptrdiff_t>(at),
            this->partial.end(), [](char byte) { return byte == '\n' || byte == '\r'; });
        if (found == this->partial.end()) {
            break;
        }
        const auto lineEnd = static_cast<std::size_t>(found - this->partial.begin());
        this->lineFeedMayFollow = this->partial[lineEnd] == '\r';
        at = lineEnd + 1;
        if (lineEnd == this->lineStart) {
            this->endEvent();
            completeEnd = at;
        } else {
            this->readLine(
                std::string_view(this->partial).substr(this->lineStart, lineEnd - this->lineStart));
        }
        this->lineStart = at;
    }
    std::string completeEvents = this->partial.substr(0, completeEnd);
    this->partial.erase(0, completeEnd);
    this->lineStart -= completeEnd;
    if (this->partial.size() > maximumEventSize) {
        this->oversized = true;
        this->partial = std::string();
        this->lineStart = 0;
    }
    return completeEvents;
}

bool EventSplitter::isInsideEvent() const
{
    return this->inEvent
        || (this->lineStart < this->partial.size() && this->partial[this->lineStart] != ':');
}

void EventSplitter::endEvent()
{
    if (this->inEvent) { // Comments alone are no event.
        ++this->eventCount;
        this->lastEventHasId = this->eventId && !this->eventId->empty();
        this->lastEventId = this->eventId.value_or(this->lastEventId);
        if (this->eventCount == 1) {
            this->firstEventId = this->lastEventId;
        }
    }
    this->inEvent = false;
    this->statusLineFound = false;
    this->eventId.reset();
}

void EventSplitter::readLine(std::string_view line)
{
    this->inEvent = this->inEvent || !line.starts_with(':');
    // Behind a status line, a line that is no field of an event is one of a head.
    const std::size_t statusLine = findStatusLine(line);
    this->headFound = statusLine == 0 || (this->statusLineFound && !isEventField(line));
    this->statusLineFound = this->statusLineFound || statusLine != std::string_view::npos;
    if (line.starts_with("id:")) {
        const std::size_t valueStart = line.find_first_not_of(' ', 3);
        this->eventId = valueStart == std::string_view::npos ? "" : line.substr(valueStart);
    }
}

} // namespace wigeonsill
