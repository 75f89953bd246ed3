/// \file floors.cpp
/// Floors: the lowest tier that a pool currently admits.
#include "floors.h"

#include <algorithm>

namespace wigeonsill {

bool FloorTable::raise(TimePoint now, const std::string &pool, Tier lowestServed, TimePoint until)
{
    if (lowestServed == Tier::Bulk || until <= now) {
        return false;
    }
    const Tier previous = this->lowestServed(now, pool);
    TimePoint &expiry = this->pools[pool][static_cast<std::size_t>(lowestServed)];
    expiry = std::max(expiry, until);
    return lowestServed < previous;
}

Tier FloorTable::lowestServed(TimePoint now, const std::string &pool) const
{
    const auto found = this->pools.find(pool);
    if (found == this->pools.end()) {
        return Tier::Bulk;
    }
    for (std::size_t i = 0; i < tierCount; ++i) {
        if (found->second[i] > now) {
            return static_cast<Tier>(i);
        }
    }
    return Tier::Bulk;
}

TimePoint FloorTable::inForceUntil(const std::string &pool, Tier tier) const
{
    const auto found = this->pools.find(pool);
    if (found == this->pools.end()) {
        return {};
    }
    const auto end = found->second.begin() + static_cast<std::ptrdiff_t>(tier) + 1;
    return *std::max_element(found->second.begin(), end);
}

Duration FloorTable::remaining(TimePoint now, const std::string &pool, Tier tier) const
{
    if (tier == Tier::Critical) {
        return Duration::zero();
    }
    const Tier nextHigher = static_cast<Tier>(static_cast<std::uint8_t>(tier) - 1);
    return std::max(Duration::zero(), this->inForceUntil(pool, nextHigher) - now);
}

std::vector<PoolFloor> FloorTable::list(TimePoint now) const
{
    std::vector<PoolFloor> floors;
    for (const auto &[pool, expiryTimes] : this->pools) {
        TimePoint latestExpiry = now;
        for (std::size_t i = 0; i < tierCount; ++i) {
            // A floor that expires before a higher one has no effect.
            if (expiryTimes[i] > latestExpiry) {
                latestExpiry = expiryTimes[i];
                floors.push_back({ pool, static_cast<Tier>(i), expiryTimes[i] - now });
            }
        }
    }
    return floors;
}

} // namespace wigeonsill
