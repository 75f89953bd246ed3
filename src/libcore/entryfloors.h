/// \file entryfloors.h
/// The floors that an entry raises and hears of, and the agents' word on them. See floors.h.
#pragma once

#include "agentdirectory.h"

#include <deque>

namespace wigeonsill {

/// Not thread-safe.
class EntryFloors
{
public:
    /// Raises an own floor or renews it. Returns whether the agents must be told.
    bool raise(TimePoint now, const std::string &pool, Tier lowestServed);
    /// Takes in what an agent said.
    void hear(TimePoint now, const std::vector<PoolFloor> &floors);
    /// Whether neither an own floor nor one heard of stands against a tier.
    bool admits(TimePoint now, const std::string &pool, Tier tier) const;
    /// How long a tier still is below a floor.
    Duration remaining(TimePoint now, const std::string &pool, Tier tier) const;

    /// A new statement of the own floors for all agents.
    EntryHeartbeat makeStatement(TimePoint now, std::uint64_t configurationRevision);
    /// An agent has a statement of this entry in force.
    void confirm(TimePoint now, AgentView &agent, std::uint64_t sequence);
    /// Whether nothing below a tier is served in a pool, by the word of every usable agent.
    bool allowsShedding(TimePoint now, AgentDirectory &agents, const std::string &pool, Tier tier);
    /// An agent has joined, so what all agents said has to be asked again.
    void forgetConsent() { this->consentUntil.clear(); }

private:
    struct Statement
    {
        std::uint64_t sequence = 0;
        TimePoint madeAt;
        std::vector<PoolFloor> floors;
    };

    FloorTable own;
    FloorTable heard;
    std::uint64_t nextSequence = 1;
    std::deque<Statement> statements;
    /// Until when all agents hold a tier's floor. Only ever too early, but for agents that join.
    std::map<std::pair<std::string, Tier>, TimePoint> consentUntil;
};

} // namespace wigeonsill
