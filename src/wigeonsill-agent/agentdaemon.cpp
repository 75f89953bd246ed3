/// \file agentdaemon.cpp
/// Implementation of the agent process.
#include "agentdaemon.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration tickInterval = milliseconds(50);

std::unique_ptr<AgentCore> buildCore(const AgentSettings &settings)
{
    AgentCoreBuilder builder;
    builder.incarnation(generateIncarnation());
    builder.location(settings.location);
    builder.pools(settings.pools);
    builder.limits(settings.limits);
    return builder.build();
}

} // namespace

AgentSettings readAgentSettings(SettingsReader &reader)
{
    AgentSettings settings;
    settings.location.instance = reader.text("instance");
    settings.location.region = reader.text("region");
    settings.location.failureDomain = reader.text("failureDomain");
    settings.listen = readEndpoint(reader, "listen", "127.0.0.1:0");
    settings.target = readEndpoint(reader, "target");
    settings.pools = reader.textList("pools", true);
    settings.targetReadTimeout
        = readMilliseconds(reader, "targetSilenceMs", 100, 3'600'000, settings.targetReadTimeout);
    SettingsReader limits = reader.object("limits");
    settings.limits.tokenLimit = static_cast<std::uint64_t>(
        limits.number("tokenLimit", 1, 1'000'000'000, std::int64_t(settings.limits.tokenLimit)));
    settings.limits.maximumRunning = static_cast<std::uint32_t>(
        limits.number("maximumRunning", 1, 100'000, settings.limits.maximumRunning));
    settings.limits.maximumQueued = static_cast<std::size_t>(
        limits.number("maximumQueued", 1, 1'000'000, std::int64_t(settings.limits.maximumQueued)));
    settings.limits.answerRetention = readMilliseconds(
        limits, "answerRetentionMs", 100, 3'600'000, settings.limits.answerRetention);
    settings.limits.entryLostAfter = readMilliseconds(
        limits, "entryLostAfterMs", 100, 3'600'000, settings.limits.entryLostAfter);
    settings.limits.acceptPushed = limits.flag("acceptPushed", settings.limits.acceptPushed);
    limits.finish();
    return settings;
}

AgentDaemon::AgentDaemon(DaemonContext daemonContext, const AgentSettings &settings)
    : context(daemonContext)
    , core(buildCore(settings))
    , entryConnections(
          daemonContext, *this->core, settings.listen, [this] { this->performActions(); })
    , runner(daemonContext, *this->core, settings.target, settings.targetReadTimeout,
          [this] { this->performActions(); })
{
}

void AgentDaemon::start()
{
    this->entryConnections.start();
    spawn(this->context.io, this->tickLoop());
}

void AgentDaemon::drain()
{
    this->core->drain(currentTime());
    this->performActions();
}

bool AgentDaemon::isDrained() const
{
    return this->core->requestsInProgress() == 0;
}

boost::json::object AgentDaemon::dumpState() const
{
    return this->core->dumpState(currentTime());
}

void AgentDaemon::updateMetrics()
{
    const auto setGauge = [this](std::string_view name, double value) {
        this->context.metrics.gauge(name, {}, value);
    };
    const AgentHeartbeat load = this->core->load();
    setGauge("wigeonsill_agent_running", load.running);
    setGauge("wigeonsill_agent_queued", load.waiting);
    setGauge("wigeonsill_agent_tokens_in_flight", double(load.tokensInFlight));
    setGauge("wigeonsill_agent_token_limit", double(load.tokenLimit));
    setGauge("wigeonsill_agent_entries_connected", double(this->core->connectedEntries()));
    this->entryConnections.publishTraffic();
}

std::map<std::string, std::uint16_t> AgentDaemon::ports() const
{
    return { { "listen", this->entryConnections.port() } };
}

void AgentDaemon::performActions()
{
    if (this->performingActions) {
        return;
    }
    this->performingActions = true;
    for (std::vector<AgentAction> actions = this->core->takeActions(); !actions.empty();
         actions = this->core->takeActions()) {
        for (AgentAction &action : actions) {
            std::visit([this](auto &typedAction) { this->perform(typedAction); }, action);
        }
    }
    this->performingActions = false;
}

void AgentDaemon::perform(SendToEntry &action)
{
    this->entryConnections.send(action);
}

void AgentDaemon::perform(StartAtTarget &action)
{
    this->runner.start(std::move(action));
}

void AgentDaemon::perform(CancelAtTarget &action)
{
    this->runner.cancel(action);
}

void AgentDaemon::perform(PauseTarget &action)
{
    this->runner.pause(action);
}

asio::awaitable<void> AgentDaemon::tickLoop()
{
    asio::steady_timer timer(this->context.io);
    boost::system::error_code ignored;
    for (;;) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        this->core->tick(currentTime());
        this->performActions();
    }
}

} // namespace wigeonsill
