/// \file sharedlimits.cpp
/// Limits that bind all entries together: second sends and the organisations' quotas.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

void RepeatBudget::forgetOld(Window &window, TimePoint now) const
{
    const auto forget = [this, now](std::deque<TimePoint> &times) {
        while (!times.empty() && now - times.front() > this->limits.window) {
            times.pop_front();
        }
    };
    forget(window.arrivals);
    forget(window.repeats);
}

void RepeatBudget::arrived(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    window.arrivals.push_back(now);
    this->forgetOld(window, now);
}

bool RepeatBudget::take(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    this->forgetOld(window, now);
    const double allowed
        = this->limits.spare + this->limits.ratio * static_cast<double>(window.arrivals.size());
    if (static_cast<double>(window.repeats.size()) + 1 > allowed) {
        return false;
    }
    window.repeats.push_back(now);
    return true;
}

namespace {

/// Without a report for this long the entry keeps to an even share. Reports come four times a
/// second.
constexpr Duration reportLapse = seconds(2);
/// From its first report on, an entry waits this long before it believes how many share the
/// quotas: four rounds of reports.
constexpr Duration settleTime = seconds(1);
/// Given out at once after all counts were lost; the quota's slack covers it.
constexpr Duration restartAllowance = seconds(1);
/// What is left of a quota is given out over this time. Twice the age of what an entry knows of the
/// others (reports four times a second, and their way), so that the fraction does not swing.
constexpr Duration horizon = milliseconds(600);
/// Time in which what was asked for loses two thirds of its weight: two rounds of reports.
constexpr Duration demandMemory = milliseconds(500);
/// A demand is not measured over less than this.
constexpr Duration leastMeasured = milliseconds(50);
/// Part of the operator's slack and excess that is used on purpose; the rest is for requests
/// that several entries admit at the same moment.
constexpr double usedSlack = 0.25;
constexpr double usedExcess = 0.5;
/// Part of the slack that one request may go beyond what is left.
constexpr double overdraft = 0.5;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

QuotaLedger::Account &QuotaLedger::accountOf(const std::string &name, TimePoint now)
{
    Account &account = this->accounts[name];
    while (
        !account.admitted.empty() && now - account.admitted.front().first > this->limits.window) {
        account.own -= account.admitted.front().second;
        account.admitted.pop_front();
    }
    return account;
}

void QuotaLedger::noteDemand(Account &account, double cost, TimePoint now)
{
    if (!account.firstAsked) {
        account.firstAsked = now;
        account.askedAt = now;
    }
    account.asked *= std::exp(-inSeconds(now - account.askedAt) / inSeconds(demandMemory));
    account.asked += cost;
    account.askedAt = now;
}

double QuotaLedger::demandOf(const Account &account, TimePoint now)
{
    if (!account.firstAsked) {
        return 0;
    }
    const double memory = inSeconds(demandMemory);
    const double left = account.asked * std::exp(-inSeconds(now - account.askedAt) / memory);
    const double since = inSeconds(std::max(now - *account.firstAsked, leastMeasured));
    return left / (memory * (1 - std::exp(-since / memory)));
}

bool QuotaLedger::hasReport(TimePoint now) const
{
    return this->reportedAt != TimePoint{} && now - this->reportedAt < reportLapse;
}

double QuotaLedger::allowance(const OrganisationAccount &organisation, TimePoint now) const
{
    const double windowSeconds = inSeconds(this->limits.window);
    double allowed = organisation.ratePerSecond * windowSeconds + organisation.burst;
    if (this->hasReport(now) && this->memory < this->limits.window) {
        // All processes may have been killed just now, with their counts.
        const Duration accrued = this->memory + restartAllowance;
        return allowed * std::min(inSeconds(accrued) / windowSeconds, 1.0);
    }
    allowed *= 1 + this->limits.excess * usedExcess;
    return allowed + this->limits.slack * usedSlack;
}

std::optional<Duration> QuotaLedger::admit(
    const OrganisationAccount &organisation, double cost, TimePoint now)
{
    Account &account = this->accountOf(organisation.name, now);
    noteDemand(account, cost, now);
    if (organisation.ratePerSecond > 0) {
        const double allowed = this->allowance(organisation, now);
        const double left = allowed - account.others - account.own;
        bool admitted = true;
        if (this->hasReport(now)) {
            const double demand = account.othersDemand + demandOf(account, now);
            const double askedFor = std::max(demand * inSeconds(horizon), cost);
            const double fraction = std::clamp(left / askedFor, 0.0, 1.0);
            account.credit = std::min(account.credit + fraction, 1.0);
            const bool fits = cost <= left + this->limits.slack * overdraft;
            // A request larger than the whole quota would never be admitted otherwise.
            const bool unused = account.own <= 0 && account.others <= 0;
            admitted = account.credit >= 1 && (fits || unused);
            account.credit -= admitted ? 1 : 0;
        } else {
            const bool unused = account.own <= 0 && account.others <= 0;
            admitted = cost <= allowed / this->sharers - account.own || unused;
        }
        if (!admitted) {
            const double wait = (cost - std::min(left, 0.0)) / organisation.ratePerSecond;
            return fromSeconds(std::min(wait, inSeconds(this->limits.window)));
        }
    }
    account.admitted.emplace_back(now, cost);
    account.own += cost;
    account.total += cost;
    return std::nullopt;
}

void QuotaLedger::giveBack(const std::string &organisation, double cost, TimePoint now)
{
    Account &account = this->accountOf(organisation, now);
    for (auto row = account.admitted.rbegin(); row != account.admitted.rend(); ++row) {
        if (row->second == cost) {
            account.own -= cost;
            account.total -= cost;
            account.admitted.erase(std::next(row).base());
            return;
        }
    }
}

UsageByOrganisation QuotaLedger::ownUse(TimePoint now)
{
    UsageByOrganisation result;
    for (auto &[name, account] : this->accounts) {
        const double own = this->accountOf(name, now).own;
        result[name] = { own, account.total, demandOf(account, now) };
    }
    return result;
}

void QuotaLedger::takeReport(const UsageReport &report, TimePoint now)
{
    if (this->hasReport(now) && report.memory < std::min(this->memory, this->limits.window)) {
        return;
    }
    if (!this->firstReport) {
        this->firstReport = now;
    }
    // The others may not have reported yet.
    const bool settled = now - *this->firstReport >= settleTime;
    this->sharers = std::max(report.entries, settled ? 1 : mostSharers);
    this->reportedAt = now;
    this->memory = report.memory;
    for (auto &[name, account] : this->accounts) {
        account.others = 0;
        account.othersDemand = 0;
    }
    for (const auto &[name, use] : report.othersUse) {
        this->accounts[name].others = use;
    }
    for (const auto &[name, demand] : report.othersDemand) {
        this->accounts[name].othersDemand = demand;
    }
}

} // namespace wigeonsill
