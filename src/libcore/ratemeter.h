/// \file ratemeter.h
/// A rate that is averaged over the recent busy time.
#pragma once

#include "wigeonsill/util.h"

namespace wigeonsill {

/// Exponentially weighted rate of amounts per second. Idle time does not count. Not thread-safe.
class RateMeter
{
public:
    explicit RateMeter(Duration averagedOver)
        : timeConstant(averagedOver)
    {
    }

    /// Adds an amount that was done just now.
    void add(double amount);
    /// Moves the meter on. \param busy Whether there was work since the last call.
    void advance(TimePoint now, bool busy);
    /// Amounts per second; 0 until something was measured.
    double perSecond() const;

private:
    Duration timeConstant;
    TimePoint last;
    bool started = false;
    double weight = 0; ///< Share of the average that is backed by measured time, 0 to 1.
    double decayed = 0; ///< Sum of the amounts, decayed by age.
};

} // namespace wigeonsill
