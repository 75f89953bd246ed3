/// \file httpsession.cpp
/// The life of a connection: reading requests within their limits, and noticing callers that go.
#include "httpsession.h"

namespace wigeonsill {

namespace {

constexpr std::size_t firstReadSize = 1'024;
constexpr std::size_t headReadSize = 4'096;
constexpr std::size_t pipelinedLimit = 16'384; ///< Bytes read ahead while an answer is going out.
constexpr std::size_t discardPiece = 16'384;
constexpr std::size_t discardLimit = 16'777'216;
constexpr Duration discardTime = seconds(2);
constexpr Duration drainingIdle = seconds(2);

ResultCode codeOfParseError(const error_code &error)
{
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    return ResultCode::MalformedRequest;
}

HttpRequest requestOf(http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

asio::awaitable<void> HttpSession::run()
{
    const auto self = this->shared_from_this();
    do {
        std::optional<HttpRequest> request = co_await this->readRequest();
        if (!request) {
            break;
        }
        this->answered = false;
        this->watchCaller();
        co_await this->handler(*request, *this);
        this->onCallerGone = nullptr;
        ++this->answerNumber;
        if (!this->answered && !this->broken) {
            co_await this->respond(problemResponse(ResultCode::UnknownService));
        }
        if (!this->broken) {
            this->stream.socket().cancel();
        }
    } while (this->keepAlive && !this->broken && !this->draining);
    co_await this->end();
}

asio::awaitable<void> HttpSession::end()
{
    if (this->broken) {
        co_return;
    }
    error_code ignored;
    if (this->stream.socket().available(ignored) > 0) {
        co_await this->discardInput();
    }
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->closeSocket();
}

void HttpSession::limitReading(Duration limit)
{
    // The stream's own time limit would close the socket, and nothing could be answered then.
    this->timedOut = false;
    const std::uint64_t number = ++this->readNumber;
    this->readTimer.expires_after(limit);
    this->readTimer.async_wait([self = this->shared_from_this(), number](const error_code &error) {
        if (!error && number == self->readNumber && !self->broken) {
            self->timedOut = true;
            self->stream.socket().cancel();
        }
    });
}

void HttpSession::endReadLimit()
{
    ++this->readNumber;
    this->readTimer.cancel();
}

asio::awaitable<bool> HttpSession::readFirstBytes()
{
    this->idle = true;
    if (this->buffer.size() == 0) {
        // An idle connection holds no more memory than this.
        this->buffer.shrink_to_fit();
        this->limitReading(this->draining ? drainingIdle : this->limits.idle);
        auto [error, size]
            = co_await this->stream.async_read_some(this->buffer.prepare(firstReadSize), useTuple);
        this->endReadLimit();
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
        const bool whole = end != std::string_view::npos;
        if (isAmbiguousHead(whole ? raw.substr(0, end + headEnd.size()) : raw)) {
            co_return http::make_error_code(http::error::bad_field);
        }
        if (whole || raw.size() > this->limits.headerBytes) {
            co_return error_code(); // The parser refuses a head that is too large.
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
    const bool begun = co_await this->readFirstBytes();
    if (!begun) {
        co_return std::nullopt;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->limits.headerBytes);
    parser.body_limit(this->limits.bodyBytes);
    this->headOnly = false;
    this->limitReading(this->limits.headerTimeout);
    // Beast joins folded lines, so the raw bytes are looked at before it parses them.
    error_code headError = co_await this->readRawHead();
    if (!headError) {
        std::tie(headError, std::ignore)
            = co_await http::async_read_header(this->stream, this->buffer, parser, useTuple);
    }
    this->endReadLimit();
    if (headError) {
        co_await this->refuse(headError);
        co_return std::nullopt;
    }
    this->version = parser.get().version();
    this->keepAlive = parser.get().keep_alive() && this->version >= http11;
    this->headOnly = parser.get().method() == http::verb::head;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await this->writeText("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->limitReading(this->limits.bodyTime);
    auto [bodyError, bodySize]
        = co_await http::async_read(this->stream, this->buffer, parser, useTuple);
    this->endReadLimit();
    if (bodyError) {
        co_await this->refuse(bodyError);
        co_return std::nullopt;
    }
    co_return requestOf(parser.get());
}

asio::awaitable<void> HttpSession::refuse(error_code error)
{
    this->keepAlive = false;
    this->answered = false;
    const ResultCode code = this->timedOut ? ResultCode::RequestTimeout : codeOfParseError(error);
    const std::string detail = this->timedOut ? std::string() : error.message();
    co_await this->respond(problemResponse(code, detail));
    if (!this->broken) {
        co_await this->discardInput();
    }
}

asio::awaitable<void> HttpSession::discardInput()
{
    // Closing with unread input would reset the connection and could destroy the answer on its way.
    error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(discardTime);
    std::vector<char> piece(discardPiece);
    std::size_t total = 0;
    while (total < discardLimit) {
        auto [error, size] = co_await this->stream.async_read_some(asio::buffer(piece), useTuple);
        if (error) {
            break;
        }
        total += size;
    }
    this->stream.expires_never();
}

void HttpSession::watchCaller()
{
    this->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this(), number = this->answerNumber](const error_code &error) {
            if (error || self->broken || number != self->answerNumber) {
                return;
            }
            error_code failure;
            const std::size_t available = self->stream.socket().available(failure);
            if (failure || available == 0) {
                self->callerIsGone();
            } else if (self->readAhead(available)) {
                self->watchCaller();
            }
        });
}

bool HttpSession::readAhead(std::size_t available)
{
    // The end of the connection shows only behind the bytes of a pipelined request.
    const std::size_t room = pipelinedLimit - std::min(this->buffer.size(), pipelinedLimit);
    const std::size_t wanted = std::min(available, room);
    if (wanted == 0) {
        return false;
    }
    error_code error;
    const std::size_t size = this->stream.socket().read_some(this->buffer.prepare(wanted), error);
    this->buffer.commit(size);
    return !error;
}

void HttpSession::callerIsGone()
{
    if (this->broken) {
        return;
    }
    this->broken = true;
    this->closeSocket();
    if (const auto notify = std::exchange(this->onCallerGone, nullptr)) {
        notify();
    }
}

void HttpSession::abort()
{
    this->broken = true;
    this->onCallerGone = nullptr;
    if (this->closeDelimited) {
        // Only a reset tells such a caller that the answer is not whole.
        error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->closeSocket();
}

void HttpSession::closeSocket()
{
    this->endReadLimit();
    this->stream.close();
}

void HttpSession::drain()
{
    this->draining = true;
    error_code error;
    const bool quiet = this->idle && this->stream.socket().available(error) == 0;
    if (quiet || error) {
        this->abort();
    }
}

} // namespace wigeonsill
