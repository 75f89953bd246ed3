/// \file reservationqueue.h
/// The agent's queue of reservations, ordered by tier, then fairly over organisations.
#pragma once

#include "wigeonsill/core.h"

#include <deque>
#include <set>

namespace wigeonsill {

/// Strict priority between tiers, start-time fair queueing over organisations within a tier.
/// Costs grow with the number of organisations that have reservations, not with the number of
/// reservations. Not thread-safe.
class ReservationQueue
{
public:
    struct Reservation
    {
        RequestProfile profile;
        TimePoint deadline;
    };

    /// Adds a reservation. Returns false when the id is already queued.
    bool add(const RequestProfile &profile, TimePoint deadline);
    /// Removes a reservation. Returns false when it is not queued.
    bool remove(const RequestId &id);
    /// The next reservation to dequeue, or nullptr when the queue is empty.
    const Reservation *front() const;
    /// Removes and returns the reservation at front(). \pre the queue is not empty.
    Reservation takeFront();
    /// Removes the reservations whose deadline has passed and returns their ids.
    std::vector<RequestId> removeExpired(TimePoint now);
    /// Removes the reservations of one entry.
    void removeReservationsOf(const Incarnation &entry);
    /// Removes the reservations of a pool in tiers below lowestServed and returns their ids.
    std::vector<RequestId> removeBelow(const std::string &pool, Tier lowestServed);
    /// Removes the newest reservation of the organisation furthest ahead of its fair share in the
    /// lowest queued tier below the given one. Returns its id, or nothing if there is no such tier.
    std::optional<RequestId> evictBelow(Tier tier);
    /// Removes all reservations and returns their ids.
    std::vector<RequestId> removeAll();

    std::size_t size() const { return this->byId.size(); }
    std::size_t sizeOf(Tier tier) const;
    /// Estimated tokens queued in a tier.
    std::uint64_t tokensOf(Tier tier) const;
    const Reservation *find(const RequestId &id) const;

private:
    /// The reservations of one organisation in one tier.
    struct OrganisationQueue
    {
        std::deque<RequestId> waiting; ///< May contain ids of removed reservations.
        std::size_t reservationCount = 0;
        double virtualTime = 0;
    };
    struct TierQueue
    {
        std::map<std::string, OrganisationQueue> organisationQueues;
        std::map<std::pair<double, std::string>, OrganisationQueue *>
            byVirtualTime; ///< Only organisations with reservations.
        double virtualTime = 0;
        std::size_t reservationCount = 0;
        std::uint64_t tokens = 0;
    };

    /// Drops the ids of removed reservations from the front.
    void dropRemovedFront(OrganisationQueue &organisationQueue);
    /// Takes an organisation without reservations out of the tier's order. Its virtual time is kept
    /// while it is ahead of the tier's.
    void deactivateOrganisation(TierQueue &tierQueue, const std::string &organisation);

    std::array<TierQueue, tierCount> tiers;
    std::map<RequestId, Reservation> byId; ///< Sorted by entry.
    std::set<std::pair<TimePoint, RequestId>> byDeadline;
};

} // namespace wigeonsill
