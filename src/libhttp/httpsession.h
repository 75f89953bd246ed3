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

/// Reads requests one after the other and runs the handler for each. Not thread-safe.
class HttpSession : public HttpResponder, public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, HttpHandler sessionHandler,
        const HttpServerLimits &sessionLimits)
        : stream(std::move(socket))
        , handler(std::move(sessionHandler))
        , limits(sessionLimits)
        , readTimer(this->stream.get_executor())
        , writeTimeBudget(sessionLimits.writeTimeout)
    {
        setTcpOptions(this->stream.socket());
    }
    ~HttpSession() override;
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /// Serves the connection until it ends. \pre called once.
    asio::awaitable<void> run();
    /// Closes an idle connection now, any other after its current response.
    void drain();
    /// Closes the connection after its next response, or after a short timeout when no request
    /// comes.
    void closeAfterResponse() { this->draining = true; }

    asio::awaitable<bool> respond(HttpResponse response) override;
    asio::awaitable<bool> begin(int status, HttpFields fields) override;
    asio::awaitable<bool> write(std::string_view bytes) override;
    asio::awaitable<bool> finish(HttpFields trailers = {}) override;
    void abort() override;
    void setDisconnectHandler(std::function<void()> function) override
    {
        this->disconnectHandler = std::move(function);
    }

private:
    /// Waits for the first bytes of a request. Returns false on a timeout or a closed connection.
    asio::awaitable<bool> readFirstBytes();
    /// Reads one complete request. Returns nothing when there is none, or after an error response.
    asio::awaitable<std::optional<HttpRequest>> readRequest();
    /// Reads up to the end of the head and rejects forms that other parsers interpret differently.
    asio::awaitable<error_code> readRawHead();
    /// Sends an error response to a request that could not be read.
    asio::awaitable<void> rejectRequest(error_code error);
    /// Shuts down sending, then reads and drops the remaining input within limits.
    asio::awaitable<void> discardInput();
    asio::awaitable<void> closeGracefully();
    /// Writes all buffers. Fails when the caller receives at less than the minimum rate over time.
    template <class Buffers>
    asio::awaitable<bool> writeAll(Buffers buffers);
    /// \pre the text outlives the operation.
    asio::awaitable<bool> writeText(std::string_view text);
    http::response_header<> makeHead(int status, const HttpFields &fields) const;
    /// Cancels the pending read after the timeout and sets timedOut.
    void startReadTimeout(Duration timeout);
    void stopReadTimeout();
    /// Calls handleDisconnect() when the caller closes the connection while a response is pending.
    void watchForDisconnect();
    /// Reads pipelined input. Returns false when the read-ahead limit is reached or reading failed.
    bool readAhead(std::size_t available);
    void handleDisconnect();
    void closeSocket();
    /// Until such a body is complete, each end of the connection is a reset, also the one at the
    /// end of the process: only a reset indicates truncation.
    void setCloseDelimited(bool enabled);

    beast::tcp_stream stream;
    HttpHandler handler;
    HttpServerLimits limits;
    beast::flat_buffer buffer;
    asio::steady_timer readTimer;
    Duration writeTimeBudget; ///< How much longer writes may lag behind the minimum rate.
    std::function<void()> disconnectHandler;
    std::uint64_t responseNumber = 0; ///< Identifies late disconnect events of an earlier response.
    std::uint64_t readTimeoutNumber = 0; ///< Identifies late timer events of an earlier read.
    unsigned version = http11;
    bool isHeadRequest = false;
    bool bodyless = false; ///< The current response has no body.
    /// The end of the connection ends the current response's body, which is not complete yet.
    bool closeDelimited = false;
    bool timedOut = false;
    bool keepAlive = true;
    bool draining = false;
    bool idle = true;
    bool responseStarted = false;
    bool chunked = false;
    bool closed = false;
};

} // namespace wigeonsill
