/// \file rolloutcoordinator.cpp
/// Timers, datagrams, log lines and metrics of rollouts at one entry.
#include "rolloutcoordinator.h"

#include "wigeonsill/http.h"

#include <algorithm>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// Interval at which ownership and stages are checked while a rollout is in progress.
constexpr Duration checkInterval = milliseconds(100);
/// An owner that leaves reports unanswered for so long is taken for lost.
constexpr Duration ownerTimeout = milliseconds(700);

std::optional<asio::ip::udp::endpoint> parseUdpEndpoint(const std::string &address)
{
    const auto parsed = parseEndpoint(address);
    return parsed
        ? std::optional(asio::ip::udp::endpoint(parsed.value().address(), parsed.value().port()))
        : std::nullopt;
}

std::string ownAddress(const ForwardEntrySettings &settings)
{
    return toString(
        asio::ip::tcp::endpoint(asio::ip::make_address(settings.grantAddress), settings.grantPort));
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string serviceLabel(std::string_view service)
{
    return "service=\"" + std::string(service) + "\"";
}

std::pair<std::uint64_t, std::uint64_t> answersAndFailures(const RolloutEvidence &evidence)
{
    std::pair<std::uint64_t, std::uint64_t> result;
    for (const auto &[route, counts] : evidence.targetByRoute) {
        result.first += counts.answers;
        result.second += counts.failures;
    }
    return result;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(asio::io_context &io, Metrics &counters,
    DecisionLog &decisionLog, GrantClient &grantClient, const ForwardEntrySettings &settings)
    : metrics(counters)
    , log(decisionLog)
    , grants(grantClient)
    , timer(io)
    , random(generateIncarnation().low)
    , gate(*settings.rollouts)
    , owner(*settings.rollouts)
    , writer(counters, decisionLog, this->owner, ownAddress(settings))
{
    // Until the others are known, the share of the additional requests is the smallest one.
    this->gate.setSharingEntries(QuotaLimiter::largestDeploymentEntries);
}

void RolloutCoordinator::start()
{
    this->grants.onRollout
        = [this](const GrantMessage &message, const asio::ip::udp::endpoint &from) {
              this->onMessage(message, from);
          };
}

void RolloutCoordinator::apply(const RolloutSnapshot &read)
{
    const TimePoint now = currentTime();
    for (const auto &[service, order] : read.orders) {
        const auto known = this->orders.find(service);
        const bool isKnown = known != this->orders.end() && isSameOrder(known->second, order);
        this->orders[service] = order;
        if (isKnown) {
            continue;
        }
        DecisionLine line("entry", "rollout-order");
        line.text("service", service)
            .text("target", order.targetVersion)
            .number("revision", static_cast<double>(order.id.revision))
            .ms("duration_ms", order.duration);
        if (!order.problem.empty()) {
            line.text("problem", order.problem);
            this->metrics.count("wigeonsill_rollout_orders_unusable_total");
        }
        this->log.stateChange(line);
    }
    if (read.ownerAddress != this->snapshot.ownerAddress
        || read.ownerRevision != this->snapshot.ownerRevision) {
        this->ownerEndpoint = parseUdpEndpoint(read.ownerAddress);
        this->unansweredSince.reset();
    }
    this->snapshot = read;
    this->restricting = this->restricting || !read.orders.empty() || !read.records.empty();
    this->gate.apply(read, now);
    this->owner.apply(read, now, unixMs());
    this->writer.onSnapshot(read);
    this->updateStages();
    this->startTimer();
}

void RolloutCoordinator::setTargets(const TargetDirectory &targets, bool listMayBeIncomplete)
{
    struct Service
    {
        std::map<std::string, std::string> versions;
        VersionTargets byVersion;
    };
    std::map<std::string, Service, std::less<>> services;
    for (const auto &name : this->listedServices) {
        services[name]; // One that has no target any more.
    }
    for (const auto &[name, order] : this->orders) {
        services[name]; // One whose targets have not started.
    }
    for (const auto &[id, target] : targets.all()) {
        if (targets.isUsable(id)) {
            Service &service = services[target.service];
            service.versions[id] = target.version;
            service.byVersion.usableSlots[target.version] += target.slots;
            ++service.byVersion.usableTargets[target.version];
        }
    }
    this->listedServices.clear();
    const TimePoint now = currentTime();
    for (auto &[name, service] : services) {
        if (!service.versions.empty()) {
            this->listedServices.insert(name);
        }
        service.byVersion.listComplete = !listMayBeIncomplete;
        this->gate.setTargets(name, std::move(service.versions));
        this->owner.setTargets(name, service.byVersion, now);
    }
    this->updateStages();
}

void RolloutCoordinator::setEntries(int sharing, int reporting)
{
    this->gate.setSharingEntries(std::max(sharing, 1));
    this->reportingEntries = std::max(reporting, 1);
}

VersionSide RolloutCoordinator::choose(std::string_view service)
{
    const double drawn = std::uniform_real_distribution<double>(0, 1)(this->random);
    return this->gate.choose(service, drawn, currentTime());
}

bool RolloutCoordinator::mayExpose(std::string_view service) const
{
    return this->gate.maySend(service, VersionSide::Target, currentTime());
}

bool RolloutCoordinator::admits(const Target &target, VersionSide side) const
{
    return this->gate.admits(target.service, target.version, target.id, side, currentTime());
}

bool RolloutCoordinator::isExcluded(const Target &target) const
{
    return this->restricting && !this->admits(target, VersionSide::Old)
        && !this->admits(target, VersionSide::Target);
}

VersionSide RolloutCoordinator::sideOf(const Target &target) const
{
    return this->gate.sideOf(target.service, target.version);
}

void RolloutCoordinator::recordSent(const Target &target)
{
    this->gate.recordSent(target.service, target.version);
    if (!this->restricting) {
        return;
    }
    const VersionSide side = this->sideOf(target);
    if (side != VersionSide::Any) {
        this->metrics.count("wigeonsill_rollout_sent_total",
            "side=\"" + std::string(enumName(versionSideNames, side)) + "\"");
    }
}

void RolloutCoordinator::recordLeft(const Target &target)
{
    this->gate.recordLeft(target.service, target.version);
}

void RolloutCoordinator::recordAnswer(const AnswerSample &sample)
{
    this->metrics.count("wigeonsill_rollout_answers_total",
        "side=\"" + std::string(enumName(versionSideNames, sample.side)) + "\",failed=\""
            + (sample.failed ? "true" : "false") + "\"");
    const bool wasStopped = this->gate.isStoppedByOwnEvidence(sample.service);
    this->gate.recordAnswer(sample);
    if (!wasStopped && this->gate.isStoppedByOwnEvidence(sample.service)) {
        DecisionLine line("entry", "rollout-judgement");
        line.text("service", sample.service)
            .text("verdict", enumName(verdictNames, Verdict::Bad))
            .text("by", "entry")
            .text("reason", "the answers that this entry saw");
        this->log.stateChange(line);
        this->updateStages();
    }
}

void RolloutCoordinator::startTimer()
{
    const bool isNeeded = this->isOpen() || !this->orders.empty();
    if (this->timerRuns || !isNeeded) {
        return;
    }
    this->timerRuns = true;
    this->timer.expires_after(checkInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->timerRuns = false;
            this->onTimer();
        }
    });
}

