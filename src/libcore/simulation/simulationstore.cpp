/// \file simulationstore.cpp
/// The simulated store, and the entries' claims in it.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

void Simulation::pumpClaims(EntryProcess &entry)
{
    for (ClaimRegistryAction &action : entry.book->takeActions()) {
        std::visit([this, &entry](auto &typed) { this->onAction(entry, typed); }, action);
    }
}

void Simulation::onAction(EntryProcess &entry, ReadShard &action)
{
    this->storeCalls.push_back({ entry.index, entry.incarnation, std::move(action) });
}

void Simulation::onAction(EntryProcess &entry, WriteShard &action)
{
    this->storeCalls.push_back({ entry.index, entry.incarnation, std::move(action) });
}

void Simulation::onAction(EntryProcess &entry, ClaimDecided &action)
{
    CallerRecord &record = this->records.at(toString(action.id));
    if (action.decision.replay) {
        record.isReplay = true;
        record.replayed = action.decision.body;
        const bool known = std::ranges::any_of(this->records, [&](const auto &other) {
            return other.second.key == record.key && other.second.ranWhole
                && other.second.content == record.replayed;
        });
        this->check(known, toString(action.id) + " got a replay of no earlier answer");
    }
    entry.core->claimDecided(this->timeAt(entry), action.id, action.decision);
    this->pump(entry);
}

Result<std::uint64_t> Simulation::applyWrite(const WriteShard &write)
{
    ShardValue &stored = this->shards[write.key];
    if (stored.version != write.expectedVersion) {
        return Error{ ResultCode::StoreConflict, {} };
    }
    stored.value = write.value;
    return ++stored.version;
}

void Simulation::answerStore(const StoreCall &call, std::uint32_t choice)
{
    EntryProcess &entry = *this->entries[call.entryIndex];
    const bool faulty = this->options.faults && !this->settling;
    const TimePoint now = this->timeAt(entry);
    const auto *read = std::get_if<ReadShard>(&call.call);
    if (read != nullptr && faulty && choice % 8 == 0) {
        entry.book->readDone(now, read->key, Error{ ResultCode::StoreUnavailable, {} });
    } else if (read != nullptr) {
        entry.book->readDone(now, read->key, this->shards[read->key]);
    } else {
        const WriteShard &write = std::get<WriteShard>(call.call);
        Result<std::uint64_t> result = Error{ ResultCode::StoreAnswerLost, {} };
        if (faulty && choice % 8 == 0) {
            result = Error{ ResultCode::StoreUnavailable, {} };
        } else if (faulty && choice % 8 == 1) {
            this->applyWrite(write).has_value();
        } else if (faulty && choice % 8 == 2) {
            this->lostWrites.push_back(write);
        } else {
            result = this->applyWrite(write);
        }
        entry.book->writeDone(now, write.key, result);
    }
    this->pumpClaims(entry);
}

void Simulation::stepStore(const Step &step)
{
    if (!this->lostWrites.empty() && step.b % 3 == 0) {
        const WriteShard write = this->lostWrites.back();
        this->lostWrites.pop_back();
        this->applyWrite(write).has_value();
    }
    if (this->storeCalls.empty()) {
        return;
    }
    const std::size_t index = step.a % this->storeCalls.size();
    const StoreCall call = this->storeCalls[index];
    const EntryProcess &entry = *this->entries[call.entryIndex];
    if (entry.incarnation == call.entry && entry.paused) {
        return;
    }
    this->storeCalls.erase(this->storeCalls.begin() + std::ptrdiff_t(index));
    if (entry.incarnation == call.entry) {
        this->answerStore(call, step.b / 3);
    } else if (const auto *write = std::get_if<WriteShard>(&call.call)) {
        // The entry that sent it is dead.
        this->applyWrite(*write).has_value();
    }
}

} // namespace wigeonsill::test
