/// \file enginemodel.cpp
/// Batching, prefill and counters of the engine model.
#include "enginemodel.h"

#include <cstdio>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr double prefillTokensPerStep = 512;
constexpr std::uint64_t answerHashMask = 0xFFFFFFFFULL;
constexpr std::size_t loadHistoryLimit = 65'536;

bool flagMember(const json::object &object, std::string_view key, bool fallback)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

Duration millisecondsMember(const json::object &object, std::string_view key, Duration fallback)
{
    return milliseconds(
        std::int64_t(numberMember(object, key, double(fallback / milliseconds(1)))));
}

} // namespace

void updateFaults(EngineFaults &faults, const json::object &body)
{
    faults.slowdown = numberMember(body, "slowdown", faults.slowdown);
    faults.dieAfterTokens
        = std::int64_t(numberMember(body, "dieAfterTokens", double(faults.dieAfterTokens)));
    faults.stalled = flagMember(body, "stalled", faults.stalled);
    faults.refuse = flagMember(body, "refuse", faults.refuse);
    faults.keepStreams = flagMember(body, "keepStreams", faults.keepStreams);
    faults.cacheEventLag = millisecondsMember(body, "cacheEventLagMs", faults.cacheEventLag);
    faults.cacheEventGapEvery
        = std::int64_t(numberMember(body, "cacheEventGapEvery", double(faults.cacheEventGapEvery)));
    faults.loadLag = millisecondsMember(body, "loadLagMs", faults.loadLag);
    faults.checkFencing = flagMember(body, "checkFencing", faults.checkFencing);
    faults.loseOrderAnswers
        = std::int64_t(numberMember(body, "loseOrderAnswers", double(faults.loseOrderAnswers)));
}

std::string EngineSequence::outputWord(std::int64_t index) const
{
    return this->promptHash + ":" + std::to_string(index) + " ";
}

EngineModel::EngineModel(const EngineSettings &engineSettings)
    : settings(engineSettings)
    , cache(std::size_t(engineSettings.cacheTokens) / blockTokens)
{
}

EngineModel::SequencePointer EngineModel::admit(std::string_view prompt, std::int64_t outputTokens)
{
    auto sequence = std::make_shared<EngineSequence>();
    sequence->blocks = hashBlocks(prompt);
    std::array<char, 17> hashDigits{};
    std::snprintf(hashDigits.data(), hashDigits.size(), "%08llx",
        static_cast<unsigned long long>(stableHash(prompt) & answerHashMask));
    sequence->promptHash = hashDigits.data();
    sequence->promptTokens = std::int64_t(prompt.size() / bytesPerToken) + 1;
    sequence->outputTokens = std::max<std::int64_t>(1, outputTokens);
    this->queued.push_back(sequence);
    ++this->requests;
    return sequence;
}

void EngineModel::cancel(const SequencePointer &sequence)
{
    if (sequence->isEnded()) {
        return;
    }
    if (sequence->state == SequenceState::Running) {
        this->prefillCounters.cancelled += sequence->promptTokens - sequence->cachedTokens
            - std::int64_t(sequence->prefillTokensLeft);
    }
    sequence->state = SequenceState::Cancelled;
    if (sequence->onProgress) {
        sequence->onProgress();
    }
}

Duration EngineModel::beginStep(TimePoint now)
{
    this->fillBatch();
    const double prefilled = this->prefill(now);
    this->recordLoad(now);
    const double decodeMs
        = this->settings.stepMs + this->settings.stepMsPerSequence * double(this->running.size());
    const double prefillMs = prefilled / this->settings.prefillTokensPerSecond * 1000;
    return Duration(std::int64_t((decodeMs + prefillMs) * this->faults.slowdown * 1000));
}

void EngineModel::fillBatch()
{
    const auto ended = [](const SequencePointer &sequence) { return sequence->isEnded(); };
    std::erase_if(this->queued, ended);
    std::erase_if(this->running, ended);
    while (
        !this->queued.empty() && std::int64_t(this->running.size()) < this->settings.maximumBatch) {
        const SequencePointer sequence = this->queued.front();
        this->queued.pop_front();
        const std::size_t matchedBlocks = this->cache.matchPrefix(sequence->blocks);
        sequence->cachedTokens = std::int64_t(matchedBlocks * blockTokens);
        sequence->prefillTokensLeft = double(sequence->promptTokens - sequence->cachedTokens);
        sequence->state = SequenceState::Running;
        this->prefillCounters.cached += sequence->cachedTokens;
        this->running.push_back(sequence);
    }
}

