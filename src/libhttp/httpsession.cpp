/// \file httpsession.cpp
/// Reading of requests within their limits, detection of disconnected callers, and closing.
#include "httpsession.h"

namespace wigeonsill {

namespace {

constexpr std::size_t firstReadSize = 1'024;
constexpr std::size_t headReadSize = 4'096;
/// Pipelined input that is kept while a response is pending.
constexpr std::size_t readAheadLimitBytes = 16'384;
constexpr std::size_t discardBufferSize = 16'384;
constexpr std::size_t discardLimitBytes = 16'777'216;
constexpr Duration discardTimeout = seconds(2);
constexpr Duration drainingIdleTimeout = seconds(2);

ResultCode parseErrorResult(const error_code &error)
{
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    return ResultCode::MalformedRequest;
}

HttpFields toHttpFields(const http::fields &fields)
{
    HttpFields result;
    for (const auto &field : fields) {
        result.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    return result;
}

HttpRequest toHttpRequest(http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = toHttpFields(message);
    request.body = std::move(message.body());
    return request;
}

} // namespace

HttpSession::~HttpSession()
{
    // The socket's destructor would end the connection without a reset.
    if (this->closeDelimited) {
        this->closeSocket();
    }
}

asio::awaitable<void> HttpSession::run()
{
    const auto self = this->shared_from_this();
    do {
        std::optional<HttpRequest> request = co_await this->readRequest();
        if (!request) {
            break;
        }
        this->responseStarted = false;
        this->watchForDisconnect();
        co_await this->handler(*request, *this);
        this->disconnectHandler = nullptr;
        ++this->responseNumber;
        if (!this->responseStarted && !this->closed) {
            co_await this->respond(problemResponse(ResultCode::UnknownService));
        }
        if (!this->closed) {
            this->stream.socket().cancel();
        }
    } while (this->keepAlive && !this->closed && !this->draining);
    co_await this->closeGracefully();
}

asio::awaitable<void> HttpSession::closeGracefully()
{
    if (this->closed) {
        co_return;
    }
    if (this->closeDelimited) {
        this->abort();
        co_return;
    }
    error_code ignored;
    if (this->stream.socket().available(ignored) > 0) {
        co_await this->discardInput();
    }
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->closeSocket();
}

void HttpSession::startReadTimeout(Duration timeout)
{
    // The stream's own timeout would close the socket, so that no error response could be sent.
    this->timedOut = false;
    const std::uint64_t number = ++this->readTimeoutNumber;
    this->readTimer.expires_after(timeout);
    this->readTimer.async_wait([self = this->shared_from_this(), number](const error_code &error) {
        if (!error && number == self->readTimeoutNumber && !self->closed) {
            self->timedOut = true;
            self->stream.socket().cancel();
        }
    });
}

void HttpSession::stopReadTimeout()
{
    ++this->readTimeoutNumber;
    this->readTimer.cancel();
}

asio::awaitable<bool> HttpSession::readFirstBytes()
{
    this->idle = true;
    if (this->buffer.size() == 0) {
        // Releases the buffer, so that an idle connection occupies only firstReadSize bytes of it.
        this->buffer.shrink_to_fit();
        this->startReadTimeout(
            this->draining ? drainingIdleTimeout : this->limits.keepAliveTimeout);
        auto [error, size]
            = co_await this->stream.async_read_some(this->buffer.prepare(firstReadSize), useTuple);
        this->stopReadTimeout();
        if (error) {
            co_return false;
        }
        this->buffer.commit(size);
    }
    this->idle = false;
    co_return true;
}

asio::awaitable<error_code> HttpSession::readRawHead()
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    while (true) {
        const std::string_view raw(
            static_cast<const char *>(this->buffer.data().data()), this->buffer.size());
        const std::size_t end = raw.find(headEnd);
        const bool complete = end != std::string_view::npos;
        if (isAmbiguousHead(complete ? raw.substr(0, end + headEnd.size()) : raw)) {
            co_return http::make_error_code(http::error::bad_field);
        }
        if (complete || raw.size() > this->limits.headerBytes) {
            co_return error_code(); // The parser rejects an oversized head.
        }
        auto [error, size]
            = co_await this->stream.async_read_some(this->buffer.prepare(headReadSize), useTuple);
        if (error) {
            co_return error;
        }
        this->buffer.commit(size);
    }
}

asio::awaitable<std::optional<HttpRequest>> HttpSession::readRequest()
{
    const bool hasBytes = co_await this->readFirstBytes();
    if (!hasBytes) {
        co_return std::nullopt;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->limits.headerBytes);
    parser.body_limit(this->limits.bodyBytes);
    this->isHeadRequest = false;
    this->startReadTimeout(this->limits.headerTimeout);
    // Beast joins folded lines, so the raw bytes are checked before they are parsed.
    error_code headError = co_await this->readRawHead();
    if (!headError) {
        std::tie(headError, std::ignore)
            = co_await http::async_read_header(this->stream, this->buffer, parser, useTuple);
    }
    this->stopReadTimeout();
    if (!headError
        && !hasKnownCoding(toHttpFields(parser.get()), static_cast<int>(parser.get().version()))) {
        headError = http::make_error_code(http::error::bad_transfer_encoding);
    }
    if (headError) {
        co_await this->rejectRequest(headError);
        co_return std::nullopt;
    }
    this->version = parser.get().version();
    this->keepAlive = parser.get().keep_alive() && this->version >= http11;
    this->isHeadRequest = parser.get().method() == http::verb::head;
    if (this->version >= http11
        && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await this->writeText("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->startReadTimeout(this->limits.bodyTimeout);
    auto [bodyError, bodySize]
        = co_await http::async_read(this->stream, this->buffer, parser, useTuple);
    this->stopReadTimeout();
    if (bodyError) {
        co_await this->rejectRequest(bodyError);
        co_return std::nullopt;
    }
    co_return toHttpRequest(parser.get());
}

asio::awaitable<void> HttpSession::rejectRequest(error_code error)
{
    this->keepAlive = false;
    this->responseStarted = false;
    const ResultCode code = this->timedOut ? ResultCode::RequestTimeout : parseErrorResult(error);
    const std::string detail = this->timedOut ? std::string() : error.message();
    co_await this->respond(problemResponse(code, detail));
    if (!this->closed) {
        co_await this->discardInput();
    }
}

asio::awaitable<void> HttpSession::discardInput()
{
    // Closing a socket with unread input resets the connection, and the caller could lose the
    // response.
    error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(discardTimeout);
    std::vector<char> discardBuffer(discardBufferSize);
    std::size_t total = 0;
    while (total < discardLimitBytes) {
        auto [error, size]
            = co_await this->stream.async_read_some(asio::buffer(discardBuffer), useTuple);
        if (error) {
            break;
        }
        total += size;
    }
    this->stream.expires_never();
}

void HttpSession::watchForDisconnect()
{
    this->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this(), number = this->responseNumber](const error_code &error) {
            if (error || self->closed || number != self->responseNumber) {
                return;
            }
            error_code failure;
            const std::size_t available = self->stream.socket().available(failure);
            if (failure || available == 0) {
                self->handleDisconnect();
            } else if (self->readAhead(available)) {
                self->watchForDisconnect();
            }
        });
}

bool HttpSession::readAhead(std::size_t available)
{
    // The end of the connection is detected only after the bytes of a pipelined request were read.
    const std::size_t room
        = readAheadLimitBytes - std::min(this->buffer.size(), readAheadLimitBytes);
    const std::size_t readSize = std::min(available, room);
    if (readSize == 0) {
        return false;
    }
    error_code error;
    const std::size_t size = this->stream.socket().read_some(this->buffer.prepare(readSize), error);
    this->buffer.commit(size);
    return !error;
}

void HttpSession::handleDisconnect()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->closeSocket();
    if (const auto notify = std::exchange(this->disconnectHandler, nullptr)) {
        notify();
    }
}

void HttpSession::abort()
{
    this->closed = true;
    this->disconnectHandler = nullptr;
    this->closeSocket();
}

void HttpSession::setCloseDelimited(bool enabled)
{
    this->closeDelimited = enabled;
    error_code ignored; // The connection has ended already.
    this->stream.socket().set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void HttpSession::closeSocket()
{
    this->stopReadTimeout();
    this->stream.close();
}

void HttpSession::drain()
{
    this->draining = true;
    error_code error;
    const bool isIdle = this->idle && this->stream.socket().available(error) == 0;
    if (isIdle || error) {
        this->abort();
    }
}

} // namespace wigeonsill
