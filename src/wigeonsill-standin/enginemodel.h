/// \file enginemodel.h
/// The stand-in engine without its HTTP: continuous batching, prefix cache, counters and faults.
/// It has no clock; its owner passes the time and waits out the length of each step.
#pragma once

#include "prefixcache.h"
#include "standin.h"

#include <unordered_set>

namespace wigeonsill {

/// Faults that a test can switch on.
struct EngineFaults
{
    double slowdown = 1; ///< Factor on the length of each step.
    std::int64_t dieAfterTokens = 0; ///< The next sequence to get there breaks off; 0 for none.
    bool stalled = false; ///< Takes requests and makes no progress.
    bool refuse = false; ///< Closes connections without an answer.
    bool keepStreams = false; ///< A stream runs on without its reader, for a resume.
    Duration cacheEventLag{};
    std::int64_t cacheEventGapEvery = 0; ///< Each n-th cache event is never shown; 0 for none.
    Duration loadLag{};
    bool checkFencing = true; ///< Refuse orders with an old fencing number.
    std::int64_t loseOrderAnswers = 0; ///< Orders that take effect without an answer.
};

/// Changes the faults that a JSON object names.
void updateFaults(EngineFaults &faults, const boost::json::object &body);

enum class SequenceState : std::uint8_t { Queued, Running, Whole, Cancelled, Broken };
inline constexpr std::array sequenceStateNames = {
    EnumName<SequenceState>{ SequenceState::Queued, "queued" },
    EnumName<SequenceState>{ SequenceState::Running, "running" },
    EnumName<SequenceState>{ SequenceState::Whole, "whole" },
    EnumName<SequenceState>{ SequenceState::Cancelled, "cancelled" },
    EnumName<SequenceState>{ SequenceState::Broken, "broken" },
};

/// One request in the engine.
struct EngineSequence
{
    std::vector<std::uint64_t> blocks;
    std::string hash; ///< Of the prompt; begins each word of the answer.
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    double prefillLeft = 0;
    std::int64_t outputTokens = 0;
    std::int64_t produced = 0;
    SequenceState state = SequenceState::Queued;
    std::function<void()> onProgress; ///< Called when produced or state has changed.

    bool isEnded() const { return this->state >= SequenceState::Whole; }
    /// The answer's word at an index.
    std::string word(std::int64_t index) const;
};

/// Prompt work, in tokens.
struct PrefillCounters
{
    std::int64_t computed = 0;
    std::int64_t cached = 0; ///< Taken from the cache.
    std::int64_t repeated = 0; ///< Computed although this engine had computed it before.
    std::int64_t cancelled = 0; ///< Computed for sequences that never ended.
    std::int64_t imported = 0; ///< Came from another engine.
};

/// The engine. Not thread-safe.
class EngineModel
{
public:
    using SequencePointer = std::shared_ptr<EngineSequence>;

    explicit EngineModel(const EngineSettings &settings);

    SequencePointer admit(std::string_view prompt, std::int64_t outputTokens);
    void cancel(const SequencePointer &sequence);
    bool hasWork() const { return !this->running.empty() || !this->queued.empty(); }
    /// Fills the batch and prefills; returns how long the step takes.
    Duration beginStep(TimePoint now);
    /// Each sequence with its prompt done gains one token. \pre beginStep() was called.
    void endStep(TimePoint now);

    /// Takes blocks that another engine had exported.
    void importBlocks(TimePoint now, const std::vector<std::uint64_t> &blocks);
    /// The leading blocks that are cached, for an export.
    std::vector<std::uint64_t> exportBlocks(const std::vector<std::uint64_t> &blocks);
    /// Events above a number that are old enough to be shown.
    boost::json::array cacheEvents(TimePoint now, std::uint64_t after) const;
    /// The load as it was loadLag ago.
    boost::json::object laggingLoad(TimePoint now);
    boost::json::object counters() const;
    /// Blocks that this engine has computed, for figures over a whole fleet.
    const std::unordered_set<std::uint64_t> &computedBlocks() const { return this->everComputed; }

    EngineFaults faults;

private:
    struct LoadPoint
    {
        TimePoint at;
        std::size_t running = 0;
        std::size_t queued = 0;
        std::int64_t tokens = 0;
    };
    void fillBatch();
    double prefill(TimePoint now);
    void endPrefill(TimePoint now, EngineSequence &sequence);
    void recordLoad(TimePoint now);

    EngineSettings settings;
    PrefixCache cache;
    std::list<SequencePointer> queued;
    std::list<SequencePointer> running;
    std::unordered_set<std::uint64_t> everComputed;
    std::deque<LoadPoint> loads;
    PrefillCounters prefillCounters;
    std::int64_t outputTotal = 0;
    std::int64_t requests = 0;
};

} // namespace wigeonsill
