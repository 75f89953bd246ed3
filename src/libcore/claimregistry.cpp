/// \file claimregistry.cpp
/// Group commit of claims: schedules the reads and writes of each shard and decides its claims.
#include "claimshard.h"

#include <algorithm>

namespace wigeonsill {

namespace {

struct PendingClaim
{
    ClaimKey action;
    TimePoint queuedAt;
};

struct PendingRecord
{
    RecordClaim action;
    TimePoint queuedAt;
    bool inWrite = false;
};

/// The store operation in progress for a shard; at most one at a time.
enum class StoreOperation : std::uint8_t { None, Reading, Writing };

struct Shard
{
    std::optional<ClaimShard> cache; ///< As last read or written; empty when a read is needed.
    std::uint64_t version = 0;
    ClaimShard pendingWrite; ///< Contents of the write in progress.
    StoreOperation operation = StoreOperation::None;
    bool writeOutcomeUnknown = false; ///< A write whose answer was lost may still take effect.
    TimePoint notBefore; ///< Earliest time of the next store operation.
    std::vector<PendingClaim> claims;
    std::vector<PendingRecord> records;
    std::vector<RequestId> claimsInWrite; ///< Claims that the write in progress grants.
};

} // namespace

struct ClaimRegistry::Private
{
    ClaimLimits limits;
    std::chrono::seconds wallClock{};
    std::map<std::string, Shard> shards;
    std::vector<ClaimRegistryAction> actions;

