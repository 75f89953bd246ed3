/// \file claimclient.cpp
/// Performs the store operations of the claim registry.
#include "claimclient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration activeTickInterval = milliseconds(5);
constexpr Duration idleTickInterval = seconds(60);

std::chrono::seconds unixTime()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

ClaimClient::ClaimClient(asio::io_context &context, Store &claimStore, DecisionHandler onDecision)
    : io(context)
    , store(claimStore)
    , decisionHandler(std::move(onDecision))
    , registry(ClaimLimits())
    , tickTimer(context)
{
}

void ClaimClient::start()
{
    spawn(this->io, this->tickLoop());
}

void ClaimClient::claim(ClaimKey action)
{
    this->registry.claim(currentTime(), std::move(action));
    this->tickTimer.cancel();
}

void ClaimClient::record(RecordClaim action)
{
    this->registry.record(currentTime(), std::move(action));
    this->tickTimer.cancel();
}

asio::awaitable<void> ClaimClient::tickLoop()
{
    for (;;) {
        this->tickTimer.expires_after(
            this->registry.inProgress() > 0 ? activeTickInterval : idleTickInterval);
        boost::system::error_code ignored;
        co_await this->tickTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->registry.tick(currentTime(), unixTime());
        this->performActions();
    }
}

asio::awaitable<void> ClaimClient::readShard(ReadShard action)
{
    const Result<StoredValue> stored = co_await this->store.get(action.key);
    if (stored) {
        ShardValue value{ stored.value().value, stored.value().version };
        this->registry.readDone(currentTime(), action.key, value);
    } else {
        LOG4CPLUS_WARN(logger("entry.claim"),
            "Failed to read claim shard " << action.key
                                          << " from the store: " << stored.error().detail << ".");
        this->registry.readDone(currentTime(), action.key, stored.error());
    }
    this->performActions();
}

asio::awaitable<void> ClaimClient::writeShard(WriteShard action)
{
    const Result<std::uint64_t> version = co_await this->store.compareAndSwap(
        action.key, std::move(action.value), action.expectedVersion);
    this->registry.writeDone(currentTime(), action.key, version);
    this->performActions();
}

void ClaimClient::performActions()
{
    for (ClaimRegistryAction &action : this->registry.takeActions()) {
        std::visit([this](auto &typedAction) { this->perform(typedAction); }, action);
    }
}

void ClaimClient::perform(ReadShard &action)
{
    spawn(this->io, this->readShard(std::move(action)));
}

void ClaimClient::perform(WriteShard &action)
{
    spawn(this->io, this->writeShard(std::move(action)));
}

void ClaimClient::perform(ClaimDecided &action)
{
    this->decisionHandler(action.id, action.decision);
}

} // namespace wigeonsill
