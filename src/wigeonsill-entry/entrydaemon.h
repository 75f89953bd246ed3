/// \file entrydaemon.h
/// The entry process: the core, and what connects it to callers, agents and the platform.
#pragma once

#include "agentchoice.h"
#include "agentlinks.h"
#include "callerfront.h"
#include "claimclient.h"
#include "configurationfeed.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

/// Settings of an entry beside those of every daemon.
struct EntrySettings
{
    Location location;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint instanceList;
    EntryLimits limits;
    AgentChoiceLimits agentChoice;
    HttpServerLimits http;
    ConfigurationFeedSettings feed;
};

EntrySettings readEntrySettings(SettingsReader &reader);

/// One entry process.
class EntryDaemon : public Daemon
{
public:
    EntryDaemon(DaemonContext context, const EntrySettings &settings);

    void start() override;
    bool isReady() const override;
    void drain() override;
    bool isDrained() const override;
    boost::json::object dumpState() const override;
    void updateMetrics() override;
    std::map<std::string, std::uint16_t> ports() const override;

private:
    /// Carries out the core's actions until there are none.
    void pump();
    void perform(SendToAgent &action);
    void perform(ReconnectAgent &action);
    void perform(DeliverHead &action);
    void perform(DeliverBytes &action);
    void perform(DeliverEnd &action);
    void perform(ClaimKey &action);
    void perform(RecordClaim &action);

    void claimDecided(const RequestId &id, const ClaimDecision &decision);
    void useConfiguration(std::shared_ptr<const Configuration> configuration);

    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> watchInstances();

    DaemonContext context;
    Incarnation incarnation;
    Location location;
    AgentChoiceLimits agentChoice;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<Store> store;
    std::unique_ptr<InstanceList> instanceList;
    ClaimClient claims;
    CallerFront front;
    AgentLinks links;
    HttpServer server;
    ConfigurationFeed feed;
    bool pumping = false;
};

} // namespace wigeonsill
