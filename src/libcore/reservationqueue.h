/// \file reservationqueue.h
/// The agent's queue of reservations: tier first, then a fair share over organisations.
#pragma once

#include "wigeonsill/core.h"

#include <deque>
#include <set>

namespace wigeonsill {

/// Start-time fair queueing over organisations inside each tier. Costs grow with the number of
/// organisations that wait, not with the number of reservations. Not thread-safe.
class ReservationQueue
{
public:
    struct Entry
    {
        RequestProfile profile;
        TimePoint deadline;
    };

    /// Adds a reservation. Returns false when the id is already queued.
    bool add(const RequestProfile &profile, TimePoint deadline);
    /// Removes a reservation. Returns false when it is not queued.
    bool remove(const RequestId &id);
    /// The reservation to serve next, or nullptr.
    const Entry *front() const;
    /// Removes and returns the reservation that front() shows. \pre the queue is not empty.
    Entry takeFront();
    /// Removes the reservations whose deadline is over and returns their ids.
    std::vector<RequestId> removeExpired(TimePoint now);
    /// Removes the reservations of one entry.
    void removeEntry(const Incarnation &entry);
    /// Removes the reservations of a pool below a tier and returns their ids.
    std::vector<RequestId> removeBelow(const std::string &pool, Tier lowestServed);
    /// Removes the last reservation of the lowest tier, if that is below the given one.
    std::optional<RequestId> evictBelow(Tier tier);
    /// Removes everything and returns the ids.
    std::vector<RequestId> removeAll();

    std::size_t size() const { return this->byId.size(); }
    std::size_t sizeOf(Tier tier) const;
    /// Estimated tokens that wait in a tier.
    std::uint64_t tokensOf(Tier tier) const;
    const Entry *find(const RequestId &id) const;

private:
    struct Share
    {
        std::deque<RequestId> waiting; ///< May hold ids that were removed since.
        std::size_t live = 0;
        double virtualTime = 0;
    };
    struct TierQueue
    {
        std::map<std::string, Share> shares;
        std::map<std::pair<double, std::string>, Share *>
            order; ///< By virtual time; live shares only.
        double virtualTime = 0;
        std::size_t live = 0;
        std::uint64_t tokens = 0;
    };

    void skipRemoved(Share &share);
    void forget(TierQueue &queue, const std::string &organisation);

    std::array<TierQueue, tierCount> tiers;
    std::map<RequestId, Entry> byId; ///< Those of one entry stand together.
    std::set<std::pair<TimePoint, RequestId>> byDeadline;
};

} // namespace wigeonsill
