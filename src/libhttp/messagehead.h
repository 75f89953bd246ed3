/// \file messagehead.h
/// What a sound head of a message is.
#pragma once

#include "wigeonsill/http.h"

namespace wigeonsill {

/// Checks a head that the parser accepts. What breaks a rule is not an answer: neither its status
/// nor the end of its body can be relied on. Thread-safe. Errors: bad_status, bad_reason,
/// bad_value and bad_transfer_encoding of Beast's http::error.
boost::system::error_code checkAnswerHead(const MessageHead &head);
/// As checkAnswerHead(), of a request. Errors: bad_transfer_encoding.
boost::system::error_code checkRequestHead(const MessageHead &head);

/// Finds lines of a head that continue the line before them. The parser joins the two, so that a
/// field in such a line would be lost, or be passed on as part of another one. Not thread-safe.
class FoldedLineFinder
{
public:
    /// Reads the next bytes of a message; those behind its head are ignored.
    /// \returns Whether a line of the head that was read so far continues another one.
    bool feed(std::string_view bytes);

private:
    bool atLineStart = false;
    bool headEnded = false;
    bool found = false;
};

} // namespace wigeonsill
