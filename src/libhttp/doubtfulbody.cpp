/// \file doubtfulbody.cpp
/// Compares the bodies that two targets send for one request.
#include "wigeonsill/http.h"

namespace wigeonsill {

namespace {

/// The quoted text that is the same wherever a body quotes a head: the lines up to the first empty
/// one, whose ends may be bare line feeds; all of it without an empty line.
std::string_view quotedHead(std::string_view text)
{
    for (std::size_t end = text.find('\n'); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        const std::string_view rest = text.substr(end + 1);
        if (rest.starts_with('\n') || rest.starts_with("\r\n")) {
            return text.substr(0, end);
        }
    }
    return text;
}

} // namespace

DoubtfulBody::DoubtfulBody(std::string_view body)
    : whole(stableHash(body))
{
    for (std::size_t at = findPossibleStatusLine(body); at != std::string_view::npos;) {
        if (!this->fromQuote) {
            this->fromQuote = stableHash(body.substr(at));
        }
        const std::size_t next = findPossibleStatusLine(body, at + 1);
        this->quotes = stableHash(quotedHead(body.substr(at, next - at)), this->quotes + at);
        at = next;
    }
}

bool DoubtfulBody::isConfirmedBy(const DoubtfulBody &other) const
{
    const bool quoteSame = this->fromQuote && other.fromQuote
        && (this->fromQuote == other.fromQuote || this->quotes == other.quotes);
    return this->whole == other.whole || quoteSame;
}

} // namespace wigeonsill
