/// \file streamorigins.cpp
/// At which versions streams began, and whose agents keep it.
#include "wigeonsill/versions.h"

#include <algorithm>
#include <ranges>
#include <tuple>

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

bool StreamOrigins::isRenewalDue(std::uint64_t stream, TimePoint now) const
{
    const auto found = this->origins.find(stream);
    return found == this->origins.end() || now - found->second.recordedAt >= renewalInterval;
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

std::vector<std::pair<std::uint64_t, std::string>> StreamOrigins::newest(
    std::size_t count, Duration age, TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, std::string>> result;
    for (const auto &[recordedAt, stream] : std::views::reverse(this->order)) {
        if (result.size() == count || now - recordedAt > age) {
            break;
        }
        const auto found = this->origins.find(stream);
        // It may have ended, or been recorded again since.
        if (found != this->origins.end() && found->second.recordedAt == recordedAt) {
            result.emplace_back(stream, found->second.version);
        }
    }
    return result;
}

OriginDecision decideOrigin(const OriginEvidence &evidence)
{
    const auto known = [](const std::string &version, OriginSource source) {
        return OriginDecision{ OriginVerdict::Known, version, source, {} };
    };
    const bool isDue = evidence.isDue || evidence.isTimeOver;
    OriginDecision unknown{ OriginVerdict::Unknown };
    unknown.evidence = evidence;
    const bool isContradicted = evidence.stored.isAmbiguous
        || (evidence.version && evidence.stored.version
            && *evidence.version != *evidence.stored.version);
    if (isContradicted) {
        return unknown;
    }
    if (evidence.version || evidence.stored.version) {
        // The targets of a version that joined just now are in the list that is being read.
        const bool isUsable = evidence.isVersionListed || evidence.isListConfirmed || isDue;
        if (!isUsable) {
            return {};
        }
        return evidence.version ? known(*evidence.version, OriginSource::Agent)
                                : known(*evidence.stored.version, OriginSource::Store);
    }
    const bool allAnswered = evidence.answeredAgents >= evidence.askedAgents;
    if (!evidence.onlyVersion) {
        // An older list names other agents than those that were told.
        const bool isAnswered
            = allAnswered && evidence.isListConfirmed && !evidence.areEntriesAsked;
        return isAnswered || evidence.isTimeOver ? unknown : OriginDecision{};
    }
    if (evidence.isListConfirmed) {
        // Streams are shared for a time after the other versions have left.
        const bool mayBeKept = evidence.areSeveralVersionsKnown && !allAnswered && !isDue;
        return mayBeKept ? OriginDecision{} : known(*evidence.onlyVersion, OriginSource::List);
    }
    if (!isDue) {
        return {};
    }
    const bool mostAnswered
        = evidence.answeredAgents > 0 && 2 * evidence.answeredAgents >= evidence.askedAgents;
    if (mostAnswered && !evidence.areSeveralVersionsKnown) {
        return known(*evidence.onlyVersion, OriginSource::AgentsUnaware);
    }
    return evidence.isTimeOver ? unknown : OriginDecision{};
}

bool RelayedQueries::add(std::uint64_t stream, std::uint64_t asker, TimePoint now)
{
    std::erase_if(
        this->queries, [now](const auto &record) { return now - record.second.askedAt > memory; });
    const auto found = this->queries.find(stream);
    if (found == this->queries.end()) {
        if (this->queries.size() == capacity) {
            return false;
        }
        this->queries[stream] = { { asker }, now, now };
        return true;
    }
    Query &query = found->second;
    query.askers.insert(asker);
    if (now - query.relayedAt < interval) {
        return false;
    }
    query.relayedAt = now;
    return true;
}

std::set<std::uint64_t> RelayedQueries::take(std::uint64_t stream)
{
    const auto found = this->queries.find(stream);
    if (found == this->queries.end()) {
        return {};
    }
    std::set<std::uint64_t> result = std::move(found->second.askers);
    this->queries.erase(found);
    return result;
}

std::uint64_t streamHash(std::string_view requestId)
{
    return stableHash(requestId);
}

std::vector<const Target *> chooseOriginKeepers(
    std::vector<const Target *> targets, std::uint64_t stream, std::size_t count)
{
    struct Candidate
    {
        std::uint64_t weight = 0;
        const Target *target = nullptr;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(targets.size());
    for (const Target *target : targets) {
        // The agent's address stays when the target's port or incarnation changes.
        const std::string_view address = target->address;
        candidates.push_back({ stableHash(address.substr(0, address.rfind(':')), stream), target });
    }
    const std::size_t chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
        candidates.end(), [](const Candidate &left, const Candidate &right) {
            return std::tie(left.weight, left.target->address)
                > std::tie(right.weight, right.target->address);
        });
    targets.resize(chosen);
    std::transform(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
        targets.begin(), [](const Candidate &candidate) { return candidate.target; });
    return targets;
}

namespace {

/// Agents that are told of a stream, so that it stays known when two of them are lost.
constexpr std::size_t toldCount = 3;
/// Agents of targets that stay that are asked: more than are told, since targets may have been
/// added since.
constexpr std::size_t askedCount = 4;

void appendMissing(
    std::vector<const Target *> &targets, const std::vector<const Target *> &additional)
{
    for (const Target *target : additional) {
        if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
            targets.push_back(target);
        }
    }
}

} // namespace

std::vector<const Target *> OriginKeepers::toTell(std::uint64_t stream) const
{
    std::vector<const Target *> result = chooseOriginKeepers(this->targets, stream, toldCount);
    const bool anyLeaves = std::any_of(this->targets.begin(), this->targets.end(),
        [](const Target *target) { return target->leaving; });
    if (anyLeaves) {
        appendMissing(result, chooseOriginKeepers(this->stayingTargets(), stream, toldCount));
    }
    return result;
}

std::vector<const Target *> OriginKeepers::toAsk(
    std::uint64_t stream, std::string_view service, const std::set<ServiceVersion> &versions) const
{
    std::vector<const Target *> result = chooseOriginKeepers(this->targets, stream, toldCount);
    appendMissing(result, chooseOriginKeepers(this->stayingTargets(), stream, askedCount));
    for (const ServiceVersion &version : versions) {
        if (version.service != service) {
            continue;
        }
        std::vector<const Target *> known = this->targets;
        std::erase_if(known, [&version](const Target *target) {
            return target->service == version.service && target->version != version.version;
        });
        appendMissing(result, chooseOriginKeepers(std::move(known), stream, toldCount));
    }
    return result;
}

std::vector<const Target *> OriginKeepers::stayingTargets() const
{
    std::vector<const Target *> result = this->targets;
    std::erase_if(result, [](const Target *target) { return target->leaving; });
    return result;
}

} // namespace wigeonsill
