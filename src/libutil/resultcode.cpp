/// \file resultcode.cpp
/// Table of result codes with their HTTP status, outcome and title.
#include "wigeonsill/util.h"

#include <algorithm>

namespace wigeonsill {

namespace {

using enum ResultCode;

constexpr std::array outcomeNames = {
    EnumName<Outcome>{ Outcome::Completed, "completed" },
    EnumName<Outcome>{ Outcome::NotRun, "not-run" },
    EnumName<Outcome>{ Outcome::Interrupted, "interrupted" },
    EnumName<Outcome>{ Outcome::Unknown, "unknown" },
};

constexpr Outcome notRun = Outcome::NotRun;
constexpr Outcome interrupted = Outcome::Interrupted;
constexpr Outcome unknown = Outcome::Unknown;

// clang-format off
constexpr std::array table = {
    ResultInfo { Ok, "Ok", 200, Outcome::Completed, "The request completed." },
    ResultInfo { MalformedRequest, "MalformedRequest", 400, notRun, "The request is not valid HTTP or its body is not valid." },
    ResultInfo { HeaderTooLarge, "HeaderTooLarge", 431, notRun, "The request header is over its limit." },
    ResultInfo { BodyTooLarge, "BodyTooLarge", 413, notRun, "The request body is over its limit." },
    ResultInfo { UnknownOrganisation, "UnknownOrganisation", 401, notRun, "No organisation has this token or name." },
    ResultInfo { UnknownService, "UnknownService", 404, notRun, "The organisation has no such service." },
    ResultInfo { IdempotencyKeyRequired, "IdempotencyKeyRequired", 400, notRun, "The service is non-idempotent and needs an Idempotency-Key header." },
    ResultInfo { IdempotencyKeyReused, "IdempotencyKeyReused", 422, notRun, "The idempotency key was used with another body." },
    ResultInfo { RequestTimeout, "RequestTimeout", 408, notRun, "The request did not arrive in time." },
    ResultInfo { MethodNotAllowed, "MethodNotAllowed", 405, notRun, "The service does not take this method." },
    ResultInfo { IdempotencyKeyTooLong, "IdempotencyKeyTooLong", 400, notRun, "The idempotency key is over its limit." },
    ResultInfo { NoTargetAvailable, "NoTargetAvailable", 503, notRun, "No target of the pool is connected." },
    ResultInfo { Overloaded, "Overloaded", 503, notRun, "The pool is overloaded." },
    ResultInfo { DeadlineUnreachable, "DeadlineUnreachable", 503, notRun, "The deadline cannot be met." },
    ResultInfo { Draining, "Draining", 503, notRun, "The process is draining." },
    ResultInfo { ClaimStoreUnavailable, "ClaimStoreUnavailable", 503, notRun, "The idempotency key could not be claimed in the store." },
    ResultInfo { NoConfiguration, "NoConfiguration", 503, notRun, "The process has no configuration yet." },
    ResultInfo { QuotaExceeded, "QuotaExceeded", 429, notRun, "The organisation is over its quota." },
    ResultInfo { TierFloor, "TierFloor", 503, notRun, "The pool takes only higher tiers at present." },
    ResultInfo { CallerGone, "CallerGone", 0, notRun, "The caller went away before the request was run." },
    ResultInfo { TargetRefusedConnection, "TargetRefusedConnection", 503, notRun, "The target refused the connection." },
    ResultInfo { FirstAttemptRunning, "FirstAttemptRunning", 409, notRun, "An earlier request with this idempotency key is still running; this one was not run." },
    ResultInfo { RequestExpired, "RequestExpired", 503, notRun, "The request waited until its deadline and was not run." },
    ResultInfo { PartsHeld, "PartsHeld", 503, notRun, "Targets ended under requests with the same prompt parts." },
    ResultInfo { RequestHeld, "RequestHeld", 503, notRun, "Targets ended under this request." },
    ResultInfo { TargetBrokeOff, "TargetBrokeOff", 502, interrupted, "The target broke off its answer." },
    ResultInfo { AnswerLost, "AnswerLost", 502, interrupted, "The request ran and its answer is no longer held." },
    ResultInfo { Preempted, "Preempted", 503, interrupted, "The request was stopped for one of a higher tier." },
    ResultInfo { Cancelled, "Cancelled", 0, interrupted, "The caller went away while the request ran." },
    ResultInfo { AgentLost, "AgentLost", 502, unknown, "The agent that held the request is gone." },
    ResultInfo { TargetSilent, "TargetSilent", 504, unknown, "The target did not answer." },
    ResultInfo { EarlierAttemptUnknown, "EarlierAttemptUnknown", 409, unknown, "An earlier request with this idempotency key may have run; this one was not run." },
    ResultInfo { EntryStopped, "EntryStopped", 503, unknown, "The entry stopped while the request was in progress." },
    ResultInfo { SettingsUnreadable, "SettingsUnreadable", 0, notRun, "The file cannot be read." },
    ResultInfo { SettingsSyntax, "SettingsSyntax", 0, notRun, "The file is not valid JSON with comments." },
    ResultInfo { SettingsUnknownKey, "SettingsUnknownKey", 0, notRun, "The key is not known." },
    ResultInfo { SettingsMissingKey, "SettingsMissingKey", 0, notRun, "The key is missing." },
    ResultInfo { SettingsWrongType, "SettingsWrongType", 0, notRun, "The value has another type than expected." },
    ResultInfo { SettingsOutOfRange, "SettingsOutOfRange", 0, notRun, "The value is out of range." },
    ResultInfo { TemplateUnknown, "TemplateUnknown", 0, notRun, "The template does not exist." },
    ResultInfo { TierUnknown, "TierUnknown", 0, notRun, "The tier does not exist." },
    ResultInfo { ServiceWithoutTarget, "ServiceWithoutTarget", 0, notRun, "The service names a pool that does not exist." },
    ResultInfo { QuotaAboveCapacity, "QuotaAboveCapacity", 0, notRun, "The quotas of the pool add up to more than its capacity." },
    ResultInfo { StoreUnavailable, "StoreUnavailable", 0, notRun, "The store does not answer." },
    ResultInfo { StoreConflict, "StoreConflict", 0, notRun, "The value in the store changed meanwhile." },
    ResultInfo { StoreKeyMissing, "StoreKeyMissing", 0, notRun, "The store has no such key." },
    ResultInfo { StoreRateLimited, "StoreRateLimited", 0, notRun, "The store limits the rate of calls." },
    ResultInfo { StoreAnswerLost, "StoreAnswerLost", 0, unknown, "The store's answer was lost; the write may have taken effect." },
    ResultInfo { ConnectionFailed, "ConnectionFailed", 0, notRun, "The connection could not be made." },
    ResultInfo { ConnectionClosed, "ConnectionClosed", 0, unknown, "The connection was closed." },
    ResultInfo { MessageMalformed, "MessageMalformed", 0, notRun, "A message could not be decoded." },
    ResultInfo { MessageTooLarge, "MessageTooLarge", 0, notRun, "A message is over its limit." },
};
// clang-format on

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return enumName(outcomeNames, outcome);
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto *row = std::lower_bound(table.begin(), table.end(), code,
        [](const ResultInfo &info, ResultCode wanted) { return info.code < wanted; });
    if (row == table.end() || row->code != code) {
        return table.front();
    }
    return *row;
}

std::span<const ResultInfo> resultTable()
{
    return table;
}

} // namespace wigeonsill
