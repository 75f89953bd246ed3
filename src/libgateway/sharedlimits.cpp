/// \file sharedlimits.cpp
/// Limits that bind all entries together: second sends and the organisations' quotas.
#include "wigeonsill/gateway.h"

#include <algorithm>

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
/// Part of what is left that all entries together may admit between two reports. What the others
/// admitted since their last report is not known, and may be as much again.
constexpr double partEachRound = 0.5;

} // namespace

QuotaLedger::Account &QuotaLedger::accountOf(const std::string &name, TimePoint now)
{
    Account &account = this->accounts[name];
    while (!account.admitted.empty() && now - account.admitted.front().first > this->window) {
        account.own -= account.admitted.front().second;
        account.admitted.pop_front();
    }
    return account;
}

std::optional<Duration> QuotaLedger::admit(
    const OrganisationAccount &organisation, double cost, TimePoint now)
{
    Account &account = this->accountOf(organisation.name, now);
    if (organisation.ratePerSecond > 0) {
        const double windowSeconds = std::chrono::duration<double>(this->window).count();
        double allowed = organisation.ratePerSecond * windowSeconds + organisation.burst;
        const bool reported
            = this->reportedAt != TimePoint{} && now - this->reportedAt < reportLapse;
        if (reported && this->memory < this->window) {
            // All processes may have been killed just now, with their counts.
            const Duration accrued = this->memory + restartAllowance;
            const double part = std::chrono::duration<double>(accrued).count() / windowSeconds;
            allowed *= std::min(part, 1.0);
        }
        double room = allowed / this->sharers - account.own;
        if (reported) {
            const double left = allowed - account.others - (account.own - account.sinceReport);
            room = std::max(left, 0.0) / this->sharers * partEachRound - account.sinceReport;
            room = std::min(room, left - account.sinceReport);
        }
        // A request larger than the whole quota would never be admitted otherwise.
        const bool alone = account.own <= 0 && account.others <= 0;
        if (cost > room && !alone) {
            const double wait = std::min((cost - room) / organisation.ratePerSecond, windowSeconds);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
        }
    }
    account.admitted.emplace_back(now, cost);
    account.own += cost;
    account.total += cost;
    account.sinceReport += cost;
    return std::nullopt;
}

void QuotaLedger::giveBack(const std::string &organisation, double cost, TimePoint now)
{
    Account &account = this->accountOf(organisation, now);
    for (auto row = account.admitted.rbegin(); row != account.admitted.rend(); ++row) {
        if (row->second == cost) {
            account.own -= cost;
            account.total -= cost;
            account.sinceReport = std::max(0.0, account.sinceReport - cost);
            account.admitted.erase(std::next(row).base());
            return;
        }
    }
}

UsageByOrganisation QuotaLedger::ownUse(TimePoint now)
{
    UsageByOrganisation result;
    for (auto &[name, account] : this->accounts) {
        result[name] = { this->accountOf(name, now).own, account.total };
    }
    return result;
}

void QuotaLedger::takeReport(const UsageReport &report, TimePoint now)
{
    const bool recent = this->reportedAt != TimePoint{} && now - this->reportedAt < reportLapse;
    if (recent && report.memory < std::min(this->memory, this->window)) {
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
        account.sinceReport = 0;
    }
    for (const auto &[name, use] : report.othersUse) {
        this->accounts[name].others = use;
    }
}

} // namespace wigeonsill
