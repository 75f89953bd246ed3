/// \file floors.h
/// Floors: the lowest tier that a pool takes at present.
///
/// The rule: no request of a higher tier is shed while a lower tier's is still served in the pool.
///
/// *Shed* is a request that ends with Overloaded, DeadlineUnreachable, TierFloor or RequestExpired.
/// *Served* is a request that an agent starts at its target. Work that had been started before the
/// floor reached its agent is not served any more in this sense, and ends by itself, unless its
/// organisation's preemption is IdempotentOnly and it is idempotent: such work is served for as
/// long as it runs, and is cancelled when the floor reaches its agent.
///
/// How it is kept: before an entry sheds a tier it raises the pool's floor to that tier. An agent
/// that has the floor evicts the lower tiers' reservations and starts nothing below the floor until
/// it lapses, and says which statement of floors it has. The entry sheds early only once every
/// usable agent of the pool that it is connected to has said so, and the floor outlasts the
/// shedding by consentMargin. The lowest tier has nothing below it, so it is shed without asking.
///
/// Where it ends: a request whose deadline has come is answered at once, with or without the word
/// of all agents. An agent that the entry's messages did not reach between the raise and the
/// deadline may have served a lower tier meanwhile; so may one that the entry is not connected to.
///
/// Entries never pass on a floor that they only heard of, so that a floor lapses however slow the
/// messages are.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

constexpr Duration floorDuration = seconds(2); ///< A floor lapses after this unless raised again.
constexpr Duration consentMargin = milliseconds(250);

/// Floors by pool and when they lapse. Not thread-safe.
class FloorTable
{
public:
    /// Puts a floor in force. Returns whether the pool's floor became higher by it.
    bool raise(TimePoint now, const std::string &pool, Tier lowestServed, TimePoint until);
    /// The lowest tier that the pool takes.
    Tier lowestServed(TimePoint now, const std::string &pool) const;
    bool admits(TimePoint now, const std::string &pool, Tier tier) const
    {
        return tier <= this->lowestServed(now, pool);
    }
    /// Until when a tier or a higher one is the lowest that the pool takes; the epoch when it is
    /// not.
    TimePoint heldUntil(const std::string &pool, Tier tier) const;
    /// How long a tier still is below the floor.
    Duration remaining(TimePoint now, const std::string &pool, Tier tier) const;
    /// Everything in force, for a message.
    std::vector<PoolFloor> list(TimePoint now) const;
    void clear() { this->pools.clear(); }

private:
    using Lapses = std::array<TimePoint, tierCount>;
    std::map<std::string, Lapses> pools;
};

} // namespace wigeonsill
