/// \file tombstones.h
/// Record of the requests that an agent must not start any more.
#pragma once

#include "wigeonsill/core.h"

#include <set>

namespace wigeonsill {

/// Records the started and the rejected requests in bounded memory: for each entry the highest
/// sequence numbers, and a watermark below which no request may start. Not thread-safe.
class Tombstones
{
public:
    enum class RequestState : std::uint8_t {
        Unseen, ///< Neither started nor rejected.
        Rejected, ///< Permanently rejected; it did not run here.
        Started, ///< It was started here.
        BelowWatermark, ///< No longer recorded; it may have been started or rejected.
    };

    /// \param limit Sequence numbers recorded for each entry.
    explicit Tombstones(std::size_t limit);

    RequestState requestState(const RequestId &id) const;
    /// \pre requestState(id) is Unseen.
    void markStarted(const RequestId &id);
    /// \pre requestState(id) is Unseen, or Started and it is certain that the target did not
    /// receive it.
    void markRejected(const RequestId &id);
    /// Reduces the record of a lost entry to a watermark above all its recorded sequence numbers.
    void compactEntry(const Incarnation &entry);
    std::size_t size() const;

private:
    struct EntryRecord
    {
        std::map<std::uint64_t, bool> startedBySequence; ///< True: started; false: rejected.
        std::uint64_t watermark = 0; ///< Sequence numbers below it are not recorded.
    };

    void mark(const RequestId &id, bool started);

    std::size_t limit;
    std::map<Incarnation, EntryRecord> entries;
};

} // namespace wigeonsill
