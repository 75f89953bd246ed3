/// \file tombstones.cpp
/// Record of the requests that an agent must not start any more.
#include "tombstones.h"

namespace wigeonsill {

Tombstones::Tombstones(std::size_t sequenceLimit)
    : limit(sequenceLimit)
{
}

Tombstones::RequestState Tombstones::requestState(const RequestId &id) const
{
    const auto record = this->entries.find(id.entry);
    if (record == this->entries.end()) {
        return RequestState::Unseen;
    }
    if (id.sequence < record->second.watermark) {
        return RequestState::BelowWatermark;
    }
    const auto found = record->second.startedBySequence.find(id.sequence);
    if (found == record->second.startedBySequence.end()) {
        return RequestState::Unseen;
    }
    return found->second ? RequestState::Started : RequestState::Rejected;
}

void Tombstones::markStarted(const RequestId &id)
{
    this->mark(id, true);
}

void Tombstones::markRejected(const RequestId &id)
{
    this->mark(id, false);
}

void Tombstones::mark(const RequestId &id, bool started)
{
    EntryRecord &record = this->entries[id.entry];
    record.startedBySequence.insert_or_assign(id.sequence, started);
    while (record.startedBySequence.size() > this->limit) {
        record.watermark = record.startedBySequence.begin()->first + 1;
        record.startedBySequence.erase(record.startedBySequence.begin());
    }
}

void Tombstones::compactEntry(const Incarnation &entry)
{
    const auto found = this->entries.find(entry);
    if (found == this->entries.end() || found->second.startedBySequence.empty()) {
        return;
    }
    // The watermark is kept: an entry that was paused may reconnect and resume a request that ran.
    EntryRecord &record = found->second;
    record.watermark = std::max(record.watermark, record.startedBySequence.rbegin()->first + 1);
    record.startedBySequence.clear();
}

std::size_t Tombstones::size() const
{
    std::size_t total = 0;
    for (const auto &[entry, record] : this->entries) {
        total += record.startedBySequence.size();
    }
    return total;
}

} // namespace wigeonsill
