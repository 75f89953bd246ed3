/// \file http.h
/// HTTP/1.1 server and client on Boost.Beast, written as coroutines on one io_context.
/// Everything runs on that context and is not thread-safe unless its documentation says otherwise.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonsill {

/// One header field. HttpFields keeps the fields in the order in which they were received.
struct HttpField
{
    std::string name;
    std::string value;
};
using HttpFields = std::vector<HttpField>;

/// Returns the value of the first field with this name, or an empty string when there is none.
/// Names are compared case-insensitively. Thread-safe.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/// Reads the value of a Retry-After field that states a number of seconds, whole or with a
/// fraction, rounded up; at most a day. Empty for everything else, dates included. Thread-safe.
std::optional<Duration> parseRetryAfter(std::string_view text);

/// Compares two field names case-insensitively. Thread-safe.
bool equalsIgnoringCase(std::string_view left, std::string_view right);
/// Whether a field must not be forwarded: a hop-by-hop field, or one of the scheduler's own fields
/// ("Wigeonsill-...").
/// \param connection Value of the message's Connection field, which may list further hop-by-hop
/// fields.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Whether the raw head of a request contains a form that intermediaries parse differently, which
/// allows request smuggling: a folded line, a bare line feed, or a zero byte. Thread-safe.
/// \param head Any leading part of the message, at most up to and including the empty line.
bool isAmbiguousHead(std::string_view head);

/// Whether a message has no transfer coding, or `chunked` alone, named once in HTTP/1.1 (RFC 9112,
/// section 6.1). The parser ignores other codings, and takes their framing for the body or for the
/// next message. Thread-safe.
bool hasKnownCoding(const HttpFields &fields, int httpVersion);

/// Position of the first beginning of an answer's status line, such as "HTTP/1.1 200", in a text;
/// std::string_view::npos without one. Thread-safe.
std::size_t findStatusLine(std::string_view text);
/// As findStatusLine(); the last bytes count as well if a status line may begin there. Thread-safe.
/// \param from Position at which the search begins.
std::size_t findPossibleStatusLine(std::string_view text, std::size_t from = 0);
/// Bytes of a status line that findStatusLine() compares.
inline constexpr std::size_t statusLineMarkSize = 12;
/// Whether a text is the beginning of a status line, as far as its first statusLineMarkSize bytes
/// show. Thread-safe.
bool mayBeginStatusLine(std::string_view text);

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

/// Builds a response with a JSON body.
HttpResponse jsonResponse(int status, const boost::json::value &body);
/// Builds an error response of type application/problem+json (RFC 9457) that contains the numeric
/// result code.
/// \param retryAfter Rounded up to whole seconds; 0 omits the Retry-After field.
HttpResponse problemResponse(
    ResultCode code, std::string_view detail = {}, Duration retryAfter = {});

/// Parses "ADDRESS:PORT", where the address is a numeric IP address. Errors: SettingsWrongType.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);
std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

// ---------------------------------------------------------------------------------------------
// Messages

/// Head of a received HTTP/1.1 message.
struct MessageHead
{
    std::string method; ///< Requests only.
    std::string target; ///< Path and query; requests only.
    int status = 0; ///< Answers only.
    std::string reason;
    int httpVersion = 11; ///< 10 or 11.
    HttpFields fields;
    bool chunked = false;
    std::optional<std::uint64_t> length;
    bool endsAtClose = false; ///< The answer's body ends when the connection is closed.
    bool keepAlive = true;
};

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
    Orderly, ///< The peer closed its side, and no operation failed before.
    Broken, ///< An operation failed, for instance because of a reset.
};
/// Classifies the end that a read has found. The system reports the failure of a connection to one
/// operation only: behind a failed write, a read of a connection that was reset finds an orderly
/// end. Thread-safe.
/// \param writeError Of the last write on the connection; no error if none failed.
ConnectionEnd classifyEnd(
    const boost::system::error_code &readError, const boost::system::error_code &writeError);

