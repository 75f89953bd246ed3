/// \file completionparser.cpp
/// Parsing of completion responses.
#include "completionparser.h"

#include <boost/json.hpp>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view doneMarker = "[DONE]";

} // namespace

CompletionParser::CompletionParser(bool stream)
    : isStream(stream)
{
}

std::size_t CompletionParser::append(std::string_view chunk)
{
    this->unparsed += chunk;
    if (!this->isStream) {
        this->finished = this->finished || this->appendChoiceText(this->unparsed);
        return this->finished ? 1 : 0;
    }
    std::size_t tokens = 0;
    std::size_t start = 0;
    for (std::size_t end = this->unparsed.find('\n'); end != std::string::npos;
         end = this->unparsed.find('\n', start)) {
        tokens += this->parseEvent(std::string_view(this->unparsed).substr(start, end - start));
        start = end + 1;
    }
    this->unparsed.erase(0, start);
    return tokens;
}

std::size_t CompletionParser::parseEvent(std::string_view line)
{
    if (!line.starts_with(dataPrefix)) {
        return 0;
    }
    line.remove_prefix(dataPrefix.size());
    if (line == doneMarker) {
        this->finished = true;
        return 0;
    }
    return this->appendChoiceText(line) ? 1 : 0;
}

/// Appends the text of the first choice; returns false if the document has none.
bool CompletionParser::appendChoiceText(std::string_view document)
{
    json::error_code error;
    const json::value value = json::parse({ document.data(), document.size() }, error);
    if (error) {
        return false;
    }
    const json::value *text = value.find_pointer("/choices/0/text", error);
    if (text == nullptr || !text->is_string()) {
        return false;
    }
    this->collectedText += text->get_string();
    return true;
}

} // namespace wigeonsill
