/// \file wire.h
/// Encoding of the messages between entries and agents, and the framed connection that transports
/// them. Each frame contains exactly one Cap'n Proto message.
#pragma once

#include "wigeonsill/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>

namespace wigeonsill {

/// The first message that an entry sends on a connection.
struct EntryHello
{
    Incarnation incarnation;
    Location location;
};

/// Content of a frame from an entry: first EntryHello, then any number of EntryMessage.
using EntryFrame = std::variant<EntryHello, EntryMessage>;

/// Maximum size of a frame without its length prefix, in bytes. A larger frame that is received
/// ends the connection.
constexpr std::size_t maximumFrameBytes = 33'554'432;

/// Encode and decode the content of one frame, without the length prefix. Thread-safe.
/// Decoding errors: MessageMalformed.
std::string encodeFrame(const EntryFrame &frame);
std::string encodeFrame(const AgentMessage &message);
Result<EntryFrame> decodeEntryFrame(std::string_view bytes);
Result<AgentMessage> decodeAgentFrame(std::string_view bytes);

/// Names of the message kinds, in the order of the variants' alternatives.
inline constexpr std::array<std::string_view, std::variant_size_v<EntryMessage>> entryMessageKinds
    = { "reserve", "withdraw", "bind", "decline", "cancelRun", "resume", "acknowledge",
          "heartbeat" };
inline constexpr std::array<std::string_view, std::variant_size_v<AgentMessage>> agentMessageKinds
    = { "hello", "pull", "reservationEnded", "answerHead", "answerBytes", "answerEnd", "notRun",
          "stillRunning", "heartbeat" };

/// Counts messages and bytes of one direction, by message kind. Not thread-safe.
class TrafficCounters
{
public:
    /// \param metricName Name of the counter metric.
    /// \param messageKinds Names of the kinds; must outlive this object.
    TrafficCounters(std::string metricName, std::span<const std::string_view> messageKinds);
    /// Counts one message.
    /// \param kind Index in the list of kinds.
    /// \param frameBytes Size of the frame without its length prefix, which add() includes itself.
    void add(std::size_t kind, std::size_t frameBytes);
    /// Adds the bytes counted since the last call to the metrics.
    void publish(Metrics &metrics);
    /// Messages and bytes of each kind since construction; kinds without messages are omitted.
    boost::json::object toJson() const;

private:
    struct Total
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t publishedBytes = 0;
    };

    std::string name;
    std::span<const std::string_view> kinds;
    std::vector<Total> totals;
};

/// A TCP connection that transports frames: a length prefix of four bytes, little endian, then the
/// body. Not thread-safe. Handlers run on the connection's io_context, never inside a call to this
/// object.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers
    {
        std::function<void(std::string_view frame)> onFrame;
        /// Called once when the connection fails or the peer closes it; not after close().
        std::function<void(const Error &error)> onClosed;
    };

    static std::shared_ptr<FrameConnection> create(boost::asio::ip::tcp::socket socket);

    /// Starts reading. \pre called once.
    void start(Handlers handlers);
    /// Queues a frame. Frames are sent in order; nothing is sent after close().
    void send(std::string body);
    /// Closes the connection. No handler runs afterwards.
    void close();
    /// Bytes queued but not yet written to the socket, length prefixes included.
    std::size_t queuedBytes() const { return this->queuedSize; }
    /// Total bytes since construction, length prefixes included.
    std::uint64_t bytesSent() const { return this->sentSize; }
    std::uint64_t bytesReceived() const { return this->receivedSize; }

private:
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);
    void readHeader();
    void readBody();
    void writeNext();
    void fail(const Error &error);

    boost::asio::ip::tcp::socket socket;
    Handlers handlers;
    std::deque<std::string> outgoingBuffers;
    std::vector<std::string> buffersBeingWritten;
    std::array<unsigned char, 4> header{};
    std::string body;
    std::size_t queuedSize = 0;
    std::uint64_t sentSize = 0;
    std::uint64_t receivedSize = 0;
    bool closed = false;
};

} // namespace wigeonsill
