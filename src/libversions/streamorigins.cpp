/// \file streamorigins.cpp
/// At which versions streams began, and whose agents keep it.
#include "wigeonsill/versions.h"

#include <algorithm>

namespace wigeonsill {

void StreamOrigins::record(std::uint64_t stream, std::string_view version, TimePoint now)
{
    this->origins[stream] = { std::string(version), now };
    this->order.emplace_back(now, stream);
    this->removeOldest(now);
}

void StreamOrigins::removeOldest(TimePoint now)
{
    while (!this->order.empty()
        && (this->order.size() > capacity || now - this->order.front().first > memory)) {
        const auto [recordedAt, stream] = this->order.front();
        this->order.pop_front();
        const auto found = this->origins.find(stream);
        // It may have been recorded again since.
        if (found != this->origins.end() && found->second.recordedAt == recordedAt) {
            this->origins.erase(found);
        }
    }
}

std::optional<std::string> StreamOrigins::find(std::uint64_t stream, TimePoint now) const
{
    const auto found = this->origins.find(stream);
    if (found == this->origins.end() || now - found->second.recordedAt > memory) {
        return std::nullopt;
    }
    return found->second.version;
}

std::vector<std::pair<std::uint64_t, std::string>> StreamOrigins::all(TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, std::string>> result;
    for (const auto &[stream, origin] : this->origins) {
        if (now - origin.recordedAt <= memory) {
            result.emplace_back(stream, origin.version);
        }
    }
    return result;
}

OriginDecision decideOrigin(const OriginEvidence &evidence)
{
    const auto known = [](const std::string &version, OriginSource source) {
        return OriginDecision{ OriginVerdict::Known, version, source };
    };
    if (evidence.version) {
        // The targets of a version that joined just now are in the list that is being read.
        const bool isUsable
            = evidence.isVersionListed || evidence.isListConfirmed || evidence.isTimeOver;
        return isUsable ? known(*evidence.version, OriginSource::Agent) : OriginDecision{};
    }
    const bool allAnswered = evidence.answeredAgents >= evidence.askedAgents;
    if (!evidence.onlyVersion) {
        // An older list names other agents than those that were told.
        const bool isAnswered = allAnswered && evidence.isListConfirmed;
        return { isAnswered || evidence.isTimeOver ? OriginVerdict::Unknown
                                                   : OriginVerdict::Pending };
    }
    if (evidence.isListConfirmed) {
        // Streams are shared for a time after the other versions have left.
        const bool mayBeKept = evidence.areStreamsShared && !allAnswered && !evidence.isTimeOver;
        return mayBeKept ? OriginDecision{} : known(*evidence.onlyVersion, OriginSource::List);
    }
    if (!evidence.isTimeOver) {
        return {};
    }
    const bool mostAnswered
        = evidence.answeredAgents > 0 && 2 * evidence.answeredAgents >= evidence.askedAgents;
    return mostAnswered && !evidence.areStreamsShared
        ? known(*evidence.onlyVersion, OriginSource::AgentsUnaware)
        : OriginDecision{ OriginVerdict::Unknown };
}

std::uint64_t streamHash(std::string_view requestId)
{
    return stableHash(requestId);
}

std::vector<const Target *> chooseOriginKeepers(
    std::vector<const Target *> targets, std::uint64_t stream, std::size_t count)
{
    const auto weight = [stream](const Target *target) {
        // The agent's address stays when the target's port or incarnation changes.
        const std::string_view address = target->address;
        return stableHash(address.substr(0, address.rfind(':')), stream);
    };
    const std::size_t chosen = std::min(count, targets.size());
    std::partial_sort(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(chosen),
        targets.end(), [&weight](const Target *left, const Target *right) {
            return std::pair(weight(left), left->address)
                > std::pair(weight(right), right->address);
        });
    targets.resize(chosen);
    return targets;
}

} // namespace wigeonsill
