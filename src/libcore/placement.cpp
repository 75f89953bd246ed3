/// \file placement.cpp
/// Which agents are asked for a request.
#include "placement.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr std::size_t samplesPerCandidate = 2;

bool isAllowed(AgentDirectory &directory, const PlacementQuery &query, const std::string &name)
{
    return directory.get(name).isUsable() && !query.excluded->contains(name);
}

bool isLessLoaded(const AgentView &left, const AgentView &right)
{
    const auto loadOf = [](const AgentView &agent) {
        return std::pair(agent.load.waiting + agent.reserved.size(), agent.load.tokensInFlight);
    };
    return loadOf(left) < loadOf(right);
}

/// Draws distinct usable agents; every agent is looked at once at the most.
std::vector<std::string> sampleUsable(AgentDirectory &directory, const PlacementQuery &query,
    std::size_t count, std::mt19937_64 &random)
{
    std::vector<std::string> names = directory.ofPool(query.profile->pool);
    std::vector<std::string> sample;
    for (std::size_t i = 0; i < names.size() && sample.size() < count; ++i) {
        std::uniform_int_distribution<std::size_t> pick(i, names.size() - 1);
        std::swap(names[i], names[pick(random)]);
        if (isAllowed(directory, query, names[i])) {
            sample.push_back(names[i]);
        }
    }
    return sample;
}

} // namespace

std::vector<std::string> pickCandidates(
    AgentDirectory &directory, const PlacementQuery &query, std::mt19937_64 &random)
{
    std::vector<std::string> sample
        = sampleUsable(directory, query, query.wanted * samplesPerCandidate, random);
    std::sort(sample.begin(), sample.end(),
        [&directory](const std::string &left, const std::string &right) {
            return isLessLoaded(directory.get(left), directory.get(right));
        });
    if (!sample.empty() && directory.get(sample.front()).isIdle()) {
        sample.resize(1);
    }
    sample.resize(std::min(sample.size(), query.wanted));
    return sample;
}

} // namespace wigeonsill
