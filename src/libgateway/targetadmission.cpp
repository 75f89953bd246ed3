/// \file targetadmission.cpp
/// Scheduling of waiting requests at the agent of a target.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Prompt length at which attention doubles the time per prompt token, from the users' published
/// engine figures (101 tokens per millisecond, 0.184 ms per million token pairs).
constexpr double attentionDoublingTokens = 108'000;
/// A first token expected within this share of the remaining time counts as on time. The rest
/// covers the network delay to the entry and a busy entry.
constexpr double onTimeBudgetShare = 0.85;
/// An answer expected to take more than this share of the remaining time is unlikely to complete in
/// time: callers' output estimates are correct at the median, with a spread of half their value.
constexpr double completableBudgetShare = 0.8;
/// Factor for the score of a request whose answer is unlikely to complete in time.
constexpr double incompletableScoreFactor = 0.1;
/// Weight of a new sample in the learned prefill speed.
constexpr double prefillLearningRate = 0.15;
/// Subtracted from the time to a first token: the first decode step and the message delay.
constexpr double firstTokenOverheadMs = 8;
/// The time of shorter prompts is dominated by the network and the current step, not by prefill.
constexpr double minimumMeasuredTokens = 1'200;
/// Share of the past decode measurements that each answer replaces.
constexpr double decodeLearningRate = 0.05;
/// Number of reports in a row with fewer requests than were granted before grants are dropped.
constexpr int reportsBeforeRelease = 3;
/// A first event that is late by this much longer than its prompt should take, and ten times as
/// long, is taken for lost, so that it does not hold back grants.
constexpr double lostEventMs = 500;
constexpr double lostEventFactor = 10;
/// Part of the time by which a prompt is late that it is expected to be late still.
constexpr double remainingLateShare = 0.5;
/// An answer is overdue after this multiple of its expected time.
constexpr double overdueFactor = 2;
/// More recent grants may not be visible in a report yet.
constexpr Duration maximumReportDelay = milliseconds(600);

