/// \file entrystate.cpp
/// State shared by an entry's connections and requests: what is known of configuration and targets.
#include "entrystate.h"

#include <ctime>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// Number of consecutive failures after which a target is tried last.
constexpr int failuresBeforeAvoiding = 3;
/// How long a failing target is tried last, counted from its latest failure.
constexpr Duration avoidDuration = milliseconds(1'500);
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
    , streamVersions(
          metricsIn, this->grantClient, [this] { return this->engines(); },
          [this] { return this->usageCollectors; },
          [this] {
              if (this->readTargetsFromNow) {
                  this->readTargetsFromNow();
              }
          })
    , crashes(metricsIn, logIn, this->pool, this->grantClient)
    , retryBudget(settingsIn.retryBudget)
    , quotas(settingsIn.quotas)
    , random(generateIncarnation().low)
{
    this->targets.setServiceCheck([this](std::string_view service) {
        return !this->configuration || this->configuration->findService(service) != nullptr;
    });
    this->retryBudget.setSharingEntries(QuotaLimiter::largestDeploymentEntries);
    if (settingsIn.rollouts) {
        this->rollouts.emplace(context, metricsIn, logIn, this->grantClient, settingsIn);
    }
}

void EntryState::startRollouts()
{
    this->rollouts->onAdmissionChanged = [this] {
        ++this->targetsVersion;
        for (const auto &[id, target] : this->targets.all()) {
            this->closeIdleIfUnusable(id);
        }
    };
    this->rollouts->start();
}

std::vector<const Target *> EntryState::engines() const
{
    std::vector<const Target *> result;
    for (const auto &[id, target] : this->targets.all()) {
        const ServiceProfile *service
            = this->configuration ? this->configuration->findService(target.service) : nullptr;
        if (service != nullptr && service->isEngine) {
            result.push_back(&target);
        }
    }
    return result;
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
    const Target *target = this->targets.find(targetId);
    const bool isExcluded
        = this->rollouts && target != nullptr && this->rollouts->isExcluded(*target);
    if (!this->targets.isUsable(targetId) || isExcluded) {
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

} // namespace wigeonsill
