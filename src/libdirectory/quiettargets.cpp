/// \file quiettargets.cpp
/// Targets that asked for a time without requests.
#include "wigeonsill/directory.h"

#include <algorithm>

namespace wigeonsill {

bool QuietTargets::recordQuiet(const Target &target, Duration time, int ownRequests, TimePoint now)
{
    if (time <= Duration::zero()) {
        return false;
    }
    const Record *known = this->find(target);
    const bool wasQuiet = known != nullptr && now < known->quietUntil;
    Record record;
    record.startedMs = target.startedMs;
    record.quietUntil = now + std::min(time, longestTime);
    if (wasQuiet) {
        record.quietUntil = std::max(record.quietUntil, known->quietUntil);
    }
    record.earlierRequests = ownRequests;
    this->records[target.id] = record;
    return !wasQuiet;
}

Duration QuietTargets::remaining(const Target &target, TimePoint now) const
{
    const Record *record = this->find(target);
    return record == nullptr ? Duration::zero()
                             : std::max<Duration>(record->quietUntil - now, Duration::zero());
}

bool QuietTargets::admits(const Target &target, int ownRequests, TimePoint now)
{
    if (this->find(target) == nullptr) {
        return true;
    }
    Record &record = this->records.find(target.id)->second;
    record.earlierRequests = std::min(record.earlierRequests, ownRequests);
    return now >= record.quietUntil && ownRequests < record.earlierRequests + record.probeLimit;
}

void QuietTargets::recordSuccess(const Target &target, TimePoint sentAt)
{
    if (this->find(target) == nullptr) {
        return;
    }
    Record &record = this->records.find(target.id)->second;
    if (sentAt < record.quietUntil) {
        return;
    }
    ++record.probeLimit;
    if (record.probeLimit > target.slots) {
        this->records.erase(target.id);
    }
}

std::optional<Duration> QuietTargets::untilAnyWantsRequests(
    const std::vector<const Target *> &targets, TimePoint now) const
{
    std::optional<Duration> shortest;
    for (const Target *target : targets) {
        const Duration time = this->remaining(*target, now);
        if (time == Duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(time), time);
    }
    return shortest;
}

void QuietTargets::forgetUnlisted(const TargetDirectory &directory, TimePoint now)
{
    std::erase_if(this->records, [&directory, now](const auto &element) {
        return now >= element.second.quietUntil && directory.find(element.first) == nullptr;
    });
}

const QuietTargets::Record *QuietTargets::find(const Target &target) const
{
    const auto found = this->records.find(target.id);
    const bool known = found != this->records.end() && found->second.startedMs == target.startedMs;
    return known ? &found->second : nullptr;
}

} // namespace wigeonsill
