/// \file eventsplitter.cpp
/// Splits a text/event-stream body into complete events.
#include "eventsplitter.h"

namespace wigeonsill {

std::string EventSplitter::feed(std::string_view bytes)
{
    const std::size_t scanFrom = this->partial.size() < 3 ? 0 : this->partial.size() - 3;
    this->partial += bytes;
    const std::size_t lastEnd = this->partial.rfind("\n\n");
    if (lastEnd == std::string::npos || lastEnd < scanFrom) {
        return {};
    }
    std::string completeEvents = this->partial.substr(0, lastEnd + 2);
    this->partial.erase(0, lastEnd + 2);
    std::size_t lineStart = 0;
    while (lineStart < completeEvents.size()) {
        const std::size_t lineEnd = completeEvents.find('\n', lineStart);
        const std::string_view lineText
            = std::string_view(completeEvents).substr(lineStart, lineEnd - lineStart);
        if (lineText.starts_with("id:")) {
            const std::size_t valueStart = lineText.find_first_not_of(' ', 3);
            this->lastEventId
                = valueStart == std::string_view::npos ? "" : lineText.substr(valueStart);
            if (this->eventCount++ == 0) {
                this->firstEventId = this->lastEventId;
            }
        }
        lineStart = lineEnd + 1;
    }
    return completeEvents;
}

} // namespace wigeonsill
