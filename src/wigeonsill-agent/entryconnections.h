/// \file entryconnections.h
/// Connections of the entries to an agent.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/wire.h"

namespace wigeonsill {

/// Accepts connections of entries and forwards their messages to the core. A new connection of an
/// entry replaces its previous one. Not thread-safe.
class EntryConnections
{
public:
    /// \param performActions Performs the pending actions of the core; called after each event that
    /// is passed to the core. \pre core outlives this object.
    EntryConnections(DaemonContext context, AgentCore &core,
        const boost::asio::ip::tcp::endpoint &endpoint, std::function<void()> performActions);
    ~EntryConnections();
    EntryConnections(const EntryConnections &) = delete;
    EntryConnections &operator=(const EntryConnections &) = delete;

    /// Starts accepting connections.
    void start();
    std::uint16_t port() const;
    /// Sends a message; drops it if the entry is not connected.
    void send(const SendToEntry &action);
    /// Updates the traffic metrics.
    void publishTraffic();

private:
    struct ConnectionRecord;
    using ConnectionRecordPointer = std::shared_ptr<ConnectionRecord>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> pauseAccepting();
    /// Closes the connections whose hello has not arrived in time.
    void closeConnectionsWithoutHello();
    void addConnection(boost::asio::ip::tcp::socket socket);
    void onFrame(const ConnectionRecordPointer &record, std::string_view frame);
    void onHello(const ConnectionRecordPointer &record, const EntryHello &hello);
    void onClosed(const ConnectionRecordPointer &record);

    DaemonContext context;
    AgentCore &core;
    boost::asio::ip::tcp::acceptor acceptor;
    std::function<void()> performActions;
    std::map<Incarnation, ConnectionRecordPointer> records; ///< Connections after the hello.
    TrafficCounters sentTraffic{ "wigeonsill_agent_entry_sent_bytes_total", agentMessageKinds };
    TrafficCounters receivedTraffic{ "wigeonsill_agent_entry_received_bytes_total",
        entryMessageKinds };
    std::vector<ConnectionRecordPointer> recordsWithoutHello;
};

} // namespace wigeonsill
