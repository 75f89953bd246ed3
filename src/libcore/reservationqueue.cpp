/// \file reservationqueue.cpp
/// The agent's queue of reservations.
#include "reservationqueue.h"

#include <algorithm>

namespace wigeonsill {

bool ReservationQueue::add(const RequestProfile &profile, TimePoint deadline)
{
    if (!this->byId.emplace(profile.id, Reservation{ profile, deadline }).second) {
        return false;
    }
    this->byDeadline.emplace(deadline, profile.id);
    TierQueue &tierQueue = this->tiers[static_cast<std::size_t>(profile.tier)];
    OrganisationQueue &organisationQueue = tierQueue.organisationQueues[profile.organisation];
    if (organisationQueue.reservationCount == 0) {
        // An idle organisation accumulates no credit.
        organisationQueue.virtualTime
            = std::max(organisationQueue.virtualTime, tierQueue.virtualTime);
        tierQueue.byVirtualTime.emplace(
            std::pair(organisationQueue.virtualTime, profile.organisation), &organisationQueue);
    }
    organisationQueue.waiting.push_back(profile.id);
    ++organisationQueue.reservationCount;
    ++tierQueue.reservationCount;
    tierQueue.tokens += profile.tokens();
    return true;
}

bool ReservationQueue::remove(const RequestId &id)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end()) {
        return false;
    }
    const RequestProfile profile = found->second.profile;
    this->byDeadline.erase({ found->second.deadline, id });
    this->byId.erase(found);
    TierQueue &tierQueue = this->tiers[static_cast<std::size_t>(profile.tier)];
    OrganisationQueue &organisationQueue = tierQueue.organisationQueues[profile.organisation];
    --organisationQueue.reservationCount;
    --tierQueue.reservationCount;
    tierQueue.tokens -= profile.tokens();
    if (organisationQueue.reservationCount == 0) {
        this->deactivateOrganisation(tierQueue, profile.organisation);
    } else {
        this->dropRemovedFront(organisationQueue);
    }
    return true;
}

void ReservationQueue::dropRemovedFront(OrganisationQueue &organisationQueue)
{
    while (!organisationQueue.waiting.empty()
        && !this->byId.contains(organisationQueue.waiting.front())) {
        organisationQueue.waiting.pop_front();
    }
}

void ReservationQueue::deactivateOrganisation(TierQueue &tierQueue, const std::string &organisation)
{
    const auto found = tierQueue.organisationQueues.find(organisation);
    tierQueue.byVirtualTime.erase(std::pair(found->second.virtualTime, organisation));
    found->second.waiting.clear();
    if (found->second.virtualTime <= tierQueue.virtualTime) {
        tierQueue.organisationQueues.erase(found);
    }
}

const ReservationQueue::Reservation *ReservationQueue::front() const
{
    for (const TierQueue &tierQueue : this->tiers) {
        if (!tierQueue.byVirtualTime.empty()) {
            const OrganisationQueue &organisationQueue = *tierQueue.byVirtualTime.begin()->second;
            return &this->byId.at(organisationQueue.waiting.front());
        }
    }
    return nullptr;
}

ReservationQueue::Reservation ReservationQueue::takeFront()
{
    Reservation reservation = *this->front();
    TierQueue &tierQueue = this->tiers[static_cast<std::size_t>(reservation.profile.tier)];
    const std::string &organisation = reservation.profile.organisation;
    OrganisationQueue &organisationQueue = tierQueue.organisationQueues[organisation];
    tierQueue.byVirtualTime.erase(std::pair(organisationQueue.virtualTime, organisation));
    tierQueue.virtualTime = organisationQueue.virtualTime;
    organisationQueue.virtualTime += double(reservation.profile.tokens())
        / std::max<std::uint32_t>(1, reservation.profile.weight);
    tierQueue.byVirtualTime.emplace(
        std::pair(organisationQueue.virtualTime, organisation), &organisationQueue);
    this->remove(reservation.profile.id);
    return reservation;
}

std::vector<RequestId> ReservationQueue::removeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    while (!this->byDeadline.empty() && this->byDeadline.begin()->first <= now) {
        expired.push_back(this->byDeadline.begin()->second);
        this->remove(expired.back());
    }
    return expired;
}

void ReservationQueue::removeReservationsOf(const Incarnation &entry)
{
    std::vector<RequestId> ids;
    for (auto next = this->byId.lower_bound({ entry, 0 });
         next != this->byId.end() && next->first.entry == entry; ++next) {
        ids.push_back(next->first);
    }
    for (const RequestId &id : ids) {
        this->remove(id);
    }
}

std::vector<RequestId> ReservationQueue::removeBelow(const std::string &pool, Tier lowestServed)
{
    std::vector<RequestId> ids;
    for (std::size_t i = static_cast<std::size_t>(lowestServed) + 1; i < tierCount; ++i) {
        for (const auto &[organisation, organisationQueue] : this->tiers[i].organisationQueues) {
            for (const RequestId &id : organisationQueue.waiting) {
                const auto found = this->byId.find(id);
                if (found != this->byId.end() && found->second.profile.pool == pool) {
                    ids.push_back(id);
                }
            }
        }
    }
    for (const RequestId &id : ids) {
        this->remove(id);
    }
    return ids;
}

std::optional<RequestId> ReservationQueue::evictBelow(Tier tier)
{
    for (std::size_t i = tierCount - 1; i > static_cast<std::size_t>(tier); --i) {
        if (this->tiers[i].byVirtualTime.empty()) {
            continue;
        }
        // Evicts the newest reservation of the organisation furthest ahead of its fair share.
        OrganisationQueue &organisationQueue = *this->tiers[i].byVirtualTime.rbegin()->second;
        while (!this->byId.contains(organisationQueue.waiting.back())) {
            organisationQueue.waiting.pop_back();
        }
        const RequestId id = organisationQueue.waiting.back();
        this->remove(id);
        return id;
    }
    return std::nullopt;
}

std::vector<RequestId> ReservationQueue::removeAll()
{
    std::vector<RequestId> ids;
    ids.reserve(this->byId.size());
    for (const auto &[id, reservation] : this->byId) {
        ids.push_back(id);
    }
    for (const RequestId &id : ids) {
        this->remove(id);
    }
    return ids;
}

std::size_t ReservationQueue::sizeOf(Tier tier) const
{
    return this->tiers[static_cast<std::size_t>(tier)].reservationCount;
}

std::uint64_t ReservationQueue::tokensOf(Tier tier) const
{
    return this->tiers[static_cast<std::size_t>(tier)].tokens;
}

const ReservationQueue::Reservation *ReservationQueue::find(const RequestId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

} // namespace wigeonsill
