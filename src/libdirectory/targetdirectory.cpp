/// \file targetdirectory.cpp
/// Bookkeeping of the targets in the platform's list.
#include "wigeonsill/directory.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Lists with a newer write of a target's record that show that it was not replaced.
constexpr int writtenListsToRefute = 2;

} // namespace

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
                = std::any_of(updated.begin(), updated.end(), [this, &target](const auto &element) {
                      return element.second.address == target.address
                          && this->isConfigured(element.second.service);
                  });
            if (!addressTaken && !this->listedSinceOutage.contains(id)) {
                updated.try_emplace(id, target);
            }
        }
    }
    this->targets = std::move(updated);
    for (auto &[id, replacement] : this->replacements) {
        const Target *target = this->find(id);
        if (target != nullptr && target->lastWrite != replacement.lastWrite) {
            replacement.lastWrite = target->lastWrite;
            ++replacement.writtenLists;
        }
    }
    std::erase_if(this->replacements, [this](const auto &element) {
        const Target *target = this->find(element.first);
        return target == nullptr || !this->isReplaced(*target)
            || element.second.writtenLists >= writtenListsToRefute;
    });
    this->updateSuperseded();
}

void TargetDirectory::updateSuperseded()
{
    struct Claim
    {
        const Target *target = nullptr;
        std::pair<bool, std::int64_t> rank; ///< Whether the service is configured, and the start.
    };
    std::map<std::string_view, Claim> newestByAddress;
    this->superseded.clear();
    for (const auto &[id, target] : this->targets) {
        if (this->isReplaced(target)) {
            continue;
        }
        const Claim claim{ &target, { this->isConfigured(target.service), target.startedMs } };
        const auto [newest, isFirst] = newestByAddress.try_emplace(target.address, claim);
        if (isFirst) {
            continue;
        }
        const bool isNewer = claim.rank > newest->second.rank;
        this->superseded.insert(isNewer ? newest->second.target->id : id);
        newest->second = isNewer ? claim : newest->second;
    }
}

void TargetDirectory::markReplaced(const Target &incarnation)
{
    // The record may have been written since the request was sent.
    const Target *listed = this->find(incarnation.id);
    const std::uint64_t lastWrite = listed != nullptr ? listed->lastWrite : incarnation.lastWrite;
    this->replacements[incarnation.id] = { incarnation.address, incarnation.startedMs, lastWrite };
    this->updateSuperseded();
}

bool TargetDirectory::isReplaced(const Target &target) const
{
    const auto found = this->replacements.find(target.id);
    return found != this->replacements.end() && target.address == found->second.address
        && target.startedMs <= found->second.startedMs;
}

bool TargetDirectory::markLeaving(const Target &incarnation, TimePoint now)
{
    if (this->statedDeparture(incarnation)) {
        return false;
    }
    this->departures[incarnation.id] = { incarnation.startedMs, now };
    return true;
}

void TargetDirectory::forgetDeparted(TimePoint now)
{
    for (auto &[id, departure] : this->departures) {
        if (this->find(id) != nullptr) {
            departure.lastKnownAt = now;
        }
    }
    std::erase_if(this->departures, [now](const auto &element) {
        return now - element.second.lastKnownAt > StoreHistory::goneTargetMemory;
    });
}

bool TargetDirectory::statedDeparture(const Target &target) const
{
    const auto found = this->departures.find(target.id);
    if (found == this->departures.end()) {
        return false;
    }
    const std::int64_t departed = found->second.startedMs;
    // Without a stated start, a list cannot show that another incarnation took over the id.
    return departed == 0 || target.startedMs <= departed;
}

bool TargetDirectory::acceptsRequests(const Target &target) const
{
    return !target.leaving && !this->statedDeparture(target) && !this->isReplaced(target)
        && !this->superseded.contains(target.id);
}

bool TargetDirectory::isUsable(std::string_view id) const
{
    const Target *target = this->find(id);
    return target != nullptr && this->acceptsRequests(*target);
}

std::vector<const Target *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const Target *> result;
    for (const auto &[id, target] : this->targets) {
        if (target.service == service && this->acceptsRequests(target)) {
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
constexpr Duration recordRecoveryTime = StoreHistory::rewriteTime;
/// A record expires after three missed heartbeats. The last write before the gap may be up to one
/// heartbeat old, which leaves two.
constexpr int heartbeatsToExpiry = 2;
/// With at least this share of the expected growth of the revision, the store received the targets'
/// heartbeats during the gap.
constexpr double minimumGrowthShare = 0.6;

} // namespace

void StoreOutageDetector::recordHistoryReplaced(TimePoint now)
{
    this->lastContactAt.reset();
    this->longestGap = {};
    this->incompleteUntil = now + recordRecoveryTime;
}

void StoreOutageDetector::recordContact(TimePoint now)
{
    if (this->lastContactAt) {
        this->longestGap = std::max(this->longestGap, now - *this->lastContactAt);
        this->lastContactAt = now;
    }
}

void StoreOutageDetector::recordList(std::uint64_t revision, std::size_t recordCount, TimePoint now)
{
    if (this->lastContactAt) {
        this->recordContact(now);
        const double heartbeats = static_cast<double>(this->longestGap.count())
            / static_cast<double>(std::max<Duration>(this->heartbeat, milliseconds(1)).count());
        const double expectedGrowth = heartbeats * static_cast<double>(this->lastRecordCount);
        const double growth = static_cast<double>(revision - this->lastRevision);
        if (heartbeats > heartbeatsToExpiry && growth < minimumGrowthShare * expectedGrowth) {
            this->incompleteUntil = now + recordRecoveryTime;
        }
    }
    this->lastRevision = revision;
    this->lastRecordCount = recordCount;
    this->lastContactAt = now;
    this->longestGap = {};
}

} // namespace wigeonsill
