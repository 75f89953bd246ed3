/// \file entryaffinity.cpp
/// EntryCore: reservations held only at the agent that has the prompt prefix in its cache.
#include "entrystate.h"

namespace wigeonsill {

bool EntryCore::Private::reserveAtPrefixHolder(TimePoint now, EntryRequest &request)
{
    const RequestProfile &profile = request.callerRequest.profile;
    const Duration maximumWait = affinityMaximumWait(profile.weighting);
    const bool hasTime = request.deadline - now > 2 * maximumWait;
    if (!hasTime || !this->floors.admits(now, profile.pool, profile.tier)) {
        return false;
    }
    const PlacementQuery query{ &profile, &request.excluded, 1 };
    const std::string agent = pickPrefixHolder(this->agents, this->prefixes, query, now);
    if (agent.empty()) {
        return false;
    }
    request.affinityEndsAt = now + maximumWait;
    this->affinityWaits.emplace(request.affinityEndsAt, request.id().sequence);
    this->reserveAt(now, request, agent);
    return true;
}

void EntryCore::Private::endAffinityWaits(TimePoint now)
{
    while (!this->affinityWaits.empty() && this->affinityWaits.begin()->first <= now) {
        EntryRequest &request = this->requests.at(this->affinityWaits.begin()->second);
        this->affinityWaits.erase(this->affinityWaits.begin());
        this->placeReservations(now, request);
    }
}

} // namespace wigeonsill