    Shard &shardOf(const std::string &organisation, const std::string &key);
    bool isDue(TimePoint now, const Shard &shard) const;
    /// Starts a read or a write when one is due.
    void startDueOperation(TimePoint now, const std::string &key, Shard &shard);
    /// Applies the pending claims and records to the cached shard and writes the result.
    void writePending(TimePoint now, const std::string &key, Shard &shard);
    void emitDecision(const RequestId &id, const ClaimDecision &decision);
    /// Refuses the claims and drops the records that exceeded their timeouts.
    void expire(TimePoint now, Shard &shard);
};

ClaimRegistry::ClaimRegistry(const ClaimLimits &limits)
    : d(std::make_unique<Private>())
{
    this->d->limits = limits;
}

ClaimRegistry::~ClaimRegistry() = default;

Shard &ClaimRegistry::Private::shardOf(const std::string &organisation, const std::string &key)
{
    const std::uint64_t hash = stableHash(key, stableHash(organisation));
    return this->shards["claims/" + std::to_string(hash % this->limits.shards)];
}

void ClaimRegistry::Private::emitDecision(const RequestId &id, const ClaimDecision &decision)
{
    this->actions.emplace_back(ClaimDecided{ id, decision });
}

void ClaimRegistry::claim(TimePoint now, ClaimKey action)
{
    Shard &shard = this->d->shardOf(action.organisation, action.key);
    // Another entry may have changed a key that the cache holds; a new read decides.
    if (shard.cache && shard.cache->contains(action.organisation, action.key)) {
        shard.cache.reset();
    }
    shard.claims.push_back({ std::move(action), now });
}

void ClaimRegistry::record(TimePoint now, RecordClaim action)
{
    Shard &shard = this->d->shardOf(action.organisation, action.key);
    if (shard.records.size() >= this->d->limits.maximumPendingRecords) {
        shard.records.erase(shard.records.begin());
    }
    shard.records.push_back({ std::move(action), now, false });
}

bool ClaimRegistry::Private::isDue(TimePoint now, const Shard &shard) const
{
    if (shard.operation != StoreOperation::None || now < shard.notBefore) {
        return false;
    }
    const bool claimsDue = !shard.claims.empty()
        && now - shard.claims.front().queuedAt >= this->limits.claimBatchDelay;
    const bool recordsDue = !shard.records.empty()
        && now - shard.records.front().queuedAt >= this->limits.recordBatchDelay;
    return claimsDue || recordsDue;
}

void ClaimRegistry::Private::startDueOperation(TimePoint now, const std::string &key, Shard &shard)
{
    if (!this->isDue(now, shard)) {
        return;
    }
    if (!shard.cache) {
        shard.operation = StoreOperation::Reading;
        this->actions.emplace_back(ReadShard{ key });
        return;
    }
    this->writePending(now, key, shard);
}

void ClaimRegistry::Private::writePending(TimePoint now, const std::string &key, Shard &shard)
{
    ClaimShard updated = *shard.cache;
    updated.prune(this->wallClock, this->limits);
    // Only a later write ensures that a write with a lost answer can no longer take effect.
    bool changed = shard.writeOutcomeUnknown;
    for (PendingRecord &record : shard.records) {
        record.inWrite = true;
        changed |= updated.record(record.action);
    }
    std::vector<PendingClaim> granted;
    std::vector<PendingClaim> waiting;
    for (PendingClaim &claim : shard.claims) {
        bool added = false;
        ClaimDecision decision
            = updated.claim(claim.action, this->wallClock, this->limits.runningClaimTimeout, added);
        changed |= added;
        const bool firstAttemptRuns = decision.result == ResultCode::FirstAttemptRunning;
        if (firstAttemptRuns && now - claim.queuedAt < this->limits.runningClaimWait) {
            waiting.push_back(std::move(claim));
            continue;
        }
        if (decision.result != ResultCode::Ok || decision.replay) {
            this->emitDecision(claim.action.id, decision);
            continue;
        }
        granted.push_back(std::move(claim));
    }
    updated.prune(this->wallClock, this->limits);
    const bool full
        = updated.estimatedSize() > this->limits.maximumShardBytes && !granted.empty() && changed;
    if (!changed || full) {
        // Unchanged: an earlier write of this entry, whose answer was lost, already took effect.
        // Full: the shard holds only claims that must be kept, so no further claim is granted.
        ClaimDecision decision;
        decision.result = changed ? ResultCode::ClaimStoreUnavailable : ResultCode::Ok;
        for (const PendingClaim &claim : granted) {
            this->emitDecision(claim.action.id, decision);
        }
        if (!changed) {
            shard.records.clear();
        }
        shard.claims = std::move(waiting);
        shard.cache.reset();
        shard.notBefore = now + this->limits.minimumWriteInterval;
        return;
    }
    shard.claimsInWrite.clear();
    for (PendingClaim &claim : granted) {
        shard.claimsInWrite.push_back(claim.action.id);
        waiting.push_back(std::move(claim));
    }
    shard.claims = std::move(waiting);
    shard.pendingWrite = std::move(updated);
    shard.operation = StoreOperation::Writing;
    shard.notBefore = now + this->limits.minimumWriteInterval;
    this->actions.emplace_back(WriteShard{ key, shard.pendingWrite.serialize(), shard.version });
}

void ClaimRegistry::readDone(TimePoint now, const std::string &key, const Result<ShardValue> &value)
{
    Shard &shard = this->d->shards[key];
    shard.operation = StoreOperation::None;
    if (!value) {
        shard.notBefore = now + this->d->limits.retryInterval;
        return;
    }
    Result<ClaimShard> parsed = ClaimShard::parse(value.value().value);
    if (!parsed) {
        // The keys claimed in a malformed shard are unknown, so no claim is granted.
        shard.notBefore = now + this->d->limits.retryInterval;
        return;
    }
    shard.cache = std::move(parsed).value();
    shard.version = value.value().version;
    this->d->writePending(now, key, shard);
}

void ClaimRegistry::writeDone(
    TimePoint now, const std::string &key, const Result<std::uint64_t> &version)
{
    Shard &shard = this->d->shards[key];
    shard.operation = StoreOperation::None;
    if (!version) {
        for (PendingRecord &record : shard.records) {
            record.inWrite = false;
        }
        // A read resolves a conflict as well as a lost answer: a claim stored under the request's
        // own id was written by this entry.
        shard.cache.reset();
        shard.writeOutcomeUnknown |= version.error().code == ResultCode::StoreAnswerLost;
        const bool resolveNow = version.error().code == ResultCode::StoreConflict
            || version.error().code == ResultCode::StoreAnswerLost;
        shard.notBefore = resolveNow ? now : now + this->d->limits.retryInterval;
        this->d->startDueOperation(now, key, shard);
        return;
    }
    shard.cache = std::move(shard.pendingWrite);
    shard.writeOutcomeUnknown = false;
    shard.version = version.value();
    std::erase_if(shard.records, [](const PendingRecord &record) { return record.inWrite; });
    std::erase_if(shard.claims, [this, &shard](const PendingClaim &claim) {
        const auto &ids = shard.claimsInWrite;
        const bool granted = std::find(ids.begin(), ids.end(), claim.action.id) != ids.end();
        if (granted) {
            this->d->emitDecision(claim.action.id, {});
        }
        return granted;
    });
    // Claims that wait for the end of another request need a new read, since the store has its
    // outcome first.
    if (!shard.claims.empty()) {
        shard.cache.reset();
    }
}

void ClaimRegistry::Private::expire(TimePoint now, Shard &shard)
{
    std::erase_if(shard.records, [this, now](const PendingRecord &record) {
        return now - record.queuedAt > this->limits.recordTimeout;
    });
    std::vector<PendingClaim> waiting;
    for (PendingClaim &claim : shard.claims) {
        if (now - claim.queuedAt <= this->limits.claimTimeout) {
            waiting.push_back(std::move(claim));
            continue;
        }
        ClaimDecision refusal;
        refusal.result = ResultCode::ClaimStoreUnavailable;
        this->emitDecision(claim.action.id, refusal);
        // A write of this claim may still take effect; recording the release undoes it.
        RecordClaim release;
        release.id = claim.action.id;
        release.organisation = claim.action.organisation;
        release.key = claim.action.key;
        release.result = ResultCode::ClaimStoreUnavailable;
        shard.records.push_back({ std::move(release), now, false });
    }
    shard.claims = std::move(waiting);
}

void ClaimRegistry::tick(TimePoint now, std::chrono::seconds wallClock)
{
    this->d->wallClock = wallClock;
    for (auto &[key, shard] : this->d->shards) {
        this->d->expire(now, shard);
        this->d->startDueOperation(now, key, shard);
    }
}

std::vector<ClaimRegistryAction> ClaimRegistry::takeActions()
{
    return std::exchange(this->d->actions, {});
}

std::size_t ClaimRegistry::inProgress() const
{
    std::size_t count = 0;
    for (const auto &[key, shard] : this->d->shards) {
        count += shard.claims.size() + shard.records.size();
    }
    return count;
}

} // namespace wigeonsill