double prefillWork(double tokens)
{
    return tokens * (1 + tokens / attentionDoublingTokens);
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

void TargetAdmission::reserve(const ReservationProfile &profile, int targetSlots, TimePoint now)
{
    this->slots = std::max(targetSlots, 1);
    if (!this->granted.contains(profile.reservationId)) {
        this->waiting.try_emplace(profile.reservationId, Waiting{ profile, now });
    }
}

void TargetAdmission::recordTargetState(std::optional<std::int64_t> startedMs, bool isLeaving)
{
    if (startedMs && *startedMs != this->targetStartedMs) {
        this->targetStartedMs = *startedMs;
        this->leaving = false;
        this->quietUntil = {};
        this->permits = {};
        this->statedRate.reset();
        this->rateStatedAt.reset();
        if (this->learned) {
            this->learned->reset();
        }
    }
    this->leaving = this->leaving || isLeaving;
}

void TargetAdmission::recordQuiet(Duration time, TimePoint now)
{
    this->quietUntil = std::max(this->quietUntil, now + std::min(time, QuietTargets::longestTime));
}

bool TargetAdmission::recordRate(std::optional<double> perSecond, TimePoint at, TimePoint now)
{
    if (this->rateStatedAt && at <= *this->rateStatedAt) {
        return false;
    }
    this->rateStatedAt = at;
    if (perSecond == this->statedRate) {
        return false;
    }
    this->statedRate = perSecond;
    this->permits.setRate(perSecond, now);
    return true;
}

std::vector<ReservationProfile> TargetAdmission::removeWaiting()
{
    std::vector<ReservationProfile> result;
    result.reserve(this->waiting.size());
    for (const auto &[reservationId, record] : this->waiting) {
        result.push_back(record.profile);
    }
    this->waiting.clear();
    return result;
}

void TargetAdmission::release(
    const ReservationId &reservationId, std::uint32_t generated, bool unused, TimePoint now)
{
    this->waiting.erase(reservationId);
    const auto found = this->granted.find(reservationId);
    if (found == this->granted.end()) {
        return;
    }
    if (unused) {
        this->permits.giveBack(now);
    }
    this->recordRunning(now);
    if (this->learned) {
        const Granted &record = found->second;
        if (record.firstEventAt && record.targetStartedMs == this->targetStartedMs) {
            const double running
                = this->learned->meanRunning(record.runningIntegralMs, *record.firstEventAt, now);
            this->learned->recordEnd(generated, *record.firstEventAt, running, now);
        }
    } else if (found->second.firstEventAt && generated > 0) {
        this->decodedTokens += generated - decodeLearningRate * this->decodedTokens;
        this->decodedMs
            += toMs(now - *found->second.firstEventAt) - decodeLearningRate * this->decodedMs;
    }
    this->granted.erase(found);
}

void TargetAdmission::recordFirstEvent(const ReservationId &reservationId, TimePoint now)
{
    const auto found = this->granted.find(reservationId);
    if (found == this->granted.end() || found->second.firstEventAt) {
        return;
    }
    Granted &record = found->second;
    record.firstEventAt = now;
    if (this->learned) {
        this->recordRunning(now);
        record.runningIntegralMs = this->learned->runningIntegralMs();
        if (record.waitsForSlot || record.targetStartedMs != this->targetStartedMs) {
            this->learned->recordOtherFirstEvent(now);
        } else {
            this->learned->recordFirstEvent(
                record.profile.promptTokens, record.at, !record.nothingAhead, now);
        }
        return;
    }
    // Behind other prompts, the time would include an unknown part of theirs.
    const double work = prefillWork(record.profile.promptTokens);
    if (record.nothingAhead && work >= minimumMeasuredTokens) {
        const double tookMs = std::max(toMs(now - record.at) - firstTokenOverheadMs, 1.0);
        this->prefillTokensPerMs
            += prefillLearningRate * (std::min(work / tookMs, 400.0) - this->prefillTokensPerMs);
    }
}

double TargetAdmission::promptMs(double tokens) const
{
    return this->learned ? this->learned->model().promptMs(tokens)
                         : prefillWork(tokens) / this->prefillTokensPerMs;
}

double TargetAdmission::decodeMs(std::uint32_t outputTokens) const
{
    return this->learned ? outputTokens * this->learned->model().tokenMs(this->occupiedSlots() + 1)
                         : outputTokens * this->decodedMs / this->decodedTokens;
}

double TargetAdmission::learnedAheadMs(TimePoint now) const
{
    double workMs = 0;
    const Granted *oldest = nullptr;
    for (const auto &[reservationId, record] : this->granted) {
        const double ownMs = this->promptMs(record.profile.promptTokens);
        const double lateMs = toMs(now - this->learned->beginOf(record.at)) - ownMs;
        if (record.firstEventAt || lateMs > lostEventMs + lostEventFactor * ownMs) {
            continue;
        }
        workMs += ownMs;
        if (record.waitsForSlot) {
            continue;
        }
        oldest = oldest == nullptr || record.at < oldest->at ? &record : oldest;
    }
    if (oldest == nullptr) {
        return workMs;
    }
    const double oldestMs = this->promptMs(oldest->profile.promptTokens);
    const double elapsedMs = toMs(now - this->learned->beginOf(oldest->at));
    const double restMs
        = elapsedMs > oldestMs ? remainingLateShare * (elapsedMs - oldestMs) : oldestMs - elapsedMs;
    return std::max(workMs - oldestMs + restMs, 1.0);
}

void TargetAdmission::recordRunning(TimePoint now)
{
    if (this->learned) {
        this->learned->recordRunning(this->occupiedSlots(), now);
    }
}

void TargetAdmission::recordPending(TimePoint now)
{
    PendingWork pending;
    TimePoint oldest = TimePoint::max();
    const double expectedTokenMs = this->learned->model().tokenMs(this->occupiedSlots());
    for (const auto &[reservationId, record] : this->granted) {
        if (record.targetStartedMs != this->targetStartedMs) {
            continue;
        }
        if (record.firstEventAt) {
            ++pending.decoding;
            const double expectedMs = record.profile.outputTokens * expectedTokenMs;
            pending.overdue
                += toMs(now - *record.firstEventAt) > overdueFactor * expectedMs ? 1 : 0;
        } else if (!record.waitsForSlot && record.at < oldest) {
            oldest = record.at;
            pending.hasPrompt = true;
            pending.promptTokens = record.profile.promptTokens;
            pending.promptTime = now - this->learned->beginOf(record.at);
            pending.behindPrompt = !record.nothingAhead;
        }
    }
    this->learned->recordPending(pending, now);
}

void TargetAdmission::updateLimit(TimePoint now)
{
    if (this->learned) {
        this->recordPending(now);
        const bool isLoaded = !this->waiting.empty() && this->occupiedSlots() >= this->learnedLimit;
        this->learnedLimit = this->learned->updateLimit(this->slots, isLoaded, now);
    }
}

void TargetAdmission::recordMemory(
    std::optional<std::int64_t> total, std::optional<std::int64_t> used)
{
    if (this->learned) {
        this->learned->recordMemory(total, used, this->grantedTokens());
    }
}

std::int64_t TargetAdmission::grantedTokens() const
{
    std::int64_t result = 0;
    for (const auto &[reservationId, record] : this->granted) {
        result += std::int64_t{ record.profile.promptTokens } + record.profile.outputTokens;
    }
    return result;
}

bool TargetAdmission::hasMemoryFor(const ReservationProfile &profile) const
{
    return !this->learned
        || this->learned->hasMemory(
            this->grantedTokens(), std::int64_t{ profile.promptTokens } + profile.outputTokens);
}

double TargetAdmission::prefillAheadMs(TimePoint now) const
{
    if (this->learned) {
        return this->learnedAheadMs(now);
    }
    double work = 0;
    TimePoint oldest = now;
    for (const auto &[reservationId, record] : this->granted) {
        if (!record.firstEventAt) {
            work += prefillWork(record.profile.promptTokens);
            oldest = std::min(oldest, record.at);
        }
    }
    const double elapsedMs = toMs(now - oldest);
    return std::max(work / this->prefillTokensPerMs - elapsedMs, work > 0 ? 1.0 : 0.0);
}

int TargetAdmission::occupiedSlots() const
{
    return static_cast<int>(this->granted.size()) + this->untrackedRequests;
}

double TargetAdmission::scoreOf(const Waiting &record, double aheadMs, TimePoint now) const
{
    const ReservationProfile &profile = record.profile;
    const double prefillMs = this->learned && aheadMs <= 0
        ? this->learned->model().firstTokenMs(profile.promptTokens)
        : this->promptMs(profile.promptTokens);
    const double decodeMs = this->decodeMs(profile.outputTokens);
    // A step that processes a prompt delays every other request of the batch, so prefill costs more
    // than the time of one slot. A short request costs at least its messages.
    constexpr double minimumCostMs = 20;
    const double cost = minimumCostMs + decodeMs + prefillMs * this->concurrencyLimit() / 2;
    const double latencyLeftMs = toMs(profile.latencyLeft - (now - record.reservedAt));
    const bool onTime = aheadMs + prefillMs < onTimeBudgetShare * latencyLeftMs;
    const double timeLeftMs = toMs(profile.timeLeft - (now - record.reservedAt));
    const bool completable = aheadMs + prefillMs + decodeMs < completableBudgetShare * timeLeftMs;
    return profile.utility / cost * (onTime ? 1 : profile.lateShare)
        * (completable ? 1 : incompletableScoreFactor);
}

std::map<ReservationId, TargetAdmission::Waiting>::iterator TargetAdmission::bestWaiting(
    double aheadMs, TimePoint now)
{
    auto best = this->waiting.end();
    double bestScore = -1;
    for (auto record = this->waiting.begin(); record != this->waiting.end(); ++record) {
        const double score = this->scoreOf(record->second, aheadMs, now);
        if (score > bestScore && this->hasMemoryFor(record->second.profile)) {
            best = record;
            bestScore = score;
        }
    }
    return best;
}

std::vector<ReservationProfile> TargetAdmission::grant(TimePoint now)
{
    std::vector<ReservationProfile> result;
    if (this->isClosed(now)) {
        return result;
    }
    this->updateLimit(now);
    while (!this->waiting.empty()
        && this->occupiedSlots() < this->concurrencyLimit() + this->limits.queueAhead) {
        const double aheadMs = this->prefillAheadMs(now);
        if (aheadMs > toMs(this->limits.prefillBacklog)) {
            break;
        }
        const auto best = this->bestWaiting(aheadMs, now);
        if (best == this->waiting.end() || !this->permits.tryTake(now)) {
            break;
        }
        this->recordRunning(now);
        if (this->learned) {
            this->learned->recordNeed(best->second.profile);
        }
        const ReservationProfile profile = best->second.profile;
        this->granted.emplace(profile.reservationId,
            Granted{ profile, now, std::nullopt, aheadMs <= 0, this->targetStartedMs,
                this->occupiedSlots() >= this->slots, 0 });
        this->waiting.erase(best);
        result.push_back(profile);
    }
    return result;
}

std::vector<ReservationProfile> TargetAdmission::expire(TimePoint now)
{
    std::vector<ReservationProfile> result;
    for (auto record = this->waiting.begin(); record != this->waiting.end();) {
        if (now - record->second.reservedAt >= record->second.profile.waitLeft) {
            result.push_back(record->second.profile);
            record = this->waiting.erase(record);
        } else {
            ++record;
        }
    }
    this->recordRunning(now);
    std::erase_if(this->granted, [this, now](const auto &record) {
        return now - record.second.at > this->limits.grantTimeout;
    });
    const std::vector<ReservationProfile> beyondRate = this->removeBeyondRate(now);
    result.insert(result.end(), beyondRate.begin(), beyondRate.end());
    return result;
}

std::vector<ReservationProfile> TargetAdmission::removeBeyondRate(TimePoint now)
{
    std::vector<ReservationProfile> result;
    if (!this->isLimited()) {
        return result;
    }
    const double aheadMs = this->prefillAheadMs(now);
    std::vector<std::pair<double, ReservationId>> byScore;
    byScore.reserve(this->waiting.size());
    for (const auto &[reservationId, record] : this->waiting) {
        byScore.emplace_back(this->scoreOf(record, aheadMs, now), reservationId);
    }
    std::sort(byScore.rbegin(), byScore.rend());
    std::size_t kept = 0;
    for (const auto &[score, reservationId] : byScore) {
        const auto record = this->waiting.find(reservationId);
        const Duration waitLeft
            = record->second.profile.waitLeft - (now - record->second.reservedAt);
        if (this->permits.untilAvailable(kept + 1, now) <= waitLeft) {
            ++kept;
            continue;
        }
        result.push_back(record->second.profile);
        this->waiting.erase(record);
    }
    return result;
}

void TargetAdmission::reconcile(int running, int queued, TimePoint now)
{
    this->recordRunning(now);
    int settledGrants = 0;
    for (const auto &[reservationId, record] : this->granted) {
        settledGrants += now - record.at > maximumReportDelay ? 1 : 0;
    }
    const int atTarget = running + queued;
    this->untrackedRequests = std::max(0, atTarget - static_cast<int>(this->granted.size()));
    this->consecutiveShortReports
        = atTarget < settledGrants ? this->consecutiveShortReports + 1 : 0;
    if (this->consecutiveShortReports < reportsBeforeRelease) {
        return;
    }
    // The release messages of some grants were lost, most likely those of the oldest ones.
    std::vector<std::pair<TimePoint, ReservationId>> byAge;
    for (const auto &[reservationId, record] : this->granted) {
        if (now - record.at > maximumReportDelay) {
            byAge.emplace_back(record.at, reservationId);
        }
    }
    std::sort(byAge.begin(), byAge.end());
    for (int i = 0; i < settledGrants - atTarget; ++i) {
        this->granted.erase(byAge[static_cast<std::size_t>(i)].second);
    }
    this->consecutiveShortReports = 0;
}

TargetLoad TargetAdmission::load(TimePoint now) const
{
    TargetLoad result;
    result.freeSlots = std::max(0, this->concurrencyLimit() - this->occupiedSlots());
    result.waiting = static_cast<int>(this->waiting.size());
    result.prefillTokensPerMs
        = this->learned ? this->learned->model().prefillTokensPerMs() : this->prefillTokensPerMs;
    result.decodeTokensPerMs
        = this->learned ? 1 / this->decodeMs(1) : this->decodedTokens / this->decodedMs;
    double delayMs = this->prefillAheadMs(now);
    double waitingWork = 0;
    for (const auto &[reservationId, record] : this->waiting) {
        waitingWork += this->promptMs(record.profile.promptTokens);
        waitingWork
            += record.profile.outputTokens / result.decodeTokensPerMs / this->concurrencyLimit();
    }
    delayMs += waitingWork;
    if (result.freeSlots == 0) {
        // Expected time until the first of the granted requests ends.
        double soonestEndMs = 2'000;
        for (const auto &[reservationId, record] : this->granted) {
            const double durationMs = record.profile.outputTokens / result.decodeTokensPerMs;
            soonestEndMs
                = std::min(soonestEndMs, std::max(durationMs - toMs(now - record.at), 20.0));
        }
        delayMs += soonestEndMs;
    }
    result.startDelay = toDuration(delayMs);
    result.untilPermit = this->permits.untilAvailable(this->waiting.size() + 1, now);
    return result;
}

} // namespace wigeonsill
