/// \file entryfloors.cpp
/// Floors raised by an entry or reported by agents, and the agents' confirmations.
#include "entryfloors.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// An own floor is renewed this long before it expires.
constexpr Duration renewalLead = seconds(1);
constexpr std::size_t maximumStatements = 32;

} // namespace

bool EntryFloors::raise(TimePoint now, const std::string &pool, Tier lowestServed)
{
    if (lowestServed == Tier::Bulk
        || this->ownFloors.inForceUntil(pool, lowestServed) > now + renewalLead) {
        return false;
    }
    this->ownFloors.raise(now, pool, lowestServed, now + floorDuration);
    return true;
}

void EntryFloors::addReported(TimePoint now, const std::vector<PoolFloor> &floors)
{
    for (const PoolFloor &floor : floors) {
        this->reportedFloors.raise(now, floor.pool, floor.lowestServed, now + floor.remaining);
    }
}

bool EntryFloors::admits(TimePoint now, const std::string &pool, Tier tier) const
{
    return this->ownFloors.admits(now, pool, tier) && this->reportedFloors.admits(now, pool, tier);
}

Duration EntryFloors::remaining(TimePoint now, const std::string &pool, Tier tier) const
{
    return std::max(this->ownFloors.remaining(now, pool, tier),
        this->reportedFloors.remaining(now, pool, tier));
}

EntryHeartbeat EntryFloors::makeStatement(TimePoint now, std::uint64_t configurationRevision)
{
    EntryHeartbeat heartbeat;
    heartbeat.configurationRevision = configurationRevision;
    heartbeat.floors = this->ownFloors.list(now);
    if (heartbeat.floors.empty()) {
        return heartbeat;
    }
    heartbeat.floorSequence = this->nextSequence++;
    this->statements.push_back({ heartbeat.floorSequence, now, heartbeat.floors });
    if (this->statements.size() > maximumStatements) {
        this->statements.pop_front();
    }
    return heartbeat;
}

void EntryFloors::confirm(TimePoint now, AgentView &agent, std::uint64_t sequence)
{
    for (const Statement &statement : this->statements) {
        if (statement.sequence != sequence) {
            continue;
        }
        // The agent applied the statement after it was made, so its floors hold at least until
        // then.
        for (const PoolFloor &floor : statement.floors) {
            agent.confirmedFloors.raise(
                now, floor.pool, floor.lowestServed, statement.madeAt + floor.remaining);
        }
    }
}

bool EntryFloors::allowsShedding(
    TimePoint now, AgentDirectory &agents, const std::string &pool, Tier tier)
{
    if (tier == Tier::Bulk) {
        return true;
    }
    const TimePoint needed = now + floorConfirmationMargin;
    TimePoint &cachedExpiry = this->confirmedUntil[{ pool, tier }];
    if (cachedExpiry > needed) {
        return true;
    }
    TimePoint earliestExpiry = TimePoint::max();
    for (const AgentView *agent : agents.agentsInPool(pool)) {
        if (agent->connected && !agent->draining) {
            earliestExpiry
                = std::min(earliestExpiry, agent->confirmedFloors.inForceUntil(pool, tier));
        }
        if (earliestExpiry <= needed) {
            return false;
        }
    }
    cachedExpiry = earliestExpiry == TimePoint::max() ? TimePoint{} : earliestExpiry;
    return true;
}

} // namespace wigeonsill
