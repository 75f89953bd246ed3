/// \file sections.cpp
/// Publishing, keeping and adding up sections of the usage.
#include "wigeonsill/exchange.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// Share by which a demand must change to be stated anew.
constexpr double demandChange = 0.05;
/// A demand below this, in tokens or requests a second, is stated as none.
constexpr double smallestDemand = 0.01;
/// An organisation that left is dropped this many states later, a minute at ten states a second.
/// A recipient that is further behind gets all amounts.
constexpr std::uint64_t keptStates = 600;
/// An origin that was not heard for this long is silent: four rounds of messages.
constexpr Duration silenceTime = seconds(1);
/// The entries of a silent section count as cut off for this long, then as killed.
constexpr Duration splitTime = seconds(30);
/// For this long after its first message, a store may not have heard of all sections.
constexpr Duration settlingTime = seconds(1);

bool isChanged(const SectionAmounts &known, const SectionAmounts &amounts)
{
    return known.usage != amounts.usage || (known.demand == 0) != (amounts.demand == 0)
        || std::abs(known.demand - amounts.demand) > demandChange * known.demand;
}

void raise(SectionUsage &highest, const SectionUsage &amounts)
{
    for (const auto &[organisation, use] : amounts) {
        SectionAmounts &record = highest[organisation];
        record.usage = std::max(record.usage, use.usage);
        record.demand = std::max(record.demand, use.demand);
    }
}

void addTo(SectionUsage &sum, const SectionUsage &amounts)
{
    for (const auto &[organisation, use] : amounts) {
        SectionAmounts &record = sum[organisation];
        record.usage += use.usage;
        record.demand += use.demand;
    }
}

/// Adds up two sums of different sections.
SectionSum add(SectionSum left, const SectionSum &right)
{
    addTo(left.amounts, right.amounts);
    left.entries += right.entries;
    left.silentEntries += right.silentEntries;
    left.coverage = std::min(left.coverage, right.coverage);
    return left;
}

} // namespace

void SectionPublisher::set(
    const SectionUsage &amounts, int entryCount, int silentEntryCount, Duration coveredTime)
{
    ++this->state;
    this->entries = entryCount;
    this->silentEntries = silentEntryCount;
    this->coverage = coveredTime;
    for (auto &[organisation, record] : this->records) {
        if (!amounts.contains(organisation) && record.amounts != SectionAmounts{}) {
            record = { {}, this->state };
        }
    }
    for (const auto &[organisation, use] : amounts) {
        const SectionAmounts stated{ use.usage, use.demand < smallestDemand ? 0 : use.demand };
        const auto known = this->records.find(organisation);
        if (known == this->records.end()) {
            if (stated != SectionAmounts{}) {
                this->records[organisation] = { stated, this->state };
            }
        } else if (isChanged(known->second.amounts, stated)) {
            known->second = { stated, this->state };
        }
    }
    this->removeOldest();
}

void SectionPublisher::removeOldest()
{
    if (this->state <= keptStates) {
        return;
    }
    const std::uint64_t oldest = this->state - keptStates;
    std::erase_if(this->records, [this, oldest](const auto &element) {
        const Record &record = element.second;
        if (record.amounts != SectionAmounts{} || record.changedIn > oldest) {
            return false;
        }
        this->removedUntil = std::max(this->removedUntil, record.changedIn);
        return true;
    });
}

SectionUpdate SectionPublisher::updateSince(std::uint64_t acknowledged) const
{
    SectionUpdate update;
    update.section = this->section;
    update.origin = this->origin;
    update.sequence = this->state;
    update.since
        = acknowledged < this->removedUntil || acknowledged > this->state ? 0 : acknowledged;
    update.entries = this->entries;
    update.silentEntries = this->silentEntries;
    update.coverage = this->coverage;
    for (const auto &[organisation, record] : this->records) {
        if (record.changedIn > update.since) {
            update.amounts[organisation] = record.amounts;
        }
    }
    return update;
}

