/// \file answeredparts.cpp
/// Memory of the prompt parts that targets have answered on.
#include "wigeonsill/quarantine.h"

#include <algorithm>

namespace wigeonsill {

PartSet makePartSet(std::vector<std::uint64_t> ids)
{
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

void AnsweredParts::Memory::removeOldest(TimePoint now)
{
    std::erase_if(
        this->answeredAt, [now](const auto &record) { return now - record.second > memoryTime; });
    if (this->answeredAt.size() < maximumPerOrganisation) {
        return;
    }
    // A quarter at once, so that this is seldom done.
    std::vector<TimePoint> times;
    times.reserve(this->answeredAt.size());
    for (const auto &[part, at] : this->answeredAt) {
        times.push_back(at);
    }
    const auto quarter = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::nth_element(times.begin(), quarter, times.end());
    const TimePoint oldestKept = *quarter;
    std::erase_if(
        this->answeredAt, [oldestKept](const auto &record) { return record.second < oldestKept; });
    while (this->answeredAt.size() >= maximumPerOrganisation) {
        this->answeredAt.erase(this->answeredAt.begin());
    }
}

void AnsweredParts::record(std::uint64_t organisation, const PartSet &parts, TimePoint now)
{
    if (!this->organisations.contains(organisation)
        && this->organisations.size() >= maximumOrganisations) {
        this->organisations.erase(std::min_element(this->organisations.begin(),
            this->organisations.end(), [](const auto &left, const auto &right) {
                return left.second.usedAt < right.second.usedAt;
            }));
    }
    Memory &memory = this->organisations[organisation];
    memory.usedAt = now;
    for (const std::uint64_t part : parts) {
        memory.answeredAt[part] = now;
    }
    if (memory.answeredAt.size() >= maximumPerOrganisation) {
        memory.removeOldest(now);
    }
}

bool AnsweredParts::contains(std::uint64_t part, TimePoint now) const
{
    return std::any_of(
        this->organisations.begin(), this->organisations.end(), [part, now](const auto &record) {
            const auto found = record.second.answeredAt.find(part);
            return found != record.second.answeredAt.end() && now - found->second <= memoryTime;
        });
}

} // namespace wigeonsill