void RolloutCoordinator::onTimer()
{
    if (!this->reportedAt || currentTime() - *this->reportedAt >= this->reportInterval()) {
        this->sendReports();
    }
    const double drawn = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->writer.updateOwnership(this->isOpen(), this->isOwnerSilent(), drawn);
    this->actAsOwner();
    this->updateStages();
    if (this->isOpen() || !this->lastReports.empty()) {
        this->startTimer();
    }
}

Duration RolloutCoordinator::reportInterval() const
{
    return wigeonsill::reportInterval(static_cast<std::size_t>(this->reportingEntries));
}

bool RolloutCoordinator::isOwnerSilent() const
{
    return !this->isOwner() && this->unansweredSince
        && currentTime() - *this->unansweredSince > ownerTimeout;
}

void RolloutCoordinator::sendReports()
{
    const TimePoint now = currentTime();
    this->reportedAt = now;
    this->lastReports.clear();
    for (const RolloutReport &report : this->gate.reports(now)) {
        const RolloutEvidence &evidence = report.evidence;
        const auto all = static_cast<double>(evidence.sentToOld + evidence.sentToTarget);
        this->metrics.gauge("wigeonsill_rollout_exposed_share", serviceLabel(report.service),
            all > 0 ? static_cast<double>(evidence.sentToTarget) / all : 0);
        this->lastReports[report.service] = report;
        if (this->isOwner()) {
            this->owner.merge(this->grants.sender(), report, now);
            continue;
        }
        if (!this->ownerEndpoint) {
            continue;
        }
        for (RolloutReportPart &part : splitReport(report)) {
            GrantMessage message;
            message.kind = GrantKind::RolloutReport;
            message.rolloutReport = std::move(part);
            this->grants.sendRollout(*this->ownerEndpoint, std::move(message));
        }
        this->unansweredSince = this->unansweredSince.value_or(now);
    }
}

