/// \file agentdirectory.h
/// What an entry knows of the agents.
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
    bool draining = false; ///< By its own word.
    bool leaving = false; ///< By the instance list.
    TimePoint lastHeard;
    TimePoint disconnectedAt;
    AgentHeartbeat load;
    FloorTable confirmedFloors; ///< By its own word, on this process's clock.
    std::set<std::uint64_t> reserved; ///< Sequences of waiting requests reserved there.
    std::set<std::uint64_t> bound; ///< Sequences of requests bound there.

    /// Whether new work may go there.
    bool isUsable() const { return this->connected && !this->draining && !this->leaving; }
    /// Whether a new reservation would be pulled at once, by the last word.
    bool isIdle() const
    {
        return this->load.waiting == 0 && this->reserved.empty()
            && this->load.tokensInFlight * 2 <= this->load.tokenLimit;
    }
};

/// The agents by name and by pool. Not thread-safe.
class AgentDirectory
{
public:
    AgentView &get(const std::string &name) { return this->agents[name]; }
    AgentView *find(const std::string &name);
    /// Puts an agent into the pools that it names.
    void setPools(AgentView &agent, const std::vector<std::string> &pools);
    /// Names of the agents that serve a pool, usable or not.
    const std::vector<std::string> &ofPool(const std::string &pool) const;
    /// The same agents. Valid until the pools of an agent are set.
    const std::vector<AgentView *> &viewsOf(const std::string &pool) const;
    bool hasUsable(const std::string &pool) const;

    std::map<std::string, AgentView> &all() { return this->agents; }
    const std::map<std::string, AgentView> &all() const { return this->agents; }

private:
    std::map<std::string, AgentView> agents;
    std::map<std::string, std::vector<std::string>> pools;
    std::map<std::string, std::vector<AgentView *>> views;
};

} // namespace wigeonsill
