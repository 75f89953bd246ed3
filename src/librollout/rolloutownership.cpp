/// \file rolloutownership.cpp
/// When a process tries to own the rollouts, and when it no longer does.
#include "wigeonsill/rollout.h"

namespace wigeonsill {

namespace {

/// Range of the time before a first attempt, so that few processes try at one moment.
constexpr Duration firstAttemptRange = milliseconds(1'200);
/// Subtracted from the lease: the time on the way of a renewal and a late timer.
constexpr Duration leaseMargin = milliseconds(200);

Duration scaled(Duration time, double share)
{
    return std::chrono::duration_cast<Duration>(time * share);
}

} // namespace

OwnershipStep RolloutOwnership::nextStep(bool rolloutActive, const RolloutSnapshot &snapshot,
    bool ownerIsSilent, double uniformRandom, TimePoint now)
{
    if (this->isOwner(now)) {
        // Without a rollout the lease is left to lapse: an idle deployment makes no calls.
        return rolloutActive && now - *this->renewedAt >= renewInterval ? OwnershipStep::Renew
                                                                        : OwnershipStep::Nothing;
    }
    const bool isOwned = snapshot.ownerRevision != 0 && !ownerIsSilent;
    if (!rolloutActive || isOwned) {
        this->nextAttemptAt.reset();
        return OwnershipStep::Nothing;
    }
    if (!this->nextAttemptAt) {
        this->nextAttemptAt = now + scaled(firstAttemptRange, uniformRandom);
    }
    if (now < *this->nextAttemptAt) {
        return OwnershipStep::Nothing;
    }
    this->nextAttemptAt = now + acquireInterval + scaled(acquireInterval, uniformRandom);
    return OwnershipStep::Acquire;
}

void RolloutOwnership::recordAcquired(
    std::uint64_t ownerRevision, std::string leaseId, TimePoint sentAt)
{
    this->revision = ownerRevision;
    this->lease = std::move(leaseId);
    this->renewedAt = sentAt;
    this->nextAttemptAt.reset();
}

void RolloutOwnership::recordAcquisitionFailed(TimePoint now)
{
    this->nextAttemptAt = now + acquireInterval;
}

void RolloutOwnership::recordRenewed(TimePoint sentAt)
{
    if (this->renewedAt && sentAt > *this->renewedAt) {
        this->renewedAt = sentAt;
    }
}

void RolloutOwnership::recordLost()
{
    this->revision = 0;
    this->lease.clear();
    this->renewedAt.reset();
}

bool RolloutOwnership::isOwner(TimePoint now) const
{
    return this->renewedAt && now - *this->renewedAt < leaseTime - leaseMargin;
}

} // namespace wigeonsill
