/// \file enginemodel.cpp
/// Learned speed of a model engine.
#include "wigeonsill/capacity.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wigeonsill {

namespace {

/// Coefficients before evidence: 60 tokens per millisecond, half of the speed that the users
/// published, attention that doubles the time at 108,000 tokens, and 8 ms before a first token.
constexpr std::array initialCoefficients = { 8.0, 1.0, 1'000.0 / 60, 1'000.0 / 60 / 108 };
/// Spread of the coefficients among engines. Engines with 0.67 and with 53 ms before a first token
/// are known; the times per token are known within a factor of two or so. The fixed time with a
/// prompt ahead follows the one without.
constexpr std::array priorSpread = { 40.0, 400.0, 16.0, 0.3 };
/// Weight of the prior in samples.
constexpr double priorWeight = 0.05;
/// Weight that the evidence keeps with each new sample, and number of samples that are kept.
constexpr double forgetting = 0.97;
constexpr std::size_t keptSamples = 48;
/// The fit is repeated until predictions change by less than this, at most so many times.
constexpr double sufficientChange = 0.02;
constexpr int largestRounds = 12;
/// Weight of the assumption that the fixed times without and with a prompt ahead are alike,
/// relative to all samples. Under full load, few prompts have none ahead.
constexpr double alikeWeight = 0.1;
/// Number of first tokens after which a prediction is trusted.
constexpr std::uint64_t trustedSamples = 6;
/// Largest relative deviation that counts fully. Up to 15 % of requests take 2.5
/// times as long without a change of the engine; with this bound they move the fit by 5 %.
constexpr double deviationBound = 0.3;
/// Number of samples in a row that show a large change of the speed, and the ratios that do: above
/// the 2.5 of single slow requests, and below what engines differ in repeated prompts.
constexpr std::size_t stepSamples = 3;
constexpr double slowerStep = 3;
constexpr double fasterStep = 0.45;
/// Number of first tokens and of ends whose quantiles show a smaller change. With 15 % of slow
/// requests, eight of fifteen are slow by chance in 0.06 % of the cases.
constexpr std::size_t medianSamples = 15;
constexpr std::size_t tokenSamples = 9;
constexpr double slowerMedian = 1.45;
constexpr double fasterMedian = 0.69;
/// Quantile of the token times that is learned. Slow callers stretch the upper part.
constexpr double tokenQuantile = 0.3;
/// Quantile of the last token times that must be higher before the engine counts as slower: seven
/// of nine must be, so that some slow callers beside slow requests don't suffice.
constexpr double slowerQuantile = 0.23;
/// Number of answers after a change of the speed that show by how much the token times changed.
constexpr std::size_t calibrationSamples = 7;
/// Age at which the evidence of a token time has faded to 1/e.
constexpr double evidenceAgeMs = 40'000;
/// Evidence below this does not take part in the curve.
constexpr double leastEvidence = 0.3;
/// Weight of an answer in the typical time of answers.
constexpr double answerLearningRate = 0.1;
/// Added to measured and predicted times before they are compared for a step: an agent limited to a
/// fifth of a core may be paused for some tens of milliseconds.
constexpr double pauseMs = 20;
/// Weight of the assumption that a token's time does not grow with the number running, relative to
/// one sample.
constexpr double flatWeight = 0.05;
constexpr double leastMs = 0.3;
/// Average length of the prompts of the users' services.
constexpr double averagePromptTokens = 3'000;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

double median(std::deque<double> values, std::size_t latest)
{
    std::sort(values.end() - static_cast<std::ptrdiff_t>(latest), values.end());
    return *(values.end() - static_cast<std::ptrdiff_t>((latest + 1) / 2));
}

double quantileOf(std::deque<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size()))];
}

void pushBounded(std::deque<double> &values, double value, std::size_t bound)
{
    values.push_back(value);
    if (values.size() > bound) {
        values.pop_front();
    }
}

bool areLatest(const std::deque<double> &values, double above, double below)
{
    return values.size() >= stepSamples
        && std::all_of(values.end() - stepSamples, values.end(),
            [above, below](double value) { return value > above && value < below; });
}

} // namespace

EngineModel::EngineModel()
    : prior(initialCoefficients)
    , coefficients(initialCoefficients)
{
}

