/// \file agentlinks.h
/// The entry's connections to the agents.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/platform.h"
#include "wigeonsill/wire.h"

namespace wigeonsill {

/// Keeps one connection to each listed agent. Not thread-safe.
class AgentLinks
{
public:
    AgentLinks(
        DaemonContext context, EntryCore &core, EntryHello hello, std::function<void()> pump);
    ~AgentLinks();
    AgentLinks(const AgentLinks &) = delete;
    AgentLinks &operator=(const AgentLinks &) = delete;

    /// Takes the present instance list: connects to new agents, tells the core who is leaving.
    void update(const std::vector<ListedInstance> &instances);
    /// Sets what is called with the revision that each heartbeat names.
    void whenRevisionHeard(std::function<void(std::uint64_t)> function);
    void send(const SendToAgent &action);
    void publishTraffic();
    /// Replaces the connection of an agent.
    void reconnect(const std::string &agent);
    /// Messages to and from all agents since the start.
    boost::json::object dumpTraffic() const;

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;

    boost::asio::awaitable<void> keepConnected(LinkPointer link);
    void attach(const LinkPointer &link, boost::asio::ip::tcp::socket socket);
    void onFrame(const LinkPointer &link, std::uint64_t attempt, std::string_view frame);
    void onClosed(const LinkPointer &link, std::uint64_t attempt, const Error &error);

    DaemonContext context;
    EntryCore &core;
    EntryHello hello;
    std::function<void()> pump;
    std::function<void(std::uint64_t)> revisionHeard = [](std::uint64_t) {};
    std::map<std::string, LinkPointer> links;
    TrafficCount sentTraffic{ "wigeonsill_entry_agent_sent_bytes_total", entryMessageKinds };
    TrafficCount receivedTraffic{ "wigeonsill_entry_agent_received_bytes_total",
        agentMessageKinds };
};

} // namespace wigeonsill
