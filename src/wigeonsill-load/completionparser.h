/// \file completionparser.h
/// Extracts the generated text from a completion response, streamed or not.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Incremental parser for the body of one completion response. Not thread-safe.
class CompletionParser
{
public:
    /// \param stream Whether the body is a stream of server-sent events.
    explicit CompletionParser(bool stream);

    /// Appends a chunk of the body. Returns the number of tokens that it completes; for a body that
    /// is not streamed, 1 as soon as the document is complete.
    std::size_t append(std::string_view chunk);
    /// Text of the first choice as received so far.
    const std::string &text() const { return this->collectedText; }
    /// Whether the answer has ended: the [DONE] event of a stream or a full JSON document.
    bool isFinished() const { return this->finished; }

private:
    std::size_t parseEvent(std::string_view line);
    bool appendChoiceText(std::string_view document);

    bool isStream;
    bool finished = false;
    std::string unparsed;
    std::string collectedText;
};

} // namespace wigeonsill