EngineModel::Vector EngineModel::regressors(double promptTokens, bool behindPrompt)
{
    const double thousands = promptTokens / 1'000;
    return { behindPrompt ? 0.0 : 1.0, behindPrompt ? 1.0 : 0.0, thousands, thousands * thousands };
}

double EngineModel::predict(const Vector &row) const
{
    double result = 0;
    for (std::size_t i = 0; i < row.size(); ++i) {
        result += row[i] * this->coefficients[i];
    }
    return std::max(result, leastMs);
}

double EngineModel::promptMs(double promptTokens) const
{
    return this->predict(regressors(promptTokens, true));
}

double EngineModel::firstTokenMs(double promptTokens) const
{
    return this->predict(regressors(promptTokens, false));
}

double EngineModel::prefillTokensPerMs() const
{
    const double ms = this->promptMs(averagePromptTokens) - this->coefficients[BehindFixed];
    return averagePromptTokens / std::max(ms, leastMs);
}

double EngineModel::detectStep() const
{
    const std::deque<double> &ratios = this->recentRatios;
    constexpr double unbounded = 1e9;
    if (areLatest(ratios, slowerStep, unbounded)
        || (this->scale > slowerMedian && areLatest(ratios, 0, fasterStep))) {
        return median(ratios, stepSamples);
    }
    if (ratios.size() == medianSamples) {
        const double middle = median(ratios, medianSamples);
        return middle > slowerMedian || middle < fasterMedian ? middle : 1;
    }
    return 1;
}

void EngineModel::recordFirstToken(
    std::uint32_t promptTokens, Duration took, bool behindPrompt, TimePoint now)
{
    const Vector row = regressors(promptTokens, behindPrompt);
    const double tookMs = std::max(toMs(took), leastMs);
    const bool trusted = this->firstTokenCount >= trustedSamples;
    ++this->firstTokenCount;
    ++this->sampleCount;
    if (const double rest = tookMs / this->predict(row); this->steppedAtPending && rest > 1) {
        // The prompt may also be one of the slow requests; engines become up to eight times slower.
        this->rescale(std::min(rest, slowerStep), now);
    }
    this->steppedAtPending = false;
    if (trusted) {
        pushBounded(
            this->recentRatios, (tookMs + pauseMs) / (this->predict(row) + pauseMs), medianSamples);
        if (const double factor = this->detectStep(); factor != 1) {
            this->rescale(factor, now);
        }
    }
    this->firstTokens.push_front({ row, tookMs });
    if (this->firstTokens.size() > keptSamples) {
        this->firstTokens.pop_back();
    }
    this->fitFirstTokens();
}

void EngineModel::fitFirstTokens()
{
    double change = 1;
    for (int round = 0; round < largestRounds && change > sufficientChange; ++round) {
        std::array<Vector, CoefficientCount> information = {};
        Vector moments = {};
        double weight = 1;
        for (const FirstToken &sample : this->firstTokens) {
            // Deviations are proportional to the time, so each sample is divided by its prediction.
            const Vector &row = sample.row;
            const double predicted = this->predict(row);
            const double ratio
                = std::clamp(sample.ms / predicted, 1 / (1 + deviationBound), 1 + deviationBound);
            for (std::size_t i = 0; i < row.size(); ++i) {
                for (std::size_t j = 0; j < row.size(); ++j) {
                    information[i][j] += weight * row[i] * row[j] / (predicted * predicted);
                }
                moments[i] += weight * row[i] * ratio / predicted;
            }
            weight *= forgetting;
        }
        const Vector &latest = this->firstTokens.front().row;
        const double before = this->predict(latest);
        this->solve(information, moments);
        change = std::abs(this->predict(latest) / before - 1);
    }
}

