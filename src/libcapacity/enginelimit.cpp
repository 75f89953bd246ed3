/// \file enginelimit.cpp
/// Learned limit of concurrent requests at an engine that has one sender.
#include "wigeonsill/capacity.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

/// The limit is the smallest number running that yields this share of the most tokens a second.
constexpr double goodputShare = 0.97;
/// The bound by the time that answers have does not lower the limit below this share of the most
/// tokens a second: answers that are late anyway should not stop all others.
constexpr double leastGoodputShare = 0.6;
/// An answer should take at most this share of its time, as in TargetAdmission.
constexpr double completableShare = 0.8;
/// Weight of a new answer in the mean time that a token may take.
constexpr double needLearningRate = 0.05;
/// Interval between two changes of the limit, and the share of the way that each one goes.
constexpr Duration updateInterval = milliseconds(150);
constexpr double updateShare = 0.35;
/// Share of the limit by which a probe lowers it, and by which it follows the model beyond the
/// numbers that were seen.
constexpr double probeShare = 0.2;
constexpr double explorationShare = 0.25;
/// Length of a probe in typical answers, which must run at the lower number, and its bounds.
constexpr double answersPerProbe = 1.2;
constexpr double shortestProbeMs = 300;
constexpr double longestProbeMs = 1'500;
/// Time between probes in lengths of a probe: while too few numbers were seen, and otherwise. The
/// latter costs about half a hundredth of the goodput.
constexpr int firstProbeInterval = 1;
constexpr int laterProbeInterval = 40;
/// Change of the engine's speed after which it is probed at once.
constexpr double probedSpeedChange = 1.4;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

int probeDepth(int limit)
{
    return std::max(static_cast<int>(probeShare * limit), 1);
}

} // namespace

void EngineLimit::recordNeed(std::uint32_t outputTokens, Duration timeLeft)
{
    if (outputTokens < 2 || timeLeft <= Duration::zero()) {
        return;
    }
    const double need = completableShare * toMs(timeLeft) / outputTokens;
    this->neededTokenMs = this->neededTokenMs == 0
        ? need
        : this->neededTokenMs + needLearningRate * (need - this->neededTokenMs);
}

int EngineLimit::suggested(const EngineModel &model, int slots, TimePoint now) const
{
    const auto [lowest, highest] = model.evidenceRange(now);
    if (lowest == 0 || (this->wasReduced && highest - lowest < probeDepth(highest))) {
        // Nothing shows how the goodput depends on the number.
        return this->wasReduced ? static_cast<int>(std::lround(this->smoothed)) : slots;
    }
    const auto goodput = [&model](int running) { return running / model.tokenMs(running); };
    const int seen = std::min(highest, slots);
    const int last = !this->wasReduced
        ? slots
        : std::min(slots, std::max(seen + 1, static_cast<int>(seen * (1 + explorationShare))));
    double most = 0;
    for (int running = std::min(lowest, last); running <= last; ++running) {
        most = std::max(most, goodput(running));
    }
    int result = std::min(lowest, last);
    while (result < last && goodput(result) < goodputShare * most) {
        ++result;
    }
    if (result == lowest && highest > lowest) {
        result = std::max(1, lowest - probeDepth(lowest));
    }
    while (this->neededTokenMs > 0 && result > 1 && model.tokenMs(result) > this->neededTokenMs
        && goodput(result - 1) >= leastGoodputShare * most) {
        --result;
    }
    return result;
}

void EngineLimit::probe(const EngineModel &model, bool isLoaded, TimePoint now)
{
    const double change = model.slowdown() / this->probedSlowdown;
    if (!this->isProbing && (change > probedSpeedChange || change < 1 / probedSpeedChange)) {
        this->probeAt = now;
        this->probedSlowdown = model.slowdown();
    }
    if (now < this->probeAt) {
        return;
    }
    const auto [lowest, highest] = model.evidenceRange(now);
    const int base = static_cast<int>(std::lround(this->smoothed));
    const bool sawEnough = lowest > 0 && lowest <= base - probeDepth(base) && base <= highest + 1;
    const Duration length(static_cast<std::int64_t>(
        1'000 * std::clamp(answersPerProbe * model.answerMs(), shortestProbeMs, longestProbeMs)));
    this->isProbing = !this->isProbing && isLoaded && this->smoothed >= 2;
    this->probeAt = now
        + (this->isProbing ? length
                           : length * (sawEnough ? laterProbeInterval : firstProbeInterval));
}

int EngineLimit::update(const EngineModel &model, int slots, bool isLoaded, TimePoint now)
{
    if (slots > EngineModel::maximumRunning) {
        return slots; // The model does not tell such numbers apart.
    }
    if (this->limit == 0 || this->smoothed > slots || !this->wasReduced) {
        this->smoothed = slots;
    }
    if (this->limit == 0) {
        this->limit = slots;
        this->updatedAt = now;
        this->probeAt = now;
    }
    if (now - this->updatedAt < updateInterval) {
        return this->limit;
    }
    this->updatedAt = now;
    const double aim = this->suggested(model, slots, now);
    this->wasReduced = this->wasReduced || aim < slots;
    // Half a request of hysteresis, so that a fit between two numbers doesn't alternate.
    if (std::abs(aim - this->smoothed) > 0.5) {
        this->smoothed += updateShare * (aim - this->smoothed);
    }
    this->probe(model, isLoaded, now);
    const int base = static_cast<int>(std::lround(this->smoothed));
    this->limit = std::clamp(this->isProbing ? base - probeDepth(base) : base, 1, slots);
    return this->limit;
}

} // namespace wigeonsill
