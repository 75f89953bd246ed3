/// \file agentdirectory.h
/// Agents known to an entry.
#pragma once

#include "floors.h"

#include <set>

namespace wigeonsill {

/// One agent as seen by an entry.
struct AgentView
{
    std::string name;
    Incarnation incarnation;
    Location location;
    std::vector<std::string> pools;
    bool connected = false;
    bool draining = false; ///< As reported by the agent.
    bool leaving = false; ///< As marked in the instance list.
    TimePoint lastMessageAt; ///< Time of the last message.
    TimePoint disconnectedAt;
    AgentHeartbeat load; ///< Last heartbeat.
    FloorTable confirmedFloors; ///< As confirmed by the agent, on this process's clock.
    std::set<std::uint64_t> reserved; ///< Sequence numbers of waiting requests reserved there.
    std::set<std::uint64_t> bound; ///< Sequence numbers of requests bound there.

    /// Whether new requests may be reserved or dispatched there.
    bool isUsable() const { return this->connected && !this->draining && !this->leaving; }
    /// Whether a new reservation would probably be pulled at once, judging by the last heartbeat.
    bool isIdle() const
    {
        return this->load.waiting == 0 && this->reserved.empty()
            && this->load.tokensInFlight * 2 <= this->load.tokenLimit;
    }
};

/// Agents by name and by pool. Not thread-safe.
class AgentDirectory
{
public:
    /// Returns the agent, which is added when the name is unknown.
    AgentView &get(const std::string &name) { return this->agents[name]; }
    /// Returns the agent, or nullptr when the name is unknown.
    AgentView *find(const std::string &name);
    /// Replaces the pools that an agent serves.
    void setPools(AgentView &agent, const std::vector<std::string> &pools);
    /// Names of the agents that serve a pool, usable or not. Same validity as agentsInPool().
    const std::vector<std::string> &namesInPool(const std::string &pool) const;
    /// The agents that serve a pool, usable or not. Valid until the next call of setPools().
    const std::vector<AgentView *> &agentsInPool(const std::string &pool) const;
    bool hasUsable(const std::string &pool) const;

    std::map<std::string, AgentView> &all() { return this->agents; }
    const std::map<std::string, AgentView> &all() const { return this->agents; }

private:
    std::map<std::string, AgentView> agents;
    std::map<std::string, std::vector<std::string>> namesByPool;
    std::map<std::string, std::vector<AgentView *>> viewsByPool;
};

} // namespace wigeonsill
