/// \file asiostream.cpp
/// kj::AsyncIoStream over an Asio socket.
#include "asioeventport.h"

#include <boost/asio/write.hpp>

#include <cstring>
#include <kj/debug.h>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

using Socket = asio::ip::tcp::socket;
constexpr std::size_t readSize = 16'384;

/// A read in progress. It reads into its own buffer, because the caller may free the destination
/// after dropping the promise.
struct ReadOperation
{
    std::shared_ptr<Socket> socket;
    kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
    unsigned char *destination = nullptr;
    std::size_t minimum = 0;
    std::size_t maximum = 0;
    std::size_t received = 0;
    std::array<unsigned char, readSize> buffer{};
};

void readMore(const std::shared_ptr<ReadOperation> &operation)
{
    const std::size_t readLimit = std::min(operation->maximum - operation->received, readSize);
    operation->socket->async_read_some(asio::buffer(operation->buffer.data(), readLimit),
        [operation](const boost::system::error_code &error, std::size_t size) {
            if (!operation->fulfiller->isWaiting()) {
                return;
            }
            std::memcpy(
                operation->destination + operation->received, operation->buffer.data(), size);
            operation->received += size;
            // An error is reported as the end of the stream; the RPC system then fails the pending
            // calls.
            if (error || operation->received >= operation->minimum) {
                operation->fulfiller->fulfill(std::size_t(operation->received));
            } else {
                readMore(operation);
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
        const auto operation = std::make_shared<ReadOperation>();
        operation->socket = this->socket;
        operation->fulfiller = kj::mv(pair.fulfiller);
        operation->destination = static_cast<unsigned char *>(buffer);
        operation->minimum = minimum;
        operation->maximum = maximum;
        readMore(operation);
        return kj::mv(pair.promise);
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        return this->writeBytes(std::string(static_cast<const char *>(buffer), size));
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> buffers) override
    {
        std::string bytes;
        for (const auto &part : buffers) {
            bytes.append(reinterpret_cast<const char *>(part.begin()), part.size());
        }
        return this->writeBytes(std::move(bytes));
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

    kj::Promise<void> writeBytes(std::string bytes)
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        const auto sharedBytes = std::make_shared<std::string>(std::move(bytes));
        const auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        asio::async_write(*this->socket, asio::buffer(*sharedBytes),
            [sharedBytes, fulfiller, keptSocket = this->socket](
                const boost::system::error_code &error, std::size_t) {
                if (error) {
                    (*fulfiller)->reject(KJ_EXCEPTION(DISCONNECTED, "writing to the peer failed"));
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
