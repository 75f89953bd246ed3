/// \file claimclient.cpp
/// Claims idempotency keys in the store.
#include "claimclient.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int maximumTries = 4;

std::string storeKey(const std::string &organisation, const std::string &key)
{
    return "claims/" + organisation + "/" + std::to_string(stableHash(key));
}

std::string claimText(const ClaimKey &action)
{
    json::object claim;
    claim["key"] = action.key;
    claim["owner"] = toString(action.id);
    claim["digest"] = std::to_string(action.bodyDigest);
    claim["state"] = "running";
    return json::serialize(claim);
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

ClaimDecision refusal(ResultCode code)
{
    ClaimDecision decision;
    decision.result = code;
    return decision;
}

ClaimDecision replayOf(const json::object &claim)
{
    ClaimDecision decision;
    decision.replay = true;
    decision.status = static_cast<int>(claim.at("status").to_number<std::int64_t>());
    for (const json::value &pair : claim.at("headers").as_array()) {
        const json::array &row = pair.as_array();
        decision.headers.push_back(
            { std::string(row.at(0).as_string()), std::string(row.at(1).as_string()) });
    }
    decision.body = textOf(claim, "body");
    return decision;
}

/// What an existing claim means for a request; empty when the key may be claimed anew.
std::optional<ClaimDecision> judge(const std::string &text, const ClaimKey &action)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return refusal(ResultCode::EarlierAttemptUnknown);
    }
    const json::object &claim = value.get_object();
    if (textOf(claim, "owner") == toString(action.id)) {
        return ClaimDecision{};
    }
    if (textOf(claim, "key") != action.key
        || textOf(claim, "digest") != std::to_string(action.bodyDigest)) {
        return refusal(ResultCode::IdempotencyKeyReused);
    }
    const std::string state = textOf(claim, "state");
    if (state == "running") {
        return refusal(ResultCode::FirstAttemptRunning);
    }
    if (state == "not-run") {
        return std::nullopt;
    }
    if (state == "completed" && claim.contains("body")) {
        return replayOf(claim);
    }
    return refusal(ResultCode::EarlierAttemptUnknown);
}

void describeEnd(json::object &claim, const RecordClaim &action)
{
    claim["state"] = nameOf(infoOf(action.result).outcome);
    if (action.result != ResultCode::Ok || action.body.empty()) {
        return;
    }
    claim["status"] = action.status;
    json::array headers;
    for (const Header &header : action.headers) {
        headers.push_back(json::array{ header.name, header.value });
    }
    claim["headers"] = std::move(headers);
    claim["body"] = action.body;
}

} // namespace

asio::awaitable<ClaimDecision> ClaimClient::claim(ClaimKey action)
{
    const std::string key = storeKey(action.organisation, action.key);
    std::uint64_t expected = 0;
    for (int attempt = 0; attempt < maximumTries; ++attempt) {
        const Result<std::uint64_t> written
            = co_await this->store.swap(key, claimText(action), expected);
        if (written) {
            co_return ClaimDecision{};
        }
        const ResultCode code = written.error().code;
        if (code != ResultCode::StoreConflict && code != ResultCode::StoreAnswerLost) {
            co_return refusal(ResultCode::ClaimStoreUnavailable);
        }
        const Result<StoredValue> present = co_await this->store.get(key);
        if (!present) {
            co_return refusal(ResultCode::ClaimStoreUnavailable);
        }
        expected = present.value().version;
        if (expected == 0) {
            continue;
        }
        std::optional<ClaimDecision> decision = judge(present.value().value, action);
        if (decision) {
            co_return *decision;
        }
    }
    co_return refusal(ResultCode::ClaimStoreUnavailable);
}

asio::awaitable<void> ClaimClient::record(RecordClaim action)
{
    const std::string key = storeKey(action.organisation, action.key);
    for (int attempt = 0; attempt < maximumTries; ++attempt) {
        const Result<StoredValue> present = co_await this->store.get(key);
        if (!present) {
            continue;
        }
        json::error_code error;
        json::value value = json::parse(present.value().value, error);
        if (error || !value.is_object()
            || textOf(value.get_object(), "owner") != toString(action.id)) {
            co_return;
        }
        describeEnd(value.get_object(), action);
        const Result<std::uint64_t> written
            = co_await this->store.swap(key, json::serialize(value), present.value().version);
        if (written) {
            co_return;
        }
    }
    LOG4CPLUS_WARN(
        logger("entry.claim"), "The end of request " << toString(action.id) << " is not recorded.");
}

} // namespace wigeonsill
