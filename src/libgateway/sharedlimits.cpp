/// \file sharedlimits.cpp
/// Retry budgets of services and quotas of organisations.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

void ServiceRetryBudget::removeExpired(Window &window, TimePoint now) const
{
    const auto removeOld = [this, now](std::deque<TimePoint> &times) {
        while (!times.empty() && now - times.front() > this->limits.window) {
            times.pop_front();
        }
    };
    removeOld(window.requests);
    removeOld(window.retries);
}

void ServiceRetryBudget::recordRequest(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    window.requests.push_back(now);
    this->removeExpired(window, now);
}

bool ServiceRetryBudget::tryAcquire(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    this->removeExpired(window, now);
    const double allowed = this->limits.retrySlack / this->sharingEntryCount
        + this->limits.retryRatio * static_cast<double>(window.requests.size());
    if (static_cast<double>(window.retries.size()) + 1 > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

void ServiceRetryBudget::refund(const std::string &service)
{
    std::deque<TimePoint> &retries = this->windows[service].retries;
    if (!retries.empty()) {
        retries.pop_back();
    }
}

namespace {

/// Without a report for this long, an entry admits an even share of the quota. Reports arrive four
/// times a second.
constexpr Duration reportTimeout = seconds(2);
/// A collector's report counts beside those of the others for this long: two rounds of reports.
constexpr Duration reportValidity = milliseconds(500);
/// For this long, an entry that was started waits for its first report before it admits a request
/// that is larger than its share: two rounds of reports.
constexpr Duration firstReportWait = milliseconds(500);
/// For this long after its first report, an entry does not rely on the reported number of entries:
/// four rounds of reports, since the others may not have reported yet.
constexpr Duration settlingTime = seconds(1);
/// Quota accrued over this time is available at once after all counts were lost. The quota's slack
/// covers it.
constexpr Duration restartAllowance = seconds(1);
/// The remaining quota is distributed over this time. Twice the age of an entry's knowledge of the
/// others (reports four times a second, plus their delay), so that the fraction does not oscillate.
constexpr Duration admissionHorizon = milliseconds(600);
/// Time constant of the exponential decay of the requested amounts: two rounds of reports.
constexpr Duration demandDecayTime = milliseconds(500);
/// Minimum interval over which a demand is measured.
constexpr Duration minimumDemandInterval = milliseconds(50);
/// Share of the operator's slack and excess that is part of the allowance. The rest covers requests
/// that several entries admit at the same time.
constexpr double usedSlackShare = 0.4;
constexpr double usedExcessShare = 0.7;
/// Share of the slack by which one request may exceed the remaining quota.
constexpr double overdraftShare = 0.5;
/// Share of the slack that an entry may admit before it is reported, at most. Many entries may be
/// killed at once, so all of them together have the slack once.
constexpr double unreportedShare = 0.1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

QuotaLimiter::Account &QuotaLimiter::accountFor(const std::string &name, TimePoint now)
{
    Account &account = this->accounts[name];
    while (
        !account.admitted.empty() && now - account.admitted.front().first > this->limits.window) {
        account.ownInWindow -= account.admitted.front().second;
        account.admitted.pop_front();
    }
    return account;
}

void QuotaLimiter::recordDemand(Account &account, double cost, TimePoint now)
{
    if (!account.firstRequestAt) {
        account.firstRequestAt = now;
        account.demandUpdatedAt = now;
    }
    account.requested
        *= std::exp(-toSeconds(now - account.demandUpdatedAt) / toSeconds(demandDecayTime));
    account.requested += cost;
    account.demandUpdatedAt = now;
}

double QuotaLimiter::measureDemand(const Account &account, TimePoint now)
{
    if (!account.firstRequestAt) {
        return 0;
    }
    const double decaySeconds = toSeconds(demandDecayTime);
    const double remaining
        = account.requested * std::exp(-toSeconds(now - account.demandUpdatedAt) / decaySeconds);
    const double elapsed
        = toSeconds(std::max(now - *account.firstRequestAt, minimumDemandInterval));
    return remaining / (decaySeconds * (1 - std::exp(-elapsed / decaySeconds)));
}

bool QuotaLimiter::hasReport(TimePoint now) const
{
    return this->lastReportAt != TimePoint{} && now - this->lastReportAt < reportTimeout;
}

bool QuotaLimiter::awaitsFirstReport(TimePoint now)
{
    this->firstAskedAt = this->firstAskedAt.value_or(now);
    return !this->firstReportAt && now - *this->firstAskedAt < firstReportWait;
}

double QuotaLimiter::windowAllowance(const OrganisationAccount &organisation, TimePoint now) const
{
    const double windowSeconds = toSeconds(this->limits.window);
    double allowed = organisation.ratePerSecond * windowSeconds + organisation.burst;
    allowed *= this->hasReport(now) ? this->reachedShare : 1;
    if (this->hasReport(now) && this->collectorAge < this->limits.window) {
        // All processes may have been killed recently, which lost their counts.
        const Duration accrued = this->collectorAge + restartAllowance;
        return allowed * std::min(toSeconds(accrued) / windowSeconds, 1.0);
    }
    allowed *= 1 + this->limits.excess * usedExcessShare;
    return allowed + this->limits.slack * usedSlackShare;
}

std::optional<QuotaRefusal> QuotaLimiter::admit(
    const OrganisationAccount &organisation, double cost, TimePoint now)
{
    Account &account = this->accountFor(organisation.name, now);
    recordDemand(account, cost, now);
    if (organisation.ratePerSecond > 0) {
        const double allowed = this->windowAllowance(organisation, now);
        const double remaining = allowed - account.othersInWindow - account.ownInWindow;
        bool admitted = true;
        if (this->hasReport(now)) {
            const double demand = account.othersDemand + measureDemand(account, now);
            const double horizonDemand = std::max(demand * toSeconds(admissionHorizon), cost);
            const double fraction = std::clamp(remaining / horizonDemand, 0.0, 1.0);
            account.admissionCredit = std::min(account.admissionCredit + fraction, 1.0);
            const bool fits = cost <= remaining + this->limits.slack * overdraftShare;
            // Otherwise, a request larger than the whole quota would never be admitted.
            const bool unused = account.ownInWindow <= 0 && account.othersInWindow <= 0;
            admitted = account.admissionCredit >= 1 && (fits || unused);
            account.admissionCredit -= admitted ? 1 : 0;
        } else {
            const bool unused = account.ownInWindow <= 0 && account.othersInWindow <= 0
                && !this->awaitsFirstReport(now);
            admitted = cost <= allowed / this->sharingEntryCount - account.ownInWindow || unused;
        }
        if (!admitted) {
            const double wait = (cost - std::min(remaining, 0.0)) / organisation.ratePerSecond;
            QuotaRefusal refusal;
            refusal.untilRoom = fromSeconds(std::min(wait, toSeconds(this->limits.window)));
            refusal.allowance = allowed;
            refusal.usage = account.othersInWindow + account.ownInWindow;
            refusal.demand = account.othersDemand + measureDemand(account, now);
            refusal.sharedByReports = this->hasReport(now);
            refusal.collectorAge = this->collectorAge;
            return refusal;
        }
    }
    account.admitted.emplace_back(now, cost);
    account.ownInWindow += cost;
    account.total += cost;
    this->reportDue = this->reportDue
        || (organisation.ratePerSecond > 0
            && account.total - account.reportedTotal
                > this->limits.slack * std::min(unreportedShare, 1.0 / this->sharingEntryCount));
    return std::nullopt;
}

void QuotaLimiter::refund(const std::string &organisation, double cost, TimePoint now)
{
    Account &account = this->accountFor(organisation, now);
    for (auto record = account.admitted.rbegin(); record != account.admitted.rend(); ++record) {
        if (record->second == cost) {
            account.ownInWindow -= cost;
            account.total -= cost;
            account.admitted.erase(std::next(record).base());
            return;
        }
    }
}

UsageByOrganisation QuotaLimiter::ownUsage(TimePoint now)
{
    UsageByOrganisation result;
    this->reportDue = false;
    for (auto &[name, account] : this->accounts) {
        account.reportedTotal = account.total;
        const double ownInWindow = this->accountFor(name, now).ownInWindow;
        result[name] = { ownInWindow, account.total, measureDemand(account, now) };
    }
    return result;
}

void QuotaLimiter::applyReport(const UsageReport &report, TimePoint now)
{
    if (this->hasReport(now)
        && report.collectorAge < std::min(this->collectorAge, this->limits.window)) {
        return;
    }
    if (!this->firstReportAt) {
        this->firstReportAt = now;
    }
    // Before, the other entries may not have reported yet.
    const bool settled = now - *this->firstReportAt >= settlingTime;
    this->sharingEntryCount
        = std::max(report.sharingEntries, settled ? 1 : largestDeploymentEntries);
    this->lastReportAt = now;
    this->collectorAge = report.collectorAge;
    this->reachedShare = report.reachedShare;
    for (auto &[name, account] : this->accounts) {
        account.othersByCollector.erase(report.collector);
        account.othersDemand = 0;
    }
    for (const auto &[name, use] : report.othersUsage) {
        this->accounts[name].othersByCollector[report.collector] = { now, use };
    }
    for (auto &[name, account] : this->accounts) {
        account.othersInWindow = 0;
        std::erase_if(account.othersByCollector,
            [now](const auto &record) { return now - record.second.first > reportValidity; });
        for (const auto &[collector, record] : account.othersByCollector) {
            account.othersInWindow = std::max(account.othersInWindow, record.second);
        }
    }
    for (const auto &[name, demand] : report.othersDemand) {
        this->accounts[name].othersDemand = demand;
    }
}

} // namespace wigeonsill
