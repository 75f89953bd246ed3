/// \file targetrates.cpp
/// The rates that targets state, at an entry: messages, log and the choice of issuers.
#include "targetrates.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// How long an agent that left a request for permits unanswered is passed over.
constexpr Duration passOverTime = seconds(1);

} // namespace

void TargetRates::recordAnswer(const Target &target, const StatedRate &rate, TimePoint sentAt)
{
    if (!rate.perSecond && !rate.isAbsent) {
        this->metrics.count("wigeonsill_target_rates_unreadable_total");
        return;
    }
    if (this->rates.recordAnswer(target, rate.perSecond, sentAt, currentTime())) {
        this->logChange(target, "answer");
    }
}

void TargetRates::adopt(const std::vector<RateStatement> &statements)
{
    const TimePoint now = currentTime();
    for (const RateStatement &statement : statements) {
        if (this->rates.adopt(statement, now)) {
            Target target;
            target.id = statement.targetId;
            target.startedMs = statement.startedMs;
            this->logChange(target, "other-entry");
        }
    }
}

void TargetRates::logChange(const Target &target, std::string_view by)
{
    const auto rate = this->rates.rate(target);
    this->metrics.count("wigeonsill_target_rate_changes_total", "by=\"" + std::string(by) + "\"");
    DecisionLine line("entry", rate ? "target-limited" : "target-unlimited");
    line.text("target", target.id).text("by", by);
    if (rate) {
        line.number("per_second", *rate);
    }
    this->log.stateChange(line);
}

TargetRates::Record &TargetRates::recordFor(const Target &target)
{
    Record &record = this->records[target.id];
    if (record.startedMs != target.startedMs) {
        record = {};
        record.startedMs = target.startedMs;
    }
    return record;
}

std::vector<Target> TargetRates::issuersOf(const Target &target) const
{
    std::vector<std::pair<std::uint64_t, const Target *>> ranked;
    ranked.reserve(this->issuers.size());
    for (const Target &agent : this->issuers) {
        ranked.emplace_back(stableHash(agent.address, stableHash(target.id)), &agent);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Target> result;
    for (std::size_t i = 0; i < std::min(issuersPerTarget, ranked.size()); ++i) {
        result.push_back(*ranked[i].second);
    }
    return result;
}

bool TargetRates::hasIssuer(const Record &record, TimePoint now) const
{
    const std::size_t count = std::min(issuersPerTarget, this->issuers.size());
    return std::any_of(record.passedOverUntil.begin(),
        record.passedOverUntil.begin() + static_cast<std::ptrdiff_t>(count),
        [now](TimePoint until) { return until <= now; });
}

void TargetRates::recordDemand(const Target &target)
{
    Record &record = this->recordFor(target);
    record.stock.recordDemand();
    this->ask(target, record, currentTime());
}

void TargetRates::ask(const Target &target, Record &record, TimePoint now)
{
    const RateStatement *statement = this->rates.find(target);
    const int wanted = record.stock.toAsk(now);
    if (wanted == 0 || statement == nullptr) {
        return;
    }
    if (record.stock.isUnanswered(now)) {
        record.passedOverUntil[record.askedIssuer] = now + passOverTime;
        this->metrics.count("wigeonsill_permits_unanswered_total");
    }
    const std::vector<Target> candidates = this->issuersOf(target);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (record.passedOverUntil[i] <= now) {
            record.askedIssuer = i;
            record.stock.recordAsked(now);
            this->grantClient.requestPermits(candidates[i], *statement, wanted, i > 0);
            return;
        }
    }
}

bool TargetRates::isShareAvailable(const Target &target, Record &record, TimePoint now)
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    return record.share.isAvailable(this->rates.rate(target).value_or(0), this->sharing, draw, now);
}

bool TargetRates::tryTakeShare(const Target &target, TimePoint now)
{
    if (!this->isLimited(target)) {
        return true;
    }
    Record &record = this->recordFor(target);
    if (!this->isShareAvailable(target, record, now)) {
        return false;
    }
    record.share.take();
    return true;
}

bool TargetRates::admits(const Target &target, TimePoint now)
{
    if (!this->isLimited(target)) {
        return true;
    }
    Record &record = this->recordFor(target);
    if (record.stock.isAvailable(now)) {
        return true;
    }
    return !this->hasIssuer(record, now) && this->isShareAvailable(target, record, now);
}

bool TargetRates::tryTake(const Target &target, TimePoint now)
{
    if (!this->admits(target, now)) {
        return false;
    }
    if (this->isLimited(target)) {
        Record &record = this->recordFor(target);
        if (!record.stock.tryTake(now)) {
            record.share.take();
        }
    }
    return true;
}

bool TargetRates::onPermits(const GrantMessage &message)
{
    const auto found = this->records.find(message.targetId);
    if (found == this->records.end() || found->second.startedMs != message.load.startedMs) {
        return false;
    }
    found->second.stock.recordAnswer(message.permits, currentTime());
    this->metrics.count("wigeonsill_permits_received_total", {}, message.permits.permits);
    return message.permits.permits > 0;
}

void TargetRates::update(
    const std::vector<const Target *> &agents, int sharingEntries, const TargetDirectory &targets)
{
    this->sharing = sharingEntries;
    this->issuers.clear();
    for (const Target *agent : agents) {
        this->issuers.push_back(*agent);
    }
    this->rates.forgetUnlisted(targets);
    std::erase_if(this->records,
        [&targets](const auto &element) { return targets.find(element.first) == nullptr; });
    double limited = 0;
    for (const auto &[id, target] : targets.all()) {
        limited += this->isLimited(target) ? 1 : 0;
    }
    this->metrics.gauge("wigeonsill_targets_limited", {}, limited);
}

std::optional<double> TargetRates::totalRate(const std::vector<const Target *> &targets) const
{
    double total = 0;
    for (const Target *target : targets) {
        const auto rate = this->rates.rate(*target);
        if (!rate) {
            return std::nullopt;
        }
        total += std::max(*rate, PermitBucket::minimumRate);
    }
    return targets.empty() ? std::nullopt : std::optional(total);
}

} // namespace wigeonsill