/// Reads one HTTP/1.1 message from pieces of any size. Body bytes accumulate in body() until the
/// owner removes them. Not thread-safe.
class MessageReader
{
public:
    /// Largest chunk header with its extensions, and largest trailers, in bytes. Both are waited
    /// for whole; targets send a few hundred bytes at most.
    static constexpr std::size_t chunkFramingLimit = 16'384;

    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /// Parses as much as possible and returns the number of bytes consumed. Those of an incomplete
    /// line of a head, or chunk header, are not consumed and have to be passed again together with
    /// further bytes. Errors: those of Beast's http::error; header_limit and body_limit are those
    /// of the constructor, buffer_overflow that of chunkFramingLimit.
    std::size_t consume(std::string_view bytes, boost::system::error_code &error);
    /// Whether the head was read and is sound: hasKnownCoding(), and that of an answer has a status
    /// of 100 to 599 without 101, no line that continues another one, and no other head in a field.
    bool isHeadComplete() const;
    /// Whether the head and the body were read.
    bool isComplete() const;
    /// \pre isHeadComplete().
    const MessageHead &head() const;
    /// What was read of the body and not removed.
    std::string &body();

    struct Parser; ///< Hides Beast's parser.

protected:
    explicit MessageReader(std::unique_ptr<Parser> messageParser);
    ~MessageReader();

    std::unique_ptr<Parser> parser;
};

class RequestReader : public MessageReader
{
public:
    /// \param headerLimit Largest head. \param bodyLimit Largest body. Both in bytes.
    RequestReader(std::uint32_t headerLimit, std::uint64_t bodyLimit);
};

class AnswerReader : public MessageReader
{
public:
    /// \param headerLimit Largest head. \param bodyLimit Largest body. Both in bytes.
    AnswerReader(std::uint32_t headerLimit, std::uint64_t bodyLimit);

    /// States that the answer has no body whatever its fields say. \pre nothing was consumed.
    void expectNoBody();
    /// Reports the end of the connection. A body with neither length nor chunks is complete after
    /// an orderly end, and only then. Errors: partial_message when the answer is not complete.
    void consumeEnd(ConnectionEnd end, boost::system::error_code &error);
};

/// Whether a complete body is what the target sent for it.
enum class BodyVerdict : std::uint8_t {
    Whole,
    Quoting, ///< It contains a status line, quoted or that of an answer behind a cut.
    Followed, ///< Bytes that begin no answer follow, which may have filled the body as well.
    Joined, ///< The body was cut, and other answers take the place of its rest.
};

/// Decides whether a body was cut and filled with other bytes, which a body of known length doesn't
/// show by its framing. Heads of targets in trouble have any form, so each status line within the
/// body raises doubt. Not thread-safe.
class JoinedAnswerScanner
{
public:
    /// Whether a head within a body may be that of another answer. One that a target sends carries
    /// a request id.
    using HeadPredicate = std::function<bool(const MessageHead &head)>;

    explicit JoinedAnswerScanner(HeadPredicate answerPredicate);
    ~JoinedAnswerScanner();
    JoinedAnswerScanner(const JoinedAnswerScanner &) = delete;
    JoinedAnswerScanner &operator=(const JoinedAnswerScanner &) = delete;

    /// Takes the next bytes of the body. \pre feedFollowing() was not called.
    void feedBody(std::string_view bytes);
    /// Number of the last bytes of the body so far that may belong to well-formed other answers.
    std::uint64_t answersSize() const;
    /// Number of the last bytes of the body so far, from the first status line on.
    std::uint64_t quotedSize() const { return this->bodySize - this->quoteStart(); }
    /// Takes the next bytes behind the body on its connection. \pre the body is complete.
    void feedFollowing(std::string_view bytes);
    /// Whether an answer begins behind the body. \pre the body is complete.
    bool isFollowedByAnswer() const;
    /// \pre the body is complete.
    BodyVerdict verdict() const;
    /// Size in bytes of the other answers where they end exactly with the body, and nothing
    /// follows; 0 otherwise. A sound body may quote them as well. \pre the body is complete.
    std::uint64_t endingAnswersSize() const;

private:
    class Candidate;
    void feedCandidates(std::string_view bytes);
    void addCandidate(std::string_view bytes);
    void findQuote(std::string_view bytes);
    /// Position of the first status line, or of bytes at the end that may begin one; the size of
    /// the body without any.
    std::uint64_t quoteStart() const;

