/// \file agentfloors.cpp
/// What an agent does when the floor of a pool is raised, and when its queue is full.
#include "agentstate.h"

namespace wigeonsill {

void AgentCore::Private::onMessage(
    TimePoint now, const Incarnation &entry, const EntryHeartbeat &message)
{
    bool higher = false;
    for (const PoolFloor &floor : message.floors) {
        if (this->floors.raise(now, floor.pool, floor.lowestServed, now + floor.remaining)) {
            higher = true;
            this->enforceFloor(floor.pool, floor.lowestServed, now);
        }
    }
    EntryLink &link = this->entries[entry];
    link.floorSequence = std::max(link.floorSequence, message.floorSequence);
    if (higher) {
        // Every entry is to stop admitting below the floor, not only the one that raised it.
        this->sendHeartbeats(now);
        this->pullNext(now);
    } else if (!message.floors.empty()) {
        this->send(entry, this->heartbeat(now, link));
    }
}

void AgentCore::Private::enforceFloor(const std::string &pool, Tier lowestServed, TimePoint now)
{
    for (const RequestId &id : this->queue.removeBelow(pool, lowestServed)) {
        this->send(id.entry, ReservationEnded{ id, ResultCode::TierFloor, this->floors.list(now) });
    }
    for (auto &[id, run] : this->runs) {
        const bool below = run.profile.pool == pool && run.profile.tier > lowestServed;
        if (below && run.profile.preemption == Preemption::IdempotentOnly && !run.cancelled) {
            this->cancel(run);
            run.preempted = run.cancelled;
        }
    }
}

bool AgentCore::Private::makeRoomFor(const RequestProfile &profile)
{
    if (this->queue.size() < this->limits.maximumQueued) {
        return true;
    }
    const std::optional<RequestId> evicted = this->queue.evictBelow(profile.tier);
    if (!evicted) {
        return false;
    }
    this->send(evicted->entry, ReservationEnded{ *evicted, ResultCode::Overloaded, {} });
    return true;
}

} // namespace wigeonsill
