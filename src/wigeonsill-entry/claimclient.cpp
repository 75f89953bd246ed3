/// \file claimclient.cpp
/// Carries the claim book's calls to the store.
#include "claimclient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration busyInterval = milliseconds(5);
constexpr Duration idleInterval = seconds(60);

std::chrono::seconds wallClock()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

ClaimClient::ClaimClient(asio::io_context &context, Store &claimStore, Decided onDecided)
    : io(context)
    , store(claimStore)
    , decided(std::move(onDecided))
    , book(ClaimLimits())
    , wake(context)
{
}

void ClaimClient::start()
{
    spawn(this->io, this->tickLoop());
}

void ClaimClient::claim(ClaimKey action)
{
    this->book.claim(currentTime(), std::move(action));
    this->wake.cancel();
}

void ClaimClient::record(RecordClaim action)
{
    this->book.record(currentTime(), std::move(action));
    this->wake.cancel();
}

asio::awaitable<void> ClaimClient::tickLoop()
{
    for (;;) {
        this->wake.expires_after(this->book.inProgress() > 0 ? busyInterval : idleInterval);
        boost::system::error_code ignored;
        co_await this->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->book.tick(currentTime(), wallClock());
        this->pump();
    }
}

asio::awaitable<void> ClaimClient::read(ReadShard action)
{
    const Result<StoredValue> stored = co_await this->store.get(action.key);
    if (stored) {
        ShardValue value{ stored.value().value, stored.value().version };
        this->book.readDone(currentTime(), action.key, value);
    } else {
        LOG4CPLUS_WARN(logger("entry.claim"),
            "Shard " << action.key << " cannot be read: " << stored.error().detail << ".");
        this->book.readDone(currentTime(), action.key, stored.error());
    }
    this->pump();
}

asio::awaitable<void> ClaimClient::write(WriteShard action)
{
    const Result<std::uint64_t> version
        = co_await this->store.swap(action.key, std::move(action.value), action.expectedVersion);
    this->book.writeDone(currentTime(), action.key, version);
    this->pump();
}

void ClaimClient::pump()
{
    for (ClaimBookAction &action : this->book.takeActions()) {
        std::visit([this](auto &typed) { this->perform(typed); }, action);
    }
}

void ClaimClient::perform(ReadShard &action)
{
    spawn(this->io, this->read(std::move(action)));
}

void ClaimClient::perform(WriteShard &action)
{
    spawn(this->io, this->write(std::move(action)));
}

void ClaimClient::perform(ClaimDecided &action)
{
    this->decided(action.id, action.decision);
}

} // namespace wigeonsill
