/// \file storehistory.cpp
/// What remains valid when the store comes back from an older copy.
#include "wigeonsill/directory.h"

#include <algorithm>

namespace wigeonsill {

HistoryChange StoreHistory::recordHistory(std::optional<std::uint64_t> history, TimePoint now)
{
    if (!history || history == this->currentHistory) {
        return HistoryChange::Same;
    }
    if (!this->currentHistory) {
        this->currentHistory = history;
        if (*history > firstHistory) {
            this->rewrittenFrom = now + rewriteTime + startMargin;
        }
        return HistoryChange::Same;
    }
    if (*history < *this->currentHistory) {
        return HistoryChange::Outdated;
    }
    this->currentHistory = history;
    this->knownRevision = 0;
    this->heldVersion.reset();
    if (this->newestVersion > 0) {
        this->versionBeforeReplacement = this->newestVersion;
    }
    this->rewrittenFrom = now + rewriteTime;
    return HistoryChange::Replaced;
}

void StoreHistory::recordConfiguration(std::uint64_t version)
{
    this->heldVersion = version;
    this->newestVersion = std::max(this->newestVersion, version);
}

bool StoreHistory::confirmsConfiguration(TimePoint sentAt) const
{
    if (!this->heldVersion || *this->heldVersion < this->newestVersion) {
        return false;
    }
    if (!this->rewrittenFrom || sentAt >= *this->rewrittenFrom) {
        return true;
    }
    return this->versionBeforeReplacement && *this->heldVersion > *this->versionBeforeReplacement;
}

void TargetRecords::beginRead(bool historyReplaced)
{
    this->found.clear();
    this->readIsFromCopy = this->readIsFromCopy || historyReplaced;
}

void TargetRecords::recordRead(Target target)
{
    const auto known = this->records.find(target.id);
    if (known != this->records.end()) {
        target.lastWrite = known->second.lastWrite;
    }
    if (this->readIsFromCopy) {
        if (this->goneAt.contains(target.id)) {
            return;
        }
        target.leaving = target.leaving
            || (known != this->records.end() && known->second.leaving
                && known->second.startedMs == target.startedMs);
    }
    std::string id = target.id;
    this->found.insert_or_assign(std::move(id), std::move(target));
}

void TargetRecords::endRead(TimePoint now)
{
    for (const auto &[id, target] : this->records) {
        // A copy may lack records of live targets; those are written again.
        if (!this->readIsFromCopy && !this->found.contains(id)) {
            this->goneAt[id] = now;
        }
    }
    this->records = std::move(this->found);
    this->found.clear();
    this->readIsFromCopy = false;
    std::erase_if(this->goneAt, [now](const auto &element) {
        return now - element.second > StoreHistory::goneTargetMemory;
    });
}

void TargetRecords::recordWritten(Target target)
{
    this->goneAt.erase(target.id);
    target.lastWrite = ++this->writeCount;
    std::string id = target.id;
    this->records.insert_or_assign(std::move(id), std::move(target));
}

void TargetRecords::recordRemoved(const std::string &id, TimePoint now)
{
    if (this->records.erase(id) > 0) {
        this->goneAt[id] = now;
    }
}

std::vector<Target> TargetRecords::list() const
{
    std::vector<Target> result;
    result.reserve(this->records.size());
    for (const auto &[id, target] : this->records) {
        result.push_back(target);
    }
    return result;
}

} // namespace wigeonsill
