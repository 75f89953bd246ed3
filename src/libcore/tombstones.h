/// \file tombstones.h
/// Which requests the agent must never start.
#pragma once

#include "wigeonsill/core.h"

#include <set>

namespace wigeonsill {

/// Remembers the requests that were started or refused, in bounded memory: for each entry the
/// newest sequences, and a watermark below which nothing is started any more. Not thread-safe.
class Tombstones
{
public:
    enum class Verdict : std::uint8_t {
        Unseen, ///< Never started, never refused.
        Refused, ///< Refused for ever; it did not run here.
        Started, ///< It was started here once.
        Forgotten, ///< Too old to tell.
    };

    /// \param limit Sequences remembered for each entry.
    explicit Tombstones(std::size_t limit);

    Verdict verdict(const RequestId &id) const;
    /// \pre verdict(id) is Unseen.
    void markStarted(const RequestId &id);
    /// \pre verdict(id) is Unseen, or Started and the target is known never to have got it.
    void markRefused(const RequestId &id);
    /// Keeps of an entry that seems gone only the watermark above everything seen of it.
    void forgetEntry(const Incarnation &entry);
    std::size_t size() const;

private:
    struct EntryRecord
    {
        std::map<std::uint64_t, bool> started; ///< Sequence to started (true) or refused (false).
        std::uint64_t watermark = 0; ///< Sequences below it are forgotten.
    };

    void mark(const RequestId &id, bool started);

    std::size_t limit;
    std::map<Incarnation, EntryRecord> entries;
};

} // namespace wigeonsill
