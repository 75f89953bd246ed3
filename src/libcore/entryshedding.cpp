/// \file entryshedding.cpp
/// EntryCore: risk tracking, floors, load shedding and retry delays.
#include "entrystate.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// A request is at risk once only this fraction (1 / riskShareDivisor) of its maximum wait is left.
constexpr int riskShareDivisor = 3;
constexpr std::size_t candidatesAtRisk = 8;
constexpr std::size_t agentsSampledForWait = 4;
constexpr std::size_t maximumPlacementsPerTick = 64; ///< Of requests without a reservation.
/// Percentage of maximumWaiting up to which requests of a tier are admitted.
constexpr std::array<std::size_t, tierCount> queueSharePercent = { 100, 90, 80, 70 };
/// A request is refused only when the predicted wait exceeds its time left by this factor, because
/// the prediction may be wrong.
constexpr int predictionMargin = 2;

} // namespace

std::size_t EntryCore::Private::wantedCandidates(const EntryRequest &request) const
{
    return request.atRisk ? std::max(candidatesAtRisk, this->limits.candidates)
                          : this->limits.candidates;
}

void EntryCore::Private::startRiskTracking(TimePoint now, EntryRequest &request)
{
    request.riskStartsAt = request.deadline - (request.deadline - now) / riskShareDivisor;
    this->riskStartTimes.emplace(request.riskStartsAt, request.id().sequence);
    const std::optional<Duration> wait = this->predictedWait(request);
    if (wait && now + *wait > request.riskStartsAt) {
        this->markAtRisk(now, request);
    }
    if (wait && *wait > (request.deadline - now) * predictionMargin) {
        this->shed(now, request, ResultCode::DeadlineUnreachable);
    }
}

void EntryCore::Private::stopRiskTracking(EntryRequest &request)
{
    const std::uint64_t sequence = request.id().sequence;
    const RequestProfile &profile = request.callerRequest.profile;
    this->riskStartTimes.erase({ request.riskStartsAt, sequence });
    this->affinityWaits.erase({ request.affinityEndsAt, sequence });
    this->unplaced.erase({ profile.tier, sequence });
    if (request.atRisk) {
        request.atRisk = false;
        --this->atRiskCounts[profile.pool][static_cast<std::size_t>(profile.tier)];
    }
    const auto shedding = this->pendingSheds.find({ profile.pool, profile.tier });
    if (shedding != this->pendingSheds.end()) {
        shedding->second.erase(sequence);
    }
}

