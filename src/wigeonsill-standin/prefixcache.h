/// \file prefixcache.h
/// The stand-in engine's prefix cache and the events that it publishes.
#pragma once

#include "wigeonsill/util.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace wigeonsill {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockTokens = 16;

/// Hashes of a prompt's whole blocks; each covers all blocks before it. Thread-safe.
std::vector<std::uint64_t> blocksOf(std::string_view prompt);

/// One change of the cache.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< Counted from 1 without holes.
    TimePoint at;
    bool stored = false; ///< Stored, or else evicted.
    std::uint64_t block = 0;
};

/// Least recently used prompt blocks. Not thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t blockLimit);

    /// Number of leading blocks that are cached.
    std::size_t match(const std::vector<std::uint64_t> &blocks);
    void add(TimePoint now, const std::vector<std::uint64_t> &blocks);
    std::size_t size() const { return this->places.size(); }
    /// Blocks that left the cache without a second use.
    std::uint64_t evictedUnused() const { return this->unused; }
    /// The newest events, oldest first; older ones are gone.
    const std::deque<CacheEvent> &events() const { return this->log; }

private:
    struct Place
    {
        std::uint64_t block = 0;
        bool reused = false;
    };
    void touch(TimePoint now, std::uint64_t block);
    void publish(TimePoint now, bool stored, std::uint64_t block);

    std::size_t limit;
    std::list<Place> order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Place>::iterator> places;
    std::deque<CacheEvent> log;
    std::uint64_t lastEvent = 0;
    std::uint64_t unused = 0;
};

} // namespace wigeonsill
