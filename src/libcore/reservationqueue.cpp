/// \file reservationqueue.cpp
/// The agent's queue of reservations.
#include "reservationqueue.h"

#include <algorithm>

namespace wigeonsill {

bool ReservationQueue::add(const RequestProfile &profile, TimePoint deadline)
{
    if (!this->byId.emplace(profile.id, Entry{ profile, deadline }).second) {
        return false;
    }
    this->byDeadline.emplace(deadline, profile.id);
    TierQueue &queue = this->tiers[static_cast<std::size_t>(profile.tier)];
    Share &share = queue.shares[profile.organisation];
    if (share.live == 0) {
        // An organisation that was idle gets no credit for the time it did not use.
        share.virtualTime = std::max(share.virtualTime, queue.virtualTime);
        queue.order.emplace(std::pair(share.virtualTime, profile.organisation), &share);
    }
    share.waiting.push_back(profile.id);
    ++share.live;
    ++queue.live;
    queue.tokens += profile.tokens();
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
    TierQueue &queue = this->tiers[static_cast<std::size_t>(profile.tier)];
    Share &share = queue.shares[profile.organisation];
    --share.live;
    --queue.live;
    queue.tokens -= profile.tokens();
    if (share.live == 0) {
        this->forget(queue, profile.organisation);
    } else {
        this->skipRemoved(share);
    }
    return true;
}

void ReservationQueue::skipRemoved(Share &share)
{
    while (!share.waiting.empty() && !this->byId.contains(share.waiting.front())) {
        share.waiting.pop_front();
    }
}

void ReservationQueue::forget(TierQueue &queue, const std::string &organisation)
{
    const auto found = queue.shares.find(organisation);
    queue.order.erase(std::pair(found->second.virtualTime, organisation));
    found->second.waiting.clear();
    if (found->second.virtualTime <= queue.virtualTime) {
        queue.shares.erase(found);
    }
}

const ReservationQueue::Entry *ReservationQueue::front() const
{
    for (const TierQueue &queue : this->tiers) {
        if (!queue.order.empty()) {
            const Share &share = *queue.order.begin()->second;
            return &this->byId.at(share.waiting.front());
        }
    }
    return nullptr;
}

ReservationQueue::Entry ReservationQueue::takeFront()
{
    Entry entry = *this->front();
    TierQueue &queue = this->tiers[static_cast<std::size_t>(entry.profile.tier)];
    const std::string &organisation = entry.profile.organisation;
    Share &share = queue.shares[organisation];
    queue.order.erase(std::pair(share.virtualTime, organisation));
    queue.virtualTime = share.virtualTime;
    share.virtualTime
        += double(entry.profile.tokens()) / std::max<std::uint32_t>(1, entry.profile.weight);
    queue.order.emplace(std::pair(share.virtualTime, organisation), &share);
    this->remove(entry.profile.id);
    return entry;
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

void ReservationQueue::removeEntry(const Incarnation &entry)
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
        for (const auto &[organisation, share] : this->tiers[i].shares) {
            for (const RequestId &id : share.waiting) {
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
        if (this->tiers[i].order.empty()) {
            continue;
        }
        // The organisation that is furthest ahead of its share loses its newest reservation.
        Share &share = *this->tiers[i].order.rbegin()->second;
        while (!this->byId.contains(share.waiting.back())) {
            share.waiting.pop_back();
        }
        const RequestId id = share.waiting.back();
        this->remove(id);
        return id;
    }
    return std::nullopt;
}

std::vector<RequestId> ReservationQueue::removeAll()
{
    std::vector<RequestId> ids;
    ids.reserve(this->byId.size());
    for (const auto &[id, entry] : this->byId) {
        ids.push_back(id);
    }
    for (const RequestId &id : ids) {
        this->remove(id);
    }
    return ids;
}

std::size_t ReservationQueue::sizeOf(Tier tier) const
{
    return this->tiers[static_cast<std::size_t>(tier)].live;
}

std::uint64_t ReservationQueue::tokensOf(Tier tier) const
{
    return this->tiers[static_cast<std::size_t>(tier)].tokens;
}

const ReservationQueue::Entry *ReservationQueue::find(const RequestId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

} // namespace wigeonsill
