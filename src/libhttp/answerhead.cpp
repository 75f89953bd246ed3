/// \file answerhead.cpp
/// What a sound head of an answer is.
#include "answerhead.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace wigeonsill {

namespace {

using boost::beast::http::error;

/// RFC 9110, section 15: the first digit is 1 to 5.
bool hasValidStatus(const MessageHead &head)
{
    return head.status >= 100 && head.status < 600;
}

/// RFC 9110, section 15.2.2: only on request, and no request asks for it.
bool keepsProtocol(const MessageHead &head)
{
    return head.status != 101;
}

/// Otherwise the status line was broken off, with another head behind it.
bool hasOwnReason(const MessageHead &head)
{
    return head.reason.find("HTTP/1.") == std::string::npos;
}

/// Otherwise the head was broken off within a field's value, with another head behind it.
bool hasOwnValues(const MessageHead &head)
{
    return std::all_of(head.fields.begin(), head.fields.end(), [](const HttpField &field) {
        return findStatusLine(field.value) == std::string_view::npos;
    });
}

/// RFC 9112, section 6.1: no request offers another coding than `chunked`, and HTTP/1.0 has none.
/// The parser takes a body with any other coding as it is sent, with the coding and its framing.
bool hasKnownCoding(const MessageHead &head)
{
    const auto isCoding = [](const HttpField &field) {
        return equalsIgnoringCase(field.name, "Transfer-Encoding");
    };
    const auto codings = std::count_if(head.fields.begin(), head.fields.end(), isCoding);
    return codings == 0
        || (codings == 1 && head.httpVersion == 11
            && equalsIgnoringCase(fieldValue(head.fields, "Transfer-Encoding"), "chunked"));
}

struct HeadRule
{
    bool (*holds)(const MessageHead &head);
    error violation;
};
constexpr std::array headRules = {
    HeadRule{ hasValidStatus, error::bad_status },
    HeadRule{ keepsProtocol, error::bad_status },
    HeadRule{ hasOwnReason, error::bad_reason },
    HeadRule{ hasOwnValues, error::bad_value },
    HeadRule{ hasKnownCoding, error::bad_transfer_encoding },
};

} // namespace

boost::system::error_code checkAnswerHead(const MessageHead &head)
{
    for (const HeadRule &rule : headRules) {
        if (!rule.holds(head)) {
            return rule.violation;
        }
    }
    return {};
}

bool FoldedLineFinder::feed(std::string_view bytes)
{
    for (auto byte = bytes.begin(); byte != bytes.end() && !this->headEnded && !this->found;
         ++byte) {
        this->found = this->atLineStart && (*byte == ' ' || *byte == '\t');
        this->headEnded = this->atLineStart && *byte == '\r';
        this->atLineStart = *byte == '\n';
    }
    return this->found;
}

} // namespace wigeonsill
