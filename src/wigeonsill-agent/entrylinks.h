/// \file entrylinks.h
/// The agent's connections from the entries.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/wire.h"

namespace wigeonsill {

/// Accepts entries; the newest connection of an entry is the one in use. Not thread-safe.
class EntryLinks
{
public:
    EntryLinks(DaemonContext context, AgentCore &core,
        const boost::asio::ip::tcp::endpoint &endpoint, std::function<void()> pump);
    ~EntryLinks();
    EntryLinks(const EntryLinks &) = delete;
    EntryLinks &operator=(const EntryLinks &) = delete;

    void start();
    std::uint16_t port() const;
    void send(const SendToEntry &action);
    void publishTraffic();

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> pauseAccepting();
    /// Ends connections that never said who they are.
    void dropSilentNewcomers();
    void attach(boost::asio::ip::tcp::socket socket);
    void onFrame(const LinkPointer &link, std::string_view frame);
    void onHello(const LinkPointer &link, const EntryHello &hello);
    void onClosed(const LinkPointer &link);

    DaemonContext context;
    AgentCore &core;
    boost::asio::ip::tcp::acceptor acceptor;
    std::function<void()> pump;
    std::map<Incarnation, LinkPointer> links;
    TrafficCount sentTraffic{ "wigeonsill_agent_entry_sent_bytes_total", agentMessageKinds };
    TrafficCount receivedTraffic{ "wigeonsill_agent_entry_received_bytes_total",
        entryMessageKinds };
    std::vector<LinkPointer> newcomers; ///< Connections without a hello so far.
};

} // namespace wigeonsill
