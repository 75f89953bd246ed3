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
constexpr Duration instanceInterval = seconds(1);

asio::awaitable<void> pause(asio::io_context &io, Duration duration)
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
    settings.feed = readConfigurationFeed(
        reader.object("peers"), { settings.location.instance, settings.location.region });
    SettingsReader limits = reader.object("limits");
    settings.limits.maximumWaiting = static_cast<std::size_t>(limits.number(
        "maximumWaiting", 1, 1'000'000, std::int64_t(settings.limits.maximumWaiting)));
    settings.limits.candidates = static_cast<std::size_t>(
        limits.number("candidates", 1, 64, std::int64_t(settings.limits.candidates)));
    settings.limits.placement = limits.choice<PlacementStrategy>(
        "placement", placementStrategyNames, settings.limits.placement);
    settings.agentChoice.perPoolAtHome = static_cast<std::size_t>(limits.number(
        "agentsPerPool", 1, 10'000, std::int64_t(settings.agentChoice.perPoolAtHome)));
    settings.agentChoice.perPoolElsewhere = static_cast<std::size_t>(limits.number(
        "agentsPerPoolElsewhere", 0, 10'000, std::int64_t(settings.agentChoice.perPoolElsewhere)));
    settings.limits.silenceLimit
        = readMilliseconds(limits, "silenceLimitMs", 100, 60'000, settings.limits.silenceLimit);
    settings.limits.agentLostAfter = readMilliseconds(
        limits, "agentLostAfterMs", 100, 600'000, settings.limits.agentLostAfter);
    settings.http.headerBytes = static_cast<std::uint32_t>(
        limits.number("headerBytes", 1024, 1'048'576, settings.http.headerBytes));
    settings.http.bodyBytes = static_cast<std::uint64_t>(
        limits.number("bodyBytes", 1024, 16'777'216, std::int64_t(settings.http.bodyBytes)));
    settings.http.headerTime
        = readMilliseconds(limits, "headerTimeMs", 100, 600'000, settings.http.headerTime);
    settings.http.bodyTime
        = readMilliseconds(limits, "bodyTimeMs", 100, 600'000, settings.http.bodyTime);
    settings.http.writeTime
        = readMilliseconds(limits, "writeTimeMs", 100, 600'000, settings.http.writeTime);
    limits.finish();
    return settings;
}

EntryDaemon::EntryDaemon(DaemonContext daemonContext, const EntrySettings &settings)
    : context(daemonContext)
    , incarnation(drawIncarnation())
    , location(settings.location)
    , agentChoice(settings.agentChoice)
    , core(buildCore(settings, this->incarnation))
    , store(makeHttpStore(daemonContext.io, settings.store))
    , instanceList(makeHttpInstanceList(daemonContext.io, settings.instanceList))
    , claims(daemonContext.io, *this->store,
          [this](const RequestId &id, const ClaimDecision &decision) {
              this->claimDecided(id, decision);
          })
    , front(daemonContext, *this->core, [this] { this->pump(); })
    , links(daemonContext, *this->core, EntryHello{ this->incarnation, settings.location },
          [this] { this->pump(); })
    , server(
          daemonContext.io, settings.listen,
          [this](HttpRequest &request, HttpResponder &responder) {
              return this->front.handle(request, responder);
          },
          settings.http)
    , feed(daemonContext, *this->store, settings.feed,
          [this](std::shared_ptr<const Configuration> configuration) {
              this->useConfiguration(std::move(configuration));
          })
{
    this->links.whenRevisionHeard(
        [this](std::uint64_t revision) { this->feed.revisionHeard(revision); });
}

void EntryDaemon::start()
{
    this->server.start();
    this->claims.start();
    spawn(this->context.io, this->tickLoop());
    this->feed.start();
    spawn(this->context.io, this->watchInstances());
}

bool EntryDaemon::isReady() const
{
    return this->front.configuration() != nullptr;
}

void EntryDaemon::drain()
{
    this->core->drain();
    this->server.drain();
}

bool EntryDaemon::isDrained() const
{
    return this->core->requestsInProgress() == 0 && this->claims.inProgress() == 0
        && this->server.connectionCount() == 0;
}

json::object EntryDaemon::dumpState() const
{
    json::object state = this->core->dumpState(currentTime());
    state["connections"] = this->server.connectionCount();
    state["messages"] = this->links.dumpTraffic();
    state["claimsInProgress"] = this->claims.inProgress();
    const auto &configuration = this->front.configuration();
    state["configuration"] = this->feed.dumpState();
    state["organisations"] = configuration ? configuration->organisationCount() : 0;
    return state;
}

void EntryDaemon::updateMetrics()
{
    const auto set = [this](std::string_view name, double value) {
        this->context.metrics.gauge(name, {}, value);
    };
    set("wigeonsill_entry_waiting", double(this->core->requestsWaiting()));
    set("wigeonsill_entry_in_progress", double(this->core->requestsInProgress()));
    set("wigeonsill_entry_agents_connected", double(this->core->connectedAgents()));
    set("wigeonsill_entry_caller_connections", double(this->server.connectionCount()));
    set("wigeonsill_entry_claims_in_progress", double(this->claims.inProgress()));
    this->links.publishTraffic();
}

std::map<std::string, std::uint16_t> EntryDaemon::ports() const
{
    return { { "listen", this->server.endpoint().port() }, { "peers", this->feed.port() } };
}

void EntryDaemon::pump()
{
    if (this->pumping) {
        return;
    }
    this->pumping = true;
    for (std::vector<EntryAction> actions = this->core->takeActions(); !actions.empty();
         actions = this->core->takeActions()) {
        for (EntryAction &action : actions) {
            std::visit([this](auto &typed) { this->perform(typed); }, action);
        }
    }
    this->pumping = false;
}

void EntryDaemon::perform(SendToAgent &action)
{
    this->links.send(action);
}

void EntryDaemon::perform(ReconnectAgent &action)
{
    LOG4CPLUS_WARN(
        logger("entry.link"), "Agent " << action.agent << " is silent; connecting anew.");
    this->links.reconnect(action.agent);
}

void EntryDaemon::perform(DeliverHead &action)
{
    this->front.deliver(std::move(action));
}

void EntryDaemon::perform(DeliverBytes &action)
{
    this->front.deliver(action);
}

void EntryDaemon::perform(DeliverEnd &action)
{
    this->front.deliver(action);
}

void EntryDaemon::perform(ClaimKey &action)
{
    this->claims.claim(std::move(action));
}

void EntryDaemon::perform(RecordClaim &action)
{
    this->claims.record(std::move(action));
}

void EntryDaemon::claimDecided(const RequestId &id, const ClaimDecision &decision)
{
    const std::string_view result
        = decision.replay ? std::string_view("Replayed") : infoOf(decision.result).name;
    this->context.metrics.count(
        "wigeonsill_entry_claims_total", "result=\"" + std::string(result) + "\"");
    this->core->claimDecided(currentTime(), id, decision);
    this->pump();
}

asio::awaitable<void> EntryDaemon::tickLoop()
{
    for (;;) {
        co_await pause(this->context.io, tickInterval);
        this->core->tick(currentTime());
        this->pump();
    }
}

void EntryDaemon::useConfiguration(std::shared_ptr<const Configuration> configuration)
{
    this->core->setConfigurationRevision(configuration->revision);
    this->front.setConfiguration(std::move(configuration));
}

asio::awaitable<void> EntryDaemon::watchInstances()
{
    for (;;) {
        const auto instances = co_await this->instanceList->fetch();
        if (instances) {
            this->links.update(chooseAgents(this->location, instances.value(), this->agentChoice));
            this->feed.update(instances.value());
        } else {
            LOG4CPLUS_WARN(logger("entry.instances"),
                "The instance list does not answer: " << instances.error().detail << ".");
        }
        co_await pause(this->context.io, instanceInterval);
    }
}

} // namespace wigeonsill