    HeadPredicate isAnswer;
    std::vector<std::unique_ptr<Candidate>> candidates; ///< In the order of their places.
    std::uint64_t bodySize = 0;
    std::optional<std::uint64_t> quoteAt; ///< Position of the first whole status line mark.
    std::string openMark; ///< The last bytes of the body, if they may begin a status line.
    std::string following; ///< The first bytes behind the body.
    bool endedWithAnswers = false; ///< Before bytes followed.
};

/// What is compared of a body that may be cut with the body that another target sends for the same
/// request. Both quote the same if they are sound, while two cuts differ in their places and in the
/// answers behind them. Bodies of targets may differ in what stands before and behind a quote.
/// Thread-safe.
class DoubtfulBody
{
public:
    /// \param body From its beginning, or from its first status line on.
    explicit DoubtfulBody(std::string_view body);
    /// Whether the other target's body shows that this one is whole.
    bool isConfirmedBy(const DoubtfulBody &other) const;

private:
    std::uint64_t whole = 0; ///< Hash of all bytes.
    /// Hash of the bytes from the first status line on; empty without one.
    std::optional<std::uint64_t> fromQuote;
    std::uint64_t quotes = 0; ///< Hash of the quoted heads with their positions.
};

// ---------------------------------------------------------------------------------------------
// Server

/// Sends the response to one request. Valid until the handler's coroutine ends.
/// Every asynchronous call returns false once the connection is closed.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sends a complete response. A Content-Length field is used only in a response to HEAD;
    /// otherwise the length of the body replaces it.
    /// \pre neither respond() nor begin() was called before.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    /// Starts a response whose body is sent by write(). With a Content-Length field the body must
    /// have that length; otherwise it is chunked, or delimited by the end of the connection for
    /// HTTP/1.0. Responses to HEAD and those of status 1xx, 204 and 304 have no body.
    /// \pre neither respond() nor begin() was called before.
    virtual boost::asio::awaitable<bool> begin(int status, HttpFields fields) = 0;
    /// Sends a part of the body. \pre begin() was called.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Completes the body. Trailers are sent only with a chunked body. \pre begin() was called.
    virtual boost::asio::awaitable<bool> finish(HttpFields trailers = {}) = 0;
    /// Closes the connection, so that the caller cannot mistake a truncated response for a complete
    /// one.
    virtual void abort() = 0;
    /// Sets a function that is called once if the caller disconnects before the handler ends.
    virtual void setDisconnectHandler(std::function<void()> function) = 0;
};

/// Handles one request. The handler may move parts out of the request, so that they do not occupy
/// memory while it waits.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest &, HttpResponder &)>;

struct HttpServerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 8'388'608;
    std::size_t connections = 20'000;
    Duration keepAliveTimeout = seconds(60); ///< Between two requests on a connection.
    Duration headerTimeout = seconds(10); ///< From the first byte of a header to its last.
    Duration bodyTimeout = seconds(30);
    Duration writeTimeout = seconds(30); ///< Time for which writes may lag behind minimumWriteRate.
    std::int64_t minimumWriteRate = 16'384; ///< Bytes per second that a caller must receive.
};

/// Accepts connections and runs the handler for each request. Not thread-safe.
class HttpServer
{
public:
    /// Binds and listens in the constructor. Port 0 selects a free port.
    /// Throws boost::system::system_error when the address cannot be bound.
    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
        HttpHandler handler, const HttpServerLimits &limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts accepting. \pre called once.
    void start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Stops accepting, closes idle connections, and closes each other connection after its current
    /// response.
    void drain();
    std::size_t connectionCount() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Event streams

/// Whether the body of an answer is a stream of events (text/event-stream). Thread-safe.
bool isEventStream(const HttpFields &fields);

/// Buffers a stream of events so that only complete events are relayed. Lines end with LF, CRLF or
/// CR. Not thread-safe.
class EventSplitter
{
public:
    /// Largest event that is kept, in bytes. Targets send a few tokens an event.
    static constexpr std::size_t maximumEventSize = 1'048'576;