void EngineModel::solve(
    const std::array<Vector, CoefficientCount> &information, const Vector &moments)
{
    // Cyclic coordinate descent on the least squares with non-negative coefficients; it converges
    // for any positive definite matrix, which the prior makes it.
    constexpr int rounds = 40;
    const double alike
        = alikeWeight * (information[IdleFixed][IdleFixed] + information[BehindFixed][BehindFixed]);
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < this->coefficients.size(); ++i) {
            const double spread = priorSpread[i] * this->scale;
            const double weight = priorWeight / (spread * spread);
            double rest = moments[i] + weight * this->prior[i];
            double own = information[i][i] + weight;
            if (i == IdleFixed || i == BehindFixed) {
                own += alike;
                rest += alike * this->coefficients[i == IdleFixed ? BehindFixed : IdleFixed];
            }
            for (std::size_t j = 0; j < this->coefficients.size(); ++j) {
                rest -= j == i ? 0 : information[i][j] * this->coefficients[j];
            }
            this->coefficients[i] = std::max(rest / own, 0.0);
        }
    }
}

void EngineModel::rescale(double factor, TimePoint now)
{
    for (FirstToken &sample : this->firstTokens) {
        sample.ms *= factor;
    }
    for (std::size_t i = 0; i < this->coefficients.size(); ++i) {
        this->prior[i] *= factor;
        this->coefficients[i] *= factor;
    }
    this->scale *= factor;
    this->recentRatios.clear();
    this->rescaleTokens(factor, now);
}

void EngineModel::recordPending(const PendingWork &pending, TimePoint now)
{
    if (!pending.hasPrompt || this->firstTokenCount < trustedSamples) {
        return;
    }
    const double predicted = this->predict(regressors(pending.promptTokens, pending.behindPrompt));
    const double ratio = (toMs(pending.promptTime) + pauseMs) / (predicted + pauseMs);
    if (ratio <= slowerStep) {
        return;
    }
    // One late prompt may have met a fault or a pause. Most answers late as well, or two late
    // prompts before it, show that the engine is slow.
    const bool answersLate = pending.decoding >= 2 && 2 * pending.overdue >= pending.decoding;
    const bool promptsLate = this->recentRatios.size() >= stepSamples - 1
        && std::all_of(this->recentRatios.end() - (stepSamples - 1), this->recentRatios.end(),
            [](double latest) { return latest > slowerStep; });
    if (answersLate || promptsLate) {
        this->rescale(ratio, now);
        this->steppedAtPending = true;
    }
}

void EngineModel::rescaleTokens(double factor, TimePoint now)
{
    this->steppedAt = now;
    for (TokenTime &time : this->tokenTimes) {
        if (time.count > 0) {
            this->isCalibrating = true;
            // The relation between the numbers running may have changed with the speed, so the
            // earlier times count like a single sample.
            time.latest.front() = time.milliseconds() * factor;
            time.count = 1;
            time.evidence = std::min(time.evidence, 2.0);
        }
    }
    this->curve.flatMs *= factor;
    this->curve.slopeMs *= factor;
    this->recentTokenRatios.clear();
}

double EngineModel::TokenTime::milliseconds() const
{
    std::array<double, 11> sorted = this->latest;
    const std::size_t valid = std::min(this->count, sorted.size());
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(valid));
    return sorted[static_cast<std::size_t>(tokenQuantile * static_cast<double>(valid))];
}

double EngineModel::detectTokenStep() const
{
    const std::deque<double> &ratios = this->recentTokenRatios;
    if (areLatest(ratios, 0, fasterStep)) {
        return median(ratios, stepSamples); // A caller can't make an engine faster.
    }
    if (ratios.size() < tokenSamples) {
        return 1;
    }
    const double lower = quantileOf(ratios, slowerQuantile);
    if (lower > slowerMedian) {
        return lower;
    }
    const double middle = median(ratios, tokenSamples);
    return middle < fasterMedian ? middle : 1;
}

bool EngineModel::followTokenSpeed(double tokenTime, double running, TimePoint now)
{
    const double ratio = tokenTime / this->tokenMs(running);
    if (this->isCalibrating) {
        pushBounded(this->recentTokenRatios, ratio, tokenSamples);
        if (this->recentTokenRatios.size() >= calibrationSamples) {
            // Answers that began since the change remain evidence.
            const TimePoint changedAt = this->steppedAt;
            this->rescaleTokens(quantileOf(this->recentTokenRatios, tokenQuantile), now);
            this->steppedAt = changedAt;
            this->isCalibrating = false;
        }
        return false;
    }
    if (this->decodeEvidence(static_cast<int>(std::lround(running)), now) < leastEvidence) {
        return true;
    }
    pushBounded(this->recentTokenRatios, ratio, tokenSamples);
    if (const double factor = this->detectTokenStep(); factor != 1) {
        this->rescaleTokens(factor, now);
        return false;
    }
    return true;
}

