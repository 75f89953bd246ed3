/// \file answercontinuation.cpp
/// When a request leaves its target.
#include "wigeonsill/outcomes.h"

#include <algorithm>
#include <charconv>

namespace wigeonsill {

namespace {

std::optional<std::uint64_t> parseEventNumber(std::string_view id)
{
    std::uint64_t value = 0;
    const char *idEnd = id.data() + id.size();
    const auto [end, error] = std::from_chars(id.data(), idEnd, value);
    return error == std::errc{} && end == idEnd ? std::optional(value) : std::nullopt;
}

} // namespace

bool isLaterEvent(std::string_view id, std::string_view previousId)
{
    const auto number = parseEventNumber(id);
    const auto previous = parseEventNumber(previousId);
    return number && previous ? *number > *previous : id != previousId;
}

void AnswerContinuation::recordSent(TimePoint now)
{
    this->progressAt = now;
    this->lost = false;
}

void AnswerContinuation::recordProgress(TimePoint now)
{
    this->progressAt = now;
}

void AnswerContinuation::recordLost()
{
    this->progressAt.reset();
    this->lost = true;
}

Duration AnswerContinuation::silence(TimePoint now) const
{
    return this->progressAt ? now - *this->progressAt : Duration::zero();
}

bool AnswerContinuation::isSilent(TimePoint now) const
{
    return this->progressAt && this->silence(now) >= this->limits.silenceTimeout;
}

Duration AnswerContinuation::untilSilent(TimePoint now) const
{
    return std::max(this->limits.silenceTimeout - this->silence(now), Duration::zero());
}

ContinuationStep AnswerContinuation::nextStep(const Options &options, TimePoint now) const
{
    const bool maySearch
        = options.repeatable && options.attemptsLeft > 0 && this->isTimeLeft(options.timeLeft);
    if (this->lost) {
        return maySearch ? ContinuationStep::SearchTarget : ContinuationStep::EndAnswer;
    }
    return maySearch && this->isSilent(now) ? ContinuationStep::SearchTarget
                                            : ContinuationStep::KeepTarget;
}

} // namespace wigeonsill
