/// \file entrydaemon.h
/// The entry process: connects the core to callers, agents and the platform.
#pragma once

#include "agentchoice.h"
#include "agentconnections.h"
#include "callerfrontend.h"
#include "claimclient.h"
#include "configurationupdater.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

/// Settings of an entry in addition to those common to all daemons.
struct EntrySettings
{
    Location location;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint instanceList;
    EntryLimits limits;
    AgentChoiceLimits agentChoice;
    HttpServerLimits http;
    ConfigurationUpdaterSettings configurationUpdater;
};

/// Reads and validates the settings; problems are reported to the reader.
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
    /// Performs the core's pending actions, including those that arise meanwhile. Nested calls
    /// return at once.
    void performActions();
    void perform(SendToAgent &action);
    void perform(ReconnectAgent &action);
    void perform(DeliverHead &action);
    void perform(DeliverBytes &action);
    void perform(DeliverEnd &action);
    void perform(ClaimKey &action);
    void perform(RecordClaim &action);

    /// Counts the decision about an idempotency key and passes it to the core.
    void claimDecided(const RequestId &id, const ClaimDecision &decision);
    void applyConfiguration(std::shared_ptr<const Configuration> configuration);

    boost::asio::awaitable<void> tickLoop();
    /// Fetches the instance list periodically and applies it.
    boost::asio::awaitable<void> pollInstances();

    DaemonContext context;
    Incarnation incarnation;
    Location location;
    AgentChoiceLimits agentChoice;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<Store> store;
    std::unique_ptr<InstanceList> instanceList;
    ClaimClient claimClient;
    CallerFrontEnd frontEnd;
    AgentConnections agentConnections;
    HttpServer server;
    ConfigurationUpdater configurationUpdater;
    bool performingActions = false;
};

} // namespace wigeonsill
