/// \file agentdaemon.h
/// The agent process: the agent core, the connections of the entries and the HTTP client of the
/// target.
#pragma once

#include "entryconnections.h"
#include "targetrunner.h"

namespace wigeonsill {

/// Settings that only the agent has, besides those common to every daemon.
struct AgentSettings
{
    Location location;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint target;
    std::vector<std::string> pools;
    Duration targetReadTimeout = seconds(120); ///< For each read of an answer from the target.
    AgentLimits limits;
};

/// Reads the agent's settings; problems are added to the reader's list.
AgentSettings readAgentSettings(SettingsReader &reader);

/// One agent process.
class AgentDaemon : public Daemon
{
public:
    AgentDaemon(DaemonContext context, const AgentSettings &settings);

    void start() override;
    bool isReady() const override { return true; }
    void drain() override;
    bool isDrained() const override;
    boost::json::object dumpState() const override;
    void updateMetrics() override;
    std::map<std::string, std::uint16_t> ports() const override;

private:
    /// Performs the core's actions until there are none left. A nested call returns at once; its
    /// actions are performed by the outer call.
    void performActions();
    void perform(SendToEntry &action);
    void perform(StartAtTarget &action);
    void perform(CancelAtTarget &action);
    void perform(PauseTarget &action);
    boost::asio::awaitable<void> tickLoop();

    DaemonContext context;
    std::unique_ptr<AgentCore> core;
    EntryConnections entryConnections;
    TargetRunner runner;
    bool performingActions = false;
};

} // namespace wigeonsill
