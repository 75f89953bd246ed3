/// \file rolloutwriter.cpp
/// Calls of the rollouts' owner to the store.
#include "rolloutwriter.h"

namespace wigeonsill {

namespace {

/// Each read is a call that costs money, and some hundred entries may ask.
constexpr Duration refreshInterval = milliseconds(500);
/// Time after a call that failed or was turned away until it is made again.
constexpr Duration callRetryDelay = milliseconds(250);

/// The time of a clock that counts suspension, so that a lease is known to have lapsed.
TimePoint bootTime()
{
    return TimePoint(timeSinceBoot());
}

} // namespace

RolloutWriter::RolloutWriter(
    Metrics &counters, DecisionLog &decisionLog, RolloutOwner &owner, std::string address)
    : metrics(counters)
    , log(decisionLog)
    , decisions(owner)
    , ownAddress(std::move(address))
{
}

template <typename Value>
std::function<void(Result<Value>)> RolloutWriter::guarded(
    std::function<void(const Result<Value> &)> handler)
{
    return [life = std::weak_ptr<int>(this->alive), handler = std::move(handler)](
               const Result<Value> &result) {
        if (!life.expired()) {
            handler(result);
        }
    };
}

bool RolloutWriter::isOwner() const
{
    return this->ownership.isOwner(bootTime());
}

void RolloutWriter::logOwner(std::string_view change, std::string_view why)
{
    DecisionLine line("entry", "rollout-owner");
    line.text("change", change).text("address", this->ownAddress);
    line.number("owner_revision", static_cast<double>(this->ownership.ownerRevision()));
    if (!why.empty()) {
        line.text("why", why);
    }
    this->log.stateChange(line);
}

void RolloutWriter::lose(std::string_view why)
{
    this->logOwner("lost", why);
    this->ownership.recordLost();
}

void RolloutWriter::onSnapshot(const RolloutSnapshot &read)
{
    this->snapshot = read;
    const bool isNewer = read.readAt >= this->acquiredAt;
    if (this->isOwner() && isNewer && read.ownerRevision != this->ownership.ownerRevision()) {
        this->lose("the store has another owner, or none");
    }
    for (auto &[service, state] : this->writes) {
        state.needsSnapshot = state.needsSnapshot && read.readAt < state.notBefore;
    }
}

void RolloutWriter::refresh()
{
    const TimePoint now = currentTime();
    if (this->store == nullptr
        || (this->refreshedAt && now - *this->refreshedAt < refreshInterval)) {
        return;
    }
    this->refreshedAt = now;
    this->store->refresh();
}

void RolloutWriter::updateOwnership(bool isOpen, bool ownerIsSilent, double uniformRandom)
{
    if (this->store == nullptr || !isOpen) {
        return; // The lease lapses, so that an idle deployment makes no calls.
    }
    const bool isUnowned = this->snapshot.ownerRevision == 0 || ownerIsSilent;
    if (isUnowned && !this->isOwner()) {
        this->refresh();
    }
    const OwnershipStep step = this->ownership.nextStep(
        isOpen, this->snapshot, ownerIsSilent, uniformRandom, bootTime());
    if (step == OwnershipStep::Acquire && !this->acquiring) {
        this->acquire();
    } else if (step == OwnershipStep::Renew && !this->renewing
        && currentTime() >= this->nextRenewalAt) {
        this->renew();
    }
}

void RolloutWriter::acquire()
{
    this->acquiring = true;
    const TimePoint sentAt = bootTime();
    this->store->acquire(this->ownAddress,
        this->guarded<RolloutStore::Acquired>(
            [this, sentAt](const Result<RolloutStore::Acquired> &result) {
                this->acquiring = false;
                if (result) {
                    this->ownership.recordAcquired(
                        result.value().ownerRevision, result.value().leaseId, sentAt);
                    // A read that was sent before may still lack the key.
                    this->acquiredAt = currentTime();
                    this->logOwner("acquired", {});
                    this->refreshedAt.reset();
                } else {
                    this->ownership.recordAcquisitionFailed(bootTime());
                    this->metrics.count("wigeonsill_rollout_acquisitions_failed_total");
                }
                this->refresh();
            }));
}

void RolloutWriter::renew()
{
    this->renewing = true;
    const TimePoint sentAt = bootTime();
    const std::string lease = this->ownership.leaseId();
    this->store->renew(
        lease, this->guarded<bool>([this, sentAt, lease](const Result<bool> &result) {
            this->renewing = false;
            if (lease != this->ownership.leaseId()) {
                return;
            }
            if (result) {
                this->ownership.recordRenewed(sentAt);
                return;
            }
            this->nextRenewalAt = currentTime() + callRetryDelay;
            if (result.error().code == ResultCode::StoreConflict) {
                this->lose("the lease has ended");
                this->refresh();
            }
        }));
}

void RolloutWriter::writeChanges()
{
    const TimePoint now = currentTime();
    for (const RolloutRecord &record : this->decisions.changes(now)) {
        const WriteState &state = this->writes[record.service];
        if (state.needsSnapshot) {
            this->refresh();
        } else if (!state.inProgress && now >= state.notBefore) {
            this->write(record);
        }
    }
}

void RolloutWriter::write(const RolloutRecord &record)
{
    this->writes[record.service].inProgress = true;
    this->store->write(record, this->ownership.ownerRevision(),
        this->guarded<std::uint64_t>([this, record](const Result<std::uint64_t> &result) {
            this->onWritten(record, result);
        }));
}

void RolloutWriter::onWritten(const RolloutRecord &record, const Result<std::uint64_t> &result)
{
    const TimePoint now = currentTime();
    WriteState &state = this->writes[record.service];
    state.inProgress = false;
    const std::string_view outcome = result                   ? "written"
        : result.error().code == ResultCode::StoreConflict    ? "conflict"
        : result.error().code == ResultCode::StoreRateLimited ? "rate-limited"
                                                              : "unavailable";
    this->metrics.count(
        "wigeonsill_rollout_writes_total", "result=\"" + std::string(outcome) + "\"");
    if (!result && result.error().code == ResultCode::StoreRateLimited) {
        state.notBefore = now + callRetryDelay; // Nothing was done.
        return;
    }
    if (!result) {
        // It may have been written, or the known revisions are not the store's.
        state.needsSnapshot = true;
        state.notBefore = now;
        this->refresh();
        return;
    }
    const RolloutEvidence evidence = this->decisions.evidence(record.service);
    this->decisions.recordWritten(record, result.value(), now);
    DecisionLine line("entry", "rollout-stage");
    line.text("service", record.service)
        .text("target", record.targetVersion)
        .text("stage", enumName(rolloutStageNames, record.stage))
        .text("by", "owner")
        .text("reason", record.reason)
        .number("sent_to_old", static_cast<double>(evidence.sentToOld))
        .number("sent_to_target", static_cast<double>(evidence.sentToTarget));
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    for (const auto &[route, counts] : evidence.targetByRoute) {
        answers += counts.answers;
        failures += counts.failures;
    }
    line.number("answers", static_cast<double>(answers))
        .number("failures", static_cast<double>(failures))
        .number(
            "entries", static_cast<double>(this->decisions.reportingEntries(record.service, now)))
        .ms("age_ms", this->decisions.directive(record.service, now).orderAge);
    this->log.stateChange(line);
    this->refreshedAt.reset();
    this->refresh();
}

} // namespace wigeonsill
