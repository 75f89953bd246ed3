/// \file ratemeter.cpp
/// Rate averaged over the recent busy time.
#include "ratemeter.h"

#include <cmath>

namespace wigeonsill {

namespace {

/// Coverage from which the rate is reported.
constexpr double minimumCoverage = 0.05;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RateMeter::add(double amount)
{
    this->decayedSum += amount;
}

void RateMeter::advance(TimePoint now, bool busy)
{
    if (this->started && busy && now > this->lastAdvance) {
        const double factor
            = std::exp(-inSeconds(now - this->lastAdvance) / inSeconds(this->timeConstant));
        this->decayedSum *= factor;
        this->coverage = 1 - (1 - this->coverage) * factor;
    }
    this->started = true;
    this->lastAdvance = now;
}

double RateMeter::perSecond() const
{
    if (this->coverage < minimumCoverage) {
        return 0;
    }
    return this->decayedSum / (inSeconds(this->timeConstant) * this->coverage);
}

} // namespace wigeonsill
