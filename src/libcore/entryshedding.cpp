/// \file entryshedding.cpp
/// When an entry raises floors, widens reservations and gives requests up.
#include "entrystate.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Share of a request's whole wait that is left when it counts as being at risk.
constexpr int riskShareDivisor = 3;
constexpr std::size_t candidatesAtRisk = 8;
constexpr std::size_t agentsSampledForWait = 4;
constexpr std::size_t placedPerTick = 64; ///< Requests without a reservation that are tried again.
/// Parts of a hundred of the waiting places that a tier may fill.
constexpr std::array<std::size_t, tierCount> placesPerHundred = { 100, 90, 80, 70 };
/// A refusal for the predicted wait allows for an error of the prediction by this factor.
constexpr int predictionMargin = 2;

} // namespace

std::size_t EntryCore::Private::wantedCandidates(const EntryRequest &request) const
{
    return request.atRisk ? std::max(candidatesAtRisk, this->limits.candidates)
                          : this->limits.candidates;
}

void EntryCore::Private::watchRisk(TimePoint now, EntryRequest &request)
{
    request.riskAt = request.deadline - (request.deadline - now) / riskShareDivisor;
    this->riskTimes.emplace(request.riskAt, request.id().sequence);
    const std::optional<Duration> wait = this->predictedWait(request);
    if (wait && now + *wait > request.riskAt) {
        this->markAtRisk(now, request);
    }
    if (wait && *wait > (request.deadline - now) * predictionMargin) {
        this->shed(now, request, ResultCode::DeadlineUnreachable);
    }
}

void EntryCore::Private::unwatchRisk(EntryRequest &request)
{
    const std::uint64_t sequence = request.id().sequence;
    const RequestProfile &profile = request.caller.profile;
    this->riskTimes.erase({ request.riskAt, sequence });
    this->affineHolds.erase({ request.affineUntil, sequence });
    this->unplaced.erase({ profile.tier, sequence });
    if (request.atRisk) {
        request.atRisk = false;
        --this->atRisk[profile.pool][static_cast<std::size_t>(profile.tier)];
    }
    const auto shedding = this->toShed.find({ profile.pool, profile.tier });
    if (shedding != this->toShed.end()) {
        shedding->second.erase(sequence);
    }
}

std::optional<Duration> EntryCore::Private::predictedWait(const EntryRequest &request)
{
    std::optional<Duration> shortest;
    const auto tier = static_cast<std::size_t>(request.caller.profile.tier);
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
    const RequestProfile &profile = request.caller.profile;
    request.atRisk = true;
    ++this->atRisk[profile.pool][static_cast<std::size_t>(profile.tier)];
    this->raiseFloor(now, profile.pool, profile.tier);
    this->placeReservations(now, request);
}

void EntryCore::Private::raiseFloor(TimePoint now, const std::string &pool, Tier tier)
{
    if (this->floors.raise(now, pool, tier)) {
        this->tellFloors(now);
    }
}

void EntryCore::Private::tellFloors(TimePoint now)
{
    this->lastHeartbeat = now;
    const EntryHeartbeat beat = this->floors.makeStatement(now, this->configurationRevision);
    for (const auto &[name, agent] : this->agents.all()) {
        if (agent.connected) {
            this->send(name, beat);
        }
    }
}

bool EntryCore::Private::shed(TimePoint now, EntryRequest &request, ResultCode reason)
{
    const RequestProfile &profile = request.caller.profile;
    if (this->floors.allowsShedding(now, this->agents, profile.pool, profile.tier)) {
        this->finish(request, reason);
        return true;
    }
    this->raiseFloor(now, profile.pool, profile.tier);
    this->toShed[{ profile.pool, profile.tier }][request.id().sequence] = reason;
    return false;
}

std::optional<ResultCode> EntryCore::Private::refusalOf(
    TimePoint now, const RequestProfile &profile)
{
    if (this->waiting >= this->limits.maximumWaiting) {
        return ResultCode::Overloaded;
    }
    const std::size_t places
        = this->limits.maximumWaiting * placesPerHundred[static_cast<std::size_t>(profile.tier)];
    ResultCode reason = ResultCode::Ok;
    if (!this->floors.admits(now, profile.pool, profile.tier)) {
        reason = ResultCode::TierFloor;
    } else if (this->waiting * 100 >= places) {
        reason = ResultCode::Overloaded;
    }
    if (reason == ResultCode::Ok) {
        return std::nullopt;
    }
    if (this->floors.allowsShedding(now, this->agents, profile.pool, profile.tier)) {
        return reason;
    }
    // Until the agents have the floor, the request waits with the others.
    this->raiseFloor(now, profile.pool, profile.tier);
    return std::nullopt;
}

Duration EntryCore::Private::poolWait(const RequestProfile &profile)
{
    const std::vector<std::string> &names = this->agents.ofPool(profile.pool);
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
    const RequestProfile &profile = request.caller.profile;
    if (result == ResultCode::QuotaExceeded) {
        return request.quotaDelay;
    }
    if (resultInfo(result).httpStatus != 503) {
        return Duration::zero();
    }
    const Duration floor = this->floors.remaining(this->presentTime, profile.pool, profile.tier);
    // Room for the caller is there once its wait would fit the time that it allows.
    const Duration excess = this->poolWait(profile) - profile.timeLeft;
    return this->returns.delayFor(
        this->presentTime, profile, std::max(floor, excess), this->random);
}

void EntryCore::Private::learn(const RequestProfile &profile, const AnswerEnd &message)
{
    if (message.result == ResultCode::Ok) {
        this->sizes.learn(profile.organisation, profile.service, message.outputTokens);
        this->returns.completed(this->presentTime, profile);
    }
}

void EntryCore::Private::renewFloors(TimePoint now)
{
    while (!this->riskTimes.empty() && this->riskTimes.begin()->first <= now) {
        EntryRequest &request = this->requests.at(this->riskTimes.begin()->second);
        this->riskTimes.erase(this->riskTimes.begin());
        this->markAtRisk(now, request);
    }
    for (const auto &[pool, counts] : this->atRisk) {
        const auto *highest = std::find_if(
            counts.begin(), counts.end(), [](std::size_t count) { return count > 0; });
        if (highest != counts.end()) {
            this->raiseFloor(now, pool, static_cast<Tier>(highest - counts.begin()));
        }
    }
}

void EntryCore::Private::shedWhereAllowed(TimePoint now)
{
    for (auto &[place, sequences] : this->toShed) {
        const bool allowed = !sequences.empty()
            && this->floors.allowsShedding(now, this->agents, place.first, place.second);
        if (!allowed) {
            continue;
        }
        const std::map<std::uint64_t, ResultCode> given = std::exchange(sequences, {});
        for (const auto &[sequence, reason] : given) {
            this->finish(this->requests.at(sequence), reason);
        }
    }
}

void EntryCore::Private::placeUnplaced(TimePoint now)
{
    const std::size_t count = std::min(placedPerTick, this->unplaced.size());
    for (std::size_t i = 0; i < count && !this->unplaced.empty(); ++i) {
        auto next = this->unplaced.upper_bound(this->lastUnplaced);
        if (next == this->unplaced.end()) {
            next = this->unplaced.begin();
        }
        this->lastUnplaced = *next;
        this->placeReservations(now, this->requests.at(next->second));
    }
}

} // namespace wigeonsill
