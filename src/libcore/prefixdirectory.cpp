/// \file prefixdirectory.cpp
/// Record of the prompt prefixes sent to each agent.
#include "prefixdirectory.h"

#include <algorithm>
#include <ranges>

namespace wigeonsill {

namespace {

constexpr Duration maximumAge = seconds(300);
constexpr std::size_t maximumHolders = 4; ///< Of one prefix.

} // namespace

PrefixDirectory::PrefixDirectory(std::size_t prefixLimit)
    : maximumPrefixes(prefixLimit)
{
}

void PrefixDirectory::recordPrefixes(
    TimePoint now, const std::string &agent, const std::vector<std::uint64_t> &hashes)
{
    for (const std::uint64_t hash : hashes) {
        const auto found = this->byHash.find(hash);
        if (found != this->byHash.end()) {
            this->prefixes.splice(this->prefixes.begin(), this->prefixes, found->second);
        } else {
            this->prefixes.push_front({ hash, {} });
            this->byHash[hash] = this->prefixes.begin();
        }
        std::vector<PrefixHolder> &holders = this->prefixes.front().holders;
        std::erase_if(
            holders, [&agent](const PrefixHolder &holder) { return holder.agent == agent; });
        holders.insert(holders.begin(), { agent, now });
        holders.resize(std::min(holders.size(), maximumHolders));
    }
    while (this->prefixes.size() > this->maximumPrefixes) {
        this->byHash.erase(this->prefixes.back().hash);
        this->prefixes.pop_back();
    }
}

std::vector<PrefixHolder> PrefixDirectory::holders(
    TimePoint now, const std::vector<std::uint64_t> &hashes) const
{
    for (const std::uint64_t hash : std::views::reverse(hashes)) {
        const auto found = this->byHash.find(hash);
        if (found == this->byHash.end()) {
            continue;
        }
        std::vector<PrefixHolder> recent = found->second->holders;
        std::erase_if(recent,
            [now](const PrefixHolder &holder) { return now - holder.lastUsed > maximumAge; });
        if (!recent.empty()) {
            return recent;
        }
    }
    return {};
}

void PrefixDirectory::removeAgent(const std::string &agent)
{
    for (Prefix &prefix : this->prefixes) {
        std::erase_if(
            prefix.holders, [&agent](const PrefixHolder &holder) { return holder.agent == agent; });
    }
}

} // namespace wigeonsill
