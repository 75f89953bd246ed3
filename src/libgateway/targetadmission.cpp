/// \file targetadmission.cpp
/// Which waiting request a target gets next, and when.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Prompt length at which attention doubles the time of a prompt token, from the users' published
/// engine figures (101 tokens a millisecond, 0.184 ms a million pairs).
constexpr double longPromptTokens = 108'000;
/// A first token that comes within this part of the time left counts as on time; the rest covers
/// the way back and a busy entry.
constexpr double onTimeShare = 0.85;
/// Worth of a late answer against one on time, as the users weigh it.
constexpr double lateWorth = 0.3;
/// Worth of a rank against the next less urgent one.
constexpr double priorityRatio = 4;
/// Smoothing of the learned speeds.
constexpr double learnShare = 0.15;
/// Reports in a row that must show free room before grants are taken as ended.
constexpr int reportsBeforeRelease = 3;
/// Grants younger than this may not show in a report yet.
constexpr Duration reportDelay = milliseconds(600);

double prefillWork(double tokens)
{
    return tokens * (1 + tokens / longPromptTokens);
}

Duration toDuration(double milliseconds)
{
    return Duration(static_cast<std::int64_t>(milliseconds * 1'000));
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

} // namespace

void TargetAdmission::reserve(const TicketProfile &profile, int targetSlots, TimePoint now)
{
    this->slots = std::max(targetSlots, 1);
    if (!this->granted.contains(profile.ticket)) {
        this->waiting.try_emplace(profile.ticket, Waiting{ profile, now });
    }
}

void TargetAdmission::release(const Ticket &ticket, TimePoint now)
{
    this->waiting.erase(ticket);
    const auto found = this->granted.find(ticket);
    if (found == this->granted.end()) {
        return;
    }
    const Granted &row = found->second;
    if (row.begun && now - *row.begun > milliseconds(100) && row.profile.outputTokens > 0) {
        const double rate = row.profile.outputTokens / toMs(now - *row.begun);
        this->decodePerMs += learnShare * (std::min(rate, 1.0) - this->decodePerMs);
    }
    this->granted.erase(found);
}

void TargetAdmission::began(const Ticket &ticket, TimePoint now)
{
    const auto found = this->granted.find(ticket);
    if (found == this->granted.end() || found->second.begun) {
        return;
    }
    Granted &row = found->second;
    row.begun = now;
    const double tookMs = std::max(toMs(now - row.at), 1.0);
    const double rate = std::min(row.backlogAtGrant / tookMs, 400.0);
    // Short prompts measure the network and the step in progress, not the prefill.
    constexpr double measurableTokens = 1'500;
    if (row.backlogAtGrant >= measurableTokens) {
        this->prefillPerMs += learnShare * (rate - this->prefillPerMs);
    }
}

double TargetAdmission::prefillAhead() const
{
    double tokens = 0;
    for (const auto &[ticket, row] : this->granted) {
        if (!row.begun) {
            tokens += prefillWork(row.profile.promptTokens);
        }
    }
    return tokens;
}

int TargetAdmission::occupied() const
{
    return static_cast<int>(this->granted.size()) + this->strangers;
}

bool TargetAdmission::canBeOnTime(const Waiting &row, double ahead, TimePoint now) const
{
    const Duration left = row.profile.latencyLeft - (now - row.arrived);
    const double needed = (ahead + prefillWork(row.profile.promptTokens)) / this->prefillPerMs;
    return needed < onTimeShare * toMs(left);
}

double TargetAdmission::rankOf(const Waiting &row, TimePoint now) const
{
    const TicketProfile &profile = row.profile;
    const double prefillMs = prefillWork(profile.promptTokens) / this->prefillPerMs;
    const double decodeMs = profile.outputTokens / this->decodePerMs;
    // Prefill stalls every other stream of the batch, so it costs more than one slot's time.
    const double cost = 20 + decodeMs + prefillMs * this->slots / 2;
    const double size = 0.3 + (profile.promptTokens + 10.0 * profile.outputTokens) / 8'000;
    const double worth = std::pow(priorityRatio, -profile.priority) * size;
    const bool onTime = this->canBeOnTime(row, this->prefillAhead(), now);
    return worth / cost * (onTime ? 1 : lateWorth);
}

std::vector<TicketProfile> TargetAdmission::grant(TimePoint now)
{
    std::vector<TicketProfile> result;
    while (!this->waiting.empty() && this->occupied() < this->slots) {
        const double ahead = this->prefillAhead();
        auto best = this->waiting.end();
        double bestRank = -1;
        for (auto row = this->waiting.begin(); row != this->waiting.end(); ++row) {
            const double work = ahead + prefillWork(row->second.profile.promptTokens);
            const bool fits
                = ahead <= 0 || work / this->prefillPerMs <= toMs(this->limits.prefillBacklog);
            const double rank = fits ? this->rankOf(row->second, now) : -1;
            if (rank > bestRank) {
                best = row;
                bestRank = rank;
            }
        }
        if (best == this->waiting.end()) {
            break;
        }
        const TicketProfile profile = best->second.profile;
        const double backlog = ahead + prefillWork(profile.promptTokens);
        this->granted.emplace(profile.ticket, Granted{ profile, now, std::nullopt, backlog });
        this->waiting.erase(best);
        result.push_back(profile);
    }
    return result;
}

std::vector<TicketProfile> TargetAdmission::expire(TimePoint now)
{
    std::vector<TicketProfile> result;
    for (auto row = this->waiting.begin(); row != this->waiting.end();) {
        if (now - row->second.arrived >= row->second.profile.waitLeft) {
            result.push_back(row->second.profile);
            row = this->waiting.erase(row);
        } else {
            ++row;
        }
    }
    std::erase_if(this->granted,
        [this, now](const auto &row) { return now - row.second.at > this->limits.grantLapse; });
    return result;
}

void TargetAdmission::observe(int running, int queued, TimePoint now)
{
    int settled = 0;
    for (const auto &[ticket, row] : this->granted) {
        settled += now - row.at > reportDelay ? 1 : 0;
    }
    const int atTarget = running + queued;
    this->strangers = std::max(0, atTarget - static_cast<int>(this->granted.size()));
    this->missing = atTarget < settled ? this->missing + 1 : 0;
    if (this->missing < reportsBeforeRelease) {
        return;
    }
    // The messages of those that ended were lost. The oldest are the likeliest.
    std::vector<std::pair<TimePoint, Ticket>> byAge;
    for (const auto &[ticket, row] : this->granted) {
        if (now - row.at > reportDelay) {
            byAge.emplace_back(row.at, ticket);
        }
    }
    std::sort(byAge.begin(), byAge.end());
    for (int i = 0; i < settled - atTarget; ++i) {
        this->granted.erase(byAge[static_cast<std::size_t>(i)].second);
    }
    this->missing = 0;
}

TargetLoad TargetAdmission::load(TimePoint now) const
{
    TargetLoad result;
    result.freeSlots = std::max(0, this->slots - this->occupied());
    result.waiting = static_cast<int>(this->waiting.size());
    result.prefillPerMs = this->prefillPerMs;
    result.decodePerMs = this->decodePerMs;
    double delayMs = this->prefillAhead() / this->prefillPerMs;
    double waitingWork = 0;
    for (const auto &[ticket, row] : this->waiting) {
        waitingWork += prefillWork(row.profile.promptTokens) / this->prefillPerMs;
        waitingWork += row.profile.outputTokens / this->decodePerMs / this->slots;
    }
    delayMs += waitingWork;
    if (result.freeSlots == 0) {
        // Time until the first of the running requests is likely to end.
        double soonest = 2'000;
        for (const auto &[ticket, row] : this->granted) {
            const double lasts = row.profile.outputTokens / this->decodePerMs;
            soonest = std::min(soonest, std::max(lasts - toMs(now - row.at), 20.0));
        }
        delayMs += soonest;
    }
    result.startDelay = toDuration(delayMs);
    return result;
}

} // namespace wigeonsill
