/// \file agentfloors.cpp
/// Agent core: raised floors, and evictions from a full queue.
#include "agentstate.h"

namespace wigeonsill {

void AgentCore::Private::onMessage(
    TimePoint now, const Incarnation &entry, const EntryHeartbeat &message)
{
    bool floorRaised = false;
    for (const PoolFloor &floor : message.floors) {
        if (this->floors.raise(now, floor.pool, floor.lowestServed, now + floor.remaining)) {
            floorRaised = true;
            this->enforceFloor(floor.pool, floor.lowestServed, now);
        }
    }
    EntryConnection &connection = this->entries[entry];
    connection.floorSequence = std::max(connection.floorSequence, message.floorSequence);
    if (floorRaised) {
        // The heartbeats make every entry stop admitting below the floor, not only the one that
        // raised it.
        this->sendHeartbeats(now);
        this->pullQueuedRequests(now);
    } else if (!message.floors.empty()) {
        this->send(entry, this->heartbeat(now, connection));
    }
}

void AgentCore::Private::enforceFloor(const std::string &pool, Tier lowestServed, TimePoint now)
{
    for (const RequestId &id : this->queue.removeBelow(pool, lowestServed)) {
        this->send(id.entry, ReservationEnded{ id, ResultCode::TierFloor, this->floors.list(now) });
    }
    for (auto &[id, run] : this->runs) {
        const bool belowFloor = run.profile.pool == pool && run.profile.tier > lowestServed;
        if (belowFloor && run.profile.preemption == Preemption::IdempotentOnly && !run.cancelled) {
            this->cancelOrDiscard(run);
            run.preempted = run.cancelled;
        }
    }
}

bool AgentCore::Private::makeQueueSpaceFor(const RequestProfile &profile)
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
