/// \file messagehead.cpp
/// What a sound head of a message is.
#include "messagehead.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <span>

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

bool hasOnlyKnownCoding(const MessageHead &head)
{
    return hasKnownCoding(head.fields, head.httpVersion);
}

struct HeadRule
{
    bool (*holds)(const MessageHead &head);
    error violation;
};
constexpr std::array answerRules = {
    HeadRule{ hasValidStatus, error::bad_status },
    HeadRule{ keepsProtocol, error::bad_status },
    HeadRule{ hasOwnReason, error::bad_reason },
    HeadRule{ hasOwnValues, error::bad_value },
    HeadRule{ hasOnlyKnownCoding, error::bad_transfer_encoding },
};

constexpr std::array requestRules = {
    HeadRule{ hasOnlyKnownCoding, error::bad_transfer_encoding },
};

boost::system::error_code check(const MessageHead &head, std::span<const HeadRule> rules)
{
    for (const HeadRule &rule : rules) {
        if (!rule.holds(head)) {
            return rule.violation;
        }
    }
    return {};
}

} // namespace

bool hasKnownCoding(const HttpFields &fields, int httpVersion)
{
    const auto codings = std::count_if(fields.begin(), fields.end(),
        [](const HttpField &field) { return equalsIgnoringCase(field.name, "Transfer-Encoding"); });
    return codings == 0
        || (codings == 1 && httpVersion == 11
            && equalsIgnoringCase(fieldValue(fields, "Transfer-Encoding"), "chunked"));
}

boost::system::error_code checkAnswerHead(const MessageHead &head)
{
    return check(head, answerRules);
}

boost::system::error_code checkRequestHead(const MessageHead &head)
{
    return check(head, requestRules);
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
