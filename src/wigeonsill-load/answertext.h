/// \file answertext.h
/// Takes the text of a completion out of its body, streamed or not.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Reads one answer piece by piece. Not thread-safe.
class AnswerText
{
public:
    /// \param stream Whether the body is a stream of server-sent events.
    explicit AnswerText(bool stream);

    /// Takes a piece of the body; returns how many tokens it brought to an end.
    std::size_t take(std::string_view piece);
    /// The text so far, without anything but the choices' text.
    const std::string &text() const { return this->collected; }
    /// Whether the engine's own end mark has come.
    bool isFinished() const { return this->finished; }

private:
    std::size_t takeEvent(std::string_view line);
    bool takeText(std::string_view document);

    bool isStream;
    bool finished = false;
    std::string pending;
    std::string collected;
};

} // namespace wigeonsill