    /// Appends bytes and returns the events that are complete now. An event that is not complete
    /// within maximumEventSize is dropped, and nothing is returned from then on.
    std::string feed(std::string_view bytes);
    /// Id of the first complete event; empty before it.
    const std::string &firstId() const { return this->firstEventId; }
    /// Whether the head of an HTTP answer was found, by itself or within an event that was broken
    /// off. It and what follows belong to another answer; nothing is returned from then on.
    bool containsHead() const { return this->headFound; }
    /// Whether an event was dropped since it was too large.
    bool isOversized() const { return this->oversized; }
    /// Id of the last complete event that has one; empty before it.
    const std::string &lastId() const { return this->lastEventId; }
    /// Whether the last complete event has an id, so that a stream can be resumed after it.
    bool endsAtId() const { return this->lastEventHasId; }
    /// Number of complete events.
    std::uint64_t count() const { return this->eventCount; }
    /// Whether a part of an event follows the last complete one. Comments and empty lines are no
    /// part of an event.
    bool isInsideEvent() const;
    /// Bytes after the last complete event, to be relayed at the end of a complete answer.
    const std::string &remainder() const { return this->partial; }

private:
    /// Reads a complete line of the current event.
    void readLine(std::string_view line);
    /// Ends the current event at an empty line.
    void endEvent();

    std::string partial;
    std::size_t lineStart = 0; ///< Of the incomplete line in partial.
    bool lineFeedMayFollow = false; ///< The last complete line ended with CR.
    std::string firstEventId;
    std::string lastEventId;
    std::uint64_t eventCount = 0;
    bool oversized = false;
    bool statusLineFound = false; ///< In the current event, behind other text.
    bool headFound = false;
    bool inEvent = false; ///< The current event has a complete line that is no comment.
    std::optional<std::string> eventId; ///< Of the current event.
    bool lastEventHasId = false;
};

// ---------------------------------------------------------------------------------------------
// Client

struct HttpHead
{
    int status = 0;
    HttpFields fields;
};

/// One request and its response on a dedicated connection. Not thread-safe.
class HttpExchange
{
public:
    explicit HttpExchange(boost::asio::io_context &context);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Errors: ConnectionFailed; no byte was sent in that case.
    boost::asio::awaitable<Result<void>> connect(
        boost::asio::ip::tcp::endpoint endpoint, Duration timeout);
    /// Errors: ConnectionClosed; part of the request may have been sent in that case.
    /// \pre connect() succeeded.
    boost::asio::awaitable<Result<void>> send(HttpRequest request, Duration timeout);
    /// Reads the status and the header fields. Interim heads (1xx) are skipped. Errors:
    /// ConnectionClosed; MessageMalformed when the head is not sound, or after too many interim
    /// heads. \pre send() succeeded.
    boost::asio::awaitable<Result<HttpHead>> readHead(Duration timeout);
    /// Reads the next part of the body; empty at its end. Errors: ConnectionClosed, also when the
    /// connection ends before the body is complete; MessageMalformed. \pre readHead() succeeded.
    boost::asio::awaitable<Result<std::string>> readSome(Duration timeout);
    /// Closes the connection; a pending operation fails.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Sends one request and reads the complete response. Errors: those of HttpExchange.
/// \param timeout Applies to each step: connecting, sending, and each read.
boost::asio::awaitable<Result<HttpResponse>> fetch(boost::asio::io_context &context,
    boost::asio::ip::tcp::endpoint endpoint, HttpRequest request, Duration timeout);

/// Sets the TCP options that all connections share: small writes are not delayed (TCP_NODELAY),
/// and keep-alive probes end a connection to an unreachable host within a minute.
/// Thread-safe for distinct sockets.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

/// Current time of the monotonic clock. Thread-safe.
TimePoint currentTime();

/// Runs a coroutine on the context. An exception that leaves the coroutine is logged and has no
/// other effect.
void spawn(boost::asio::io_context &context, boost::asio::awaitable<void> task);

} // namespace wigeonsill
