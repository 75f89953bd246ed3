/// \file callerreturn.cpp
/// When a refused caller should come back.
#include "wigeonsill/outcomes.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Share of its time left that a caller accepts to wait.
constexpr double acceptedShare = 1.0 / 3;
/// Range of the wait, as a share of what the caller accepts.
constexpr double shortestWaitShare = 0.6;
constexpr double longestWaitShare = 0.99;
constexpr Duration shortestWait = milliseconds(100);
/// Longer than a burst, so that nothing is gained by a longer wait.
constexpr Duration longestWait = seconds(5);
/// Range over which returns after a quiet time are scattered, as a share of it and at least.
constexpr double quietScatterShare = 0.25;
constexpr Duration minimumQuietScatter = milliseconds(250);
/// Range of the wait after a refusal for held prompt parts.
constexpr Duration shortestHeldWait = seconds(1);
constexpr Duration longestHeldWait = seconds(60);

} // namespace

Duration callerReturnDelay(Duration timeLeft, Duration untilRoom, double uniformRandom)
{
    const double share = shortestWaitShare + (longestWaitShare - shortestWaitShare) * uniformRandom;
    const auto wait = std::chrono::duration_cast<Duration>(timeLeft * (acceptedShare * share));
    return std::clamp<Duration>(std::max(wait, untilRoom), shortestWait, longestWait);
}

Duration quietReturnDelay(Duration untilWanted, double uniformRandom)
{
    const auto share = std::chrono::duration_cast<Duration>(untilWanted * quietScatterShare);
    const Duration scatter = std::max<Duration>(share, minimumQuietScatter);
    return untilWanted + std::chrono::duration_cast<Duration>(scatter * uniformRandom);
}

Duration heldReturnDelay(Duration heldFor, double uniformRandom)
{
    const Duration wait = std::clamp<Duration>(heldFor, shortestHeldWait, longestHeldWait);
    return wait + std::chrono::duration_cast<Duration>(wait * (quietScatterShare * uniformRandom));
}

} // namespace wigeonsill
