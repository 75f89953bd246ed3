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
/// An answer that would need more than this part of the time left is not likely to be complete in
/// time: callers' estimates of the output are right at the median, with half as much spread.
constexpr double finishableShare = 0.8;
/// Rank of an answer that is not likely to be complete, against one that is.
constexpr double unfinishableShare = 0.1;
/// Smoothing of the learned prefill speed.
constexpr double learnShare = 0.15;
/// Taken off the time to a first token: the first step, and the way of the messages.
constexpr double firstTokenOverheadMs = 8;
/// Prompts shorter than this measure the network and the step in progress, not the prefill.
constexpr double measurableTokens = 1'200;
/// Part of the decode speed's past that each answer replaces.
constexpr double decodeForget = 0.05;
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

void TargetAdmission::release(const Ticket &ticket, std::uint32_t generated, TimePoint now)
{
    this->waiting.erase(ticket);
    const auto found = this->granted.find(ticket);
    if (found == this->granted.end()) {
        return;
    }
    if (found->second.begun && generated > 0) {
        this->decodedTokens += generated - decodeForget * this->decodedTokens;
        this->decodedMs += toMs(now - *found->second.begun) - decodeForget * this->decodedMs;
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
    // Behind other prompts the time also holds a part of theirs, which is not known.
    const double work = prefillWork(row.profile.promptTokens);
    if (row.alone && work >= measurableTokens) {
        const double tookMs = std::max(toMs(now - row.at) - firstTokenOverheadMs, 1.0);
        this->prefillPerMs += learnShare * (std::min(work / tookMs, 400.0) - this->prefillPerMs);
    }
}

double TargetAdmission::prefillAheadMs(TimePoint now) const
{
    double work = 0;
    TimePoint oldest = now;
    for (const auto &[ticket, row] : this->granted) {
        if (!row.begun) {
            work += prefillWork(row.profile.promptTokens);
            oldest = std::min(oldest, row.at);
        }
    }
    const double firstMs = toMs(now - oldest);
    return std::max(work / this->prefillPerMs - firstMs, work > 0 ? 1.0 : 0.0);
}

int TargetAdmission::occupied() const
{
    return static_cast<int>(this->granted.size()) + this->strangers;
}

double TargetAdmission::rankOf(const Waiting &row, double aheadMs, TimePoint now) const
{
    const TicketProfile &profile = row.profile;
    const double prefillMs = prefillWork(profile.promptTokens) / this->prefillPerMs;
    const double decodeMs = profile.outputTokens * this->decodedMs / this->decodedTokens;
    // A step that reads a prompt holds up every other request of the batch, so prefill costs more
    // than one slot's time; a short request costs its messages at least.
    constexpr double leastMs = 20;
    const double cost = leastMs + decodeMs + prefillMs * this->slots / 2;
    const double leftMs = toMs(profile.latencyLeft - (now - row.arrived));
    const bool onTime = aheadMs + prefillMs < onTimeShare * leftMs;
    const double timeLeftMs = toMs(profile.timeLeft - (now - row.arrived));
    const bool finishable = aheadMs + prefillMs + decodeMs < finishableShare * timeLeftMs;
    return profile.worth / cost * (onTime ? 1 : profile.lateShare)
        * (finishable ? 1 : unfinishableShare);
}

std::vector<TicketProfile> TargetAdmission::grant(TimePoint now)
{
    std::vector<TicketProfile> result;
    while (!this->waiting.empty() && this->occupied() < this->slots + this->limits.queueAhead) {
        const double aheadMs = this->prefillAheadMs(now);
        if (aheadMs > toMs(this->limits.prefillBacklog)) {
            break;
        }
        auto best = this->waiting.end();
        double bestRank = -1;
        for (auto row = this->waiting.begin(); row != this->waiting.end(); ++row) {
            const double rank = this->rankOf(row->second, aheadMs, now);
            if (rank > bestRank) {
                best = row;
                bestRank = rank;
            }
        }
        const TicketProfile profile = best->second.profile;
        this->granted.emplace(profile.ticket, Granted{ profile, now, std::nullopt, aheadMs <= 0 });
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
    result.decodePerMs = this->decodedTokens / this->decodedMs;
    double delayMs = this->prefillAheadMs(now);
    double waitingWork = 0;
    for (const auto &[ticket, row] : this->waiting) {
        waitingWork += prefillWork(row.profile.promptTokens) / this->prefillPerMs;
        waitingWork += row.profile.outputTokens / result.decodePerMs / this->slots;
    }
    delayMs += waitingWork;
    if (result.freeSlots == 0) {
        // Time until the first of the running requests is likely to end.
        double soonest = 2'000;
        for (const auto &[ticket, row] : this->granted) {
            const double lasts = row.profile.outputTokens / result.decodePerMs;
            soonest = std::min(soonest, std::max(lasts - toMs(now - row.at), 20.0));
        }
        delayMs += soonest;
    }
    result.startDelay = toDuration(delayMs);
    return result;
}

} // namespace wigeonsill
