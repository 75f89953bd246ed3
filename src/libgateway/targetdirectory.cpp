/// \file targetdirectory.cpp
/// Bookkeeping of the targets in the platform's list, and ranking of the targets for a request.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

void TargetDirectory::replace(std::vector<Target> list, bool listMayBeIncomplete)
{
    if (!listMayBeIncomplete) {
        this->listedSinceOutage.clear();
    }
    std::map<std::string, Target, std::less<>> updated;
    for (Target &target : list) {
        std::string id = target.id;
        if (listMayBeIncomplete) {
            this->listedSinceOutage.insert(id);
        }
        updated.insert_or_assign(std::move(id), std::move(target));
    }
    if (listMayBeIncomplete) {
        for (const auto &[id, target] : this->targets) {
            const bool addressTaken
                = std::any_of(updated.begin(), updated.end(), [&target](const auto &element) {
                      return element.second.address == target.address;
                  });
            if (!addressTaken && !this->listedSinceOutage.contains(id)) {
                updated.try_emplace(id, target);
            }
        }
    }
    this->targets = std::move(updated);
    std::erase_if(this->replacedAddresses, [this](const auto &element) {
        const Target *target = this->find(element.first);
        return target == nullptr || target->address != element.second;
    });
    this->updateSuperseded();
}

void TargetDirectory::updateSuperseded()
{
    std::map<std::string_view, const Target *> newestByAddress;
    this->superseded.clear();
    for (const auto &[id, target] : this->targets) {
        if (this->replacedAddresses.contains(id)) {
            continue;
        }
        const Target *&newest = newestByAddress[target.address];
        if (newest == nullptr) {
            newest = &target;
            continue;
        }
        const bool newer = target.startedMs > newest->startedMs;
        this->superseded.insert(newer ? newest->id : id);
        newest = newer ? &target : newest;
    }
}

void TargetDirectory::markReplaced(const std::string &id)
{
    if (const Target *target = this->find(id)) {
        this->replacedAddresses[id] = target->address;
        this->updateSuperseded();
    }
}

std::vector<const Target *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const Target *> result;
    for (const auto &[id, target] : this->targets) {
        const bool current
            = !this->replacedAddresses.contains(id) && !this->superseded.contains(id);
        if (target.service == service && !target.leaving && current) {
            result.push_back(&target);
        }
    }
    return result;
}

const Target *TargetDirectory::find(std::string_view id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

namespace {

/// Expired records are written again within about two seconds of the end of the store's outage.
constexpr Duration recordRecoveryTime = seconds(2);
/// A record expires after three missed heartbeats. The last write before the gap may be up to one
/// heartbeat old, which leaves two.
constexpr int heartbeatsToExpiry = 2;
/// With at least this share of the expected growth of the revision, the store received the targets'
/// heartbeats during the gap.
constexpr double minimumGrowthShare = 0.6;

} // namespace

void StoreOutageDetector::recordList(std::uint64_t revision, std::size_t recordCount, TimePoint now)
{
    if (this->lastListAt) {
        const Duration gap = now - *this->lastListAt;
        const double heartbeats = static_cast<double>(gap.count())
            / static_cast<double>(std::max<Duration>(this->heartbeat, milliseconds(1)).count());
        const double expectedGrowth = heartbeats * static_cast<double>(this->lastRecordCount);
        const double growth = static_cast<double>(revision - this->lastRevision);
        if (heartbeats > heartbeatsToExpiry && growth < minimumGrowthShare * expectedGrowth) {
            this->incompleteUntil = now + recordRecoveryTime;
        }
    }
    this->lastRevision = revision;
    this->lastRecordCount = recordCount;
    this->lastListAt = now;
}

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

double estimateCostMs(
    const TargetView &view, const RequestMetadata &request, const EntryLocation &location)
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
    if (view.load && view.loadAge < maximumLoadAge) {
        cost += static_cast<double>(view.load->startDelay.count()) / 1'000;
    }
    if (view.load && view.load->prefillTokensPerMs > 0) {
        cost += request.promptTokens / view.load->prefillTokensPerMs;
    }
    if (view.load && view.load->decodeTokensPerMs > 0) {
        const double decodeMs = request.estimatedOutputTokens() / view.load->decodeTokensPerMs;
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
    for (const TargetView &view : views) {
        const std::uint64_t hash = stableHash(view.target->id, seed);
        const double random = static_cast<double>(hash % 1'024) / 1'024 * randomSpreadMs;
        scored.emplace_back(estimateCostMs(view, request, location) + random, &view);
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
