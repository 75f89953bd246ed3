/// \file wire.h
/// Public header of the wire library: encoding of the messages between entries and agents, and the
/// framed connection that carries them. Every message is one Cap'n Proto message in one frame.
#pragma once

#include "wigeonsill/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>

namespace wigeonsill {

/// First message of an entry on a connection.
struct EntryHello
{
    Incarnation incarnation;
    Location location;
};

/// A frame of an entry: its hello, then messages.
using EntryFrame = std::variant<EntryHello, EntryMessage>;

/// Largest frame that is sent or taken, in bytes.
constexpr std::size_t maximumFrame = 33'554'432;

/// Encoding. Thread-safe. Decoding fails with MessageMalformed.
std::string encodeFrame(const EntryFrame &frame);
std::string encodeFrame(const AgentMessage &message);
Result<EntryFrame> decodeEntryFrame(std::string_view bytes);
Result<AgentMessage> decodeAgentFrame(std::string_view bytes);

/// Names of the kinds of message, in the order of their variants.
inline constexpr std::array<std::string_view, std::variant_size_v<EntryMessage>> entryMessageKinds
    = { "reserve", "withdraw", "bind", "decline", "cancelRun", "resume", "acknowledge",
          "heartbeat" };
inline constexpr std::array<std::string_view, std::variant_size_v<AgentMessage>> agentMessageKinds
    = { "hello", "pull", "reservationEnded", "answerHead", "answerBytes", "answerEnd", "notRun",
          "stillRunning", "heartbeat" };

/// Messages that went one way, by kind. Not thread-safe.
class TrafficCount
{
public:
    /// \param metricName Name of the counter. \param messageKinds Outlive this object.
    TrafficCount(std::string metricName, std::span<const std::string_view> messageKinds);
    /// \param kind Index in the list of kinds. \param frameBytes Without the frame's length.
    void add(std::size_t kind, std::size_t frameBytes);
    /// Adds what has come since the last call to the metrics.
    void publish(Metrics &metrics);
    /// Messages and bytes of each kind since the start; kinds that never came are left out.
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

/// A TCP connection that carries frames: four bytes of length, little endian, then the body.
/// Not thread-safe. Handlers run on the connection's io_context, never inside a call to it.
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
    /// Queues a frame. Frames leave in order; nothing is sent after close().
    void send(std::string body);
    /// Ends the connection. No handler runs afterwards.
    void close();
    /// Bytes queued and not yet written.
    std::size_t queuedBytes() const { return this->queued; }
    /// Totals since the start, headers included.
    std::uint64_t bytesSent() const { return this->sent; }
    std::uint64_t bytesReceived() const { return this->received; }

private:
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);
    void readHeader();
    void readBody();
    void writeNext();
    void fail(const Error &error);

    boost::asio::ip::tcp::socket socket;
    Handlers handlers;
    std::deque<std::string> outgoing;
    std::vector<std::string> writing;
    std::array<unsigned char, 4> header{};
    std::string body;
    std::size_t queued = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    bool closed = false;
};

} // namespace wigeonsill
