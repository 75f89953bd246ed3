/// \file placement.cpp
/// Choice of the agents at which a request is reserved.
#include "placement.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr std::size_t samplesPerCandidate = 2;

constexpr std::size_t maximumDrawsPerSample = 4; ///< Before every agent is checked in turn.

/// Limits of prefix affinity under a weighting.
struct AffinityPolicy
{
    Weighting weighting;
    Duration maximumWait; ///< For the holder of a prefix.
    std::size_t maximumReservations; ///< Of this entry at the holder.
};
constexpr std::array affinityPolicies = {
    AffinityPolicy{ Weighting::Goodput, milliseconds(200), 2 },
    AffinityPolicy{ Weighting::Prefill, milliseconds(2000), 8 },
};

const AffinityPolicy &affinityPolicyOf(Weighting weighting)
{
    return affinityPolicies[static_cast<std::size_t>(weighting)];
}

bool isAllowed(const AgentView &agent, const PlacementQuery &query)
{
    return agent.isUsable() && !query.excluded->contains(agent.name);
}

bool isLessLoaded(const AgentView *left, const AgentView *right)
{
    const auto loadOf = [](const AgentView &agent) {
        return std::pair(agent.load.waiting + agent.reserved.size(), agent.load.tokensInFlight);
    };
    return loadOf(*left) < loadOf(*right);
}

/// Draws distinct usable agents at random. When the draws find too few, checks every agent once.
std::vector<AgentView *> sampleUsable(AgentDirectory &directory, const PlacementQuery &query,
    std::size_t count, std::mt19937_64 &random)
{
    const std::vector<AgentView *> &agents = directory.agentsInPool(query.profile->pool);
    std::vector<AgentView *> sample;
    if (agents.empty()) {
        return sample;
    }
    const auto addIfAllowed = [&sample, &query](AgentView *agent) {
        const bool isNew = std::find(sample.begin(), sample.end(), agent) == sample.end();
        if (isNew && isAllowed(*agent, query)) {
            sample.push_back(agent);
        }
    };
    std::uniform_int_distribution<std::size_t> randomIndex(0, agents.size() - 1);
    for (std::size_t i = 0; i < count * maximumDrawsPerSample && sample.size() < count; ++i) {
        addIfAllowed(agents[randomIndex(random)]);
    }
    const std::size_t first = randomIndex(random);
    for (std::size_t i = 0; i < agents.size() && sample.size() < count; ++i) {
        addIfAllowed(agents[(first + i) % agents.size()]);
    }
    return sample;
}

} // namespace

Duration affinityMaximumWait(Weighting weighting)
{
    return affinityPolicyOf(weighting).maximumWait;
}

std::string pickPrefixHolder(AgentDirectory &directory, const PrefixDirectory &prefixes,
    const PlacementQuery &query, TimePoint now)
{
    const RequestProfile &profile = *query.profile;
    const AffinityPolicy &affinity = affinityPolicyOf(profile.weighting);
    for (const PrefixHolder &holder : prefixes.holders(now, profile.prefixHashes)) {
        const AgentView *agent = directory.find(holder.agent);
        if (agent == nullptr || !isAllowed(*agent, query)) {
            continue;
        }
        const Duration wait = agent->load.expectedWait[static_cast<std::size_t>(profile.tier)];
        if (wait <= affinity.maximumWait && agent->reserved.size() < affinity.maximumReservations) {
            return agent->name;
        }
    }
    return {};
}

std::vector<std::string> pickCandidates(
    AgentDirectory &directory, const PlacementQuery &query, std::mt19937_64 &random)
{
    std::vector<AgentView *> sample
        = sampleUsable(directory, query, query.wanted * samplesPerCandidate, random);
    std::sort(sample.begin(), sample.end(), isLessLoaded);
    std::vector<std::string> names;
    for (const AgentView *agent : sample) {
        if (names.size() < query.wanted) {
            names.push_back(agent->name);
        }
    }
    if (!sample.empty() && sample.front()->isIdle()) {
        names.resize(1);
    }
    return names;
}

} // namespace wigeonsill
