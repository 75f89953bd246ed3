/// \file forwardentry.cpp
/// The entry: accepting of connections, the state shared by its requests, and shutdown.
#include "callerconnection.h"
#include "requestflow.h"

#include <algorithm>
#include <ctime>

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
/// Number of consecutive failures after which a target is tried last.
constexpr int failuresBeforeAvoiding = 3;
/// How long a failing target is tried last, counted from its latest failure.
constexpr Duration avoidDuration = milliseconds(1'500);
/// Delay before accepting again after a failed accept, for example without free file descriptors.
constexpr Duration acceptRetryDelay = milliseconds(50);
constexpr Duration drainCheckInterval = milliseconds(100);
/// Subtracted from the revocation time, to allow for timers that fire late.
constexpr Duration revocationMargin = milliseconds(150);

} // namespace

Duration timeSinceBoot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Duration>(
        seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

EntryState::EntryState(asio::io_context &context, Metrics &metricsIn, DecisionLog &logIn,
    const WireDialect &dialectIn, const ForwardEntrySettings &settingsIn)
    : io(context)
    , metrics(metricsIn)
    , log(logIn)
    , dialect(dialectIn)
    , settings(settingsIn)
    , pool(context, metricsIn, dialectIn)
    , readAhead(std::make_shared<ReadAheadPacer>(context))
    , grantClient(context, metricsIn, settingsIn, this->statedRates)
    , rates(metricsIn, logIn, this->grantClient, this->statedRates)
    , crashes(metricsIn, logIn, this->pool, this->grantClient)
    , retryBudget(settingsIn.retryBudget)
    , quotas(settingsIn.quotas)
    , random(generateIncarnation().low)
{
    this->retryBudget.setSharingEntries(QuotaLimiter::largestDeploymentEntries);
}

Duration EntryState::timeSinceConfirmation() const
{
    return this->configurationConfirmedAt ? timeSinceBoot() - *this->configurationConfirmedAt
                                          : Duration::max();
}

bool EntryState::areKeysCurrent() const
{
    return !this->settings.strictRevocation
        || this->timeSinceConfirmation() < this->settings.maximumRevocationDelay - revocationMargin;
}

bool EntryState::isConfigurationCurrent() const
{
    return this->timeSinceConfirmation() < this->settings.maximumConfigurationAge;
}

void EntryState::recordReplacement(const Target &incarnation)
{
    this->targets.markReplaced(incarnation);
    this->crashes.recordEnd(incarnation.id);
    this->log.stateChange(DecisionLine("entry", "target-replaced")
                              .text("target", incarnation.id)
                              .number("started_ms", static_cast<double>(incarnation.startedMs)));
    if (this->refreshTargets) {
        this->refreshTargets();
    }
}

void EntryState::recordTargetFacts(const Target &target, const AnswerFacts &facts, TimePoint sentAt)
{
    if (facts.isMisdirected && facts.targetId != target.id) {
        return; // What the answer states may be about another target, whose id is not known.
    }
    this->rates.recordAnswer(target, facts.rate, sentAt);
    if (facts.targetLeaving && this->targets.markLeaving(target, currentTime())) {
        ++this->targetsVersion;
        this->pool.closeIdle(target.id);
        this->recordLeaving(target, "answer");
    }
    if (facts.quietUnreadable) {
        this->metrics.count("wigeonsill_target_quiet_times_unreadable_total");
    }
    if (!facts.quietFor) {
        return;
    }
    const TimePoint now = currentTime();
    this->metrics.count("wigeonsill_target_quiet_times_total");
    if (this->quiet.recordQuiet(target, *facts.quietFor, this->requestsAt(target.id), now)) {
        this->log.stateChange(DecisionLine("entry", "target-quiet")
                                  .text("target", target.id)
                                  .text("service", target.service)
                                  .ms("quiet_ms", this->quiet.remaining(target, now))
                                  .ms("stated_ms", *facts.quietFor));
    }
}

bool EntryState::isOpen(const Target &target, TimePoint now) const
{
    return this->targets.isUsable(target.id) && !this->quiet.isQuiet(target, now);
}

bool EntryState::admitsRequest(const Target &target, TimePoint now)
{
    return this->targets.isUsable(target.id)
        && this->quiet.admits(target, this->requestsAt(target.id), now);
}

void EntryState::sendUsage()
{
    const UsageByOrganisation uses = this->quotas.ownUsage(currentTime());
    for (const Target &collector : this->usageCollectors) {
        this->grantClient.reportUsage(collector, uses, this->crashes.digest());
    }
}

void EntryState::recordLeaving(const Target &target, std::string_view source)
{
    this->metrics.count("wigeonsill_targets_leaving_total", "by=\"" + std::string(source) + "\"");
    this->log.stateChange(DecisionLine("entry", "target-leaving")
                              .text("target", target.id)
                              .text("service", target.service)
                              .text("by", source));
}

void EntryState::closeIdleIfUnusable(const std::string &targetId)
{
    if (!this->targets.isUsable(targetId)) {
        this->pool.closeIdle(targetId);
    }
}

void EntryState::recordFailure(const std::string &targetId)
{
    TargetHealth &record = this->health[targetId];
    if (++record.failuresInRow == failuresBeforeAvoiding) {
        this->log.stateChange(DecisionLine("entry", "target-avoided").text("target", targetId));
    }
    if (record.failuresInRow >= failuresBeforeAvoiding) {
        record.avoidUntil = currentTime() + avoidDuration;
    }
}

void EntryState::recordSuccess(const std::string &targetId)
{
    this->health.erase(targetId);
}

bool EntryState::isFailing(const std::string &targetId, TimePoint now) const
{
    const auto found = this->health.find(targetId);
    return found != this->health.end() && found->second.avoidUntil > now;
}

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
    void reportUsage();
    void continueDrain();
    bool hasUnfinishedAnswers() const;
    void removeUnlistedTargets();

    std::shared_ptr<EntryState> stateOwner;
    EntryState &state;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer usageTimer;
    asio::steady_timer drainTimer;
    std::vector<std::weak_ptr<CallerConnection>> connections;
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
            this->reportUsage();
            this->scheduleUsageReport();
        }
    });
}