std::optional<Duration> EntryCore::Private::predictedWait(const EntryRequest &request)
{
    std::optional<Duration> shortest;
    const auto tier = static_cast<std::size_t>(request.callerRequest.profile.tier);
    for (const std::string &name : request.reservedAt) {
        const AgentView &agent = this->agents.get(name);
        const Duration wait = agent.load.expectedWait[tier];
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return shortest;
}

void EntryCore::Private::markAtRisk(TimePoint now, EntryRequest &request)
{
    if (request.atRisk) {
        return;
    }
    const RequestProfile &profile = request.callerRequest.profile;
    request.atRisk = true;
    ++this->atRiskCounts[profile.pool][static_cast<std::size_t>(profile.tier)];
    this->raiseFloor(now, profile.pool, profile.tier);
    this->placeReservations(now, request);
}

void EntryCore::Private::raiseFloor(TimePoint now, const std::string &pool, Tier tier)
{
    if (this->floors.raise(now, pool, tier)) {
        this->publishFloors(now);
    }
}

void EntryCore::Private::publishFloors(TimePoint now)
{
    this->lastHeartbeat = now;
    const EntryHeartbeat heartbeat = this->floors.makeStatement(now, this->configurationRevision);
    for (const auto &[name, agent] : this->agents.all()) {
        if (agent.connected) {
            this->send(name, heartbeat);
        }
    }
}

bool EntryCore::Private::shed(TimePoint now, EntryRequest &request, ResultCode reason)
{
    const RequestProfile &profile = request.callerRequest.profile;
    if (this->floors.allowsShedding(now, this->agents, profile.pool, profile.tier)) {
        this->finish(request, reason);
        return true;
    }
    this->raiseFloor(now, profile.pool, profile.tier);
    this->pendingSheds[{ profile.pool, profile.tier }][request.id().sequence] = reason;
    return false;
}

std::optional<ResultCode> EntryCore::Private::admissionRefusal(
    TimePoint now, const RequestProfile &profile)
{
    if (this->waiting >= this->limits.maximumWaiting) {
        return ResultCode::Overloaded;
    }
    const std::size_t scaledLimit
        = this->limits.maximumWaiting * queueSharePercent[static_cast<std::size_t>(profile.tier)];
    ResultCode reason = ResultCode::Ok;
    if (!this->floors.admits(now, profile.pool, profile.tier)) {
        reason = ResultCode::TierFloor;
    } else if (this->waiting * 100 >= scaledLimit) {
        reason = ResultCode::Overloaded;
    }
    if (reason == ResultCode::Ok) {
        return std::nullopt;
    }
    if (this->floors.allowsShedding(now, this->agents, profile.pool, profile.tier)) {
        return reason;
    }
    // The request waits until the agents have confirmed the floor.
    this->raiseFloor(now, profile.pool, profile.tier);
    return std::nullopt;
}

Duration EntryCore::Private::poolWait(const RequestProfile &profile)
{
    const std::vector<std::string> &names = this->agents.namesInPool(profile.pool);
    const std::size_t count = std::min(names.size(), agentsSampledForWait);
    Duration shortest = Duration::max();
    for (std::size_t i = 0; i < count; ++i) {
        const AgentView &agent = this->agents.get(names[this->random() % names.size()]);
        if (agent.isUsable()) {
            shortest = std::min(
                shortest, agent.load.expectedWait[static_cast<std::size_t>(profile.tier)]);
        }
    }
    return shortest == Duration::max() ? Duration::zero() : shortest;
}

Duration EntryCore::Private::retryAfter(const EntryRequest &request, ResultCode result)
{
    const RequestProfile &profile = request.callerRequest.profile;
    if (result == ResultCode::QuotaExceeded) {
        return request.quotaDelay;
    }
    if (resultInfo(result).httpStatus != 503) {
        return Duration::zero();
    }
    const Duration floor = this->floors.remaining(this->presentTime, profile.pool, profile.tier);
    // A retry can succeed once the expected wait is within the caller's maximum wait.
    const Duration excess = this->poolWait(profile) - profile.timeLeft;
    return this->callerRetrySchedule.retryDelay(
        this->presentTime, profile, std::max(floor, excess), this->random);
}

void EntryCore::Private::learn(const RequestProfile &profile, const AnswerEnd &message)
{
    if (message.result == ResultCode::Ok) {
        this->sizes.learn(profile.organisation, profile.service, message.outputTokens);
        this->callerRetrySchedule.recordCompletion(this->presentTime, profile);
    }
}

void EntryCore::Private::updateRiskAndFloors(TimePoint now)
{
    while (!this->riskStartTimes.empty() && this->riskStartTimes.begin()->first <= now) {
        EntryRequest &request = this->requests.at(this->riskStartTimes.begin()->second);
        this->riskStartTimes.erase(this->riskStartTimes.begin());
        this->markAtRisk(now, request);
    }
    for (const auto &[pool, counts] : this->atRiskCounts) {
        const auto *highest = std::find_if(
            counts.begin(), counts.end(), [](std::size_t count) { return count > 0; });
        if (highest != counts.end()) {
            this->raiseFloor(now, pool, static_cast<Tier>(highest - counts.begin()));
        }
    }
}

void EntryCore::Private::shedPendingRequests(TimePoint now)
{
    for (auto &[poolAndTier, sequences] : this->pendingSheds) {
        const bool allowed = !sequences.empty()
            && this->floors.allowsShedding(
                now, this->agents, poolAndTier.first, poolAndTier.second);
        if (!allowed) {
            continue;
        }
        const std::map<std::uint64_t, ResultCode> allowedSheds = std::exchange(sequences, {});
        for (const auto &[sequence, reason] : allowedSheds) {
            this->finish(this->requests.at(sequence), reason);
        }
    }
}

void EntryCore::Private::placeUnplaced(TimePoint now)
{
    const std::size_t count = std::min(maximumPlacementsPerTick, this->unplaced.size());
    for (std::size_t i = 0; i < count && !this->unplaced.empty(); ++i) {
        auto next = this->unplaced.upper_bound(this->unplacedCursor);
        if (next == this->unplaced.end()) {
            next = this->unplaced.begin();
        }
        this->unplacedCursor = *next;
        this->placeReservations(now, this->requests.at(next->second));
    }
}

} // namespace wigeonsill
