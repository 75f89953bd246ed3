/// \file prefixcache.cpp
/// LRU prefix cache with an event log.
#include "prefixcache.h"

namespace wigeonsill {

namespace {

constexpr std::size_t eventLogLimit = 16'384;

} // namespace

std::vector<std::uint64_t> hashBlocks(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t offset = 0; offset + blockBytes <= prompt.size(); offset += blockBytes) {
        hash = stableHash(prompt.substr(offset, blockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

PrefixCache::PrefixCache(std::size_t blockLimit)
    : limit(blockLimit)
{
}

std::size_t PrefixCache::matchPrefix(const std::vector<std::uint64_t> &blocks)
{
    std::size_t count = 0;
    while (count < blocks.size()) {
        const auto found = this->positions.find(blocks[count]);
        if (found == this->positions.end()) {
            break;
        }
        found->second->reused = true;
        this->recencyList.splice(this->recencyList.begin(), this->recencyList, found->second);
        ++count;
    }
    return count;
}

void PrefixCache::addBlocks(TimePoint now, const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        this->insertOrRefresh(now, block);
    }
}

void PrefixCache::insertOrRefresh(TimePoint now, std::uint64_t block)
{
    const auto found = this->positions.find(block);
    if (found != this->positions.end()) {
        this->recencyList.splice(this->recencyList.begin(), this->recencyList, found->second);
        return;
    }
    this->positions[block]
        = this->recencyList.insert(this->recencyList.begin(), CachedBlock{ block, false });
    this->recordEvent(now, true, block);
    while (this->positions.size() > this->limit) {
        const CachedBlock leastRecent = this->recencyList.back();
        this->recencyList.pop_back();
        this->positions.erase(leastRecent.block);
        this->evictedUnusedCount += leastRecent.reused ? 0 : 1;
        this->recordEvent(now, false, leastRecent.block);
    }
}

void PrefixCache::recordEvent(TimePoint now, bool stored, std::uint64_t block)
{
    this->eventLog.push_back({ ++this->lastSequence, now, stored, block });
    if (this->eventLog.size() > eventLogLimit) {
        this->eventLog.pop_front();
    }
}

} // namespace wigeonsill
