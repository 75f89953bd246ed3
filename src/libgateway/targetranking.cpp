/// \file targetranking.cpp
/// Ranking of the targets for a request.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Cost of a request to another failure domain, in milliseconds: the round trip of 1.8 ms and the
/// price of the transferred bytes.
constexpr double otherDomainCostMs = 25;
/// Cost of a request to another region: a round trip of 16 ms on a link with low bandwidth.
constexpr double otherRegionCostMs = 40;
/// Cost of a target that failed recently, so that it is only selected when all others are full.
constexpr double failingTargetCostMs = 2'000;
/// Cost of a target whose agent is unresponsive, so that its load is unknown.
constexpr double unresponsiveAgentCostMs = 300;
/// Range of the random part, so that entries with the same view do not select the same target.
constexpr double randomSpreadMs = 60;
/// Older loads do not describe the current queue, since streams last about a second.
constexpr Duration maximumLoadAge = milliseconds(1'000);
/// Share of the decode time that is added to the cost: a slower target occupies its slot longer.
constexpr double decodeCostShare = 0.03;
/// An answer should take at most this share of the caller's deadline, since output estimates are
/// only correct at the median.
constexpr double maximumDecodeShare = 0.5;
/// Cost reduction for a target that has processed the prompt of the same session before.
constexpr double cachedPrefixGainMs = 15;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

/// Measured rates of the targets, for those of which none is known. Otherwise an entry that knows
/// few of hundreds of targets would send its longest answers to unknown ones.
struct MeanRates
{
    double prefillTokensPerMs = 0; ///< 0 when no target's rate is known.
    double decodeTokensPerMs = 0;
};

MeanRates meanRates(const std::vector<TargetView> &views)
{
    MeanRates sum;
    int known = 0;
    for (const TargetView &view : views) {
        if (view.load) {
            sum.prefillTokensPerMs += view.load->prefillTokensPerMs;
            sum.decodeTokensPerMs += view.load->decodeTokensPerMs;
            ++known;
        }
    }
    return known == 0 ? sum
                      : MeanRates{ sum.prefillTokensPerMs / known, sum.decodeTokensPerMs / known };
}

double estimateCostMs(const TargetView &view, const RequestMetadata &request,
    const EntryLocation &location, const MeanRates &mean)
{
    double cost = 0;
    if (view.target->region != location.region) {
        cost += otherRegionCostMs;
    } else if (view.target->failureDomain != location.failureDomain) {
        cost += otherDomainCostMs;
    }
    cost += view.failing ? failingTargetCostMs : 0;
    cost += view.agentUnresponsive ? unresponsiveAgentCostMs : 0;
    cost -= view.hasCachedPrefix ? cachedPrefixGainMs : 0;
    double delayMs = 0;
    if (view.load && view.loadAge < maximumLoadAge) {
        delayMs = toMs(view.load->startDelay);
    }
    if (view.load) {
        delayMs = std::max(delayMs, toMs(view.load->untilPermit - view.loadAge));
    }
    cost += delayMs;
    const MeanRates rates = view.load
        ? MeanRates{ view.load->prefillTokensPerMs, view.load->decodeTokensPerMs }
        : mean;
    if (rates.prefillTokensPerMs > 0) {
        cost += request.promptTokens / rates.prefillTokensPerMs;
    }
    if (rates.decodeTokensPerMs > 0) {
        const double decodeMs = request.estimatedOutputTokens() / rates.decodeTokensPerMs;
        cost += decodeCostShare * decodeMs;
        if (request.deadline) {
            const double deadlineMs = static_cast<double>(request.deadline->count()) / 1'000;
            cost += std::max(decodeMs - maximumDecodeShare * deadlineMs, 0.0);
        }
    }
    // Without a load, the number of this entry's requests is the best estimate of the queue.
    const double ownRequestCostMs = view.load ? 4 : 30;
    return cost + ownRequestCostMs * view.ownRequests;
}

} // namespace

std::vector<const TargetView *> rankTargets(const std::vector<TargetView> &views,
    const RequestMetadata &request, const EntryLocation &location, std::uint64_t seed)
{
    std::vector<std::pair<double, const TargetView *>> scored;
    scored.reserve(views.size());
    const MeanRates mean = meanRates(views);
    for (const TargetView &view : views) {
        const std::uint64_t hash = stableHash(view.target->id, seed);
        const double random = static_cast<double>(hash % 1'024) / 1'024 * randomSpreadMs;
        scored.emplace_back(estimateCostMs(view, request, location, mean) + random, &view);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<const TargetView *> result;
    result.reserve(scored.size());
    for (const auto &[cost, view] : scored) {
        result.push_back(view);
    }
    return result;
}

} // namespace wigeonsill
