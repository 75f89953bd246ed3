/// \file claimshard.h
/// The claims of one shard, as they stand in one value of the store.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

/// How far the request of a claim has come.
enum class ClaimState : std::uint8_t {
    Running, ///< Claimed; it may have been handed over.
    Completed, ///< Ended whole.
    Unknown, ///< Ended otherwise; it may have run.
};

/// One idempotency key.
struct StoredClaim
{
    std::string owner; ///< Text of the request's id.
    std::uint64_t digest = 0; ///< Of the request's path and body.
    ClaimState state = ClaimState::Running;
    std::chrono::seconds claimedAt{}; ///< Wall clock of the claiming entry.
    bool hasAnswer = false; ///< The answer below is held.
    int status = 0;
    Headers headers;
    std::string body;
};

/// Claims by organisation and key. Not thread-safe.
class ClaimShard
{
public:
    /// Errors: MessageMalformed.
    static Result<ClaimShard> parse(std::string_view text);
    std::string serialize() const;

    /// Claims a key, or tells what is known of it. Claiming again for the same owner is harmless.
    /// \param added Set when the shard changed.
    ClaimDecision claim(const ClaimKey &action, std::chrono::seconds wallClock,
        std::chrono::seconds runningLimit, bool &added);
    /// Records an end. Without effect when the key is not the request's. Returns whether it
    /// changed.
    bool record(const RecordClaim &action);
    /// Drops claims older than the retention, then answers, oldest first, until the size fits.
    void prune(std::chrono::seconds wallClock, const ClaimLimits &limits);
    /// Bytes of the value, estimated from above.
    std::size_t estimatedSize() const;
    bool contains(const std::string &organisation, const std::string &key) const;

private:
    std::map<std::string, StoredClaim> claims;
};

} // namespace wigeonsill
