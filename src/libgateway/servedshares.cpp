/// \file servedshares.cpp
/// Utility of answers, and the recent share of requests served by priority class and size.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Time constant of the counts' exponential decay. Long against bursts, which last a few seconds.
constexpr double decaySeconds = 30;
/// The utility of a size class is raised while its share of served requests is below this part of
/// its priority class's share. The users accept half.
constexpr double sizeClassShareThreshold = 0.62;
/// The same for a priority class, against the share of all requests. The users accept a quarter.
constexpr double priorityClassShareThreshold = 0.35;
/// Factor by which the utility is raised: enough to be served before every other priority class.
constexpr double lowShareFactor = 4;
/// With fewer requests than this, a share is not evaluated.
constexpr double minimumRequests = 2;
constexpr double meanSizeLearningRate = 0.02;
/// Utility of a route's priority class against the next less urgent one. Between the users'
/// classes, the ratio is 3 to 7.
constexpr double routePriorityRatio = 4.5;
/// The same for an organisation's priority. Only decides between similar requests, since the share
/// of requests served of each organisation must be at least a quarter of the share of all.
constexpr double organisationPriorityRatio = 1.3;
/// Utility that every answer has regardless of its priority class and size, since its caller is
/// served at all. Relative to an answer of mean size in the most urgent class.
constexpr double answerBaseUtility = 0.04;
/// Utility of a late answer as a share of that of one on time, as the users weigh it.
constexpr double firstAttemptLateShare = 0.3;
/// The same for a caller retry. Its caller has no time left after a second refusal, to which the
/// users give the same weight again.
constexpr double callerRetryLateShare = 0.6;
/// The users weigh a generation by 0.3 plus 0.7 times its size relative to the mean, at most 4.
constexpr double sizeIndependentUtility = 0.3;
constexpr double maximumSizeUtility = 4;

double shareOf(double served, double requested)
{
    return requested > 0 ? served / requested : 1;
}

} // namespace

double generationSize(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    return static_cast<double>(promptTokens) + 10.0 * outputTokens;
}

AnswerUtility answerUtility(
    int routePriority, int organisationPriority, double relativeSize, bool callerRetry)
{
    const double bySize = std::min(
        sizeIndependentUtility + (1 - sizeIndependentUtility) * relativeSize, maximumSizeUtility);
    const double byPriority = bySize * std::pow(routePriorityRatio, -routePriority);
    const double lateUtility
        = byPriority * (callerRetry ? callerRetryLateShare : firstAttemptLateShare);
    AnswerUtility result;
    result.onTime = (byPriority + answerBaseUtility)
        * std::pow(organisationPriorityRatio, -organisationPriority);
    result.lateShare = (lateUtility + answerBaseUtility) / (byPriority + answerBaseUtility);
    return result;
}

double ServedShareTracker::relativeSize(int priority, double size) const
{
    const auto found = this->priorityClasses.find(priority);
    const bool known = found != this->priorityClasses.end() && found->second.meanSize > 0;
    return known ? size / found->second.meanSize : 1;
}

void ServedShareTracker::decay(ServedCounts &counts, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - counts.at).count();
    const double factor = std::exp(-std::max(age, 0.0) / decaySeconds);
    counts.requested *= factor;
    counts.served *= factor;
    counts.at = now;
}

std::size_t ServedShareTracker::sizeClass(const PriorityClass &priorityClass, double size)
{
    if (size < priorityClass.meanSize) {
        return 0;
    }
    return size < 2 * priorityClass.meanSize ? 1 : 2;
}

void ServedShareTracker::recordOutcome(int priority, double size, bool served, TimePoint now)
{
    PriorityClass &priorityClass = this->priorityClasses[priority];
    priorityClass.meanSize = priorityClass.meanSize <= 0
        ? size
        : priorityClass.meanSize + meanSizeLearningRate * (size - priorityClass.meanSize);
    for (ServedCounts *counts : { &this->all, &priorityClass.overall,
             &priorityClass.bySize[sizeClass(priorityClass, size)] }) {
        decay(*counts, now);
        counts->requested += 1;
        counts->served += served ? 1 : 0;
    }
}

double ServedShareTracker::utilityFactor(int priority, double size, TimePoint now)
{
    const auto found = this->priorityClasses.find(priority);
    if (found == this->priorityClasses.end()) {
        return 1;
    }
    PriorityClass &priorityClass = found->second;
    ServedCounts &sizeCounts = priorityClass.bySize[sizeClass(priorityClass, size)];
    for (ServedCounts *counts : { &this->all, &priorityClass.overall, &sizeCounts }) {
        decay(*counts, now);
    }
    double result = 1;
    const double classShare
        = shareOf(priorityClass.overall.served, priorityClass.overall.requested);
    const double overallShare = shareOf(this->all.served, this->all.requested);
    if (priorityClass.overall.requested > minimumRequests
        && classShare < priorityClassShareThreshold * overallShare) {
        result *= lowShareFactor;
    }
    if (sizeCounts.requested > minimumRequests
        && shareOf(sizeCounts.served, sizeCounts.requested)
            < sizeClassShareThreshold * classShare) {
        result *= lowShareFactor;
    }
    return result;
}

} // namespace wigeonsill
