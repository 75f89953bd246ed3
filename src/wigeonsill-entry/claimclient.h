/// \file claimclient.h
/// Claims idempotency keys in the store.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// One store key for each idempotency key, created by compare-and-swap. Not thread-safe.
class ClaimClient
{
public:
    explicit ClaimClient(Store &claimStore)
        : store(claimStore)
    {
    }

    /// Claims the key for this request, or tells what is known of the earlier one.
    boost::asio::awaitable<ClaimDecision> claim(ClaimKey action);
    /// Records how a claimed request ended. Tries a few times.
    boost::asio::awaitable<void> record(RecordClaim action);

private:
    Store &store;
};

} // namespace wigeonsill
