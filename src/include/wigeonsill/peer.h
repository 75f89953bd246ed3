/// \file peer.h
/// Public header of the peer library: Cap'n Proto RPC by which processes hand the configuration to
/// each other, run on an io_context. One thread; nothing here is thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonsill {

/// Runs Cap'n Proto's event loop as part of an io_context.
/// \pre at most one in a thread; it outlives every server and connection that uses it.
class RpcLoop
{
public:
    explicit RpcLoop(boost::asio::io_context &context);
    ~RpcLoop();
    RpcLoop(const RpcLoop &) = delete;
    RpcLoop &operator=(const RpcLoop &) = delete;

    boost::asio::io_context &context();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// The root value in force at a process.
struct PeerRoot
{
    std::uint64_t revision = 0;
    std::string text; ///< Empty when it is not newer than the caller's.
};

/// A part of a configuration.
struct PeerPart
{
    std::string id;
    std::string text;
};

/// The revision in force at a process.
struct RevisionReport
{
    std::string instance;
    std::uint64_t revision = 0;
    Duration age{}; ///< Time since that process said so.
};

/// What a server hands out.
class PeerSource
{
public:
    virtual ~PeerSource() = default;
    virtual PeerRoot root() const = 0;
    /// Null when it is not held.
    virtual std::shared_ptr<const std::string> part(const std::string &id) const = 0;
    /// A process called and said which revision it has in force.
    virtual void callerReported(const std::string &instance, std::uint64_t revision) = 0;
    virtual std::vector<RevisionReport> reports() const = 0;
};

/// Answers peers.
class PeerServer
{
public:
    /// Binds at once. Port 0 takes a free one. \pre loop and source outlive the server.
    /// Throws boost::system::system_error when the address cannot be bound.
    PeerServer(RpcLoop &loop, const boost::asio::ip::tcp::endpoint &endpoint, PeerSource &source);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts accepting. \pre called once.
    void start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Answers the callers that wait for a newer root.
    void rootChanged();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/// A connection to one peer. Each call fails with ConnectionClosed when the peer does not answer
/// in time; the connection is of no use afterwards. One call at a time. A coroutine that waits for
/// a call may outlive the connection but must not touch it then.
class PeerConnection
{
public:
    explicit PeerConnection(RpcLoop &loop);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Errors: ConnectionFailed.
    boost::asio::awaitable<Result<void>> connect(boost::asio::ip::tcp::endpoint endpoint);
    /// \param wait Longest time that the peer may hold the call. \pre connect() succeeded.
    boost::asio::awaitable<Result<PeerRoot>> fetchRoot(
        std::string instance, std::uint64_t haveRevision, Duration wait);
    /// May return fewer than asked for. \pre connect() succeeded.
    boost::asio::awaitable<Result<std::vector<PeerPart>>> fetchParts(std::vector<std::string> ids);
    /// \pre connect() succeeded.
    boost::asio::awaitable<Result<std::vector<RevisionReport>>> fetchReports();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace wigeonsill
