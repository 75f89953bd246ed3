/// \file tombstones.cpp
/// Which requests the agent must never start.
#include "tombstones.h"

namespace wigeonsill {

Tombstones::Tombstones(std::size_t sequenceLimit)
    : limit(sequenceLimit)
{
}

Tombstones::Verdict Tombstones::verdict(const RequestId &id) const
{
    const auto record = this->entries.find(id.entry);
    if (record == this->entries.end()) {
        return Verdict::Unseen;
    }
    if (id.sequence < record->second.watermark) {
        return Verdict::Forgotten;
    }
    const auto found = record->second.started.find(id.sequence);
    if (found == record->second.started.end()) {
        return Verdict::Unseen;
    }
    return found->second ? Verdict::Started : Verdict::Refused;
}

void Tombstones::markStarted(const RequestId &id)
{
    this->mark(id, true);
}

void Tombstones::markRefused(const RequestId &id)
{
    this->mark(id, false);
}

void Tombstones::mark(const RequestId &id, bool started)
{
    EntryRecord &record = this->entries[id.entry];
    record.started.insert_or_assign(id.sequence, started);
    while (record.started.size() > this->limit) {
        record.watermark = record.started.begin()->first + 1;
        record.started.erase(record.started.begin());
    }
}

void Tombstones::forgetEntry(const Incarnation &entry)
{
    const auto found = this->entries.find(entry);
    if (found == this->entries.end() || found->second.started.empty()) {
        return;
    }
    // The watermark stays: a paused entry may come back and ask about what did run.
    EntryRecord &record = found->second;
    record.watermark = std::max(record.watermark, record.started.rbegin()->first + 1);
    record.started.clear();
}

std::size_t Tombstones::size() const
{
    std::size_t total = 0;
    for (const auto &[entry, record] : this->entries) {
        total += record.started.size();
    }
    return total;
}

} // namespace wigeonsill
