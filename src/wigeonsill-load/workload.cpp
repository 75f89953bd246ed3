/// \file workload.cpp
/// Arrivals and the check of answers.
#include "workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wigeonsill {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::uint64_t answerHashMask = 0xFFFFFFFFULL;

std::vector<double> sharesOf(const Scenario &scenario)
{
    std::vector<double> shares;
    shares.reserve(scenario.kinds.size());
    for (const RequestKind &kind : scenario.kinds) {
        shares.push_back(kind.share);
    }
    return shares;
}

/// Text of a given length that depends on the seed alone.
std::string textOf(std::uint64_t seed, std::int64_t tokens)
{
    std::mt19937_64 letters(seed);
    std::string text;
    text.reserve(std::size_t(tokens) * bytesPerToken);
    for (std::int64_t i = 0; i < tokens; ++i) {
        const std::uint64_t bits = letters();
        for (std::size_t letter = 0; letter + 1 < bytesPerToken; ++letter) {
            text += static_cast<char>('a' + (bits >> (8 * letter)) % 26);
        }
        text += ' ';
    }
    return text;
}

} // namespace

Workload::Workload(const Scenario &loadScenario, double rateFactor)
    : scenario(&loadScenario)
    , factor(rateFactor)
    , random(loadScenario.seed)
{
    const std::vector<double> shares = sharesOf(loadScenario);
    this->pickKind = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

/// Moves to the next arrival; false when the run is over.
bool Workload::advance()
{
    while (this->phase < this->scenario->phases.size()) {
        const Phase &current = this->scenario->phases[this->phase];
        std::exponential_distribution<double> gap(current.rate * this->factor);
        const Duration candidate = this->now + Duration(std::int64_t(gap(this->random) * 1e6));
        const Duration end = this->phaseStart + current.length;
        if (candidate < end) {
            this->now = candidate;
            return true;
        }
        // Exponential gaps have no memory, so the next phase may draw anew from its start.
        this->now = end;
        this->phaseStart = end;
        ++this->phase;
    }
    return false;
}

std::int64_t Workload::drawTokens(const TokenRange &range)
{
    std::uniform_real_distribution<double> logarithm(
        std::log(double(range.minimum)), std::log(double(range.maximum) + 1));
    const auto tokens = std::int64_t(std::exp(logarithm(this->random)));
    return std::clamp(tokens, range.minimum, range.maximum);
}

std::string Workload::drawPrompt(std::size_t kindIndex)
{
    const RequestKind &kind = this->scenario->kinds[kindIndex];
    std::string prompt;
    if (kind.prefixCount > 0) {
        std::uniform_int_distribution<std::int64_t> pick(0, kind.prefixCount - 1);
        const std::uint64_t seed = stableHash(kind.name, std::uint64_t(pick(this->random)));
        prompt = textOf(seed, kind.prefixTokens);
    }
    const std::uint64_t own = stableHash("request", this->scenario->seed) + ++this->count;
    return prompt + textOf(own, this->drawTokens(kind.promptTokens));
}

std::optional<PlannedRequest> Workload::next()
{
    if (!this->advance()) {
        return std::nullopt;
    }
    PlannedRequest planned;
    planned.at = this->now;
    planned.kind = this->pickKind(this->random);
    planned.prompt = this->drawPrompt(planned.kind);
    planned.outputTokens = this->drawTokens(this->scenario->kinds[planned.kind].outputTokens);
    return planned;
}

AnswerCheck checkAnswer(
    std::string_view prompt, std::int64_t outputTokens, std::string_view answerText)
{
    std::array<char, 17> hash{};
    std::snprintf(hash.data(), hash.size(), "%08llx",
        static_cast<unsigned long long>(stableHash(prompt) & answerHashMask));
    const std::string mark = hash.data();
    std::int64_t words = 0;
    while (!answerText.empty()) {
        const std::size_t end = answerText.find(' ');
        if (end == std::string_view::npos) {
            // A word that was cut off counts as missing, but it must not be another's.
            const std::string due = mark + ":" + std::to_string(words);
            return due.starts_with(answerText) ? AnswerCheck::Partial : AnswerCheck::Wrong;
        }
        if (answerText.substr(0, end) != mark + ":" + std::to_string(words)) {
            return AnswerCheck::Wrong;
        }
        answerText.remove_prefix(end + 1);
        ++words;
    }
    if (words > outputTokens) {
        return AnswerCheck::Wrong;
    }
    return words == outputTokens ? AnswerCheck::Whole : AnswerCheck::Partial;
}

} // namespace wigeonsill
