/// \file ratemeter.h
/// Rate averaged over the recent busy time.
#pragma once

#include "wigeonsill/util.h"

namespace wigeonsill {

/// Exponentially weighted rate of amounts per second. Idle time does not count. Not thread-safe.
class RateMeter
{
public:
    explicit RateMeter(Duration averagingTime)
        : timeConstant(averagingTime)
    {
    }

    /// Adds an amount processed now.
    void add(double amount);
    /// Advances the clock of the meter. \param busy Whether there was work since the last call.
    void advance(TimePoint now, bool busy);
    /// Rate per second; 0 until enough busy time was measured.
    double perSecond() const;

private:
    Duration timeConstant;
    TimePoint lastAdvance;
    bool started = false;
    double coverage = 0; ///< Share of the averaging window covered by measured time, 0 to 1.
    double decayedSum = 0; ///< Sum of the amounts, decayed by age.
};

} // namespace wigeonsill
