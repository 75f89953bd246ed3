/// \file originwriter.cpp
/// When and which origins of streams are written to the store, and what it holds of them.
#include "wigeonsill/versions.h"

#include <algorithm>

namespace wigeonsill {

namespace {

constexpr Duration initialBackoff = milliseconds(250);
constexpr Duration longestBackoff = seconds(2);

} // namespace

void OriginWriter::record(std::uint64_t stream, std::string_view version, TimePoint now)
{
    this->origins.record(stream, version, now);
    this->unwrittenSince = this->unwrittenSince.value_or(now);
}

Duration OriginWriter::period() const
{
    const OriginWriteLimits &bounds = this->limits;
    const double writesPerSecond = this->areSeveralVersions
        ? std::min(bounds.storeWritesPerSecond * bounds.shareOfSeveralVersions,
            bounds.mostWritesOfSeveralVersions)
        : std::min(
            bounds.storeWritesPerSecond * bounds.shareOfOneVersion, bounds.mostWritesOfOneVersion);
    const std::chrono::duration<double> time(this->entries / writesPerSecond);
    return std::max(std::chrono::duration_cast<Duration>(time), shortestPeriod);
}

std::optional<TimePoint> OriginWriter::dueAt() const
{
    if (!this->unwrittenSince || this->isWriting) {
        return std::nullopt;
    }
    TimePoint result = *this->unwrittenSince + gatherTime;
    if (this->begunAt) {
        result = std::max(result, *this->begunAt + this->period());
    }
    return std::max(result, this->retryAt.value_or(result));
}

StreamsByVersion OriginWriter::begin(TimePoint now)
{
    this->isWriting = true;
    this->begunAt = now;
    this->unwrittenSince.reset();
    StreamsByVersion result;
    for (const auto &[stream, version] : this->origins.newest(capacity, memory, now)) {
        result[version].push_back(stream);
    }
    return result;
}

void OriginWriter::end(bool isWritten, TimePoint now)
{
    this->isWriting = false;
    if (isWritten) {
        this->failuresInRow = 0;
        this->retryAt.reset();
        return;
    }
    const Duration delay = initialBackoff * (1 << std::min(this->failuresInRow, 3));
    ++this->failuresInRow;
    this->retryAt = now + std::min(delay, longestBackoff);
    this->invalidate(now);
}

void OriginWriter::invalidate(TimePoint now)
{
    this->unwrittenSince = this->unwrittenSince.value_or(now);
}

StoredOrigin StoredOrigins::find(std::uint64_t stream) const
{
    StoredOrigin result;
    for (const auto &[key, streamsByVersion] : this->streamsByKey) {
        for (const auto &[version, streams] : streamsByVersion) {
            if (std::find(streams.begin(), streams.end(), stream) == streams.end()) {
                continue;
            }
            result.isAmbiguous
                = result.isAmbiguous || (result.version && *result.version != version);
            result.version = version;
        }
    }
    return result;
}

} // namespace wigeonsill
