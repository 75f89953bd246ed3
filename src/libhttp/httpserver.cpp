/// \file httpserver.cpp
/// HTTP/1.1 server on Boost.Beast.
#include "wigeonsill/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <list>
#include <sstream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t firstReadSize = 1'024;
constexpr std::size_t pipelinedLimit = 16'384; ///< Bytes read ahead while an answer is going out.
constexpr std::size_t discardPiece = 16'384;
constexpr std::size_t discardLimit = 16'777'216;
constexpr Duration discardTime = seconds(2);
constexpr Duration drainingIdle = seconds(2);
constexpr Duration acceptRetryInterval = milliseconds(50);
constexpr unsigned http11 = 11;
constexpr int firstStatusWithBody = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

bool statusHasBody(int status)
{
    return status >= firstStatusWithBody && status != statusNoContent
        && status != statusNotModified;
}

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

template <class Message>
void setFields(Message &message, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        message.insert(field.name, field.value);
    }
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

std::string serializeHead(const http::response_header<> &head)
{
    std::ostringstream text;
    text << head;
    return text.str();
}

} // namespace

class HttpSession : public HttpResponder, public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, HttpHandler sessionHandler,
        const HttpServerLimits &sessionLimits)
        : stream(std::move(socket))
        , handler(std::move(sessionHandler))
        , limits(sessionLimits)
        , readTimer(this->stream.get_executor())
        , patience(sessionLimits.writeTime)
    {
        tuneSocket(this->stream.socket());
    }

    asio::awaitable<void> run();
    void drain();

    asio::awaitable<bool> respond(HttpResponse response) override;
    asio::awaitable<bool> begin(int status, HttpFields fields) override;
    asio::awaitable<bool> write(std::string_view bytes) override;
    asio::awaitable<bool> finish(HttpFields trailers = {}) override;
    void abort() override;
    void whenCallerGone(std::function<void()> function) override
    {
        this->onCallerGone = std::move(function);
    }

private:
    asio::awaitable<bool> readFirstBytes();
    asio::awaitable<std::optional<HttpRequest>> readRequest();
    asio::awaitable<void> refuse(error_code error);
    asio::awaitable<void> discardInput();
    asio::awaitable<void> end();
    /// Writes everything, at no less than the minimum rate over time.
    template <class Buffers>
    asio::awaitable<bool> writeAll(Buffers buffers);
    http::response_header<> headOf(int status, const HttpFields &fields) const;
    void limitReading(Duration limit);
    void endReadLimit();
    void watchCaller();
    bool readAhead(std::size_t available);
    void callerIsGone();
    void closeSocket();

    beast::tcp_stream stream;
    HttpHandler handler;
    HttpServerLimits limits;
    beast::flat_buffer buffer;
    asio::steady_timer readTimer;
    Duration patience; ///< How much longer writes may be blocked.
    std::function<void()> onCallerGone;
    std::uint64_t answerNumber = 0; ///< Tells late watch events of an earlier answer.
    std::uint64_t readNumber = 0; ///< Tells late timer events of an earlier step.
    unsigned version = http11;
    bool headOnly = false; ///< The request's method is HEAD.
    bool bodyless = false; ///< The present answer has no body.
    bool closeDelimited = false; ///< The present answer's body ends with the connection.
    bool timedOut = false;
    bool keepAlive = true;
    bool draining = false;
    bool idle = true;
    bool answered = false;
    bool chunked = false;
    bool broken = false;
};

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
    this->limitReading(this->limits.headerTime);
    auto [headError, headSize]
        = co_await http::async_read_header(this->stream, this->buffer, parser, useTuple);
    this->endReadLimit();
    if (headError) {
        co_await this->refuse(headError);
        co_return std::nullopt;
    }
    this->version = parser.get().version();
    this->keepAlive = parser.get().keep_alive() && this->version >= http11;
    this->headOnly = parser.get().method() == http::verb::head;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await this->writeAll(asio::const_buffer(goOn.data(), goOn.size()));
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

template <class Buffers>
asio::awaitable<bool> HttpSession::writeAll(Buffers buffers)
{
    beast::buffers_suffix<Buffers> left(buffers);
    while (!this->broken && beast::buffer_bytes(left) > 0) {
        const TimePoint start = currentTime();
        this->stream.expires_after(this->patience);
        auto [error, size] = co_await this->stream.async_write_some(left, useTuple);
        if (error) {
            this->callerIsGone();
            co_return false;
        }
        left.consume(size);
        const Duration earned(
            static_cast<std::int64_t>(size) * 1'000'000 / this->limits.minimumWriteRate);
        this->patience -= currentTime() - start;
        this->patience = std::min(this->patience + earned, this->limits.writeTime);
    }
    if (!this->broken) {
        this->stream.expires_never();
    }
    co_return !this->broken;
}

http::response_header<> HttpSession::headOf(int status, const HttpFields &fields) const
{
    http::response<http::empty_body> message(static_cast<http::status>(status), http11);
    setFields(message, fields);
    message.keep_alive(this->keepAlive && !this->draining);
    return std::move(message.base());
}

