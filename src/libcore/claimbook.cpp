/// \file claimbook.cpp
/// Group commit of claims: when a shard is read and written, and what each outcome decides.
#include "claimshard.h"

#include <algorithm>

namespace wigeonsill {

namespace {

struct PendingClaim
{
    ClaimKey action;
    TimePoint since;
};

struct PendingRecord
{
    RecordClaim action;
    TimePoint since;
    bool inWrite = false;
};

/// What is under way for a shard. One call of the store at a time.
enum class ShardCall : std::uint8_t { None, Reading, Writing };

struct Shard
{
    std::optional<ClaimShard> cache; ///< As last read or written; empty when it must be read.
    std::uint64_t version = 0;
    ClaimShard written; ///< What the write under way would make of it.
    ShardCall call = ShardCall::None;
    bool uncertain = false; ///< A write with a lost answer may yet take effect.
    TimePoint notBefore; ///< Earliest next call.
    std::vector<PendingClaim> claims;
    std::vector<PendingRecord> records;
    std::vector<RequestId> inWrite; ///< Claims that the write under way would grant.
};

} // namespace

struct ClaimBook::Private
{
    ClaimLimits limits;
    std::chrono::seconds wallClock{};
    std::map<std::string, Shard> shards;
    std::vector<ClaimBookAction> actions;

