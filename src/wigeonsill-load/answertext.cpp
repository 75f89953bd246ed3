/// \file answertext.cpp
/// Text of completions.
#include "answertext.h"

#include <boost/json.hpp>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endMark = "[DONE]";

} // namespace

AnswerText::AnswerText(bool stream)
    : isStream(stream)
{
}

std::size_t AnswerText::take(std::string_view piece)
{
    this->pending += piece;
    if (!this->isStream) {
        this->finished = this->finished || this->takeText(this->pending);
        return this->finished ? 1 : 0;
    }
    std::size_t tokens = 0;
    std::size_t start = 0;
    for (std::size_t end = this->pending.find('\n'); end != std::string::npos;
         end = this->pending.find('\n', start)) {
        tokens += this->takeEvent(std::string_view(this->pending).substr(start, end - start));
        start = end + 1;
    }
    this->pending.erase(0, start);
    return tokens;
}

std::size_t AnswerText::takeEvent(std::string_view line)
{
    if (!line.starts_with(dataPrefix)) {
        return 0;
    }
    line.remove_prefix(dataPrefix.size());
    if (line == endMark) {
        this->finished = true;
        return 0;
    }
    return this->takeText(line) ? 1 : 0;
}

/// Adds the first choice's text; false when there is none.
bool AnswerText::takeText(std::string_view document)
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
    this->collected += text->get_string();
    return true;
}

} // namespace wigeonsill