asio::awaitable<bool> HttpSession::respond(HttpResponse response)
{
    if (this->broken || this->answered) {
        co_return false;
    }
    this->answered = true;
    http::response_header<> head = this->headOf(response.status, response.fields);
    if (!this->headOnly) {
        head.erase(http::field::content_length);
    }
    if (!statusHasBody(response.status)) {
        response.body.clear();
    } else if (head.find(http::field::content_length) == head.end()) {
        head.set(http::field::content_length, std::to_string(response.body.size()));
    }
    if (this->headOnly) {
        response.body.clear();
    }
    const std::string headText = serializeHead(head);
    const std::array<asio::const_buffer, 2> buffers
        = { asio::buffer(headText), asio::buffer(response.body) };
    co_return co_await this->writeAll(buffers);
}

asio::awaitable<bool> HttpSession::begin(int status, HttpFields fields)
{
    if (this->broken || this->answered) {
        co_return false;
    }
    this->answered = true;
    this->bodyless = this->headOnly || !statusHasBody(status);
    const bool hasLength = !fieldValue(fields, "Content-Length").empty();
    this->chunked = !this->bodyless && !hasLength && this->version >= http11;
    this->closeDelimited = !this->bodyless && !hasLength && !this->chunked;
    if (this->closeDelimited) {
        this->keepAlive = false;
    }
    http::response_header<> head = this->headOf(status, fields);
    if (this->chunked) {
        head.set(http::field::transfer_encoding, "chunked");
    } else {
        head.erase(http::field::trailer);
    }
    const std::string headText = serializeHead(head);
    co_return co_await this->writeAll(asio::const_buffer(headText.data(), headText.size()));
}

asio::awaitable<bool> HttpSession::write(std::string_view bytes)
{
    if (bytes.empty() || this->bodyless) {
        co_return !this->broken;
    }
    const asio::const_buffer body(bytes.data(), bytes.size());
    if (!this->chunked) {
        co_return co_await this->writeAll(body);
    }
    const auto chunk = http::make_chunk(body);
    co_return co_await this->writeAll(chunk);
}

asio::awaitable<bool> HttpSession::finish(HttpFields trailers)
{
    if (!this->chunked) {
        co_return !this->broken;
    }
    std::string lastChunk = "0\r\n";
    for (const HttpField &field : trailers) {
        lastChunk += field.name + ": " + field.value + "\r\n";
    }
    lastChunk += "\r\n";
    co_return co_await this->writeAll(asio::const_buffer(lastChunk.data(), lastChunk.size()));
}

struct HttpServer::Private
{
    Private(asio::io_context &serverContext, const asio::ip::tcp::endpoint &endpoint)
        : context(serverContext)
        , acceptor(serverContext, endpoint)
    {
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    HttpHandler handler;
    HttpServerLimits limits;
    std::list<std::weak_ptr<HttpSession>> sessions;
    std::size_t connections = 0;
    bool draining = false;
};

namespace {

/// \pre the connection is counted already.
template <class ServerState>
asio::awaitable<void> serveConnection(
    std::shared_ptr<ServerState> state, asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), state->handler, state->limits);
    if (state->draining) {
        session->drain();
    }
    const auto place = state->sessions.insert(state->sessions.end(), session);
    try {
        co_await session->run();
    } catch (const std::exception &exception) {
        LOG4CPLUS_ERROR(logger("http"), "A connection failed: " << exception.what() << ".");
        session->abort();
    }
    --state->connections;
    state->sessions.erase(place);
}

asio::awaitable<void> pauseFor(asio::io_context &context, Duration duration)
{
    asio::steady_timer timer(context, duration);
    co_await timer.async_wait(useTuple);
}

/// Takes the connections that callers have made already, so that none of them is reset.
template <class ServerState>
void acceptPending(const std::shared_ptr<ServerState> &state)
{
    error_code error;
    state->acceptor.non_blocking(true, error);
    while (!error && state->connections < state->limits.connections) {
        asio::ip::tcp::socket socket = state->acceptor.accept(error);
        if (!error) {
            ++state->connections;
            spawn(state->context, serveConnection(state, std::move(socket)));
        }
    }
}

template <class ServerState>
asio::awaitable<void> acceptLoop(std::shared_ptr<ServerState> state)
{
    while (!state->draining) {
        auto [error, socket] = co_await state->acceptor.async_accept(useTuple);
        if (error) {
            if (error == asio::error::operation_aborted || !state->acceptor.is_open()) {
                break;
            }
            LOG4CPLUS_WARN(
                logger("http"), "A connection was not accepted: " << error.message() << ".");
            co_await pauseFor(state->context, acceptRetryInterval);
            continue;
        }
        if (state->connections >= state->limits.connections) {
            socket.close();
            continue;
        }
        ++state->connections;
        spawn(state->context, serveConnection(state, std::move(socket)));
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
    HttpHandler handler, const HttpServerLimits &limits)
    : d(std::make_shared<Private>(context, endpoint))
{
    this->d->handler = std::move(handler);
    this->d->limits = limits;
}

HttpServer::~HttpServer()
{
    this->drain();
}

void HttpServer::start()
{
    spawn(this->d->context, acceptLoop(this->d));
}

asio::ip::tcp::endpoint HttpServer::endpoint() const
{
    return this->d->acceptor.local_endpoint();
}

void HttpServer::drain()
{
    if (this->d->draining) {
        return;
    }
    this->d->draining = true;
    acceptPending(this->d);
    error_code ignored;
    this->d->acceptor.close(ignored);
    for (const std::weak_ptr<HttpSession> &weak : this->d->sessions) {
        if (const auto session = weak.lock()) {
            session->drain();
        }
    }
}

std::size_t HttpServer::connectionCount() const
{
    return this->d->connections;
}

} // namespace wigeonsill