void EngineModel::recordDecoding(
    std::uint32_t outputTokens, Duration took, double running, TimePoint now)
{
    if (outputTokens < 2 || now - took < this->steppedAt) {
        return;
    }
    ++this->sampleCount;
    const double tokenTime = std::max(toMs(took) / outputTokens, 1e-3);
    const int index = std::clamp(static_cast<int>(std::lround(running)), 1, maximumRunning);
    if (!this->followTokenSpeed(tokenTime, running, now)) {
        return;
    }
    this->typicalAnswerMs += answerLearningRate
        * (std::clamp(toMs(took), this->typicalAnswerMs / 3, this->typicalAnswerMs * 3)
            - this->typicalAnswerMs);
    TokenTime &time = this->tokenTimes[static_cast<std::size_t>(index)];
    const double evidence = this->decodeEvidence(index, now);
    time.count = evidence < leastEvidence ? 0 : time.count;
    time.latest[time.count % time.latest.size()] = tokenTime;
    ++time.count;
    time.evidence = evidence + 1;
    time.at = now;
    this->fitCurve(now);
}

double EngineModel::decodeEvidence(int running, TimePoint now) const
{
    const TokenTime &time
        = this->tokenTimes[static_cast<std::size_t>(std::clamp(running, 1, maximumRunning))];
    return time.evidence == 0
        ? 0
        : time.evidence * std::exp(-std::max(toMs(now - time.at), 0.0) / evidenceAgeMs);
}

std::pair<int, int> EngineModel::evidenceRange(TimePoint now) const
{
    std::pair<int, int> result{ 0, 0 };
    for (int running = 1; running <= maximumRunning; ++running) {
        if (this->decodeEvidence(running, now) >= 1) {
            result.first = result.first == 0 ? running : result.first;
            result.second = running;
        }
    }
    return result;
}

void EngineModel::fitCurve(TimePoint now)
{
    struct Point
    {
        double running;
        double ms;
        double weight;
    };
    std::vector<Point> points;
    for (int running = 1; running <= maximumRunning; ++running) {
        const double evidence = this->decodeEvidence(running, now);
        if (evidence >= leastEvidence) {
            const double ms = this->tokenTimes[static_cast<std::size_t>(running)].milliseconds();
            // Deviations are proportional to the time.
            points.push_back(
                { static_cast<double>(running), ms, std::min(evidence, 10.0) / (ms * ms) });
        }
    }
    if (points.empty()) {
        return;
    }
    double bestError = -1;
    const double flatness = flatWeight / (points.front().ms * points.front().ms);
    for (double knee = points.back().running; knee >= points.front().running; knee -= 0.5) {
        // Weighted least squares of ms = flat + slope * max(0, running - knee), slope >= 0.
        double weights = 0;
        double sumX = 0;
        double sumY = 0;
        double sumXX = flatness;
        double sumXY = 0;
        for (const Point &point : points) {
            const double x = std::max(point.running - knee, 0.0);
            weights += point.weight;
            sumX += point.weight * x;
            sumY += point.weight * point.ms;
            sumXX += point.weight * x * x;
            sumXY += point.weight * x * point.ms;
        }
        const double slope
            = std::max((sumXY - sumX * sumY / weights) / (sumXX - sumX * sumX / weights), 0.0);
        const double flat = (sumY - slope * sumX) / weights;
        double error = flatness * slope * slope;
        for (const Point &point : points) {
            const double rest = point.ms - flat - slope * std::max(point.running - knee, 0.0);
            error += point.weight * rest * rest;
        }
        if (bestError < 0 || error < bestError * 0.98 - 1e-9) {
            bestError = error;
            this->curve = { std::max(flat, 1e-3), knee, slope };
        }
    }
}

double EngineModel::tokenMs(double running) const
{
    return this->curve.flatMs + this->curve.slopeMs * std::max(running - this->curve.knee, 0.0);
}

} // namespace wigeonsill