void ForwardEntry::Private::reportUsage()
{
    std::vector<const Target *> engines;
    for (const auto &[id, target] : this->state.targets.all()) {
        const ServiceProfile *service = this->state.configuration
            ? this->state.configuration->findService(target.service)
            : nullptr;
        if (service != nullptr && service->isEngine) {
            engines.push_back(&target);
        }
    }
    std::sort(engines.begin(), engines.end(),
        [](const Target *left, const Target *right) { return left->address < right->address; });
    this->state.crashes.update(engines, usageCollectorCount, this->state.random());
    this->state.rates.update(engines, this->state.quotas.sharingEntries(), this->state.targets);
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
    this->d->state.grantClient.onCrashReports
        = [this](const GrantMessage &message, const asio::ip::address &agent) {
              this->d->state.crashes.onCrashReports(message, agent);
          };
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
    state.pool.closeUnlisted(state.targets);
    this->d->removeUnlistedTargets();
}

void ForwardEntry::setTargetsOutdatedHandler(std::function<void()> refresh)
{
    this->d->state.refreshTargets = std::move(refresh);
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
    return {
        { "requests", state.flows.size() },
        { "configuration", state.configuration ? state.configuration->version() : 0 },
        { "configurationAgeMs",
            state.configurationConfirmedAt ? state.timeSinceConfirmation().count() / 1'000 : -1 },
        { "targets", std::move(targets) },
        { "partHolds", state.crashes.dumpPartHolds() },
        { "requestHolds", state.crashes.dumpRequestHolds() },
    };
}

bool ForwardEntry::releasePartHold(std::string_view id)
{
    return this->d->state.crashes.release(id);
}

std::uint16_t ForwardEntry::port() const
{
    return this->d->acceptor.local_endpoint().port();
}

void ForwardEntry::setRollouts(const RolloutSnapshot & /*snapshot*/) { }

void ForwardEntry::setRolloutStore(RolloutStore & /*store*/) { }

} // namespace wigeonsill
