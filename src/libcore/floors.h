/// \file floors.h
/// Floors: the lowest tier that a pool currently admits.
///
/// Rule: no request is shed while a request of a lower tier is served in the same pool.
///
/// *Shed* is a request that ends with Overloaded, DeadlineUnreachable, TierFloor or RequestExpired.
/// *Served* is a request that an agent starts at its target. A request that was started before the
/// floor reached its agent no longer counts as served and runs to its end, unless its
/// organisation's preemption is IdempotentOnly and it is idempotent: such a request counts as
/// served while it runs, and is cancelled when the floor reaches its agent.
///
/// Mechanism: before an entry sheds a tier it raises the pool's floor to that tier. An agent that
/// receives the floor evicts the reservations of lower tiers, starts nothing below the floor until
/// it expires, and confirms the sequence number of the floors that it received. The entry sheds
/// before a deadline only once every usable agent of the pool that it is connected to has confirmed
/// the floor, and only while the floor remains in force for longer than a margin. The lowest
/// tier has nothing below it, so it is shed without confirmation.
///
/// Limits of the rule: a request whose deadline has passed ends at once, with or without the
/// confirmation of all agents. An agent that the entry's messages did not reach between the raise
/// and the deadline may have served a lower tier meanwhile; so may one that the entry is not
/// connected to.
///
/// Entries never forward a floor that they learned from an agent, so that a floor expires however
/// slow the messages are.
#pragma once

#include "wigeonsill/core.h"

namespace wigeonsill {

constexpr Duration floorDuration = seconds(2); ///< A floor expires after this unless raised again.
/// Least time for which confirmed floors must remain in force when an entry sheds early.
constexpr Duration floorConfirmationMargin = milliseconds(250);

/// Floors by pool, with their expiry times. Not thread-safe.
class FloorTable
{
public:
    /// Puts a floor in force until a time. Returns whether it raised the pool's floor.
    bool raise(TimePoint now, const std::string &pool, Tier lowestServed, TimePoint until);
    /// The lowest tier that the pool admits.
    Tier lowestServed(TimePoint now, const std::string &pool) const;
    bool admits(TimePoint now, const std::string &pool, Tier tier) const
    {
        return tier <= this->lowestServed(now, pool);
    }
    /// Time until which the pool's floor is at this tier or a higher one; the epoch when the pool
    /// has no such floor.
    TimePoint inForceUntil(const std::string &pool, Tier tier) const;
    /// Time until the pool admits a tier again; zero when it is admitted now.
    Duration remaining(TimePoint now, const std::string &pool, Tier tier) const;
    /// The floors in force, for a message to a peer.
    std::vector<PoolFloor> list(TimePoint now) const;
    void clear() { this->pools.clear(); }

private:
    using ExpiryTimes = std::array<TimePoint, tierCount>;
    std::map<std::string, ExpiryTimes> pools;
};

} // namespace wigeonsill
