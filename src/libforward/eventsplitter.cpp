/// \file eventsplitter.cpp
/// Splits a stream at its events.
#include "eventsplitter.h"

namespace wigeonsill {

std::string EventSplitter::take(std::string_view bytes)
{
    const std::size_t scanFrom = this->partial.size() < 3 ? 0 : this->partial.size() - 3;
    this->partial += bytes;
    const std::size_t lastEnd = this->partial.rfind("\n\n");
    if (lastEnd == std::string::npos || lastEnd < scanFrom) {
        return {};
    }
    std::string whole = this->partial.substr(0, lastEnd + 2);
    this->partial.erase(0, lastEnd + 2);
    std::size_t line = 0;
    while (line < whole.size()) {
        const std::size_t end = whole.find('\n', line);
        const std::string_view text = std::string_view(whole).substr(line, end - line);
        if (text.starts_with("id:")) {
            const std::size_t value = text.find_first_not_of(' ', 3);
            this->id = value == std::string_view::npos ? "" : text.substr(value);
            ++this->events;
        }
        line = end + 1;
    }
    return whole;
}

} // namespace wigeonsill
