/// \file placement.cpp
/// Which agents are asked for a request.
#include "placement.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr std::size_t samplesPerCandidate = 2;

constexpr std::size_t drawsPerSample = 4; ///< Before every agent is looked at in turn.

/// What affinity is worth under a weighting.
struct AffinityRow
{
    Weighting weighting;
    Duration patience; ///< Longest wait for the holder of a prefix.
    std::size_t reservations; ///< Of this entry that may wait at the holder.
};
constexpr std::array affinityTable = {
    AffinityRow{ Weighting::Goodput, milliseconds(200), 2 },
    AffinityRow{ Weighting::Prefill, milliseconds(2000), 8 },
};

const AffinityRow &affinityOf(Weighting weighting)
{
    return affinityTable[static_cast<std::size_t>(weighting)];
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

/// Draws distinct usable agents. Where draws fail, every agent is looked at once.
std::vector<AgentView *> sampleUsable(AgentDirectory &directory, const PlacementQuery &query,
    std::size_t count, std::mt19937_64 &random)
{
    const std::vector<AgentView *> &agents = directory.viewsOf(query.profile->pool);
    std::vector<AgentView *> sample;
    if (agents.empty()) {
        return sample;
    }
    const auto consider = [&sample, &query](AgentView *agent) {
        const bool isNew = std::find(sample.begin(), sample.end(), agent) == sample.end();
        if (isNew && isAllowed(*agent, query)) {
            sample.push_back(agent);
        }
    };
    std::uniform_int_distribution<std::size_t> pick(0, agents.size() - 1);
    for (std::size_t i = 0; i < count * drawsPerSample && sample.size() < count; ++i) {
        consider(agents[pick(random)]);
    }
    const std::size_t first = pick(random);
    for (std::size_t i = 0; i < agents.size() && sample.size() < count; ++i) {
        consider(agents[(first + i) % agents.size()]);
    }
    return sample;
}

} // namespace

Duration affinityPatience(Weighting weighting)
{
    return affinityOf(weighting).patience;
}

std::string pickAffine(AgentDirectory &directory, const PrefixDirectory &prefixes,
    const PlacementQuery &query, TimePoint now)
{
    const RequestProfile &profile = *query.profile;
    const AffinityRow &affinity = affinityOf(profile.weighting);
    for (const PrefixHolder &holder : prefixes.holders(now, profile.prefixHashes)) {
        const AgentView *agent = directory.find(holder.agent);
        if (agent == nullptr || !isAllowed(*agent, query)) {
            continue;
        }
        const Duration wait = agent->load.expectedWait[static_cast<std::size_t>(profile.tier)];
        if (wait <= affinity.patience && agent->reserved.size() < affinity.reservations) {
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