void RolloutCoordinator::actAsOwner()
{
    const bool isOwnerNow = this->isOwner();
    if (isOwnerNow != this->wasOwner) {
        this->wasOwner = isOwnerNow;
        this->metrics.gauge("wigeonsill_rollout_owner", {}, isOwnerNow ? 1 : 0);
        this->unansweredSince.reset();
        this->reportedAt.reset(); // The new owner's own evidence is merged at once.
    }
    if (!isOwnerNow) {
        this->verdicts.clear();
        return;
    }
    const TimePoint now = currentTime();
    this->writer.writeChanges();
    for (const auto &[service, order] : this->orders) {
        this->gate.applyDirective(this->owner.directive(service, now), now);
        const Judgement judgement = this->owner.judgement(service);
        Verdict &known = this->verdicts[service];
        if (judgement.verdict != known) {
            known = judgement.verdict;
            DecisionLine line("entry", "rollout-judgement");
            line.text("service", service)
                .text("verdict", enumName(verdictNames, judgement.verdict))
                .text("by", "owner")
                .text("reason", judgement.reason);
            this->log.stateChange(line);
        }
    }
}

void RolloutCoordinator::updateStages()
{
    bool changed = false;
    for (const auto &[service, order] : this->orders) {
        const std::optional<RolloutStage> stage = this->gate.stage(service);
        if (!stage) {
            continue;
        }
        const KnownStage current{ order.id, *stage, this->gate.isStoppedByOwnEvidence(service) };
        const auto known = this->knownStages.find(service);
        const bool isSame = known != this->knownStages.end() && known->second.order == current.order
            && known->second.stage == current.stage && known->second.stopped == current.stopped;
        if (isSame) {
            continue;
        }
        this->knownStages[service] = current;
        this->metrics.gauge(
            "wigeonsill_rollout_stage", serviceLabel(service), static_cast<double>(current.stage));
        this->logStage(order, current);
        changed = true;
    }
    if (changed && this->onAdmissionChanged) {
        this->onAdmissionChanged();
    }
}

void RolloutCoordinator::logStage(const RolloutOrder &order, const KnownStage &known)
{
    DecisionLine line("entry", "rollout-stage");
    line.text("service", order.service)
        .text("target", order.targetVersion)
        .text("stage", enumName(rolloutStageNames, known.stage))
        .text("by", "entry")
        .text("stopped", known.stopped ? "yes" : "no")
        .number("entries", this->reportingEntries);
    const auto record = this->snapshot.records.find(order.service);
    if (record != this->snapshot.records.end() && record->second.stage == known.stage) {
        line.text("reason", record->second.reason);
    }
    const auto report = this->lastReports.find(order.service);
    if (report != this->lastReports.end()) {
        const RolloutEvidence &evidence = report->second.evidence;
        const auto [answers, failures] = answersAndFailures(evidence);
        line.number("sent_to_old", static_cast<double>(evidence.sentToOld))
            .number("sent_to_target", static_cast<double>(evidence.sentToTarget))
            .number("answers", static_cast<double>(answers))
            .number("failures", static_cast<double>(failures))
            .ms("age_ms", report->second.orderAge);
    }
    this->log.stateChange(line);
}

