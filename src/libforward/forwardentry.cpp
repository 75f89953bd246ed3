/// \file forwardentry.cpp
/// The entry: accepting of connections, the state shared by its requests, and shutdown.
#include "callerconnection.h"
#include "requestflow.h"

#include <algorithm>

namespace wigeonsill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interval between reports of the organisations' quota usage. The quota's window is 8 s, so an
/// entry admits about 3% of a window's amount between two reports.
constexpr Duration usageReportInterval = milliseconds(250);
/// Number of agents that collect usage reports; two, so that usage is still shared when one is
/// lost.
constexpr std::size_t usageCollectorCount = 2;
/// Delay before accepting again after a failed accept, for example without free file descriptors.
constexpr Duration acceptRetryDelay = milliseconds(50);
/// A timer that is this late shows that the process has more to do than its processor bears.
constexpr Duration notableTimerDelay = milliseconds(100);
constexpr Duration drainCheckInterval = milliseconds(100);

} // namespace

struct ForwardEntry::Private
{
    Private(asio::io_context &io, Metrics &metrics, DecisionLog &log, const WireDialect &dialect,
        const ForwardEntrySettings &settings)
        : stateOwner(std::make_shared<EntryState>(io, metrics, log, dialect, settings))
        , state(*this->stateOwner)
        , acceptor(io)
        , acceptTimer(io)
        , usageTimer(io)
        , drainTimer(io)
    {
        this->acceptor.open(settings.listen.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(settings.listen);
        this->acceptor.listen();
    }

    void accept();
    void scheduleUsageReport();
    void recordTimerDelay(Duration delay);
    void reportUsage();
    void continueDrain();
    bool hasUnfinishedAnswers() const;
    void removeUnlistedTargets();
    void updateVersions();

    std::shared_ptr<EntryState> stateOwner;
    EntryState &state;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer usageTimer;
    asio::steady_timer drainTimer;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    std::set<ServiceVersion> recentVersions; ///< As set; the listed ones are added.
    bool drained = false;
    bool ready = false;
};

void ForwardEntry::Private::accept()
{
    this->acceptor.async_accept([this](const error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->state.metrics.count("wigeonsill_accept_failures_total");
            this->acceptTimer.expires_after(acceptRetryDelay);
            this->acceptTimer.async_wait([this](const error_code &waitError) {
                if (!waitError) {
                    this->accept();
                }
            });
            return;
        }
        const auto connection = std::make_shared<CallerConnection>(this->state, std::move(socket));
        std::erase_if(this->connections, [](const auto &record) { return record.expired(); });
        this->connections.push_back(connection);
        this->state.metrics.count("wigeonsill_caller_connections_total");
        connection->start();
        this->accept();
    });
}

void ForwardEntry::Private::scheduleUsageReport()
{
    this->usageTimer.expires_after(usageReportInterval);
    this->usageTimer.async_wait([this](const error_code &error) {
        if (!error) {
            this->recordTimerDelay(std::chrono::duration_cast<Duration>(
                asio::steady_timer::clock_type::now() - this->usageTimer.expiry()));
            this->reportUsage();
            this->scheduleUsageReport();
        }
    });
}

