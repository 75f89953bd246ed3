/// \file enginemodel.h
/// Model of an inference engine without HTTP: continuous batching, prefix cache, counters and fault
/// injection. It has no clock of its own: the owner passes the time in and waits for the duration
/// of each step.
#pragma once

#include "prefixcache.h"
#include "standin.h"

#include <unordered_set>

namespace wigeonsill {

/// Faults that a test can inject.
struct EngineFaults
{
    double slowdown = 1; ///< Multiplies the duration of each step.
    std::int64_t dieAfterTokens = 0; ///< Interrupts the next sequence this long; 0 for none.
    bool stalled = false; ///< Accepts requests but makes no progress.
    bool refuse = false; ///< Closes connections without an answer.
    bool keepStreams = false; ///< Continues a sequence after its client disconnects, for a resume.
    Duration cacheEventLag{};
    std::int64_t cacheEventGapEvery = 0; ///< Omits every n-th cache event; 0 for none.
    Duration loadLag{};
    bool checkFencing = true; ///< Refuses orders with an old fencing number.
    std::int64_t loseOrderAnswers = 0; ///< Applies this many orders without answering.
};

/// Updates the faults named in a JSON object and keeps the others.
void updateFaults(EngineFaults &faults, const boost::json::object &body);

enum class SequenceState : std::uint8_t { Queued, Running, Complete, Cancelled, Interrupted };
inline constexpr std::array sequenceStateNames = {
    EnumName<SequenceState>{ SequenceState::Queued, "queued" },
    EnumName<SequenceState>{ SequenceState::Running, "running" },
    EnumName<SequenceState>{ SequenceState::Complete, "whole" },
    EnumName<SequenceState>{ SequenceState::Cancelled, "cancelled" },
    EnumName<SequenceState>{ SequenceState::Interrupted, "broken" },
};

/// One request being processed by the engine.
struct EngineSequence
{
    std::vector<std::uint64_t> blocks;
    std::string promptHash; ///< Prefix of each word of the answer.
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    double prefillTokensLeft = 0;
    std::int64_t outputTokens = 0;
    std::int64_t produced = 0;
    SequenceState state = SequenceState::Queued;
    std::function<void()> onProgress; ///< Called when produced or state has changed.

    bool isEnded() const { return this->state >= SequenceState::Complete; }
    /// Word of the answer at an index.
    std::string outputWord(std::int64_t index) const;
};

/// Counters of prompt processing, in tokens.
struct PrefillCounters
{
    std::int64_t computed = 0;
    std::int64_t cached = 0; ///< Found in the prefix cache.
    std::int64_t repeated = 0; ///< Computed again after this engine had computed it before.
    std::int64_t cancelled = 0; ///< Computed for sequences that were cancelled or interrupted.
    std::int64_t imported = 0; ///< Imported from another engine.
};

/// The engine model. Not thread-safe.
class EngineModel
{
public:
    using SequencePointer = std::shared_ptr<EngineSequence>;

    explicit EngineModel(const EngineSettings &settings);

    SequencePointer admit(std::string_view prompt, std::int64_t outputTokens);
    void cancel(const SequencePointer &sequence);
    bool hasWork() const { return !this->running.empty() || !this->queued.empty(); }
    /// Fills the batch and computes prompt tokens. Returns the duration of the step.
    Duration beginStep(TimePoint now);
    /// Adds one token to each sequence whose prefill is complete. \pre beginStep() was called.
    void endStep(TimePoint now);

    /// Adds blocks exported by another engine to the cache.
    void importBlocks(TimePoint now, const std::vector<std::uint64_t> &blocks);
    /// Returns the leading blocks that are cached.
    std::vector<std::uint64_t> exportBlocks(const std::vector<std::uint64_t> &blocks);
    /// Cache events with a sequence number above \p after; the faults delay and omit some.
    boost::json::array cacheEvents(TimePoint now, std::uint64_t after) const;
    /// The load as it was EngineFaults::loadLag ago.
    boost::json::object delayedLoad(TimePoint now);
    boost::json::object counters() const;
    /// All blocks that this engine has ever computed, for statistics over several engines.
    const std::unordered_set<std::uint64_t> &computedBlocks() const
    {
        return this->computedBlockSet;
    }

    EngineFaults faults;

private:
    struct LoadSample
    {
        TimePoint recordedAt;
        std::size_t running = 0;
        std::size_t queued = 0;
        std::int64_t tokens = 0;
    };
    void fillBatch();
    double prefill(TimePoint now);
    void finishPrefill(TimePoint now, EngineSequence &sequence);
    void recordLoad(TimePoint now);

    EngineSettings settings;
    PrefixCache cache;
    std::list<SequencePointer> queued;
    std::list<SequencePointer> running;
    std::unordered_set<std::uint64_t> computedBlockSet;
    std::deque<LoadSample> loadHistory;
    PrefillCounters prefillCounters;
    std::int64_t producedTokens = 0;
    std::int64_t requests = 0;
};

} // namespace wigeonsill
