/// \file answerhead.h
/// What a sound head of an answer is.
#pragma once

#include "wigeonsill/http.h"

namespace wigeonsill {

/// Checks a head that the parser accepts. What breaks a rule is not an answer: neither its status
/// nor the end of its body can be relied on. Thread-safe. Errors: bad_status, bad_reason and
/// bad_value of Beast's http::error.
boost::system::error_code checkAnswerHead(const MessageHead &head);

} // namespace wigeonsill
