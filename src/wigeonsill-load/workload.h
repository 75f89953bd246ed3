/// \file workload.h
/// The arrivals of a load run, drawn from a seeded generator, and the answer that each must get.
#pragma once

#include "scenario.h"

namespace wigeonsill {

/// One request to come.
struct PlannedRequest
{
    Duration at{}; ///< From the start of the run.
    std::size_t kind = 0; ///< Index into Scenario::kinds.
    std::string prompt;
    std::int64_t outputTokens = 1;
};

/// Draws one arrival after the other. The same scenario gives the same arrivals.
/// Not thread-safe. \pre the scenario outlives the generator.
class Workload
{
public:
    /// \param rateFactor Multiplies the rate of every phase.
    Workload(const Scenario &scenario, double rateFactor);

    /// The next arrival, or empty when the last phase is over.
    std::optional<PlannedRequest> next();

private:
    bool advance();
    std::int64_t drawTokens(const TokenRange &range);
    std::string drawPrompt(std::size_t kindIndex);

    const Scenario *scenario;
    double factor;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> pickKind;
    std::size_t phase = 0;
    Duration phaseStart{};
    Duration now{};
    std::uint64_t count = 0;
};

/// How an answer compares with the one that its prompt must get.
enum class AnswerCheck : std::uint8_t { Whole, Partial, Wrong };

/// Compares a stand-in engine's text with the words due for a prompt. Thread-safe.
AnswerCheck checkAnswer(
    std::string_view prompt, std::int64_t outputTokens, std::string_view answerText);

} // namespace wigeonsill
