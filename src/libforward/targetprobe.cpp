/// \file targetprobe.cpp
/// Connections that find out whether a target's process has ended.
#include "targetprobe.h"

#include <utility>

namespace wigeonsill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration connectTimeout = milliseconds(1'000);
/// How long a connected target may take to close its side before it counts as living. Within the
/// pauses that callers of streams allow.
constexpr Duration endTimeout = milliseconds(40);
/// Pause before the next connection to a target that has reset one.
constexpr Duration resetPause = milliseconds(10);
/// Resets after which a target counts as living: it resets connections beyond those that it takes.
constexpr int maximumResets = 4;

} // namespace

void TargetProbe::connect()
{
    this->startTimer(connectTimeout, &TargetProbe::finishLiving);
    this->socket.async_connect(
        this->endpoint, [self = this->shared_from_this()](const error_code &error) {
            if (self->handler) {
                self->onConnected(error);
            }
        });
}

void TargetProbe::onConnected(const error_code &error)
{
    if (error) {
        this->finish(error == asio::error::connection_refused);
        return;
    }
    error_code shutdownError;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, shutdownError);
    this->awaitEnd();
}

void TargetProbe::awaitEnd()
{
    this->startTimer(endTimeout, &TargetProbe::finishLiving);
    this->socket.async_read_some(asio::buffer(this->readBuffer),
        [self = this->shared_from_this()](const error_code &error, std::size_t /*bytes*/) {
            if (self->handler) {
                self->onEnd(error);
            }
        });
}

void TargetProbe::onEnd(const error_code &error)
{
    const bool wasReset = error == asio::error::connection_reset;
    // Otherwise it closes its side, or has something to say.
    if (!wasReset || ++this->resets == maximumResets) {
        this->finishLiving();
        return;
    }
    error_code ignored; // It has ended.
    this->socket.close(ignored);
    this->startTimer(resetPause, &TargetProbe::connect);
}

void TargetProbe::startTimer(Duration time, void (TargetProbe::*onTime)())
{
    this->timer.expires_after(time);
    this->timer.async_wait([self = this->shared_from_this(), onTime](const error_code &error) {
        if (!error && self->handler) {
            (self.get()->*onTime)();
        }
    });
}

void TargetProbe::finish(bool refused)
{
    this->timer.cancel();
    error_code ignored; // The connection may have failed already.
    this->socket.close(ignored);
    std::exchange(this->handler, nullptr)(refused);
}

} // namespace wigeonsill
