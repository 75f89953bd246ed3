/// \file entryfloors.h
/// Floors raised by an entry or reported by agents, and the agents' confirmations. See floors.h.
#pragma once

#include "agentdirectory.h"

#include <deque>

namespace wigeonsill {

/// The floors known to one entry. Not thread-safe.
class EntryFloors
{
public:
    /// Raises or renews a floor of this entry. Returns whether the agents must be notified.
    bool raise(TimePoint now, const std::string &pool, Tier lowestServed);
    /// Adds the floors that an agent reported.
    void addReported(TimePoint now, const std::vector<PoolFloor> &floors);
    /// Whether neither an own nor a reported floor excludes the tier.
    bool admits(TimePoint now, const std::string &pool, Tier tier) const;
    /// Time until no floor excludes the tier; 0 when none does.
    Duration remaining(TimePoint now, const std::string &pool, Tier tier) const;

    /// Makes the heartbeat with a new numbered statement of the own floors, for all agents.
    EntryHeartbeat makeStatement(TimePoint now, std::uint64_t configurationRevision);
    /// An agent has confirmed that a statement of this entry is in force there.
    void confirm(TimePoint now, AgentView &agent, std::uint64_t sequence);
    /// Whether every connected agent of the pool that is not draining has confirmed that it serves
    /// nothing below the tier.
    bool allowsShedding(TimePoint now, AgentDirectory &agents, const std::string &pool, Tier tier);
    /// Discards the cached result that all agents have confirmed; needed when an agent joins.
    void resetConfirmations() { this->confirmedUntil.clear(); }

private:
    struct Statement
    {
        std::uint64_t sequence = 0;
        TimePoint madeAt;
        std::vector<PoolFloor> floors;
    };

    FloorTable ownFloors;
    FloorTable reportedFloors;
    std::uint64_t nextSequence = 1;
    std::deque<Statement> statements;
    /// Time until which all agents are known to keep a tier's floor. May be earlier than the actual
    /// time, never later unless an agent joins.
    std::map<std::pair<std::string, Tier>, TimePoint> confirmedUntil;
};

} // namespace wigeonsill
