/// \file exchangeplan.cpp
/// Who reports to whom, when an entry moves, and how often messages are sent.
#include "wigeonsill/exchange.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Entries of a group, at most. With 24 there are 18 groups in six failure domains at 300 and at
/// 380 entries, so that a holder of one of two regions has 18 collectors and answers each ten times
/// a second. With 16 there are 36, which it answers at 180 ms; a jump to 7.5 times the load then
/// admitted 1.014 of what is accepted.
constexpr int groupEntries = 24;
constexpr std::size_t collectorsOfGroup = 2;
constexpr std::size_t holdersOfRegion = 2;
/// A number of groups has to be wanted for this long, so that killed and started entries, which
/// count twice for three seconds, don't cause moves.
constexpr Duration switchDelay = seconds(5);
/// Entries below the limit at which groups are given up again.
constexpr int flatHysteresis = 8;
/// Messages that a node sends to all its neighbours in a second, at most; two agents of 30 entries
/// in the form of two holders answer 120 reports a second each.
constexpr double messagesPerSecond = 200;
constexpr Duration shortestInterval = milliseconds(100);
/// As the entries' reports. Longer ones would make the knowledge older than QuotaLimiter expects.
constexpr Duration longestInterval = milliseconds(250);

std::vector<std::string> firstAddresses(const std::vector<const Target *> &engines,
    const std::function<bool(const Target &)> &filter, std::size_t count)
{
    std::vector<std::string> result;
    for (const Target *engine : engines) {
        if (result.size() < count && filter(*engine)) {
            result.push_back(engine->address);
        }
    }
    return result;
}

} // namespace

int groupCount(int entries)
{
    if (entries <= FormSwitch::largestFlatEntries) {
        return 1;
    }
    int groups = 1;
    while (groups * groupEntries < entries) {
        groups *= 2;
    }
    return groups;
}

ExchangePlace placeEntry(std::vector<const Target *> engines, const EntryLocation &location,
    std::uint64_t entry, int groups)
{
    std::sort(engines.begin(), engines.end(),
        [](const Target *left, const Target *right) { return left->address < right->address; });
    const auto any = [](const Target &) { return true; };
    const auto inRegion
        = [&location](const Target &engine) { return engine.region == location.region; };
    ExchangePlace place;
    if (groups <= 1) {
        place.collectors = firstAddresses(engines, any, collectorsOfGroup);
        return place;
    }
    std::map<std::string, int> domains;
    std::map<std::string, bool> regions;
    for (const Target *engine : engines) {
        ++domains[engine->failureDomain];
        regions[engine->region] = true;
    }
    place.regionHolders = firstAddresses(engines, inRegion, holdersOfRegion);
    for (const auto &[region, listed] : regions) {
        if (region != location.region) {
            const auto others = firstAddresses(
                engines, [&region](const Target &engine) { return engine.region == region; },
                holdersOfRegion);
            place.otherHolders.insert(place.otherHolders.end(), others.begin(), others.end());
        }
    }
    // The groups are spread evenly over the failure domains.
    const int domainGroups = std::max(1,
        (groups + static_cast<int>(domains.size()) - 1)
            / std::max(1, static_cast<int>(domains.size())));
    const auto part = static_cast<int>(
        stableHash(std::to_string(entry)) % static_cast<std::uint64_t>(domainGroups));
    place.group = location.region + "/" + location.failureDomain + "/"
        + std::to_string(domainGroups) + "/" + std::to_string(part);
    const auto inDomain = [&location](const Target &engine) {
        return engine.failureDomain == location.failureDomain && engine.region == location.region;
    };
    const auto isHolder = [&place](const Target &engine) {
        return std::find(place.regionHolders.begin(), place.regionHolders.end(), engine.address)
            != place.regionHolders.end();
    };
    // The engines of the failure domain first; holders only where there are no others.
    const std::vector<std::function<bool(const Target &)>> choices
        = { [&](const Target &engine) { return inDomain(engine) && !isHolder(engine); },
              [&](const Target &engine) { return inRegion(engine) && !isHolder(engine); }, inRegion,
              any };
    for (const auto &choice : choices) {
        const auto candidates = firstAddresses(engines, choice, engines.size());
        if (candidates.size() < collectorsOfGroup && &choice != &choices.back()) {
            continue;
        }
        for (std::size_t i = 0; i < std::min(collectorsOfGroup, candidates.size()); ++i) {
            place.collectors.push_back(
                candidates[(static_cast<std::size_t>(part) * collectorsOfGroup + i)
                    % candidates.size()]);
        }
        return place;
    }
    return place;
}

int FormSwitch::update(int entries, TimePoint now)
{
    int target = wigeonsill::groupCount(entries);
    const bool stays = target < this->current
        && (target == 1 ? entries + flatHysteresis > largestFlatEntries
                        : wigeonsill::groupCount(entries + entries / 4) >= this->current);
    target = stays ? this->current : target;
    if (target != this->wanted) {
        this->wanted = target;
        this->wantedSince = now;
    }
    if (this->wanted != this->current && now - this->wantedSince >= switchDelay) {
        this->current = this->wanted;
    }
    return this->current;
}

Duration exchangeInterval(std::size_t neighbours)
{
    const std::chrono::duration<double> bounded(
        static_cast<double>(neighbours) / messagesPerSecond);
    return std::clamp(
        std::chrono::duration_cast<Duration>(bounded), shortestInterval, longestInterval);
}

} // namespace wigeonsill
