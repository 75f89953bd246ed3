/// \file entryfloors.cpp
/// The floors that an entry raises and hears of, and the agents' word on them.
#include "entryfloors.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr Duration renewBefore
    = seconds(1); ///< An own floor is renewed this long before it lapses.
constexpr std::size_t statementsKept = 32;

} // namespace

bool EntryFloors::raise(TimePoint now, const std::string &pool, Tier lowestServed)
{
    if (lowestServed == Tier::Bulk
        || this->own.inForceUntil(pool, lowestServed) > now + renewBefore) {
        return false;
    }
    this->own.raise(now, pool, lowestServed, now + floorDuration);
    return true;
}

void EntryFloors::hear(TimePoint now, const std::vector<PoolFloor> &floors)
{
    for (const PoolFloor &floor : floors) {
        this->heard.raise(now, floor.pool, floor.lowestServed, now + floor.remaining);
    }
}

bool EntryFloors::admits(TimePoint now, const std::string &pool, Tier tier) const
{
    return this->own.admits(now, pool, tier) && this->heard.admits(now, pool, tier);
}

Duration EntryFloors::remaining(TimePoint now, const std::string &pool, Tier tier) const
{
    return std::max(this->own.remaining(now, pool, tier), this->heard.remaining(now, pool, tier));
}

EntryHeartbeat EntryFloors::makeStatement(TimePoint now, std::uint64_t configurationRevision)
{
    EntryHeartbeat beat;
    beat.configurationRevision = configurationRevision;
    beat.floors = this->own.list(now);
    if (beat.floors.empty()) {
        return beat;
    }
    beat.floorSequence = this->nextSequence++;
    this->statements.push_back({ beat.floorSequence, now, beat.floors });
    if (this->statements.size() > statementsKept) {
        this->statements.pop_front();
    }
    return beat;
}

void EntryFloors::confirm(TimePoint now, AgentView &agent, std::uint64_t sequence)
{
    for (const Statement &statement : this->statements) {
        if (statement.sequence != sequence) {
            continue;
        }
        // The agent took it in later than it was made, so it holds at least until then.
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
    TimePoint &known = this->consentUntil[{ pool, tier }];
    if (known > needed) {
        return true;
    }
    TimePoint least = TimePoint::max();
    for (const AgentView *agent : agents.viewsOf(pool)) {
        if (agent->connected && !agent->draining) {
            least = std::min(least, agent->confirmedFloors.inForceUntil(pool, tier));
        }
        if (least <= needed) {
            return false;
        }
    }
    known = least == TimePoint::max() ? TimePoint{} : least;
    return true;
}

} // namespace wigeonsill
