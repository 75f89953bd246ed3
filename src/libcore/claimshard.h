/// \file claimshard.h
/// The claims of one shard, stored as one value in the store.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// State of the request that claimed a key.
enum class ClaimState : std::uint8_t {
    Running, ///< Claimed; it may have been sent to an agent.
    Completed, ///< Ended with a complete answer.
    Unknown, ///< Ended without a complete answer; it may have run.
};

/// The claim on one idempotency key.
struct StoredClaim
{
    std::string owner; ///< Text of the request's id.
    std::uint64_t digest = 0; ///< Of the request's path and body.
    ClaimState state = ClaimState::Running;
    std::chrono::seconds claimedAt{}; ///< Unix time by the clock of the claiming entry.
    bool hasAnswer = false; ///< The fields below hold the recorded answer.
    int status = 0;
    Headers headers;
    std::string body;
};

/// Claims by organisation and idempotency key. Not thread-safe.
class ClaimShard
{
public:
    /// Parses the stored value; an empty text is an empty shard. Errors: MessageMalformed.
    static Result<ClaimShard> parse(std::string_view text);
    std::string serialize() const;

    /// Claims a key, or returns the decision of the existing claim. Claiming a key again for the
    /// same request changes nothing.
    /// \param wallClock Unix time.
    /// \param runningClaimTimeout Age from which the outcome of a running claim counts as unknown.
    /// \param added Set to whether the claim was added.
    ClaimDecision claim(const ClaimKey &action, std::chrono::seconds wallClock,
        std::chrono::seconds runningClaimTimeout, bool &added);
    /// Records how a request ended. Without effect when another request owns the key. Returns
    /// whether the shard changed.
    bool record(const RecordClaim &action);
    /// Drops claims older than the retention, then recorded answers, oldest first, until the shard
    /// fits its size limit. The claims of dropped answers stay.
    void prune(std::chrono::seconds wallClock, const ClaimLimits &limits);
    /// Upper bound of the stored value's size in bytes.
    std::size_t estimatedSize() const;
    bool contains(const std::string &organisation, const std::string &key) const;

private:
    std::map<std::string, StoredClaim> claims;
};

} // namespace wigeonsill
