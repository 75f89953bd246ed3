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

namespace wigeonsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t discardPiece = 16'384;
constexpr std::size_t discardLimit = 16'777'216;
constexpr Duration discardTime = seconds(2);

ResultCode codeOfParseError(const error_code &error)
{
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return ResultCode::RequestTimeout;
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

} // namespace

class HttpSession : public HttpResponder, public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, HttpHandler sessionHandler,
        const HttpServerLimits &sessionLimits)
        : stream(std::move(socket))
        , handler(std::move(sessionHandler))
        , limits(sessionLimits)
    {
        error_code ignored;
        this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
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
    asio::awaitable<std::optional<HttpRequest>> readRequest();
    asio::awaitable<void> refuse(ResultCode code, std::string detail);
    asio::awaitable<void> discardInput();
    asio::awaitable<bool> writeRaw(asio::const_buffer bytes);
    void watchCaller();
    void callerIsGone();

    beast::tcp_stream stream;
    HttpHandler handler;
    HttpServerLimits limits;
    beast::flat_buffer buffer;
    std::function<void()> onCallerGone;
    std::uint64_t answerNumber = 0; ///< Tells late watch events of an earlier answer.
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
    while (this->keepAlive && !this->broken && !this->draining) {
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
    }
    error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

asio::awaitable<std::optional<HttpRequest>> HttpSession::readRequest()
{
    this->idle = true;
    if (this->buffer.size() == 0) {
        this->stream.expires_after(this->limits.idle);
        auto [error, size]
            = co_await this->stream.async_read_some(this->buffer.prepare(discardPiece), useTuple);
        if (error) {
            co_return std::nullopt;
        }
        this->buffer.commit(size);
    }
    this->idle = false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->limits.headerBytes);
    parser.body_limit(this->limits.bodyBytes);
    this->stream.expires_after(this->limits.headerTime);
    auto [headError, headSize]
        = co_await http::async_read_header(this->stream, this->buffer, parser, useTuple);
    if (headError) {
        co_await this->refuse(codeOfParseError(headError), headError.message());
        co_return std::nullopt;
    }
    this->stream.expires_after(this->limits.bodyTime);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await this->writeRaw(asio::buffer(goOn));
        this->stream.expires_after(this->limits.bodyTime);
    }
    auto [bodyError, bodySize]
        = co_await http::async_read(this->stream, this->buffer, parser, useTuple);
    if (bodyError) {
        co_await this->refuse(codeOfParseError(bodyError), bodyError.message());
        co_return std::nullopt;
    }
    this->keepAlive = parser.get().keep_alive();
    HttpRequest request;
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    for (const auto &field : parser.get()) {
        request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(parser.get().body());
    co_return request;
}

asio::awaitable<void> HttpSession::refuse(ResultCode code, std::string detail)
{
    this->keepAlive = false;
    this->answered = false;
    co_await this->respond(problemResponse(code, detail));
    co_await this->discardInput();
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
            }
        });
}

void HttpSession::callerIsGone()
{
    if (this->broken) {
        return;
    }
    this->broken = true;
    this->stream.close();
    if (const auto notify = std::exchange(this->onCallerGone, nullptr)) {
        notify();
    }
}

void HttpSession::abort()
{
    this->broken = true;
    this->onCallerGone = nullptr;
    this->stream.close();
}

void HttpSession::drain()
{
    this->draining = true;
    if (this->idle) {
        this->abort();
    }
}

asio::awaitable<bool> HttpSession::writeRaw(asio::const_buffer bytes)
{
    if (this->broken) {
        co_return false;
    }
    this->stream.expires_after(this->limits.writeTime);
    auto [error, size] = co_await asio::async_write(this->stream, bytes, useTuple);
    if (error) {
        this->callerIsGone();
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> HttpSession::respond(HttpResponse response)
{
    if (this->broken || this->answered) {
        co_return false;
    }
    this->answered = true;
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    setFields(message, response.fields);
    message.body() = std::move(response.body);
    message.keep_alive(this->keepAlive && !this->draining);
    message.prepare_payload();
    this->stream.expires_after(this->limits.writeTime);
    auto [error, size] = co_await http::async_write(this->stream, message, useTuple);
    if (error) {
        this->callerIsGone();
    }
    co_return !error;
}

asio::awaitable<bool> HttpSession::begin(int status, HttpFields fields)
{
    if (this->broken || this->answered) {
        co_return false;
    }
    this->answered = true;
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    setFields(message, fields);
    this->chunked = fieldValue(fields, "Content-Length").empty();
    message.chunked(this->chunked);
    message.keep_alive(this->keepAlive && !this->draining);
    http::response_serializer<http::empty_body> serializer(message);
    this->stream.expires_after(this->limits.writeTime);
    auto [error, size] = co_await http::async_write_header(this->stream, serializer, useTuple);
    if (error) {
        this->callerIsGone();
    }
    co_return !error;
}

asio::awaitable<bool> HttpSession::write(std::string_view bytes)
{
    if (bytes.empty()) {
        co_return !this->broken;
    }
    if (!this->chunked) {
        co_return co_await this->writeRaw(asio::buffer(bytes));
    }
    if (this->broken) {
        co_return false;
    }
    this->stream.expires_after(this->limits.writeTime);
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    auto [error, size] = co_await asio::async_write(this->stream, chunk, useTuple);
    if (error) {
        this->callerIsGone();
    }
    co_return !error;
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
    co_return co_await this->writeRaw(asio::buffer(lastChunk));
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

template <class ServerState>
asio::awaitable<void> serveConnection(
    std::shared_ptr<ServerState> state, asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), state->handler, state->limits);
    const auto place = state->sessions.insert(state->sessions.end(), session);
    ++state->connections;
    try {
        co_await session->run();
    } catch (const std::exception &exception) {
        LOG4CPLUS_ERROR(logger("http"), "A connection failed: " << exception.what() << ".");
        session->abort();
    }
    --state->connections;
    state->sessions.erase(place);
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
            continue;
        }
        if (state->connections >= state->limits.connections) {
            socket.close();
            continue;
        }
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
