/// \file peer.h
/// Cap'n Proto RPC on an io_context, by which processes distribute the configuration to each other.
/// Everything runs in one thread; nothing here is thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wigeonsill {

/// Runs Cap'n Proto's event loop as part of an io_context.
/// \pre at most one per thread; it outlives every server and connection that uses it.
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

/// The configuration root in force at a process.
struct PeerRoot
{
    std::uint64_t revision = 0;
    std::string text; ///< Empty when the root is not newer than the caller's.
};

/// One part of a configuration, to which a root refers by id.
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
    Duration age{}; ///< Time since that process reported the revision.
};

/// The configuration that a server provides to its peers.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;
    virtual PeerRoot root() const = 0;
    /// Text of a part; null when this process does not have it.
    virtual std::shared_ptr<const std::string> part(const std::string &id) const = 0;
    /// Called when another process asks for the root and reports the revision that it has in force.
    virtual void recordCallerRevision(const std::string &instance, std::uint64_t revision) = 0;
    /// The revisions in force at this process and at those that reported recently.
    virtual std::vector<RevisionReport> reports() const = 0;
};

/// Serves the configuration to peers.
class PeerServer
{
public:
    /// Binds and listens in the constructor. Port 0 selects a free port.
    /// \pre loop and source outlive the server.
    /// Throws boost::system::system_error when the address cannot be bound.
    PeerServer(
        RpcLoop &loop, const boost::asio::ip::tcp::endpoint &endpoint, ConfigurationSource &source);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts accepting. \pre called once.
    void start();
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Completes the calls that wait for a newer root.
    void rootChanged();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/// A connection to one peer. Each call fails with ConnectionClosed when it times out or the peer
/// disconnects; the connection must not be used afterwards. Only one call at a time. A coroutine
/// that waits for a call may outlive the connection but must not access it then.
class PeerConnection
{
public:
    explicit PeerConnection(RpcLoop &loop);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Errors: ConnectionFailed.
    boost::asio::awaitable<Result<void>> connect(boost::asio::ip::tcp::endpoint endpoint);
    /// Fetches the root if it is newer than knownRevision.
    /// \param wait Maximum time for which the peer may delay its response until it has a newer
    /// root. \pre connect() succeeded.
    boost::asio::awaitable<Result<PeerRoot>> fetchRoot(
        std::string instance, std::uint64_t knownRevision, Duration wait);
    /// May return fewer parts than requested. \pre connect() succeeded.
    boost::asio::awaitable<Result<std::vector<PeerPart>>> fetchParts(std::vector<std::string> ids);
    /// \pre connect() succeeded.
    boost::asio::awaitable<Result<std::vector<RevisionReport>>> fetchReports();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace wigeonsill
