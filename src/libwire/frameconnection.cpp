/// \file frameconnection.cpp
/// Length-prefixed frames over TCP.
#include "wigeonsill/wire.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
using boost::system::error_code;

std::shared_ptr<FrameConnection> FrameConnection::create(asio::ip::tcp::socket socket)
{
    return std::shared_ptr<FrameConnection>(new FrameConnection(std::move(socket)));
}

FrameConnection::FrameConnection(asio::ip::tcp::socket connected)
    : socket(std::move(connected))
{
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void FrameConnection::start(Handlers connectionHandlers)
{
    this->handlers = std::move(connectionHandlers);
    this->readHeader();
}

void FrameConnection::send(std::string message)
{
    if (this->closed) {
        return;
    }
    std::string prefix(this->header.size(), '\0');
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(prefix.data()),
        static_cast<std::uint32_t>(message.size()));
    this->queuedSize += prefix.size() + message.size();
    this->outgoingBuffers.push_back(std::move(prefix));
    this->outgoingBuffers.push_back(std::move(message));
    if (this->buffersBeingWritten.empty()) {
        this->writeNext();
    }
}

void FrameConnection::writeNext()
{
    this->buffersBeingWritten.assign(std::make_move_iterator(this->outgoingBuffers.begin()),
        std::make_move_iterator(this->outgoingBuffers.end()));
    this->outgoingBuffers.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(this->buffersBeingWritten.size());
    for (const std::string &part : this->buffersBeingWritten) {
        buffers.push_back(asio::buffer(part));
    }
    asio::async_write(this->socket, buffers,
        [self = this->shared_from_this()](const error_code &error, std::size_t size) {
            self->queuedSize -= std::min(size, self->queuedSize);
            self->sentSize += size;
            self->buffersBeingWritten.clear();
            if (error) {
                self->fail({ ResultCode::ConnectionClosed, error.message() });
            } else if (!self->outgoingBuffers.empty() && !self->closed) {
                self->writeNext();
            }
        });
}

void FrameConnection::readHeader()
{
    asio::async_read(this->socket, asio::buffer(this->header),
        [self = this->shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->fail({ ResultCode::ConnectionClosed, error.message() });
            } else {
                self->readBody();
            }
        });
}

void FrameConnection::readBody()
{
    const std::uint32_t size = boost::endian::load_little_u32(this->header.data());
    if (size > maximumFrameBytes) {
        this->fail({ ResultCode::MessageTooLarge, std::to_string(size) + " bytes" });
        return;
    }
    this->body.resize(size);
    asio::async_read(this->socket, asio::buffer(this->body),
        [self = this->shared_from_this()](const error_code &error, std::size_t count) {
            if (error) {
                self->fail({ ResultCode::ConnectionClosed, error.message() });
                return;
            }
            if (self->closed) {
                return;
            }
            self->receivedSize += self->header.size() + count;
            self->handlers.onFrame(self->body);
            if (!self->closed) {
                self->readHeader();
            }
        });
}

void FrameConnection::fail(const Error &error)
{
    if (this->closed) {
        return;
    }
    const Handlers releasedHandlers = std::exchange(this->handlers, {});
    this->close();
    if (releasedHandlers.onClosed) {
        releasedHandlers.onClosed(error);
    }
}

void FrameConnection::close()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    error_code ignored;
    this->socket.close(ignored);
    // The handlers may hold the last reference to the owner, so they are released after this call.
    asio::post(
        this->socket.get_executor(), [self = this->shared_from_this()] { self->handlers = {}; });
}

} // namespace wigeonsill