/// Computes up to one step's limit of prompt tokens, oldest sequence first. Returns their number.
double EngineModel::prefill(TimePoint now)
{
    double tokenBudget = prefillTokensPerStep;
    for (const SequencePointer &sequence : this->running) {
        const double chunkTokens = std::min(tokenBudget, sequence->prefillTokensLeft);
        if (chunkTokens <= 0) {
            continue;
        }
        sequence->prefillTokensLeft -= chunkTokens;
        tokenBudget -= chunkTokens;
        this->prefillCounters.computed += std::int64_t(chunkTokens);
        if (sequence->prefillTokensLeft <= 0) {
            this->finishPrefill(now, *sequence);
        }
    }
    return prefillTokensPerStep - tokenBudget;
}

void EngineModel::finishPrefill(TimePoint now, EngineSequence &sequence)
{
    const std::size_t cachedBlocks = std::size_t(sequence.cachedTokens) / blockTokens;
    for (std::size_t i = cachedBlocks; i < sequence.blocks.size(); ++i) {
        const bool isNew = this->computedBlockSet.insert(sequence.blocks[i]).second;
        this->prefillCounters.repeated += isNew ? 0 : std::int64_t(blockTokens);
    }
    this->cache.addBlocks(now, sequence.blocks);
}

void EngineModel::endStep(TimePoint now)
{
    for (const SequencePointer &sequence : this->running) {
        if (sequence->isEnded() || sequence->prefillTokensLeft > 0) {
            continue;
        }
        ++sequence->produced;
        ++this->producedTokens;
        if (sequence->produced >= sequence->outputTokens) {
            sequence->state = SequenceState::Complete;
        } else if (this->faults.dieAfterTokens > 0
            && sequence->produced >= this->faults.dieAfterTokens) {
            this->faults.dieAfterTokens = 0;
            this->prefillCounters.cancelled += sequence->promptTokens - sequence->cachedTokens;
            sequence->state = SequenceState::Interrupted;
        }
        if (sequence->onProgress) {
            sequence->onProgress();
        }
    }
    std::erase_if(
        this->running, [](const SequencePointer &sequence) { return sequence->isEnded(); });
    this->recordLoad(now);
}

void EngineModel::importBlocks(TimePoint now, const std::vector<std::uint64_t> &blocks)
{
    this->prefillCounters.imported += std::int64_t(blocks.size() * blockTokens);
    this->cache.addBlocks(now, blocks);
}

std::vector<std::uint64_t> EngineModel::exportBlocks(const std::vector<std::uint64_t> &blocks)
{
    const std::size_t matchedBlocks = this->cache.matchPrefix(blocks);
    return { blocks.begin(), blocks.begin() + std::ptrdiff_t(matchedBlocks) };
}

json::array EngineModel::cacheEvents(TimePoint now, std::uint64_t after) const
{
    json::array visible;
    for (const CacheEvent &event : this->cache.events()) {
        const bool omitted = this->faults.cacheEventGapEvery > 0
            && event.sequence % std::uint64_t(this->faults.cacheEventGapEvery) == 0;
        if (event.sequence <= after || omitted
            || event.recordedAt + this->faults.cacheEventLag > now) {
            continue;
        }
        visible.push_back({ { "sequence", event.sequence },
            { "kind", event.stored ? "stored" : "evicted" }, { "block", event.block } });
    }
    return visible;
}

void EngineModel::recordLoad(TimePoint now)
{
    std::int64_t tokens = 0;
    for (const SequencePointer &sequence : this->running) {
        tokens += sequence->promptTokens + sequence->produced;
    }
    this->loadHistory.push_back({ now, this->running.size(), this->queued.size(), tokens });
    // Of the samples older than the lag, only the latest is needed.
    while (this->loadHistory.size() > loadHistoryLimit
        || (this->loadHistory.size() > 1
            && this->loadHistory[1].recordedAt + this->faults.loadLag <= now)) {
        this->loadHistory.pop_front();
    }
}

json::object EngineModel::delayedLoad(TimePoint now)
{
    LoadSample visible;
    for (const LoadSample &sample : this->loadHistory) {
        if (sample.recordedAt + this->faults.loadLag <= now) {
            visible = sample;
        }
    }
    return { { "running", visible.running }, { "queued", visible.queued },
        { "tokensInUse", visible.tokens } };
}

json::object EngineModel::counters() const
{
    const PrefillCounters &prefill = this->prefillCounters;
    json::object state;
    state["running"] = this->running.size();
    state["queued"] = this->queued.size();
    state["promptTokensComputed"] = prefill.computed;
    state["promptTokensCached"] = prefill.cached;
    state["promptTokensRepeated"] = prefill.repeated;
    state["promptTokensCancelled"] = prefill.cancelled;
    state["promptTokensWasted"] = prefill.repeated + prefill.cancelled;
    state["promptTokensImported"] = prefill.imported;
    state["promptTokensEvictedUnused"] = this->cache.evictedUnused() * blockTokens;
    state["outputTokens"] = this->producedTokens;
    state["requests"] = this->requests;
    state["cachedBlocks"] = this->cache.size();
    return state;
}

} // namespace wigeonsill
