/// \file targetpool.h
/// Kept connections to targets, and one request with its answer on each.
#pragma once

#include "messagereader.h"

namespace wigeonsill {

/// Why an answer did not come whole.
enum class TargetFailure : std::uint8_t {
    NotConnected, ///< No byte of the request left.
    ClosedWithoutAnswer, ///< The request may have run.
    Malformed, ///< What came is no answer.
    Truncated, ///< The answer began and did not end.
};
inline constexpr std::array targetFailureNames = {
    EnumName<TargetFailure>{ TargetFailure::NotConnected, "not-connected" },
    EnumName<TargetFailure>{ TargetFailure::ClosedWithoutAnswer, "closed-without-answer" },
    EnumName<TargetFailure>{ TargetFailure::Malformed, "malformed-answer" },
    EnumName<TargetFailure>{ TargetFailure::Truncated, "answer-broken-off" },
};

/// Receives one answer. Exactly one of the last two calls comes, and nothing after it.
class AnswerHandler
{
public:
    virtual ~AnswerHandler() = default;
    /// The request's first byte is about to leave.
    virtual void onSent() = 0;
    virtual void onAnswerHead(const MessageHead &head) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerEnd() = 0;
    virtual void onAnswerFailed(TargetFailure failure) = 0;
};

/// A request ready to be written.
struct OutgoingRequest
{
    std::string bytes; ///< Head and body.
    std::string id; ///< Answers that name another request are passed over.
    bool isHead = false; ///< The answer has no body.
};

class TargetConnection;

/// The connections of one entry to all targets.
class TargetPool
{
public:
    /// \pre dialect outlives the pool.
    TargetPool(boost::asio::io_context &io, Metrics &metrics, const WireDialect &dialect);
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends a request on a kept connection or a new one. \pre handler lives until its last call
    /// or until cancel() of the returned connection.
    std::shared_ptr<TargetConnection> send(
        const Target &target, OutgoingRequest request, AnswerHandler &handler);
    /// Closes the kept connections of targets that are gone.
    void closeUnlisted(const TargetDirectory &directory);

private:
    friend class TargetConnection;
    struct Private;
    std::unique_ptr<Private> d;
};

/// One connection. Owned by the pool while idle and by its request while busy.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    /// \pre owner outlives the connection's last call.
    TargetConnection(TargetPool::Private &targetPool, std::string id,
        const boost::asio::ip::tcp::endpoint &address);

    /// Ends the connection; the handler is not called any more.
    void cancel();

private:
    friend class TargetPool;
    void begin(OutgoingRequest request, AnswerHandler &handler);
    void connect();
    void write();
    void read();
    void onReadable(const boost::system::error_code &error, std::size_t bytes);
    /// Returns false when the connection was closed or handed back.
    bool parse();
    bool parseOnce(boost::system::error_code &error);
    void finish();
    void fail(TargetFailure failure);
    void close();
    void updateIdleTime(const MessageHead &head);

    TargetPool::Private &pool;
    std::string targetId;
    boost::asio::ip::tcp::endpoint endpoint;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer connectTimer;
    std::array<char, 8'192> readBuffer;
    std::string receiveBuffer;
    std::unique_ptr<AnswerReader> reader;
    OutgoingRequest request;
    AnswerHandler *handler = nullptr; ///< nullptr while idle.
    bool connected = false;
    bool reading = false;
    bool writing = false;
    bool sent = false;
    bool headReceived = false;
    bool skippingAnswer = false; ///< The answer being read belongs to another request.
    bool reusable = true;
    TimePoint idleUntil;
};

} // namespace wigeonsill
