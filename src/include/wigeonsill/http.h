/// \file http.h
/// Public header of the http library: a server and a client for HTTP/1.1 on Boost.Beast, both as
/// coroutines on one io_context. Nothing here is thread-safe; all of it runs on that context.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonsill {

/// One header field, in order of arrival.
struct HttpField
{
    std::string name;
    std::string value;
};
using HttpFields = std::vector<HttpField>;

/// Value of the first field of a name, compared without case; empty when absent. Thread-safe.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/// Whether two names of fields are the same. Thread-safe.
bool equalsIgnoringCase(std::string_view left, std::string_view right);
/// Whether a field belongs to one connection only, or to the system itself ("Wigeonsill-..."), and
/// so is not passed on.
/// \param connection Value of the message's Connection field, which may name more of them.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Whether the raw head of a request uses a form that intermediaries read differently, so that a
/// second request could hide in it: a folded line, a bare line feed, or a zero byte. Thread-safe.
/// \param head Any part of the message up to and with the empty line.
bool isAmbiguousHead(std::string_view head);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpFields fields;
    std::string body;
};

/// An answer with a JSON body.
HttpResponse jsonResponse(int status, const boost::json::value &body);
/// A refusal as application/problem+json with the numbered code.
/// \param retryAfter Rounded up to seconds; no Retry-After field when it is 0.
HttpResponse problemResponse(
    ResultCode code, std::string_view detail = {}, Duration retryAfter = {});

/// Reads "ADDRESS:PORT" with an IP number. Errors: SettingsWrongType.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);
std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

// ---------------------------------------------------------------------------------------------
// Server

/// Answers one request. Valid until the handler's coroutine ends.
/// Each call returns false once the caller is gone.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sends a whole answer. A Content-Length field counts only in an answer to HEAD.
    /// \pre nothing was sent before.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    /// Starts an answer whose body comes by write(). With a Content-Length field the body has that
    /// length; otherwise it is chunked, or ends with the connection for HTTP/1.0. Answers to HEAD
    /// and those of status 1xx, 204 and 304 have no body. \pre nothing was sent before.
    virtual boost::asio::awaitable<bool> begin(int status, HttpFields fields) = 0;
    /// \pre begin() was called.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Ends the body as whole. Trailers go out only with a chunked body. \pre begin() was called.
    virtual boost::asio::awaitable<bool> finish(HttpFields trailers = {}) = 0;
    /// Closes the connection, so that an unfinished answer cannot be taken as whole.
    virtual void abort() = 0;
    /// Calls the function once if the caller closes its connection before the answer is over.
    virtual void whenCallerGone(std::function<void()> function) = 0;
};

/// The handler may take the request's parts away, so that they are not kept while it waits.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest &, HttpResponder &)>;

struct HttpServerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 8'388'608;
    std::size_t connections = 20'000;
    Duration idle = seconds(60); ///< Between two requests of a connection.
    Duration headerTimeout = seconds(10); ///< From the first byte of a header to its last.
    Duration bodyTime = seconds(30);
    Duration writeTime = seconds(30); ///< How long writes may be blocked beyond the minimum rate.
    std::int64_t minimumWriteRate = 16'384; ///< Bytes per second that a caller must take.
};

/// Accepts connections and runs the handler for each request.
class HttpServer
{
public:
    /// Binds at once. Port 0 takes a free one.
    /// Throws boost::system::system_error when the address cannot be bound.
    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
        HttpHandler handler, const HttpServerLimits &limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts accepting. \pre called once.
    void start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Accepts no more connections, closes idle ones, and closes the rest after their answers.
    void drain();
    std::size_t connectionCount() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Client

struct HttpHead
{
    int status = 0;
    HttpFields fields;
};

/// One request on a connection of its own, step by step.
class HttpExchange
{
public:
    explicit HttpExchange(boost::asio::io_context &context);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Errors: ConnectionFailed; then no byte has left.
    boost::asio::awaitable<Result<void>> connect(
        boost::asio::ip::tcp::endpoint endpoint, Duration timeout);
    /// Errors: ConnectionClosed; then some bytes may have left. \pre connect() succeeded.
    boost::asio::awaitable<Result<void>> send(HttpRequest request, Duration timeout);
    /// Errors: ConnectionClosed. \pre send() succeeded.
    boost::asio::awaitable<Result<HttpHead>> readHead(Duration timeout);
    /// The next piece of the body; empty at its end. Errors: ConnectionClosed, also when the
    /// connection ends before the body does. \pre readHead() succeeded.
    boost::asio::awaitable<Result<std::string>> readSome(Duration timeout);
    /// Ends the connection; a pending step fails.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Sends one request and reads the whole answer. Errors as HttpExchange.
boost::asio::awaitable<Result<HttpResponse>> fetch(boost::asio::io_context &context,
    boost::asio::ip::tcp::endpoint endpoint, HttpRequest request, Duration timeout);

/// Sets what every TCP connection of the project has: no delay of small writes, and an end within
/// a minute when the other side is silent for good. Thread-safe for distinct sockets.
void tuneSocket(boost::asio::ip::tcp::socket &socket);

/// Present time of the monotonic clock. Thread-safe.
TimePoint currentTime();

/// Runs a coroutine on the context; an exception that leaves it is logged and ends nothing else.
void spawn(boost::asio::io_context &context, boost::asio::awaitable<void> task);

} // namespace wigeonsill
