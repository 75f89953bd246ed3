/// \file versionjudge.cpp
/// Judgement of a version by its answers against those of the version before it.
#include "wigeonsill/rollout.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Difference of two shares in standard errors from which it counts as significant. About one in
/// 30,000 comparisons of equal shares exceeds it, and a rollout makes some hundred comparisons.
constexpr double significantDeviation = 4;
/// Least difference of two shares that matters to callers.
constexpr double minimumDifference = 0.05;
constexpr std::uint64_t minimumBadAnswers = 5;

bool isSignificantlyMore(double bad, double all, double badBefore, double allBefore)
{
    if (bad < static_cast<double>(minimumBadAnswers) || all <= 0) {
        return false;
    }
    // Two-proportion z-test with a pooled share; one bad answer is added to the control, so that a
    // control without any has a variance.
    const double pooled = (bad + badBefore + 1) / (all + allBefore + 1);
    const double shareBefore = (badBefore + 1) / (allBefore + 1);
    const double error = std::sqrt(pooled * (1 - pooled) * (1 / all + 1 / (allBefore + 1)));
    const double difference = bad / all - std::min(shareBefore, 1.0);
    return difference > minimumDifference && difference > significantDeviation * error;
}

} // namespace

Judgement judgeVersion(const RolloutEvidence &evidence)
{
    for (const auto &[route, target] : evidence.targetByRoute) {
        const auto control = evidence.oldByRoute.find(route);
        const RouteEvidence before
            = control == evidence.oldByRoute.end() ? RouteEvidence() : control->second;
        if (isSignificantlyMore(static_cast<double>(target.failures),
                static_cast<double>(target.answers), static_cast<double>(before.failures),
                static_cast<double>(before.answers))) {
            return { Verdict::Bad, "more failures on route " + route };
        }
    }
    return {};
}

} // namespace wigeonsill
