/// \file learnedengine.cpp
/// What an agent has learned about the engine beside it.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Share of the engine's memory that concurrent requests may need. An engine crashes when they
/// exceed it, and output estimates are correct at the median only.
constexpr double usableMemoryShare = 0.9;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

} // namespace

void LearnedEngine::recordRunning(int running, TimePoint now)
{
    this->runningMs += running * std::max(toMs(now - this->runningAt), 0.0);
    this->runningAt = now;
}

double LearnedEngine::meanRunning(double integralMs, TimePoint since, TimePoint now) const
{
    const double elapsedMs = toMs(now - since);
    return elapsedMs <= 0 ? 1 : std::max((this->runningMs - integralMs) / elapsedMs, 1.0);
}

void LearnedEngine::recordFirstEvent(
    std::uint32_t promptTokens, TimePoint grantedAt, bool behindPrompt, TimePoint now)
{
    this->engineModel.recordFirstToken(
        promptTokens, now - this->beginOf(grantedAt), behindPrompt, now);
    this->lastFirstEventAt = now;
}

void LearnedEngine::recordEnd(
    std::uint32_t generated, TimePoint firstEventAt, double running, TimePoint now)
{
    this->engineModel.recordDecoding(generated, now - firstEventAt, running, now);
}

void LearnedEngine::recordMemory(
    std::optional<std::int64_t> total, std::optional<std::int64_t> used, std::int64_t granted)
{
    this->memoryTotal = total;
    this->memoryBeyondGrants = std::max<std::int64_t>(used.value_or(0) - granted, 0);
}

bool LearnedEngine::hasMemory(std::int64_t granted, std::int64_t needed) const
{
    if (!this->memoryTotal) {
        return true;
    }
    const std::int64_t held = granted + this->memoryBeyondGrants;
    const double share = held == 0 ? 1 : usableMemoryShare;
    return static_cast<double>(held + needed) <= share * static_cast<double>(*this->memoryTotal);
}

} // namespace wigeonsill
