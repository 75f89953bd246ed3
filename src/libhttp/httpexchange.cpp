/// \file httpexchange.cpp
/// HTTP/1.1 client on Boost.Beast.
#include "wigeonsill/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bodyPartSize = 65'536;
constexpr std::uint32_t maximumHeaderBytes = 65'536;
/// Number of interim (1xx) heads that are skipped before the answer's own.
constexpr int maximumInterimHeads = 16;
constexpr int firstFinalStatus = 200;
constexpr int statusSwitchingProtocols = 101;

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
        this->parser.emplace();
        this->parser->header_limit(maximumHeaderBytes);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->isHeadRequest);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    bool isHeadRequest = false;
    /// Read buffer for the body. Not initialised: most reads return a few hundred bytes only.
    std::unique_ptr<char[]> bodyPart = std::make_unique_for_overwrite<char[]>(bodyPartSize);
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
    this->d->parser->skip(this->d->isHeadRequest);
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
        auto [error, size] = co_await http::async_read_header(
            this->d->stream, this->d->buffer, *this->d->parser, useTuple);
        if (error) {
            co_return closedError(error);
        }
        HttpHead head;
        head.status = static_cast<int>(this->d->parser->get().result_int());
        if (head.status == statusSwitchingProtocols) {
            co_return Error{ ResultCode::MessageMalformed, "the protocol was switched unasked" };
        }
        if (head.status >= firstFinalStatus) {
            for (const auto &field : this->d->parser->get()) {
                head.fields.push_back(
                    { std::string(field.name_string()), std::string(field.value()) });
            }
            co_return head;
        }
        this->d->beginAnswer();
    }
    co_return Error{ ResultCode::MessageMalformed, "too many interim heads" };
}

asio::awaitable<Result<std::string>> HttpExchange::readSome(Duration timeout)
{
    std::size_t size = 0;
    while (size == 0 && !this->d->parser->is_done()) {
        this->d->parser->get().body().data = this->d->bodyPart.get();
        this->d->parser->get().body().size = bodyPartSize;
        this->d->stream.expires_after(timeout);
        auto [error, consumed] = co_await http::async_read_some(
            this->d->stream, this->d->buffer, *this->d->parser, useTuple);
        size = bodyPartSize - this->d->parser->get().body().size;
        if (error && error != http::error::need_buffer) {
            co_return closedError(error);
        }
    }
    co_return std::string(this->d->bodyPart.get(), size);
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
