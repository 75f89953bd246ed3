/// \file targetpool.h
/// Persistent connections to targets. Each carries one request and its answer at a time.
#pragma once

#include "wigeonsill/forward.h"
#include "wigeonsill/outcomes.h"

namespace wigeonsill {

/// Why no complete answer was received.
enum class TargetFailure : std::uint8_t {
    NotConnected, ///< No byte of the request was sent.
    ClosedWithoutAnswer, ///< Closed before an answer; the request may have run.
    Malformed, ///< The received bytes are not an HTTP answer.
    Truncated, ///< The answer started but did not complete.
    NotResumed, ///< A stream that was to be resumed brought events that the caller has.
    Unattributed, ///< An answer without an id came, perhaps to an earlier request.
    Unsigned, ///< A success without a target's signature came, perhaps from another server.
    Doubtful, ///< The complete body may have been cut and filled with other bytes.
};
inline constexpr std::array targetFailureNames = {
    EnumName<TargetFailure>{ TargetFailure::NotConnected, "not-connected" },
    EnumName<TargetFailure>{ TargetFailure::ClosedWithoutAnswer, "closed-without-answer" },
    EnumName<TargetFailure>{ TargetFailure::Malformed, "malformed-answer" },
    EnumName<TargetFailure>{ TargetFailure::Truncated, "answer-broken-off" },
    EnumName<TargetFailure>{ TargetFailure::NotResumed, "stream-not-resumed" },
    EnumName<TargetFailure>{ TargetFailure::Unattributed, "unattributed-answer" },
    EnumName<TargetFailure>{ TargetFailure::Unsigned, "unsigned-answer" },
    EnumName<TargetFailure>{ TargetFailure::Doubtful, "doubtful-body" },
};

/// Bounds on what is read of an answer, so that no target can hold memory or time of the process.
enum class AnswerBound : std::uint8_t {
    Head,
    Body,
    ChunkFraming,
    Event,
    SkippedBytes,
    SkippedTime
};
inline constexpr std::array answerBoundNames = {
    EnumName<AnswerBound>{ AnswerBound::Head, "head" },
    EnumName<AnswerBound>{ AnswerBound::Body, "body" },
    EnumName<AnswerBound>{ AnswerBound::ChunkFraming, "chunk-framing" },
    EnumName<AnswerBound>{ AnswerBound::Event, "event" },
    EnumName<AnswerBound>{ AnswerBound::SkippedBytes, "skipped-bytes" },
    EnumName<AnswerBound>{ AnswerBound::SkippedTime, "skipped-time" },
};

/// Receives one answer. Exactly one of onAnswerEnd() and onAnswerFailed() is called, as the last
/// call.
class AnswerHandler
{
public:
    virtual ~AnswerHandler() = default;
    /// The connection is established and the request is about to be written.
    virtual void onSent() = 0;
    virtual void onAnswerHead(const MessageHead &head) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerEnd() = 0;
    /// What to do with a complete body that may have been cut and filled with other bytes. It is
    /// discarded by default.
    /// \param held The last bytes of the body, which were not handed on.
    virtual DoubtStep settleDoubt(BodyDoubt /*doubt*/, std::string_view /*held*/)
    {
        return DoubtStep::Discard;
    }
    /// Bytes of the body were received that are held until more is known of them. Does nothing by
    /// default.
    virtual void onBodyHeld() { }
    /// An answer that is not this request's was received and is kept from the handler.
    /// \param answerId Request id that it carries, and it is skipped; empty when it carries none,
    /// and onAnswerFailed() follows with Unattributed.
    /// \param earlierRequests Number of requests that the connection carried before this one.
    virtual void onForeignAnswer(std::string_view answerId, std::uint64_t earlierRequests) = 0;
    /// The answer exceeds a bound; onAnswerFailed() follows. Does nothing by default.
    virtual void onBoundExceeded(AnswerBound /*bound*/) { }
    /// What was received is no answer, or not one answer; onAnswerFailed() follows. Does nothing by
    /// default.
    virtual void onUnreadable(std::string_view /*why*/) { }
    virtual void onAnswerFailed(TargetFailure failure) = 0;
};

/// A serialized request.
struct OutgoingRequest
{
    std::string bytes; ///< Head and body.
    /// Answers that carry another id are skipped. An answer without an id is accepted only as the
    /// connection's first. Empty: any answer is accepted that carries no id.
    std::string id;
    bool isHead = false; ///< A HEAD request, whose answer has no body.
};

class TargetConnection;

/// Pool of connections to targets.
class TargetPool
{
public:
    /// \pre dialect outlives the pool.
    TargetPool(boost::asio::io_context &io, Metrics &metrics, const WireDialect &dialect);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends a request on an idle connection of the target or a new one. \pre handler lives until
    /// its last call or until cancel() of the returned connection.
    std::shared_ptr<TargetConnection> send(
        const Target &target, OutgoingRequest request, AnswerHandler &handler);
    /// Finds out whether a target's process has ended: its machine then refuses a connection.
    /// Calls the handler once, unless the pool's io_context ends before.
    void probe(const Target &target, std::function<void(bool refused)> handler);
    /// Closes the idle connections of a target.
    void closeIdle(std::string_view targetId);
    /// Closes the idle connections of targets that are not in the directory.
    void closeUnlisted(const TargetDirectory &directory);

private:
    friend class TargetConnection;
    struct Private;
    std::unique_ptr<Private> d;
};

/// One connection to a target. Owned by the pool while idle and by its request while busy.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    /// \pre targetPool outlives the connection's last call.
    TargetConnection(TargetPool::Private &targetPool, std::string id,
        const boost::asio::ip::tcp::endpoint &address);

