/// \file prefixdirectory.h
/// Which agents were given which prompt prefixes.
#pragma once

#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// An agent that probably holds a prefix in its cache.
struct PrefixHolder
{
    std::string agent;
    TimePoint lastUsed;
};

/// What an entry remembers of the prompts that it handed over. Targets evict without telling in
/// time, so that a prefix is forgotten by age; memory is bounded, and the prefix that was not used
/// for longest goes first. Not thread-safe.
class PrefixDirectory
{
public:
    explicit PrefixDirectory(std::size_t maximumPrefixes);

    /// An agent was given a prompt with these prefixes.
    void remember(
        TimePoint now, const std::string &agent, const std::vector<std::uint64_t> &hashes);
    /// Holders of the longest known prefix, the last used first; empty when none is known.
    std::vector<PrefixHolder> holders(
        TimePoint now, const std::vector<std::uint64_t> &hashes) const;
    /// An agent has begun a new life.
    void forgetAgent(const std::string &agent);

    std::size_t size() const { return this->byHash.size(); }

private:
    struct Prefix
    {
        std::uint64_t hash = 0;
        std::vector<PrefixHolder> holders; ///< The last used first.
    };

    std::size_t maximumPrefixes;
    std::list<Prefix> prefixes; ///< The last used first.
    std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> byHash;
};

} // namespace wigeonsill
