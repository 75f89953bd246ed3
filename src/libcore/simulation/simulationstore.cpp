/// \file simulationstore.cpp
/// The simulated claim store and the entries' calls to it.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

void Simulation::performClaimActions(EntryProcess &entry)
{
    for (ClaimRegistryAction &action : entry.claimRegistry->takeActions()) {
        std::visit([this, &entry](auto &typed) { this->performAction(entry, typed); }, action);
    }
}

void Simulation::performAction(EntryProcess &entry, ReadShard &action)
{
    this->pendingStoreCalls.push_back({ entry.index, entry.incarnation, std::move(action) });
}

void Simulation::performAction(EntryProcess &entry, WriteShard &action)
{
    this->pendingStoreCalls.push_back({ entry.index, entry.incarnation, std::move(action) });
}

void Simulation::performAction(EntryProcess &entry, ClaimDecided &action)
{
    CallerRecord &record = this->callerRecords.at(toString(action.id));
    if (action.decision.replay) {
        record.isReplay = true;
        record.replayedBody = action.decision.body;
        const bool answerExists = std::ranges::any_of(this->callerRecords, [&](const auto &other) {
            return other.second.key == record.key && other.second.runCompleted
                && other.second.answerBody == record.replayedBody;
        });
        this->checkInvariant(answerExists,
            toString(action.id) + " received a replay that matches no earlier answer");
    }
    entry.core->claimDecided(this->localTime(entry), action.id, action.decision);
    this->performActions(entry);
}

Result<std::uint64_t> Simulation::applyWrite(const WriteShard &write)
{
    ShardValue &stored = this->storedShards[write.key];
    if (stored.version != write.expectedVersion) {
        return Error{ ResultCode::StoreConflict, {} };
    }
    stored.value = write.value;
    return ++stored.version;
}

void Simulation::completeStoreCall(const StoreCall &call, std::uint32_t choice)
{
    EntryProcess &entry = *this->entries[call.entryIndex];
    const bool mayFail = this->options.injectFaults && !this->settling;
    const TimePoint now = this->localTime(entry);
    const auto *read = std::get_if<ReadShard>(&call.call);
    if (read != nullptr && mayFail && choice % 8 == 0) {
        entry.claimRegistry->readDone(now, read->key, Error{ ResultCode::StoreUnavailable, {} });
    } else if (read != nullptr) {
        entry.claimRegistry->readDone(now, read->key, this->storedShards[read->key]);
    } else {
        const WriteShard &write = std::get<WriteShard>(call.call);
        Result<std::uint64_t> result = Error{ ResultCode::StoreAnswerLost, {} };
        if (mayFail && choice % 8 == 0) {
            result = Error{ ResultCode::StoreUnavailable, {} };
        } else if (mayFail && choice % 8 == 1) {
            this->applyWrite(write).has_value();
        } else if (mayFail && choice % 8 == 2) {
            this->delayedWrites.push_back(write);
        } else {
            result = this->applyWrite(write);
        }
        entry.claimRegistry->writeDone(now, write.key, result);
    }
    this->performClaimActions(entry);
}

void Simulation::advanceStore(const Step &step)
{
    if (!this->delayedWrites.empty() && step.parameter % 3 == 0) {
        const WriteShard write = this->delayedWrites.back();
        this->delayedWrites.pop_back();
        this->applyWrite(write).has_value();
    }
    if (this->pendingStoreCalls.empty()) {
        return;
    }
    const std::size_t index = step.selector % this->pendingStoreCalls.size();
    const StoreCall call = this->pendingStoreCalls[index];
    const EntryProcess &entry = *this->entries[call.entryIndex];
    if (entry.incarnation == call.entryIncarnation && entry.paused) {
        return;
    }
    this->pendingStoreCalls.erase(this->pendingStoreCalls.begin() + std::ptrdiff_t(index));
    if (entry.incarnation == call.entryIncarnation) {
        this->completeStoreCall(call, step.parameter / 3);
    } else if (const auto *write = std::get_if<WriteShard>(&call.call)) {
        // The entry that sent the write has been replaced, so only its effect remains.
        this->applyWrite(*write).has_value();
    }
}

} // namespace wigeonsill::test
