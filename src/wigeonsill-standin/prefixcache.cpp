/// \file prefixcache.cpp
/// The prefix cache.
#include "prefixcache.h"

namespace wigeonsill {

namespace {

constexpr std::size_t eventLogLimit = 16'384;

} // namespace

std::vector<std::uint64_t> blocksOf(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        hash = stableHash(prompt.substr(at, blockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

PrefixCache::PrefixCache(std::size_t blockLimit)
    : limit(blockLimit)
{
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t count = 0;
    while (count < blocks.size()) {
        const auto found = this->places.find(blocks[count]);
        if (found == this->places.end()) {
            break;
        }
        found->second->reused = true;
        this->order.splice(this->order.begin(), this->order, found->second);
        ++count;
    }
    return count;
}

void PrefixCache::add(TimePoint now, const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        this->touch(now, block);
    }
}

void PrefixCache::touch(TimePoint now, std::uint64_t block)
{
    const auto found = this->places.find(block);
    if (found != this->places.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->places[block] = this->order.insert(this->order.begin(), Place{ block, false });
    this->publish(now, true, block);
    while (this->places.size() > this->limit) {
        const Place oldest = this->order.back();
        this->order.pop_back();
        this->places.erase(oldest.block);
        this->unused += oldest.reused ? 0 : 1;
        this->publish(now, false, oldest.block);
    }
}

void PrefixCache::publish(TimePoint now, bool stored, std::uint64_t block)
{
    this->log.push_back({ ++this->lastEvent, now, stored, block });
    if (this->log.size() > eventLogLimit) {
        this->log.pop_front();
    }
}

} // namespace wigeonsill
