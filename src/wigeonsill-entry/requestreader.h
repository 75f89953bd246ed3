/// \file requestreader.h
/// From a caller's HTTP request to the request that the core decides about. No input or output.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/core.h"
#include "wigeonsill/http.h"

namespace wigeonsill {

/// Longest accepted Idempotency-Key, in bytes.
constexpr std::size_t maximumIdempotencyKey = 255;

/// Finds organisation and service, checks the request and turns it into what a target gets.
/// Errors: MalformedRequest, UnknownOrganisation, UnknownService, MethodNotAllowed,
/// IdempotencyKeyRequired, IdempotencyKeyTooLong. Thread-safe.
Result<CallerRequest> readCallerRequest(
    const Configuration &configuration, const HttpRequest &request);

} // namespace wigeonsill
