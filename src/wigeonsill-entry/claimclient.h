/// \file claimclient.h
/// Carries the claim book's calls to the store.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/platform.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

/// Claims idempotency keys in the store. Not thread-safe; all runs on one io_context.
class ClaimClient
{
public:
    using Decided = std::function<void(const RequestId &id, const ClaimDecision &decision)>;

    /// \param decided Called once for each claim, never inside claim().
    ClaimClient(boost::asio::io_context &context, Store &claimStore, Decided onDecided);

    /// Starts the loop that gathers claims. \pre called once.
    void start();
    void claim(ClaimKey action);
    void record(RecordClaim action);
    /// Claims without a decision and ends not yet recorded.
    std::size_t inProgress() const { return this->book.inProgress(); }

private:
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> read(ReadShard action);
    boost::asio::awaitable<void> write(WriteShard action);
    void pump();
    void perform(ReadShard &action);
    void perform(WriteShard &action);
    void perform(ClaimDecided &action);

    boost::asio::io_context &io;
    Store &store;
    Decided decided;
    ClaimBook book;
    boost::asio::steady_timer wake;
};

} // namespace wigeonsill
