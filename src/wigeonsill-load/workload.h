/// \file workload.h
/// Generates the requests of a load run from a seed and checks their answers.
#pragma once

#include "scenario.h"

namespace wigeonsill {

/// One request to be sent.
struct PlannedRequest
{
    Duration arrivalTime{}; ///< From the start of the run.
    std::size_t kind = 0; ///< Index into Scenario::kinds.
    std::string prompt;
    std::int64_t outputTokens = 1;
};

/// Generates requests with random arrival times, kinds, prompts and lengths. The same scenario and
/// rate factor give the same requests. Not thread-safe. \pre the scenario outlives the generator.
class Workload
{
public:
    /// \param rateFactor Multiplies the rate of every phase.
    Workload(const Scenario &scenario, double rateFactor);

    /// The next request, or empty after the last phase.
    std::optional<PlannedRequest> next();

private:
    bool advanceToNextArrival();
    std::int64_t drawTokens(const TokenRange &range);
    std::string drawPrompt(std::size_t kindIndex);

    const Scenario *scenario;
    double rateScale;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> kindDistribution;
    std::size_t phaseIndex = 0;
    Duration phaseStart{};
    Duration now{};
    std::uint64_t requestCount = 0;
};

/// How an answer compares with the expected answer to its prompt.
enum class AnswerCheck : std::uint8_t { Complete, Partial, Wrong };

/// Compares the text of a stand-in engine with the expected words for a prompt. Thread-safe.
AnswerCheck checkAnswer(
    std::string_view prompt, std::int64_t outputTokens, std::string_view answerText);

} // namespace wigeonsill
