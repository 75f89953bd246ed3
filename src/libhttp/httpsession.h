/// \file httpsession.h
/// One connection of the HTTP server.
#pragma once

#include "wigeonsill/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http11 = 11;

/// Reads one request after the other and answers each by the handler. Not thread-safe.
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

    /// Serves the connection to its end. \pre called once.
    asio::awaitable<void> run();
    /// Ends an idle connection now, any other after its answer.
    void drain();
    /// Ends the connection after its next answer, or soon when no request comes.
    void endAfterAnswer() { this->draining = true; }

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
    /// Reads up to the end of the head and refuses forms that other readers take differently.
    asio::awaitable<error_code> readRawHead();
    asio::awaitable<void> refuse(error_code error);
    asio::awaitable<void> discardInput();
    asio::awaitable<void> end();
    /// Writes everything, at no less than the minimum rate over time.
    template <class Buffers>
    asio::awaitable<bool> writeAll(Buffers buffers);
    /// \pre the text outlives the call.
    asio::awaitable<bool> writeText(std::string_view text);
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

} // namespace wigeonsill