bool SectionStore::adopt(const SectionUpdate &update, TimePoint now)
{
    this->firstHeardAt = this->firstHeardAt.value_or(now);
    Section &section = this->sections[update.section];
    if (section.origins.empty()) {
        section.knownSince = now - update.coverage;
        if (this->infersFromSilence) {
            section.knownSince = std::min(section.knownSince, *this->firstHeardAt);
        }
    } else {
        section.knownSince = std::min(section.knownSince, now - update.coverage);
    }
    const auto known = section.origins.find(update.origin);
    const std::uint64_t have = known == section.origins.end() ? 0 : known->second.sequence;
    if (update.sequence <= have || update.since > have) {
        if (section.origins.empty()) {
            this->sections.erase(update.section);
        }
        return false;
    }
    Origin &origin = section.origins[update.origin];
    if (update.since == 0) {
        origin.amounts.clear();
    }
    for (const auto &[organisation, use] : update.amounts) {
        if (use == SectionAmounts{}) {
            origin.amounts.erase(organisation);
        } else {
            origin.amounts[organisation] = use;
        }
    }
    origin.sequence = update.sequence;
    origin.heardAt = now;
    origin.entries = update.entries;
    origin.silentEntries = update.silentEntries;
    origin.coverage = update.coverage;
    return true;
}

std::uint64_t SectionStore::acknowledged(const std::string &section, std::uint64_t origin) const
{
    const auto found = this->sections.find(section);
    if (found == this->sections.end()) {
        return 0;
    }
    const auto record = found->second.origins.find(origin);
    return record == found->second.origins.end() ? 0 : record->second.sequence;
}

void SectionStore::expire(TimePoint now)
{
    const Duration kept = std::max(this->window + silenceTime, splitTime);
    for (auto section = this->sections.begin(); section != this->sections.end();) {
        std::erase_if(section->second.origins,
            [now, kept](const auto &element) { return now - element.second.heardAt > kept; });
        section = section->second.origins.empty() ? this->sections.erase(section) : ++section;
    }
}

Duration SectionStore::coverageOf(const Section &section, TimePoint now) const
{
    const Duration age = now - this->firstHeardAt.value_or(now);
    const Duration known = now - section.knownSince;
    return age < settlingTime ? std::min(known, age) : known;
}

SectionSum SectionStore::sumOf(const Section &section, TimePoint now) const
{
    SectionSum result;
    result.coverage = this->coverageOf(section, now);
    SectionUsage lost;
    int lostEntries = 0;
    bool heard = false;
    bool complete = false;
    for (const auto &[id, origin] : section.origins) {
        if (now - origin.heardAt < silenceTime) {
            heard = true;
            complete = complete || origin.coverage >= this->window;
            raise(result.amounts, origin.amounts);
            result.entries = std::max(result.entries, origin.entries);
            result.silentEntries = std::max(result.silentEntries, origin.silentEntries);
            continue;
        }
        lostEntries = std::max(lostEntries, origin.entries + origin.silentEntries);
        if (now - origin.heardAt <= this->window + silenceTime) {
            raise(lost, origin.amounts);
        }
    }
    if (!complete) {
        // Nothing is requested at a section that fell silent, as far as this is known.
        for (auto &[organisation, use] : lost) {
            use.demand = 0;
        }
        addTo(result.amounts, lost);
    }
    result.silentEntries += heard ? 0 : lostEntries;
    return result;
}

SectionSum SectionStore::sum(std::string_view prefix, TimePoint now)
{
    this->expire(now);
    SectionSum result;
    result.coverage = Duration::max();
    for (const auto &[name, section] : this->sections) {
        if (name.starts_with(prefix)) {
            result = add(std::move(result), this->sumOf(section, now));
        }
    }
    return result;
}

SectionSum SectionStore::unknownTo(
    const std::string &section, std::uint64_t origin, const SectionSum &total, TimePoint now) const
{
    const auto found = this->sections.find(section);
    if (found == this->sections.end()) {
        return total;
    }
    SectionSum result = total;
    const SectionSum own = this->sumOf(found->second, now);
    result.entries = std::max(result.entries - own.entries, 0);
    const auto stated = found->second.origins.find(origin);
    if (stated == found->second.origins.end()) {
        return result; // Counts its own section twice until its first message.
    }
    for (const auto &[organisation, use] : stated->second.amounts) {
        SectionAmounts &rest = result.amounts[organisation];
        rest.usage = std::max(rest.usage - use.usage, 0.0);
        const auto demand = own.amounts.find(organisation);
        rest.demand = std::max(
            rest.demand - (demand == own.amounts.end() ? 0 : demand->second.demand), 0.0);
    }
    return result;
}

} // namespace wigeonsill
