/// \file agentdaemon.h
/// The agent process: the core, and what connects it to entries and the target.
#pragma once

#include "entrylinks.h"
#include "targetrunner.h"

namespace wigeonsill {

/// Settings of an agent beside those of every daemon.
struct AgentSettings
{
    Location location;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint target;
    std::vector<std::string> pools;
    Duration targetSilence = seconds(120);
    AgentLimits limits;
};

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
    void pump();
    void perform(SendToEntry &action);
    void perform(StartAtTarget &action);
    void perform(CancelAtTarget &action);
    void perform(PauseTarget &action);
    boost::asio::awaitable<void> tickLoop();

    DaemonContext context;
    std::unique_ptr<AgentCore> core;
    EntryLinks links;
    TargetRunner runner;
    bool pumping = false;
};

} // namespace wigeonsill
