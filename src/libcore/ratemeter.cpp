/// \file ratemeter.cpp
/// A rate that is averaged over the recent busy time.
#include "ratemeter.h"

#include <cmath>

namespace wigeonsill {

namespace {

/// Share of the time constant that must be measured before a rate is given.
constexpr double minimumWeight = 0.05;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RateMeter::add(double amount)
{
    this->decayed += amount;
}

void RateMeter::advance(TimePoint now, bool busy)
{
    if (this->started && busy && now > this->last) {
        const double factor
            = std::exp(-inSeconds(now - this->last) / inSeconds(this->timeConstant));
        this->decayed *= factor;
        this->weight = 1 - (1 - this->weight) * factor;
    }
    this->started = true;
    this->last = now;
}

double RateMeter::perSecond() const
{
    if (this->weight < minimumWeight) {
        return 0;
    }
    return this->decayed / (inSeconds(this->timeConstant) * this->weight);
}

} // namespace wigeonsill