void RolloutCoordinator::dropMessage(std::string_view why)
{
    this->metrics.count(
        "wigeonsill_rollout_messages_dropped_total", "why=\"" + std::string(why) + "\"");
}

void RolloutCoordinator::onMessage(const GrantMessage &message, const asio::ip::udp::endpoint &from)
{
    if (message.kind == GrantKind::RolloutReport) {
        this->onReport(message, from);
    } else {
        this->onDirective(*message.rolloutDirective, from);
    }
}

void RolloutCoordinator::onReport(const GrantMessage &message, const asio::ip::udp::endpoint &from)
{
    if (!this->isOwner()) {
        this->dropMessage("not-owner");
        return;
    }
    const RolloutReportPart &part = *message.rolloutReport;
    const auto whole = this->assembly.add(message.sender, part);
    if (whole && !this->owner.merge(message.sender, *whole, currentTime())) {
        this->dropMessage("report-unknown-or-older");
    }
    // Also answered where the order is not the one that is known: the owner is alive.
    GrantMessage answer;
    answer.kind = GrantKind::RolloutDirective;
    answer.rolloutDirective = this->owner.directive(part.report.service, currentTime());
    this->grants.sendRollout(from, std::move(answer));
}

void RolloutCoordinator::onDirective(
    const RolloutDirective &directive, const asio::ip::udp::endpoint &from)
{
    if (!this->ownerEndpoint || from != *this->ownerEndpoint) {
        this->dropMessage("not-from-owner");
        return;
    }
    this->unansweredSince.reset();
    if (this->gate.applyDirective(directive, currentTime())) {
        this->updateStages();
    } else {
        this->dropMessage("directive-unknown-order");
    }
}

boost::json::array RolloutCoordinator::dumpState() const
{
    boost::json::array result;
    const TimePoint now = currentTime();
    for (const auto &[service, order] : this->orders) {
        boost::json::object entry{ { "service", service }, { "target", order.targetVersion },
            { "revision", order.id.revision },
            { "durationMs", std::chrono::duration_cast<milliseconds>(order.duration).count() },
            { "stopped", this->gate.isStoppedByOwnEvidence(service) },
            { "ownerAddress", this->snapshot.ownerAddress }, { "owner", this->isOwner() } };
        if (!order.problem.empty()) {
            entry["problem"] = order.problem;
        }
        if (const auto stage = this->gate.stage(service)) {
            entry["stage"] = enumName(rolloutStageNames, *stage);
        }
        const auto record = this->snapshot.records.find(service);
        if (record != this->snapshot.records.end()) {
            entry["recordStage"] = enumName(rolloutStageNames, record->second.stage);
            entry["reason"] = record->second.reason;
        }
        const auto report = this->lastReports.find(service);
        if (report != this->lastReports.end()) {
            const RolloutEvidence &evidence = report->second.evidence;
            const auto [answers, failures] = answersAndFailures(evidence);
            entry["sentToOld"] = evidence.sentToOld;
            entry["sentToTarget"] = evidence.sentToTarget;
            entry["answers"] = answers;
            entry["failures"] = failures;
            entry["inProgressAtOld"] = report->second.inProgressAtOld;
            entry["ageMs"]
                = std::chrono::duration_cast<milliseconds>(report->second.orderAge).count();
        }
        if (this->isOwner()) {
            const RolloutEvidence all = this->owner.evidence(service);
            const auto [answers, failures] = answersAndFailures(all);
            const Judgement judgement = this->owner.judgement(service);
            entry["all"] = boost::json::object{ { "sentToOld", all.sentToOld },
                { "sentToTarget", all.sentToTarget }, { "answers", answers },
                { "failures", failures }, { "entries", this->owner.reportingEntries(service, now) },
                { "verdict", enumName(verdictNames, judgement.verdict) },
                { "reason", judgement.reason } };
        }
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace wigeonsill
