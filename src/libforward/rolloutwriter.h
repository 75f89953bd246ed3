/// \file rolloutwriter.h
/// The store's side of the rollouts' owner: acquiring the ownership, keeping it, and writing
/// records.
#pragma once

#include "wigeonsill/forward.h"

namespace wigeonsill {

/// Makes the calls to the store. At most one acquisition, one renewal, and one write for each
/// service are in progress at a time. Not thread-safe.
class RolloutWriter
{
public:
    /// \pre owner outlives this object. \param address "IP:PORT" of this process's UDP socket.
    RolloutWriter(
        Metrics &counters, DecisionLog &decisionLog, RolloutOwner &owner, std::string address);

    /// \pre rolloutStore outlives this object.
    void setStore(RolloutStore &rolloutStore) { this->store = &rolloutStore; }
    void onSnapshot(const RolloutSnapshot &read);
    /// Acquires or renews the ownership. \param isOpen Whether a rollout needs an owner.
    /// \param ownerIsSilent Reports to the owner stay unanswered.
    /// \param uniformRandom Uniformly distributed in [0, 1).
    void updateOwnership(bool isOpen, bool ownerIsSilent, double uniformRandom);
    /// Writes the changes that are due. \pre isOwner().
    void writeChanges();
    /// Asks the store for its changes, unless that was done within the last 500 ms.
    void refresh();
    bool isOwner() const;

private:
    /// Why a service's record is not written now.
    struct WriteState
    {
        bool inProgress = false;
        bool needsSnapshot = false; ///< The outcome of a write has to be read first.
        TimePoint notBefore; ///< Of the next write, or of the snapshot's read.
    };

    void acquire();
    void renew();
    void write(const RolloutRecord &record);
    void onWritten(const RolloutRecord &record, const Result<std::uint64_t> &result);
    void lose(std::string_view why);
    void logOwner(std::string_view change, std::string_view why);
    /// Wraps a handler so that it does nothing once this object is destroyed.
    template <typename Value>
    std::function<void(Result<Value>)> guarded(std::function<void(const Result<Value> &)> handler);

    Metrics &metrics;
    DecisionLog &log;
    RolloutOwner &decisions;
    RolloutStore *store = nullptr;
    std::string ownAddress;
    RolloutOwnership ownership;
    RolloutSnapshot snapshot;
    TimePoint acquiredAt;
    bool acquiring = false;
    bool renewing = false;
    TimePoint nextRenewalAt; ///< After a renewal that failed.
    std::optional<TimePoint> refreshedAt;
    std::map<std::string, WriteState, std::less<>> writes; ///< By service.
    std::shared_ptr<int> alive = std::make_shared<int>();
};

} // namespace wigeonsill
