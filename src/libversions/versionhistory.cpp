/// \file versionhistory.cpp
/// The versions of services that served lately.
#include "wigeonsill/versions.h"

#include <algorithm>

namespace wigeonsill {

void VersionHistory::recordListed(const std::vector<Target> &targets, TimePoint now)
{
    this->listed.clear();
    for (const Target &target : targets) {
        this->listed.insert({ target.service, target.version });
    }
    for (const ServiceVersion &version : this->listed) {
        this->lastSeenAt[version] = now;
    }
    std::erase_if(this->lastSeenAt, [this, now](const auto &record) {
        return now - record.second > memory && !this->stored.contains(record.first);
    });
}

void VersionHistory::recordStored(std::set<ServiceVersion> versions, TimePoint now)
{
    this->stored = std::move(versions);
    for (const ServiceVersion &version : this->stored) {
        this->lastSeenAt.try_emplace(version, now);
    }
}

std::set<ServiceVersion> VersionHistory::recent(TimePoint now) const
{
    std::set<ServiceVersion> result;
    for (const auto &[version, seenAt] : this->lastSeenAt) {
        if (now - seenAt <= memory) {
            result.insert(version);
        }
    }
    return result;
}

std::vector<ServiceVersion> VersionHistory::missing() const
{
    std::vector<ServiceVersion> result;
    std::set_difference(this->listed.begin(), this->listed.end(), this->stored.begin(),
        this->stored.end(), std::back_inserter(result));
    return result;
}

std::vector<ServiceVersion> VersionHistory::outdated(TimePoint now) const
{
    std::vector<ServiceVersion> result;
    for (const ServiceVersion &version : this->stored) {
        const bool isReplaced = std::any_of(this->listed.begin(), this->listed.end(),
            [&version](const ServiceVersion &other) { return other.service == version.service; });
        if (isReplaced && now - this->lastSeenAt.at(version) > memory) {
            result.push_back(version);
        }
    }
    return result;
}

std::optional<std::string> onlyVersion(
    const std::set<ServiceVersion> &recent, std::string_view service)
{
    std::optional<std::string> result;
    for (const ServiceVersion &element : recent) {
        if (element.service != service) {
            continue;
        }
        if (result) {
            return std::nullopt;
        }
        result = element.version;
    }
    return result;
}

} // namespace wigeonsill
