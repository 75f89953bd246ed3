/// \file entryaffinity.cpp
/// Requests that wait a little for the agent that holds their prefix.
#include "entrystate.h"

namespace wigeonsill {

bool EntryCore::Private::placeAffine(TimePoint now, EntryRequest &request)
{
    const RequestProfile &profile = request.caller.profile;
    const Duration patience = affinityPatience(profile.weighting);
    const bool hasTime = request.deadline - now > 2 * patience;
    if (!hasTime || !this->floors.admits(now, profile.pool, profile.tier)) {
        return false;
    }
    const PlacementQuery query{ &profile, &request.excluded, 1 };
    const std::string agent = pickAffine(this->agents, this->prefixes, query, now);
    if (agent.empty()) {
        return false;
    }
    request.affineUntil = now + patience;
    this->affineHolds.emplace(request.affineUntil, request.id().sequence);
    this->reserveAt(now, request, agent);
    return true;
}

void EntryCore::Private::endAffineHolds(TimePoint now)
{
    while (!this->affineHolds.empty() && this->affineHolds.begin()->first <= now) {
        EntryRequest &request = this->requests.at(this->affineHolds.begin()->second);
        this->affineHolds.erase(this->affineHolds.begin());
        this->placeReservations(now, request);
    }
}

} // namespace wigeonsill
