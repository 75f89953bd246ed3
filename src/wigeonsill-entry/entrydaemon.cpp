/// \file entrydaemon.cpp
/// The entry process.
#include "entrydaemon.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration tickInterval = milliseconds(50);
constexpr Duration instanceListPollInterval = seconds(1);

asio::awaitable<void> sleepFor(asio::io_context &io, Duration duration)
{
    asio::steady_timer timer(io, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::unique_ptr<EntryCore> buildCore(const EntrySettings &settings, const Incarnation &incarnation)
{
    EntryCoreBuilder builder;
    builder.incarnation(incarnation);
    builder.location(settings.location);
    builder.limits(settings.limits);
    builder.seed(incarnation.low);
    return builder.build();
}

} // namespace

EntrySettings readEntrySettings(SettingsReader &reader)
{
    EntrySettings settings;
    settings.location.instance = reader.text("instance");
    settings.location.region = reader.text("region");
    settings.location.failureDomain = reader.text("failureDomain");
    settings.listen = readEndpoint(reader, "listen", "127.0.0.1:0");
    settings.store = readEndpoint(reader, "store");
    settings.instanceList = readEndpoint(reader, "instanceList");
    settings.configurationUpdater = readConfigurationUpdaterSettings(
        reader.object("peers"), { settings.location.instance, settings.location.region });
    SettingsReader limits = reader.object("limits");
    settings.limits.maximumWaiting = static_cast<std::size_t>(limits.number(
        "maximumWaiting", 1, 1'000'000, std::int64_t(settings.limits.maximumWaiting)));
    settings.limits.candidates = static_cast<std::size_t>(
        limits.number("candidates", 1, 64, std::int64_t(settings.limits.candidates)));
    settings.limits.placement = limits.choice<PlacementStrategy>(
        "placement", placementStrategyNames, settings.limits.placement);
    settings.agentChoice.agentsPerPoolInRegion = static_cast<std::size_t>(limits.number(
        "agentsPerPool", 1, 10'000, std::int64_t(settings.agentChoice.agentsPerPoolInRegion)));
    settings.agentChoice.agentsPerPoolElsewhere
        = static_cast<std::size_t>(limits.number("agentsPerPoolElsewhere", 0, 10'000,
            std::int64_t(settings.agentChoice.agentsPerPoolElsewhere)));
    settings.limits.heartbeatTimeout
        = readMilliseconds(limits, "silenceLimitMs", 100, 60'000, settings.limits.heartbeatTimeout);
    settings.limits.agentLostAfter = readMilliseconds(
        limits, "agentLostAfterMs", 100, 600'000, settings.limits.agentLostAfter);
    settings.http.headerBytes = static_cast<std::uint32_t>(
        limits.number("headerBytes", 1024, 1'048'576, settings.http.headerBytes));
    settings.http.bodyBytes = static_cast<std::uint64_t>(
        limits.number("bodyBytes", 1024, 16'777'216, std::int64_t(settings.http.bodyBytes)));
    settings.http.headerTimeout
        = readMilliseconds(limits, "headerTimeMs", 100, 600'000, settings.http.headerTimeout);
    settings.http.bodyTimeout
        = readMilliseconds(limits, "bodyTimeMs", 100, 600'000, settings.http.bodyTimeout);
    settings.http.writeTimeout
        = readMilliseconds(limits, "writeTimeMs", 100, 600'000, settings.http.writeTimeout);
    limits.finish();
    return settings;
}

EntryDaemon::EntryDaemon(DaemonContext daemonContext, const EntrySettings &settings)
    : context(daemonContext)
    , incarnation(generateIncarnation())
    , location(settings.location)
    , agentChoice(settings.agentChoice)
    , core(buildCore(settings, this->incarnation))
    , store(makeHttpStore(daemonContext.io, settings.store))
    , instanceList(makeHttpInstanceList(daemonContext.io, settings.instanceList))
    , claimClient(daemonContext.io, *this->store,
          [this](const RequestId &id, const ClaimDecision &decision) {
              this->claimDecided(id, decision);
          })
    , frontEnd(daemonContext, *this->core, [this] { this->performActions(); })
    , agentConnections(daemonContext, *this->core,
          EntryHello{ this->incarnation, settings.location }, [this] { this->performActions(); })
    , server(
          daemonContext.io, settings.listen,
          [this](HttpRequest &request, HttpResponder &responder) {
              return this->frontEnd.handle(request, responder);
          },
          settings.http)
    , configurationUpdater(daemonContext, *this->store, settings.configurationUpdater,
          [this](std::shared_ptr<const Configuration> configuration) {
              this->applyConfiguration(std::move(configuration));
          })
{
    this->agentConnections.setRevisionHandler(
        [this](std::uint64_t revision) { this->configurationUpdater.revisionReceived(revision); });
}

void EntryDaemon::start()
{
    this->server.start();
    this->claimClient.start();
    spawn(this->context.io, this->tickLoop());
    this->configurationUpdater.start();
    spawn(this->context.io, this->pollInstances());
}

bool EntryDaemon::isReady() const
{
    return this->frontEnd.configuration() != nullptr;
}

void EntryDaemon::drain()
{
    this->core->drain();
    this->server.drain();
}

bool EntryDaemon::isDrained() const
{
    return this->core->requestsInProgress() == 0 && this->claimClient.inProgress() == 0
        && this->server.connectionCount() == 0;
}

json::object EntryDaemon::dumpState() const
{
    json::object state = this->core->dumpState(currentTime());
    state["connections"] = this->server.connectionCount();
    state["messages"] = this->agentConnections.dumpTraffic();
    state["claimsInProgress"] = this->claimClient.inProgress();
    const auto &configuration = this->frontEnd.configuration();
    state["configuration"] = this->configurationUpdater.dumpState();
    state["organisations"] = configuration ? configuration->organisationCount() : 0;
    return state;
}

void EntryDaemon::updateMetrics()
{
    const auto setGauge = [this](std::string_view name, double value) {
        this->context.metrics.gauge(name, {}, value);
    };
    setGauge("wigeonsill_entry_waiting", double(this->core->requestsWaiting()));
    setGauge("wigeonsill_entry_in_progress", double(this->core->requestsInProgress()));
    setGauge("wigeonsill_entry_agents_connected", double(this->core->connectedAgents()));
    setGauge("wigeonsill_entry_caller_connections", double(this->server.connectionCount()));
    setGauge("wigeonsill_entry_claims_in_progress", double(this->claimClient.inProgress()));
    this->agentConnections.publishTraffic();
}

std::map<std::string, std::uint16_t> EntryDaemon::ports() const
{
    return { { "listen", this->server.endpoint().port() },
        { "peers", this->configurationUpdater.port() } };
}

void EntryDaemon::performActions()
{
    if (this->performingActions) {
        return;
    }
    this->performingActions = true;
    for (std::vector<EntryAction> actions = this->core->takeActions(); !actions.empty();
         actions = this->core->takeActions()) {
        for (EntryAction &action : actions) {
            std::visit([this](auto &typedAction) { this->perform(typedAction); }, action);
        }
    }
    this->performingActions = false;
}

void EntryDaemon::perform(SendToAgent &action)
{
    this->agentConnections.send(action);
}

void EntryDaemon::perform(ReconnectAgent &action)
{
    LOG4CPLUS_WARN(
        logger("entry.link"), "Agent " << action.agent << " is unresponsive; reconnecting.");
    this->agentConnections.reconnect(action.agent);
}

void EntryDaemon::perform(DeliverHead &action)
{
    this->frontEnd.deliver(std::move(action));
}

void EntryDaemon::perform(DeliverBytes &action)
{
    this->frontEnd.deliver(action);
}

void EntryDaemon::perform(DeliverEnd &action)
{
    this->frontEnd.deliver(action);
}

void EntryDaemon::perform(ClaimKey &action)
{
    this->claimClient.claim(std::move(action));
}

void EntryDaemon::perform(RecordClaim &action)
{
    this->claimClient.record(std::move(action));
}

void EntryDaemon::claimDecided(const RequestId &id, const ClaimDecision &decision)
{
    const std::string_view result
        = decision.replay ? std::string_view("Replayed") : resultInfo(decision.result).name;
    this->context.metrics.count(
        "wigeonsill_entry_claims_total", "result=\"" + std::string(result) + "\"");
    this->core->claimDecided(currentTime(), id, decision);
    this->performActions();
}

asio::awaitable<void> EntryDaemon::tickLoop()
{
    for (;;) {
        co_await sleepFor(this->context.io, tickInterval);
        this->core->tick(currentTime());
        this->performActions();
    }
}

void EntryDaemon::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    this->core->setConfigurationRevision(configuration->revision);
    this->frontEnd.setConfiguration(std::move(configuration));
}

asio::awaitable<void> EntryDaemon::pollInstances()
{
    for (;;) {
        const auto instances = co_await this->instanceList->fetch();
        if (instances) {
            this->agentConnections.updateInstances(
                chooseAgents(this->location, instances.value(), this->agentChoice));
            this->configurationUpdater.updateInstances(instances.value());
        } else {
            LOG4CPLUS_WARN(logger("entry.instances"),
                "Failed to fetch the instance list: " << instances.error().detail << ".");
        }
        co_await sleepFor(this->context.io, instanceListPollInterval);
    }
}

} // namespace wigeonsill
