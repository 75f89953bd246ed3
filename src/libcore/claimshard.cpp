/// \file claimshard.cpp
/// The claims of one shard, stored as one value in the store.
#include "claimshard.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::size_t claimOverheadBytes = 160; ///< Of names, numbers and punctuation.
constexpr std::array claimStateNames = {
    EnumName<ClaimState>{ ClaimState::Running, "running" },
    EnumName<ClaimState>{ ClaimState::Completed, "completed" },
    EnumName<ClaimState>{ ClaimState::Unknown, "unknown" },
};

std::string claimMapKey(const std::string &organisation, const std::string &key)
{
    return organisation + "/" + key;
}

ClaimDecision refusal(ResultCode code)
{
    ClaimDecision decision;
    decision.result = code;
    return decision;
}

json::object toJson(const StoredClaim &claim)
{
    json::object object;
    object["owner"] = claim.owner;
    object["digest"] = std::to_string(claim.digest);
    object["state"] = enumName(claimStateNames, claim.state);
    object["claimedAt"] = claim.claimedAt.count();
    if (!claim.hasAnswer) {
        return object;
    }
    object["status"] = claim.status;
    object["body"] = claim.body;
    json::array headers;
    for (const Header &header : claim.headers) {
        headers.push_back(json::array{ header.name, header.value });
    }
    object["headers"] = std::move(headers);
    return object;
}

/// Throws the exceptions of Boost.JSON and std::stoull for a missing or malformed member.
StoredClaim fromJson(const json::object &object)
{
    StoredClaim claim;
    claim.owner = json::value_to<std::string>(object.at("owner"));
    claim.digest = std::stoull(json::value_to<std::string>(object.at("digest")));
    const auto state = json::value_to<std::string>(object.at("state"));
    claim.state = enumFromName(claimStateNames, state).value_or(ClaimState::Unknown);
    claim.claimedAt = std::chrono::seconds(object.at("claimedAt").to_number<std::int64_t>());
    if (!object.contains("body")) {
        return claim;
    }
    claim.hasAnswer = true;
    claim.status = object.at("status").to_number<int>();
    claim.body = json::value_to<std::string>(object.at("body"));
    for (const json::value &row : object.at("headers").as_array()) {
        claim.headers.push_back(
            { json::value_to<std::string>(row.at(0)), json::value_to<std::string>(row.at(1)) });
    }
    return claim;
}

std::size_t estimatedBytesOf(const StoredClaim &claim)
{
    // JSON escapes a byte of the body to at most six bytes.
    std::size_t size = claimOverheadBytes + claim.body.size() * 6;
    for (const Header &header : claim.headers) {
        size += header.name.size() + header.value.size() * 2;
    }
    return size;
}

} // namespace

Result<ClaimShard> ClaimShard::parse(std::string_view text)
{
    ClaimShard shard;
    if (text.empty()) {
        return shard;
    }
    try {
        const json::value value = json::parse(text);
        for (const auto &[name, claim] : value.at("claims").as_object()) {
            shard.claims.emplace(name, fromJson(claim.as_object()));
        }
    } catch (const std::exception &error) {
        return Error{ ResultCode::MessageMalformed, error.what() };
    }
    return shard;
}

std::string ClaimShard::serialize() const
{
    json::object all;
    for (const auto &[name, claim] : this->claims) {
        all[name] = toJson(claim);
    }
    json::object value;
    value["claims"] = std::move(all);
    return json::serialize(value);
}

ClaimDecision ClaimShard::claim(const ClaimKey &action, std::chrono::seconds wallClock,
    std::chrono::seconds runningClaimTimeout, bool &added)
{
    const std::string owner = toString(action.id);
    StoredClaim newClaim;
    newClaim.owner = owner;
    newClaim.digest = action.bodyDigest;
    newClaim.claimedAt = wallClock;
    const auto [found, inserted] = this->claims.try_emplace(
        claimMapKey(action.organisation, action.key), std::move(newClaim));
    const StoredClaim &claim = found->second;
    added = inserted;
    if (claim.owner == owner) {
        return {};
    }
    if (claim.digest != action.bodyDigest) {
        return refusal(ResultCode::IdempotencyKeyReused);
    }
    if (claim.state == ClaimState::Running && wallClock - claim.claimedAt < runningClaimTimeout) {
        return refusal(ResultCode::FirstAttemptRunning);
    }
    if (claim.state != ClaimState::Completed || !claim.hasAnswer) {
        return refusal(ResultCode::EarlierAttemptUnknown);
    }
    return { ResultCode::Ok, true, claim.status, claim.headers, claim.body };
}

bool ClaimShard::record(const RecordClaim &action)
{
    const auto found = this->claims.find(claimMapKey(action.organisation, action.key));
    if (found == this->claims.end() || found->second.owner != toString(action.id)) {
        return false;
    }
    StoredClaim &claim = found->second;
    const Outcome outcome = resultInfo(action.result).outcome;
    if (outcome == Outcome::NotRun) {
        this->claims.erase(found);
        return true;
    }
    claim.state = outcome == Outcome::Completed ? ClaimState::Completed : ClaimState::Unknown;
    claim.hasAnswer = outcome == Outcome::Completed && !action.body.empty();
    if (claim.hasAnswer) {
        claim.status = action.status;
        claim.headers = action.headers;
        claim.body = action.body;
    }
    return true;
}

void ClaimShard::prune(std::chrono::seconds wallClock, const ClaimLimits &limits)
{
    std::erase_if(this->claims,
        [&](const auto &pair) { return wallClock - pair.second.claimedAt > limits.retention; });
    std::size_t size = this->estimatedSize();
    if (size <= limits.maximumShardBytes) {
        return;
    }
    std::vector<StoredClaim *> byAge;
    for (auto &[name, claim] : this->claims) {
        if (claim.hasAnswer) {
            byAge.push_back(&claim);
        }
    }
    std::ranges::sort(byAge, {}, &StoredClaim::claimedAt);
    for (StoredClaim *claim : byAge) {
        if (size <= limits.maximumShardBytes) {
            return;
        }
        size -= estimatedBytesOf(*claim);
        claim->hasAnswer = false;
        claim->headers.clear();
        claim->body.clear();
        size += estimatedBytesOf(*claim);
    }
}

std::size_t ClaimShard::estimatedSize() const
{
    std::size_t size = 0;
    for (const auto &[name, claim] : this->claims) {
        size += name.size() * 2 + estimatedBytesOf(claim);
    }
    return size;
}

bool ClaimShard::contains(const std::string &organisation, const std::string &key) const
{
    return this->claims.contains(claimMapKey(organisation, key));
}

} // namespace wigeonsill
