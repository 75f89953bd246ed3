/// \file workload.cpp
/// Generation of requests and checking of answers.
#include "workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wigeonsill {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::uint64_t answerHashMask = 0xFFFFFFFFULL;

std::vector<double> arrivalShares(const Scenario &scenario)
{
    std::vector<double> shares;
    shares.reserve(scenario.kinds.size());
    for (const RequestKind &kind : scenario.kinds) {
        shares.push_back(kind.share);
    }
    return shares;
}

/// Random text of a given length that is determined by the seed.
std::string generateText(std::uint64_t seed, std::int64_t tokens)
{
    std::mt19937_64 generator(seed);
    std::string text;
    text.reserve(std::size_t(tokens) * bytesPerToken);
    for (std::int64_t i = 0; i < tokens; ++i) {
        const std::uint64_t bits = generator();
        for (std::size_t letterIndex = 0; letterIndex + 1 < bytesPerToken; ++letterIndex) {
            text += static_cast<char>('a' + (bits >> (8 * letterIndex)) % 26);
        }
        text += ' ';
    }
    return text;
}

} // namespace

Workload::Workload(const Scenario &loadScenario, double rateFactor)
    : scenario(&loadScenario)
    , rateScale(rateFactor)
    , random(loadScenario.seed)
{
    const std::vector<double> shares = arrivalShares(loadScenario);
    this->kindDistribution = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

/// Advances to the time of the next arrival; returns false after the last phase.
bool Workload::advanceToNextArrival()
{
    while (this->phaseIndex < this->scenario->phases.size()) {
        const Phase &current = this->scenario->phases[this->phaseIndex];
        std::exponential_distribution<double> interarrivalTime(current.rate * this->rateScale);
        const Duration candidate
            = this->now + Duration(std::int64_t(interarrivalTime(this->random) * 1e6));
        const Duration end = this->phaseStart + current.length;
        if (candidate < end) {
            this->now = candidate;
            return true;
        }
        // Exponential gaps are memoryless, so the next phase draws afresh from its start.
        this->now = end;
        this->phaseStart = end;
        ++this->phaseIndex;
    }
    return false;
}

std::int64_t Workload::drawTokens(const TokenRange &range)
{
    std::uniform_real_distribution<double> logTokens(
        std::log(double(range.minimum)), std::log(double(range.maximum) + 1));
    const auto tokens = std::int64_t(std::exp(logTokens(this->random)));
    return std::clamp(tokens, range.minimum, range.maximum);
}

std::string Workload::drawPrompt(std::size_t kindIndex)
{
    const RequestKind &kind = this->scenario->kinds[kindIndex];
    std::string prompt;
    if (kind.prefixCount > 0) {
        std::uniform_int_distribution<std::int64_t> prefixDistribution(0, kind.prefixCount - 1);
        const std::uint64_t seed
            = stableHash(kind.name, std::uint64_t(prefixDistribution(this->random)));
        prompt = generateText(seed, kind.prefixTokens);
    }
    const std::uint64_t promptSeed
        = stableHash("request", this->scenario->seed) + ++this->requestCount;
    return prompt + generateText(promptSeed, this->drawTokens(kind.promptTokens));
}

std::optional<PlannedRequest> Workload::next()
{
    if (!this->advanceToNextArrival()) {
        return std::nullopt;
    }
    PlannedRequest planned;
    planned.arrivalTime = this->now;
    planned.kind = this->kindDistribution(this->random);
    planned.prompt = this->drawPrompt(planned.kind);
    planned.outputTokens = this->drawTokens(this->scenario->kinds[planned.kind].outputTokens);
    return planned;
}

AnswerCheck checkAnswer(
    std::string_view prompt, std::int64_t outputTokens, std::string_view answerText)
{
    std::array<char, 17> hashDigits{};
    std::snprintf(hashDigits.data(), hashDigits.size(), "%08llx",
        static_cast<unsigned long long>(stableHash(prompt) & answerHashMask));
    const std::string hashText = hashDigits.data();
    std::int64_t words = 0;
    while (!answerText.empty()) {
        const std::size_t end = answerText.find(' ');
        if (end == std::string_view::npos) {
            // A truncated last word counts as missing, but must begin like the expected word.
            const std::string expectedWord = hashText + ":" + std::to_string(words);
            return expectedWord.starts_with(answerText) ? AnswerCheck::Partial : AnswerCheck::Wrong;
        }
        if (answerText.substr(0, end) != hashText + ":" + std::to_string(words)) {
            return AnswerCheck::Wrong;
        }
        answerText.remove_prefix(end + 1);
        ++words;
    }
    if (words > outputTokens) {
        return AnswerCheck::Wrong;
    }
    return words == outputTokens ? AnswerCheck::Complete : AnswerCheck::Partial;
}

} // namespace wigeonsill
