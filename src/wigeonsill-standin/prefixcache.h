/// \file prefixcache.h
/// Prefix cache of the stand-in engine and the log of its changes.
#pragma once

#include "wigeonsill/util.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace wigeonsill {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockTokens = 16;

/// Hashes of the full blocks of a prompt. Each hash covers its block and all preceding ones.
/// Thread-safe.
std::vector<std::uint64_t> hashBlocks(std::string_view prompt);

/// One change of the cache.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< Consecutive, starting at 1.
    TimePoint recordedAt;
    bool stored = false; ///< Whether the block was stored; otherwise it was evicted.
    std::uint64_t block = 0;
};

/// LRU cache of prompt blocks. Not thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t blockLimit);

    /// Returns the number of leading blocks that are cached and marks them as recently used.
    std::size_t matchPrefix(const std::vector<std::uint64_t> &blocks);
    void addBlocks(TimePoint now, const std::vector<std::uint64_t> &blocks);
    std::size_t size() const { return this->positions.size(); }
    /// Number of blocks that were evicted without having been reused.
    std::uint64_t evictedUnused() const { return this->evictedUnusedCount; }
    /// The latest events, oldest first. Earlier events are discarded.
    const std::deque<CacheEvent> &events() const { return this->eventLog; }

private:
    struct CachedBlock
    {
        std::uint64_t block = 0;
        bool reused = false;
    };
    void insertOrRefresh(TimePoint now, std::uint64_t block);
    void recordEvent(TimePoint now, bool stored, std::uint64_t block);

    std::size_t limit;
    std::list<CachedBlock> recencyList; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<CachedBlock>::iterator> positions;
    std::deque<CacheEvent> eventLog;
    std::uint64_t lastSequence = 0;
    std::uint64_t evictedUnusedCount = 0;
};

} // namespace wigeonsill