void ForwardEntry::Private::recordTimerDelay(Duration delay)
{
    this->state.metrics.sample(
        "wigeonsill_timer_delay_ms", {}, static_cast<double>(delay.count()) / 1'000);
    if (delay >= notableTimerDelay) {
        this->state.log.decision(
            DecisionLine("entry", "behind")
                .ms("delay_ms", delay)
                .number("requests", static_cast<double>(this->state.flows.size())));
    }
}

void ForwardEntry::Private::reportUsage()
{
    std::vector<const Target *> engines = this->state.engines();
    std::sort(engines.begin(), engines.end(),
        [](const Target *left, const Target *right) { return left->address < right->address; });
    this->state.crashes.update(engines, usageCollectorCount, this->state.random());
    this->state.rates.update(engines, this->state.quotas.sharingEntries(), this->state.targets);
    this->state.streamVersions.update(this->state.targetsVersion, currentTime());
    this->state.usageCollectors.clear();
    for (std::size_t i = 0; i < std::min(usageCollectorCount, engines.size()); ++i) {
        this->state.usageCollectors.push_back(*engines[i]);
    }
    this->state.sendUsage();
}

void ForwardEntry::Private::removeUnlistedTargets()
{
    std::erase_if(this->state.health,
        [this](const auto &record) { return this->state.targets.find(record.first) == nullptr; });
    this->state.quiet.forgetUnlisted(this->state.targets, currentTime());
    std::erase_if(this->state.ownRequests, [this](const auto &record) {
        return record.second == 0 && this->state.targets.find(record.first) == nullptr;
    });
}

bool ForwardEntry::Private::hasUnfinishedAnswers() const
{
    return std::any_of(this->connections.begin(), this->connections.end(), [](const auto &record) {
        const auto connection = record.lock();
        return connection && connection->hasUnfinishedAnswer();
    });
}

void ForwardEntry::Private::continueDrain()
{
    const DrainSchedule schedule(this->state.settings.gracePeriod);
    const Duration timeDraining = currentTime() - this->state.drainStartedAt;
    const bool requestsEnd = timeDraining > schedule.requestEnd();
    if (requestsEnd) {
        // A copy, since ending a flow removes it from the set.
        const std::vector<RequestFlow *> remainingFlows(
            this->state.flows.begin(), this->state.flows.end());
        for (RequestFlow *flow : remainingFlows) {
            if (this->state.flows.contains(flow)) {
                flow->finishForShutdown();
            }
        }
    }
    if (requestsEnd || !schedule.acceptsConnections(timeDraining)) {
        error_code ignored;
        this->acceptor.close(ignored);
        for (const auto &record : this->connections) {
            if (const auto connection = record.lock()) {
                connection->closeIfIdle();
            }
        }
        // A request ends when its answer is buffered, which may be long before it is written.
        this->drained = this->state.flows.empty() && !this->hasUnfinishedAnswers();
    }
    this->drained = this->drained || timeDraining > schedule.processEnd();
    this->drainTimer.expires_after(drainCheckInterval);
    this->drainTimer.async_wait([this](const error_code &error) {
        if (!error) {
            this->continueDrain();
        }
    });
}

ForwardEntry::ForwardEntry(asio::io_context &io, Metrics &metrics, DecisionLog &log,
    const WireDialect &dialect, const ForwardEntrySettings &settings)
    : d(std::make_unique<Private>(io, metrics, log, dialect, settings))
{
}

ForwardEntry::~ForwardEntry() = default;

void ForwardEntry::start()
{
    this->d->state.grantClient.onUsageReported = [this](const UsageReport &report) {
        EntryState &state = this->d->state;
        state.quotas.applyReport(report, currentTime());
        state.retryBudget.setSharingEntries(state.quotas.sharingEntries());
        state.streamVersions.setEntries(report.sharingEntries);
        if (state.rollouts) {
            state.rollouts->setEntries(state.quotas.sharingEntries(), report.sharingEntries);
        }
    };
    this->d->state.grantClient.onTargetState = [this](const std::string &targetId, bool ended) {
        this->d->state.crashes.onTargetState(targetId, ended);
    };
    this->d->state.grantClient.onRates = [this](const std::vector<RateStatement> &statements) {
        this->d->state.rates.adopt(statements);
    };
    this->d->state.grantClient.onPermits = [this](const GrantMessage &message) {
        if (this->d->state.rates.onPermits(message)) {
            RequestFlow::placePermitWaiters(this->d->state);
        }
    };
    this->d->state.grantClient.onStreamOrigin
        = [this](const GrantMessage &message, const asio::ip::address &agent) {
              this->d->state.streamVersions.onAnswer(message, agent);
          };
    this->d->state.grantClient.onStreamQuery
        = [this](std::uint64_t stream, const asio::ip::udp::endpoint &agent) {
              this->d->state.streamVersions.answerAgent(stream, agent);
          };
    this->d->state.grantClient.onCrashReports
        = [this](const GrantMessage &message, const asio::ip::address &agent) {
              this->d->state.crashes.onCrashReports(message, agent);
          };
    if (this->d->state.rollouts) {
        this->d->state.startRollouts();
    }
    this->d->state.grantClient.start();
    this->d->accept();
    this->d->scheduleUsageReport();
}

void ForwardEntry::setConfiguration(std::shared_ptr<const ServingConfiguration> configuration)
{
    const auto &current = this->d->state.configuration;
    if (current && configuration->version() <= current->version()) {
        return;
    }
    DecisionLine line("entry", "configuration");
    line.number("version", static_cast<double>(configuration->version()))
        .number("routes", static_cast<double>(configuration->routeCount()));
    this->d->state.log.stateChange(line);
    this->d->state.configuration = std::move(configuration);
}

void ForwardEntry::confirmConfiguration(Duration at)
{
    std::optional<Duration> &confirmed = this->d->state.configurationConfirmedAt;
    confirmed = confirmed ? std::max(*confirmed, at) : at;
}

void ForwardEntry::setTargets(std::vector<Target> targets, bool listMayBeIncomplete)
{
    EntryState &state = this->d->state;
    struct Previous
    {
        bool leaving = false; ///< As listed.
        bool usable = false;
    };
    std::map<std::string, Previous, std::less<>> previous;
    for (const auto &[id, target] : state.targets.all()) {
        previous[id] = { target.leaving, state.targets.isUsable(id) };
    }
    const bool isFirstList = state.targets.size() == 0;
    state.targets.replace(std::move(targets), listMayBeIncomplete);
    state.targets.forgetDeparted(currentTime());
    if (isFirstList) {
        this->d->reportUsage(); // More can be admitted once the others' usage is known.
    }
    state.targetsReadAt = timeSinceBoot();
    if (state.rollouts) {
        state.rollouts->setTargets(state.targets, listMayBeIncomplete);
    }
    for (const auto &[id, target] : state.targets.all()) {
        const auto known = previous.find(id);
        const bool isNew = known == previous.end();
        const bool usable = state.targets.isUsable(id);
        if (isNew || known->second.usable != usable) {
            ++state.targetsVersion;
            state.closeIdleIfUnusable(id);
        }
        if (target.leaving && (isNew || !known->second.leaving)) {
            state.recordLeaving(target, "store");
        } else if (!target.leaving && (isNew || known->second.leaving)) {
            state.log.stateChange(DecisionLine("entry", "target-listed")
                                      .text("target", id)
                                      .text("service", target.service));
        }
        previous.erase(id);
    }
    for (const auto &[id, record] : previous) {
        state.log.stateChange(DecisionLine("entry", "target-gone").text("target", id));
    }
    this->d->updateVersions();
    state.pool.closeUnlisted(state.targets);
    this->d->removeUnlistedTargets();
}

void ForwardEntry::setRecentVersions(std::set<ServiceVersion> versions)
{
    this->d->recentVersions = std::move(versions);
    this->d->updateVersions();
}

void ForwardEntry::Private::updateVersions()
{
    std::set<ServiceVersion> versions = this->recentVersions;
    for (const auto &[id, target] : this->state.targets.all()) {
        versions.insert({ target.service, target.version });
    }
    this->state.streamVersions.setRecent(std::move(versions));
}

void ForwardEntry::setStreamOriginStore(StreamOriginStore &store)
{
    this->d->state.streamVersions.setStore(store);
}

void ForwardEntry::setTargetsOutdatedHandler(std::function<void()> refresh)
{
    this->d->state.refreshTargets = std::move(refresh);
}

void ForwardEntry::setTargetsConfirmationHandler(std::function<void()> read)
{
    this->d->state.readTargetsFromNow = std::move(read);
}

void ForwardEntry::confirmTargets(TimePoint calledAt)
{
    this->d->state.streamVersions.confirm(calledAt);
}

bool ForwardEntry::isReady() const
{
    const EntryState &state = this->d->state;
    const bool canCheckKeys
        = !state.settings.strictRevocation || state.configurationConfirmedAt.has_value();
    return !state.draining && state.configuration && canCheckKeys && state.targets.size() > 0;
}

void ForwardEntry::drain()
{
    this->d->state.draining = true;
    this->d->state.drainStartedAt = currentTime();
    this->d->state.log.stateChange(
        DecisionLine("entry", "stopping")
            .number("in_progress", static_cast<double>(this->d->state.flows.size())));
    this->d->continueDrain();
}

bool ForwardEntry::isDrained() const
{
    return this->d->drained;
}

boost::json::object ForwardEntry::dumpState() const
{
    const EntryState &state = this->d->state;
    boost::json::array targets;
    for (const auto &[id, target] : state.targets.all()) {
        const AgentView agent = state.grantClient.view(target, currentTime());
        const auto own = state.ownRequests.find(id);
        boost::json::object record{ { "id", id }, { "service", target.service },
            { "leaving", target.leaving }, { "usable", state.targets.isUsable(id) },
            { "agentSilent", agent.unresponsive },
            { "ownRequests", own == state.ownRequests.end() ? 0 : own->second } };
        const Duration quiet = state.quiet.remaining(target, currentTime());
        if (const auto rate = state.statedRates.rate(target)) {
            record["ratePerSecond"] = *rate;
        }
        record["quietMs"] = std::chrono::duration_cast<milliseconds>(quiet).count();
        if (agent.load) {
            record["prefillPerMs"] = agent.load->prefillTokensPerMs;
            record["startDelayMs"] = static_cast<double>(agent.load->startDelay.count()) / 1'000;
        }
        targets.push_back(std::move(record));
    }
    boost::json::object result{
        { "requests", state.flows.size() },
        { "configuration", state.configuration ? state.configuration->version() : 0 },
        { "configurationAgeMs",
            state.configurationConfirmedAt ? state.timeSinceConfirmation().count() / 1'000 : -1 },
        { "targets", std::move(targets) },
        { "partHolds", state.crashes.dumpPartHolds() },
        { "requestHolds", state.crashes.dumpRequestHolds() },
    };
    if (state.rollouts) {
        result["rollouts"] = state.rollouts->dumpState();
    }
    return result;
}

bool ForwardEntry::releasePartHold(std::string_view id)
{
    return this->d->state.crashes.release(id);
}

std::uint16_t ForwardEntry::port() const
{
    return this->d->acceptor.local_endpoint().port();
}

void ForwardEntry::setRollouts(const RolloutSnapshot &snapshot)
{
    if (this->d->state.rollouts) {
        this->d->state.rollouts->apply(snapshot);
    }
}

void ForwardEntry::setRolloutStore(RolloutStore &store)
{
    if (this->d->state.rollouts) {
        this->d->state.rollouts->setStore(store);
    }
}

} // namespace wigeonsill
