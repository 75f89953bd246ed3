/// \file requestreader.h
/// Converts a caller's HTTP request to a request for the core. Performs no I/O.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/core.h"
#include "wigeonsill/http.h"

namespace wigeonsill {

/// Maximum length of an Idempotency-Key.
constexpr std::size_t maximumIdempotencyKeyBytes = 255;

/// Finds the organisation and the service, validates the request and builds the request that a
/// target receives.
/// Errors: MalformedRequest, UnknownOrganisation, UnknownService, MethodNotAllowed,
/// IdempotencyKeyRequired, IdempotencyKeyTooLong. Thread-safe.
Result<CallerRequest> readCallerRequest(
    const Configuration &configuration, const HttpRequest &request);

} // namespace wigeonsill
