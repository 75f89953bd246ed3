/// \file claimclient.h
/// Performs the store operations of the claim registry.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/platform.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

/// Claims idempotency keys in the store. Not thread-safe; everything runs on one io_context.
class ClaimClient
{
public:
    using DecisionHandler = std::function<void(const RequestId &id, const ClaimDecision &decision)>;

    /// \param onDecision Called once for each claim, never from within claim().
    /// \pre claimStore outlives this object.
    ClaimClient(boost::asio::io_context &context, Store &claimStore, DecisionHandler onDecision);

    /// Starts the loop that batches claims and records into store operations. \pre called once.
    void start();
    /// Starts to claim a key; the decision handler receives the result.
    void claim(ClaimKey action);
    /// Records in the store how a request with a claimed key ended.
    void record(RecordClaim action);
    /// Number of claims without a decision plus ends that are not recorded yet.
    std::size_t inProgress() const { return this->registry.inProgress(); }

private:
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> readShard(ReadShard action);
    boost::asio::awaitable<void> writeShard(WriteShard action);
    void performActions();
    void perform(ReadShard &action);
    void perform(WriteShard &action);
    void perform(ClaimDecided &action);

    boost::asio::io_context &io;
    Store &store;
    DecisionHandler decisionHandler;
    ClaimRegistry registry;
    boost::asio::steady_timer tickTimer;
};

} // namespace wigeonsill
