/// \file agentconnections.h
/// Connections of an entry to the agents.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"
#include "wigeonsill/platform.h"
#include "wigeonsill/wire.h"

namespace wigeonsill {

/// Maintains one connection to each listed agent. Not thread-safe.
class AgentConnections
{
public:
    /// \param performActions Performs the pending actions of the core; called after each event that
    /// is passed to the core. \pre core outlives this object.
    AgentConnections(DaemonContext context, EntryCore &core, EntryHello hello,
        std::function<void()> performActions);
    ~AgentConnections();
    AgentConnections(const AgentConnections &) = delete;
    AgentConnections &operator=(const AgentConnections &) = delete;

    /// Applies the current instance list: connects to new agents, reconnects to agents whose
    /// endpoint changed, and informs the core which agents are leaving.
    void updateInstances(const std::vector<ListedInstance> &instances);
    /// Sets the function that is called with the configuration revision of each heartbeat.
    void setRevisionHandler(std::function<void(std::uint64_t)> function);
    /// Sends a message; drops it if the agent is not connected or has not sent its hello yet.
    void send(const SendToAgent &action);
    /// Updates the traffic metrics.
    void publishTraffic();
    /// Closes the connection to an agent and opens a new one.
    void reconnect(const std::string &agent);
    /// Messages exchanged with all agents since the start of the process.
    boost::json::object dumpTraffic() const;

private:
    struct AgentRecord;
    using AgentRecordPointer = std::shared_ptr<AgentRecord>;

    boost::asio::awaitable<void> maintainConnection(AgentRecordPointer record);
    void startConnection(const AgentRecordPointer &record, boost::asio::ip::tcp::socket socket);
    void onFrame(
        const AgentRecordPointer &record, std::uint64_t connectionNumber, std::string_view frame);
    void onClosed(
        const AgentRecordPointer &record, std::uint64_t connectionNumber, const Error &error);

    DaemonContext context;
    EntryCore &core;
    EntryHello hello;
    std::function<void()> performActions;
    std::function<void(std::uint64_t)> revisionHandler = [](std::uint64_t) {};
    std::map<std::string, AgentRecordPointer> records;
    TrafficCounters sentTraffic{ "wigeonsill_entry_agent_sent_bytes_total", entryMessageKinds };
    TrafficCounters receivedTraffic{ "wigeonsill_entry_agent_received_bytes_total",
        agentMessageKinds };
};

} // namespace wigeonsill