    /// Resets the connection, so that what the network still holds of the request is discarded. The
    /// handler is not called again.
    void cancel();
    /// Reads no further bytes until resumeReading(); those that were received are still handed on.
    /// May be called from within the handler.
    void pauseReading() { this->readingPaused = true; }
    void resumeReading();
    /// Closes the connection since its answer exceeds a bound. The handler is told, and that the
    /// answer failed. Does nothing on an idle connection. May be called from within the handler.
    void endAtBound(AnswerBound bound);

private:
    friend class TargetPool;
    enum class BodyEnd : std::uint8_t {
        Open, ///< The body isn't complete, or nothing is awaited behind it.
        MoreAtHand, ///< Bytes behind the complete body are there and were not read yet.
        AwaitingRest, ///< See awaitRest().
        AwaitingEnd, ///< The sending side is closed.
    };
    void begin(OutgoingRequest request, AnswerHandler &handler);
    void connect();
    void write();
    void onWritten(const boost::system::error_code &error);
    void read();
    /// Notices that the target ends the idle connection or sends bytes. They stay unread, so that
    /// hasUnexpectedInput() finds them until then.
    void awaitIdleInput();
    /// Whether bytes or an end of the idle connection are there. They belong to no request.
    bool hasUnexpectedInput();
    void closeIdle();
    void onReadable(const boost::system::error_code &error, std::size_t bytes);
    /// Decides whether the answer is complete at the end of the connection that a read has found.
    /// The end of an answer without length and chunks counts only after the end of the upload.
    void onEnd(const boost::system::error_code &error);
    /// Returns false when the answer ended and the connection was closed or returned to the pool.
    bool parse();
    /// \param pending Received bytes; those that were parsed are removed from its beginning.
    bool parseOnce(std::string_view &pending, boost::system::error_code &error);
    void failParsing(const boost::system::error_code &error);
    /// Hands bytes of the body on, except those that may belong to another answer.
    void passOnBody(const std::string &bytes);
    /// Hands on what is held of the body, except its last bytes.
    void releaseBody(std::uint64_t kept);
    /// Ends the answer whose body is complete, or waits for what follows it. Returns false when the
    /// answer ended.
    bool endBody();
    /// Asks the handler what to do with a body that may be cut. Returns as endBody().
    bool settleDoubt(BodyDoubt doubt);
    /// Waits for further bytes, and then closes the sending side, so that the target closes its
    /// side once it has sent everything that belongs to the connection.
    void awaitRest();
    bool isAwaitingRest() const
    {
        return this->bodyEnd == BodyEnd::AwaitingRest || this->bodyEnd == BodyEnd::AwaitingEnd;
    }
    void startRestTimer(Duration time);
    void onRestTimeOver();
    /// Ends the answer whose body is whole.
    void finishBody();
    /// Ends the answer whose body is not what the target sent for it, or may not be.
    void discardBody(TargetFailure failure, std::string_view why);
    void startReader();
    /// Decides whose answer begins. Returns false when the connection was closed.
    bool onHeadRead();
    /// Reads another request's answer by its own framing.
    void skipForeignAnswer();
    bool isAttributable(const AnswerFacts &facts) const;
    void onSkippedTimeOver();
    /// Looks for other answers in the body from now on.
    void startScanner(const MessageHead &head);
    void finish();
    void fail(TargetFailure failure);
    /// Closes the connection whose request is given up on.
    void reset();
    void close();
    void updateIdleTime(const MessageHead &head);

    TargetPool::Private &pool;
    std::string targetId;
    boost::asio::ip::tcp::endpoint endpoint;
    boost::asio::ip::tcp::socket socket;
    /// Of connecting, later of skipping an answer or waiting for what is behind a body.
    boost::asio::steady_timer timer;
    std::array<char, 8'192> readBuffer;
    std::string receiveBuffer;
    std::unique_ptr<AnswerReader> reader;
    /// Of the body; nullptr for answers without a request id.
    std::unique_ptr<JoinedAnswerScanner> scanner;
    std::string heldBody; ///< Received and not handed on.
    std::string headBytes; ///< Of the answer being read; kept only for HEAD requests.
    OutgoingRequest request;
    AnswerHandler *handler = nullptr; ///< nullptr while idle.
    bool connected = false;
    bool reading = false;
    bool readingPaused = false;
    bool writing = false;
    boost::system::error_code writeError; ///< Of the request's write, if it failed.
    bool endedWhileWriting = false; ///< The target has closed its side; see onEnd().
    bool sent = false;
    bool headReceived = false;
    BodyEnd bodyEnd = BodyEnd::Open;
    bool readBufferFilled = false; ///< By the last read, so that more may be at hand.
    bool holdsQuotes = false; ///< Bytes of the body from its first status line on are held.
    bool bytesFollow = false; ///< The complete body.
    bool skippingAnswer = false; ///< The answer being read is informational or another request's.
    bool boreForeignAnswer = false; ///< What follows on the connection is not trusted further.
    std::size_t skippedBytes = 0; ///< Read for the current request before its own answer's head.
    bool reusable = true;
    std::uint64_t requestsCarried = 0; ///< Including the current one.
    TimePoint idleUntil;
};

} // namespace wigeonsill
