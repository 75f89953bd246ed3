/// \file asiostream.cpp
/// A kj byte stream over an Asio socket.
#include "asioeventport.h"

#include <boost/asio/write.hpp>

#include <cstring>
#include <kj/debug.h>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

using Socket = asio::ip::tcp::socket;
constexpr std::size_t readSize = 16'384;

/// One read in progress. The bytes land in a buffer of its own, because the caller's may be gone
/// once the promise was dropped.
struct Reading
{
    std::shared_ptr<Socket> socket;
    kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
    unsigned char *target = nullptr;
    std::size_t minimum = 0;
    std::size_t maximum = 0;
    std::size_t done = 0;
    std::array<unsigned char, readSize> buffer{};
};

void readMore(const std::shared_ptr<Reading> &reading)
{
    const std::size_t room = std::min(reading->maximum - reading->done, readSize);
    reading->socket->async_read_some(asio::buffer(reading->buffer.data(), room),
        [reading](const boost::system::error_code &error, std::size_t size) {
            if (!reading->fulfiller->isWaiting()) {
                return;
            }
            std::memcpy(reading->target + reading->done, reading->buffer.data(), size);
            reading->done += size;
            // A broken connection reads as its end; the RPC system then fails the open calls.
            if (error || reading->done >= reading->minimum) {
                reading->fulfiller->fulfill(std::size_t(reading->done));
            } else {
                readMore(reading);
            }
        });
}

class AsioStream final : public kj::AsyncIoStream
{
public:
    explicit AsioStream(Socket connected)
        : socket(std::make_shared<Socket>(std::move(connected)))
    {
        boost::system::error_code ignored;
        this->socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    AsioStream(const AsioStream &) = delete;
    AsioStream &operator=(const AsioStream &) = delete;
    ~AsioStream() noexcept(false) { this->close(); }

    kj::Promise<std::size_t> tryRead(
        void *buffer, std::size_t minimum, std::size_t maximum) override
    {
        auto pair = kj::newPromiseAndFulfiller<std::size_t>();
        const auto reading = std::make_shared<Reading>();
        reading->socket = this->socket;
        reading->fulfiller = kj::mv(pair.fulfiller);
        reading->target = static_cast<unsigned char *>(buffer);
        reading->minimum = minimum;
        reading->maximum = maximum;
        readMore(reading);
        return kj::mv(pair.promise);
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        return this->writeText(std::string(static_cast<const char *>(buffer), size));
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        std::string text;
        for (const auto &piece : pieces) {
            text.append(reinterpret_cast<const char *>(piece.begin()), piece.size());
        }
        return this->writeText(std::move(text));
    }

    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }

    void shutdownWrite() override
    {
        boost::system::error_code ignored;
        this->socket->shutdown(Socket::shutdown_send, ignored);
    }

    void abortRead() override
    {
        boost::system::error_code ignored;
        this->socket->shutdown(Socket::shutdown_receive, ignored);
    }

private:
    void close()
    {
        boost::system::error_code ignored;
        this->socket->close(ignored);
    }

    kj::Promise<void> writeText(std::string text)
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        const auto kept = std::make_shared<std::string>(std::move(text));
        const auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        asio::async_write(*this->socket, asio::buffer(*kept),
            [kept, fulfiller, held = this->socket](
                const boost::system::error_code &error, std::size_t) {
                if (error) {
                    (*fulfiller)->reject(KJ_EXCEPTION(DISCONNECTED, "the peer is gone"));
                } else {
                    (*fulfiller)->fulfill();
                }
            });
        return kj::mv(pair.promise);
    }

    std::shared_ptr<Socket> socket;
};

} // namespace

kj::Own<kj::AsyncIoStream> makeAsioStream(Socket socket)
{
    return kj::heap<AsioStream>(std::move(socket));
}

} // namespace wigeonsill
