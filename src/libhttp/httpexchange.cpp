/// \file httpexchange.cpp
/// HTTP/1.1 client on Boost.Beast.
#include "wigeonsill/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <limits>

namespace wigeonsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readSize = 65'536;
constexpr std::uint32_t maximumHeaderBytes = 65'536;
constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();
/// Number of interim (1xx) heads that are skipped before the answer's own.
constexpr int maximumInterimHeads = 16;
constexpr int firstFinalStatus = 200;

Error closedError(const error_code &error)
{
    return { ResultCode::ConnectionClosed, error.message() };
}

} // namespace

struct HttpExchange::Private
{
    explicit Private(asio::io_context &context)
        : stream(context)
    {
        this->beginAnswer();
    }

    /// Forgets the head that was read, if any.
    void beginAnswer()
    {
        this->reader = std::make_unique<AnswerReader>(maximumHeaderBytes, unlimited);
        if (this->isHeadRequest) {
            this->reader->expectNoBody();
        }
    }
    /// Parses what was received. Errors: MessageMalformed.
    Result<void> parse()
    {
        error_code error;
        this->received.erase(0, this->reader->consume(this->received, error));
        if (error) {
            return Error{ ResultCode::MessageMalformed, error.message() };
        }
        return boost::outcome_v2::success();
    }
    /// Receives and parses further bytes, or the end of the connection. Errors: ConnectionClosed
    /// when the answer cannot be completed; MessageMalformed.
    asio::awaitable<Result<void>> receive()
    {
        auto [error, size] = co_await this->stream.async_read_some(
            asio::buffer(this->readBuffer.get(), readSize), useTuple);
        if (!error) {
            this->received.append(this->readBuffer.get(), size);
            co_return this->parse();
        }
        error_code endError;
        this->reader->consumeEnd(classifyEnd(error, {}), endError);
        if (endError) {
            co_return closedError(error == asio::error::eof ? endError : error);
        }
        co_return boost::outcome_v2::success();
    }

    beast::tcp_stream stream;
    std::string received; ///< Not parsed yet.
    std::unique_ptr<AnswerReader> reader;
    bool isHeadRequest = false;
    /// Not initialised: most reads return a few hundred bytes only.
    std::unique_ptr<char[]> readBuffer = std::make_unique_for_overwrite<char[]>(readSize);
};

HttpExchange::HttpExchange(asio::io_context &context)
    : d(std::make_unique<Private>(context))
{
}

HttpExchange::~HttpExchange() = default;

asio::awaitable<Result<void>> HttpExchange::connect(
    asio::ip::tcp::endpoint endpoint, Duration timeout)
{
    this->d->stream.expires_after(timeout);
    auto [error] = co_await this->d->stream.async_connect(endpoint, useTuple);
    if (error) {
        co_return Error{ ResultCode::ConnectionFailed,
            toString(endpoint) + ": " + error.message() };
    }
    setTcpOptions(this->d->stream.socket());
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> HttpExchange::send(HttpRequest request, Duration timeout)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    this->d->isHeadRequest = message.method() == http::verb::head;
    this->d->beginAnswer();
    message.target(request.target);
    message.version(11);
    for (const HttpField &field : request.fields) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        error_code ignored;
        message.set(http::field::host, toString(this->d->stream.socket().remote_endpoint(ignored)));
    }
    message.set(http::field::connection, "close");
    message.body() = std::move(request.body);
    message.prepare_payload();
    this->d->stream.expires_after(timeout);
    auto [error, size] = co_await http::async_write(this->d->stream, message, useTuple);
    if (error) {
        co_return closedError(error);
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<HttpHead>> HttpExchange::readHead(Duration timeout)
{
    this->d->stream.expires_after(timeout);
    for (int heads = 0; heads <= maximumInterimHeads; ++heads) {
        Result<void> received = this->d->parse();
        while (received && !this->d->reader->isHeadComplete()) {
            received = co_await this->d->receive();
        }
        if (!received) {
            co_return received.error();
        }
        const MessageHead &head = this->d->reader->head();
        if (head.status >= firstFinalStatus) {
            co_return HttpHead{ head.status, head.fields };
        }
        this->d->beginAnswer();
    }
    co_return Error{ ResultCode::MessageMalformed, "too many interim heads" };
}

asio::awaitable<Result<std::string>> HttpExchange::readSome(Duration timeout)
{
    while (this->d->reader->body().empty() && !this->d->reader->isComplete()) {
        this->d->stream.expires_after(timeout);
        const Result<void> received = co_await this->d->receive();
        if (!received) {
            co_return received.error();
        }
    }
    co_return std::exchange(this->d->reader->body(), {});
}

void HttpExchange::close()
{
    this->d->stream.close();
}

asio::awaitable<Result<HttpResponse>> fetch(asio::io_context &context,
    asio::ip::tcp::endpoint endpoint, HttpRequest request, Duration timeout)
{
    HttpExchange exchange(context);
    const Result<void> connected = co_await exchange.connect(endpoint, timeout);
    if (!connected) {
        co_return connected.error();
    }
    const Result<void> sent = co_await exchange.send(std::move(request), timeout);
    if (!sent) {
        co_return sent.error();
    }
    Result<HttpHead> head = co_await exchange.readHead(timeout);
    if (!head) {
        co_return head.error();
    }
    HttpResponse response{ head.value().status, std::move(head.value().fields), {} };
    for (;;) {
        const Result<std::string> bodyPart = co_await exchange.readSome(timeout);
        if (!bodyPart) {
            co_return bodyPart.error();
        }
        if (bodyPart.value().empty()) {
            co_return response;
        }
        response.body += bodyPart.value();
    }
}

} // namespace wigeonsill