    Shard &shardOf(const std::string &organisation, const std::string &key);
    bool isDue(TimePoint now, const Shard &shard) const;
    void advance(TimePoint now, const std::string &key, Shard &shard);
    /// Applies all that is pending to the cached claims and writes the result.
    void write(TimePoint now, const std::string &key, Shard &shard);
    void decide(const RequestId &id, const ClaimDecision &decision);
    void expire(TimePoint now, Shard &shard);
};

ClaimBook::ClaimBook(const ClaimLimits &limits)
    : d(std::make_unique<Private>())
{
    this->d->limits = limits;
}

ClaimBook::~ClaimBook() = default;

Shard &ClaimBook::Private::shardOf(const std::string &organisation, const std::string &key)
{
    const std::uint64_t hash = stableHash(key, stableHash(organisation));
    return this->shards["claims/" + std::to_string(hash % this->limits.shards)];
}

void ClaimBook::Private::decide(const RequestId &id, const ClaimDecision &decision)
{
    this->actions.emplace_back(ClaimDecided{ id, decision });
}

void ClaimBook::claim(TimePoint now, ClaimKey action)
{
    Shard &shard = this->d->shardOf(action.organisation, action.key);
    // The cache may be behind on a key that it holds; a fresh read decides.
    if (shard.cache && shard.cache->contains(action.organisation, action.key)) {
        shard.cache.reset();
    }
    shard.claims.push_back({ std::move(action), now });
}

void ClaimBook::record(TimePoint now, RecordClaim action)
{
    Shard &shard = this->d->shardOf(action.organisation, action.key);
    if (shard.records.size() >= this->d->limits.maximumRecords) {
        shard.records.erase(shard.records.begin());
    }
    shard.records.push_back({ std::move(action), now, false });
}

bool ClaimBook::Private::isDue(TimePoint now, const Shard &shard) const
{
    if (shard.call != ShardCall::None || now < shard.notBefore) {
        return false;
    }
    const bool claimsDue
        = !shard.claims.empty() && now - shard.claims.front().since >= this->limits.claimDelay;
    const bool recordsDue
        = !shard.records.empty() && now - shard.records.front().since >= this->limits.recordDelay;
    return claimsDue || recordsDue;
}

void ClaimBook::Private::advance(TimePoint now, const std::string &key, Shard &shard)
{
    if (!this->isDue(now, shard)) {
        return;
    }
    if (!shard.cache) {
        shard.call = ShardCall::Reading;
        this->actions.emplace_back(ReadShard{ key });
        return;
    }
    this->write(now, key, shard);
}

void ClaimBook::Private::write(TimePoint now, const std::string &key, Shard &shard)
{
    ClaimShard next = *shard.cache;
    next.prune(this->wallClock, this->limits);
    // Only a later write makes sure that a lost one cannot take effect any more.
    bool changed = shard.uncertain;
    for (PendingRecord &record : shard.records) {
        record.inWrite = true;
        changed |= next.record(record.action);
    }
    std::vector<PendingClaim> granted;
    std::vector<PendingClaim> waiting;
    for (PendingClaim &claim : shard.claims) {
        bool added = false;
        ClaimDecision decision
            = next.claim(claim.action, this->wallClock, this->limits.runningLimit, added);
        changed |= added;
        const bool firstRuns = decision.result == ResultCode::FirstAttemptRunning;
        if (firstRuns && now - claim.since < this->limits.runningWait) {
            waiting.push_back(std::move(claim));
            continue;
        }
        if (decision.result != ResultCode::Ok || decision.replay) {
            this->decide(claim.action.id, decision);
            continue;
        }
        granted.push_back(std::move(claim));
    }
    next.prune(this->wallClock, this->limits);
    const bool full
        = next.estimatedSize() > this->limits.maximumShardBytes && !granted.empty() && changed;
    if (!changed || full) {
        // Unchanged: an earlier write of ours, whose answer was lost, already did it all.
        // Full of claims that must be kept: nothing more can be promised here.
        ClaimDecision decision;
        decision.result = changed ? ResultCode::ClaimStoreUnavailable : ResultCode::Ok;
        for (const PendingClaim &claim : granted) {
            this->decide(claim.action.id, decision);
        }
        if (!changed) {
            shard.records.clear();
        }
        shard.claims = std::move(waiting);
        shard.cache.reset();
        shard.notBefore = now + this->limits.writeInterval;
        return;
    }
    shard.inWrite.clear();
    for (PendingClaim &claim : granted) {
        shard.inWrite.push_back(claim.action.id);
        waiting.push_back(std::move(claim));
    }
    shard.claims = std::move(waiting);
    shard.written = std::move(next);
    shard.call = ShardCall::Writing;
    shard.notBefore = now + this->limits.writeInterval;
    this->actions.emplace_back(WriteShard{ key, shard.written.serialize(), shard.version });
}

void ClaimBook::readDone(TimePoint now, const std::string &key, const Result<ShardValue> &value)
{
    Shard &shard = this->d->shards[key];
    shard.call = ShardCall::None;
    if (!value) {
        shard.notBefore = now + this->d->limits.retryInterval;
        return;
    }
    Result<ClaimShard> parsed = ClaimShard::parse(value.value().value);
    if (!parsed) {
        // Nobody knows which keys it held, so none is granted.
        shard.notBefore = now + this->d->limits.retryInterval;
        return;
    }
    shard.cache = std::move(parsed).value();
    shard.version = value.value().version;
    this->d->write(now, key, shard);
}

void ClaimBook::writeDone(
    TimePoint now, const std::string &key, const Result<std::uint64_t> &version)
{
    Shard &shard = this->d->shards[key];
    shard.call = ShardCall::None;
    if (!version) {
        for (PendingRecord &record : shard.records) {
            record.inWrite = false;
        }
        // A conflict and a lost answer are both settled by reading: a claim that the store shows
        // under the request's own id was written by us.
        shard.cache.reset();
        shard.uncertain |= version.error().code == ResultCode::StoreAnswerLost;
        const bool settleNow = version.error().code == ResultCode::StoreConflict
            || version.error().code == ResultCode::StoreAnswerLost;
        shard.notBefore = settleNow ? now : now + this->d->limits.retryInterval;
        this->d->advance(now, key, shard);
        return;
    }
    shard.cache = std::move(shard.written);
    shard.uncertain = false;
    shard.version = version.value();
    std::erase_if(shard.records, [](const PendingRecord &record) { return record.inWrite; });
    std::erase_if(shard.claims, [this, &shard](const PendingClaim &claim) {
        const auto &ids = shard.inWrite;
        const bool granted = std::find(ids.begin(), ids.end(), claim.action.id) != ids.end();
        if (granted) {
            this->d->decide(claim.action.id, {});
        }
        return granted;
    });
    // Claims that wait for a first attempt want to see its end, which the store learns first.
    if (!shard.claims.empty()) {
        shard.cache.reset();
    }
}

void ClaimBook::Private::expire(TimePoint now, Shard &shard)
{
    std::erase_if(shard.records, [this, now](const PendingRecord &record) {
        return now - record.since > this->limits.recordTimeout;
    });
    std::vector<PendingClaim> waiting;
    for (PendingClaim &claim : shard.claims) {
        if (now - claim.since <= this->limits.claimTimeout) {
            waiting.push_back(std::move(claim));
            continue;
        }
        ClaimDecision refusal;
        refusal.result = ResultCode::ClaimStoreUnavailable;
        this->decide(claim.action.id, refusal);
        // A write of it may yet take effect; the release undoes that.
        RecordClaim release;
        release.id = claim.action.id;
        release.organisation = claim.action.organisation;
        release.key = claim.action.key;
        release.result = ResultCode::ClaimStoreUnavailable;
        shard.records.push_back({ std::move(release), now, false });
    }
    shard.claims = std::move(waiting);
}

void ClaimBook::tick(TimePoint now, std::chrono::seconds wallClock)
{
    this->d->wallClock = wallClock;
    for (auto &[key, shard] : this->d->shards) {
        this->d->expire(now, shard);
        this->d->advance(now, key, shard);
    }
}

std::vector<ClaimBookAction> ClaimBook::takeActions()
{
    return std::exchange(this->d->actions, {});
}

std::size_t ClaimBook::inProgress() const
{
    std::size_t count = 0;
    for (const auto &[key, shard] : this->d->shards) {
        count += shard.claims.size() + shard.records.size();
    }
    return count;
}

} // namespace wigeonsill
