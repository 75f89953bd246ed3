/// \file servedshares.cpp
/// Shares of requests served, by kind and size, over the recent past.
#include "wigeonsill/gateway.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Time in which what was counted loses two thirds of its weight; bursts last a few seconds.
constexpr double memorySeconds = 30;
/// A size class is helped below this part of its kind's share. The users accept half.
constexpr double sizeFloor = 0.62;
/// A kind is helped below this part of the share of all. The users accept a quarter.
constexpr double kindFloor = 0.35;
/// Factor of the rank of what is helped: enough to pass every other kind.
constexpr double helpFactor = 4;
/// Fewer requests than this tell nothing.
constexpr double leastAsked = 2;
constexpr double meanLearning = 0.02;
/// Worth of a route's rank against the next less urgent one; the users' kinds differ 3 to 7 times.
constexpr double routeRatio = 4.5;
/// The same of an organisation's rank. It decides between like requests only: every organisation
/// must be served at least a quarter as often as all.
constexpr double organisationRatio = 1.3;
/// Worth of any answer, whatever its kind and size, against one of mean size of the first rank: a
/// caller that is served at all.
constexpr double anyAnswer = 0.04;
/// Worth of a late answer against one on time, as the users weigh it.
constexpr double freshLateShare = 0.3;
/// The same of a request that came back after a refusal: nothing is left to its caller after a
/// second one, which the users weigh as much again.
constexpr double returnedLateShare = 0.6;
/// The users weigh a generation by 0.3 and 0.7 times its size against the mean, up to 4.
constexpr double fixedWorth = 0.3;
constexpr double largestWorth = 4;

double shareOf(double served, double asked)
{
    return asked > 0 ? served / asked : 1;
}

} // namespace

double generationSize(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    return static_cast<double>(promptTokens) + 10.0 * outputTokens;
}

AnswerWorth answerWorth(
    int routePriority, int organisationPriority, double relativeSize, bool returned)
{
    const double bySize = std::min(fixedWorth + (1 - fixedWorth) * relativeSize, largestWorth);
    const double byRank = bySize * std::pow(routeRatio, -routePriority);
    const double late = byRank * (returned ? returnedLateShare : freshLateShare);
    AnswerWorth result;
    result.onTime = (byRank + anyAnswer) * std::pow(organisationRatio, -organisationPriority);
    result.lateShare = (late + anyAnswer) / (byRank + anyAnswer);
    return result;
}

double ServedShares::relativeSize(int priority, double size) const
{
    const auto found = this->kinds.find(priority);
    const bool known = found != this->kinds.end() && found->second.meanSize > 0;
    return known ? size / found->second.meanSize : 1;
}

void ServedShares::decay(Share &share, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - share.at).count();
    const double factor = std::exp(-std::max(age, 0.0) / memorySeconds);
    share.asked *= factor;
    share.served *= factor;
    share.at = now;
}

std::size_t ServedShares::sizeClass(const Kind &kind, double size)
{
    if (size < kind.meanSize) {
        return 0;
    }
    return size < 2 * kind.meanSize ? 1 : 2;
}

void ServedShares::note(int priority, double size, bool served, TimePoint now)
{
    Kind &kind = this->kinds[priority];
    kind.meanSize
        = kind.meanSize <= 0 ? size : kind.meanSize + meanLearning * (size - kind.meanSize);
    for (Share *share : { &this->all, &kind.whole, &kind.bySize[sizeClass(kind, size)] }) {
        decay(*share, now);
        share->asked += 1;
        share->served += served ? 1 : 0;
    }
}

double ServedShares::boost(int priority, double size, TimePoint now)
{
    const auto found = this->kinds.find(priority);
    if (found == this->kinds.end()) {
        return 1;
    }
    Kind &kind = found->second;
    Share &sized = kind.bySize[sizeClass(kind, size)];
    for (Share *share : { &this->all, &kind.whole, &sized }) {
        decay(*share, now);
    }
    double result = 1;
    const double kindShare = shareOf(kind.whole.served, kind.whole.asked);
    const double allShare = shareOf(this->all.served, this->all.asked);
    if (kind.whole.asked > leastAsked && kindShare < kindFloor * allShare) {
        result *= helpFactor;
    }
    if (sized.asked > leastAsked && shareOf(sized.served, sized.asked) < sizeFloor * kindShare) {
        result *= helpFactor;
    }
    return result;
}

} // namespace wigeonsill
