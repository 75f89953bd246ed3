/// \file prefixdirectory.h
/// Record of the prompt prefixes sent to each agent.
#pragma once

#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// An agent whose target probably has a prefix in its cache.
struct PrefixHolder
{
    std::string agent;
    TimePoint lastUsed;
};

/// Records which agents received which prompt prefixes. Targets do not report cache evictions in
/// time, so holders expire by age. Memory is bounded; the least recently used prefix is evicted
/// first. Not thread-safe.
class PrefixDirectory
{
public:
    explicit PrefixDirectory(std::size_t maximumPrefixes);

    /// Records that a prompt with these prefixes was sent to an agent.
    void recordPrefixes(
        TimePoint now, const std::string &agent, const std::vector<std::uint64_t> &hashes);
    /// Holders of the longest known prefix, most recently used first; empty when none is known.
    std::vector<PrefixHolder> holders(
        TimePoint now, const std::vector<std::uint64_t> &hashes) const;
    /// Removes an agent as a holder, because it was restarted.
    void removeAgent(const std::string &agent);

    std::size_t size() const { return this->byHash.size(); }

private:
    struct Prefix
    {
        std::uint64_t hash = 0;
        std::vector<PrefixHolder> holders; ///< Most recently used first.
    };

    std::size_t maximumPrefixes;
    std::list<Prefix> prefixes; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> byHash;
};

} // namespace wigeonsill
