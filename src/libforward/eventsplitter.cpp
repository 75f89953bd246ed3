/// \file eventsplitter.cpp
/// Splits a text/event-stream body into complete events.
#include "eventsplitter.h"

namespace wigeonsill {

std::string EventSplitter::feed(std::string_view bytes)
{
    if (this->oversized) {
        return {};
    }
    // The end of an event may lie across the end of what is kept, which holds no complete one.
    const std::size_t scanFrom = this->partial.empty() ? 0 : this->partial.size() - 1;
    this->partial += bytes;
    const std::size_t lastEnd = std::string_view(this->partial).substr(scanFrom).rfind("\n\n");
    std::string completeEvents;
    if (lastEnd != std::string_view::npos) {
        const std::size_t size = scanFrom + lastEnd + 2;
        completeEvents = this->partial.substr(0, size);
        this->partial.erase(0, size);
    }
    if (this->partial.size() > maximumEventSize) {
        this->oversized = true;
        this->partial = std::string();
    }
    std::size_t lineStart = 0;
    while (lineStart < completeEvents.size()) {
        const std::size_t lineEnd = completeEvents.find('\n', lineStart);
        this->readLine(std::string_view(completeEvents).substr(lineStart, lineEnd - lineStart));
        lineStart = lineEnd + 1;
    }
    return completeEvents;
}

void EventSplitter::readLine(std::string_view line)
{
    if (line.empty()) {
        if (this->inEvent) { // Comments alone are no event.
            ++this->eventCount;
            this->lastEventHasId = this->eventHasId;
        }
        this->inEvent = false;
        this->eventHasId = false;
        return;
    }
    this->inEvent = this->inEvent || !line.starts_with(':');
    if (line.starts_with("id:")) {
        const std::size_t valueStart = line.find_first_not_of(' ', 3);
        this->lastEventId = valueStart == std::string_view::npos ? "" : line.substr(valueStart);
        this->eventHasId = !this->lastEventId.empty();
        if (this->eventCount == 0) {
            this->firstEventId = this->lastEventId;
        }
    }
}

} // namespace wigeonsill
