/// \file capacity.h
/// Public header of the capacity library: learning how fast a target is and how many concurrent
/// requests it handles well, from the requests that it ran. The library opens no sockets, sets no
/// timers and reads no clock: callers pass the current time as an argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <array>
#include <cstdint>
#include <deque>
#include <utility>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Speed of a model engine

/// Requests in progress at an engine, as its sender sees them.
struct PendingWork
{
    bool hasPrompt = false; ///< Whether a first event is awaited.
    std::uint32_t promptTokens = 0; ///< Of the request whose first event is awaited for longest.
    Duration promptTime = {}; ///< As EngineModel::recordFirstToken(), until now.
    bool behindPrompt = false; ///< As there.
    int decoding = 0; ///< Number of requests that had a first event.
    int overdue = 0; ///< Of them, those that take more than twice what the model predicts.
};

/// Learns the speed of one incarnation of a model engine from its requests. Without evidence it
/// predicts 60 prompt tokens a millisecond, twice the time per prompt token at 108,000 tokens, 8 ms
/// before a first token and 5 ms for an output token.
///
/// The time that a prompt occupies the engine is a fixed time plus a linear and a quadratic part in
/// its length (attention is quadratic), fitted by least squares with exponential forgetting and
/// with all coefficients bounded to be non-negative. A sample far from the fit has a bounded
/// influence (Huber's M-estimator, by iteration).
/// When several samples in a row agree on another speed, all figures are scaled at once.
class EngineModel
{
public:
    EngineModel();

    /// Records the first event of a request.
    /// \param took From the grant, or from the first event of the prompt ahead when that came
    /// later, to the first event.
    /// \param behindPrompt Whether another prompt was processed between the grant and this one.
    void recordFirstToken(
        std::uint32_t promptTokens, Duration took, bool behindPrompt, TimePoint now);
    /// Records the end of a request. A caller that reads slowly stretches took, so only the lower
    /// part of the recorded times counts, and only most of them together show a slower engine.
    /// \param took From the first event to the end. \param outputTokens Ignored below 2.
    /// \param running Mean number of requests at the engine meanwhile, this one included.
    void recordDecoding(std::uint32_t outputTokens, Duration took, double running, TimePoint now);

    /// Records what is in progress, so that an engine that became much slower shows before its
    /// requests end. Must be called every few hundred milliseconds while there are requests.
    void recordPending(const PendingWork &pending, TimePoint now);

    /// Time before the first token of a prompt of any length at an engine that has no other, in
    /// milliseconds.
    double fixedMs() const { return this->coefficients[IdleFixed]; }
    /// Time for which a prompt occupies the engine when others wait behind it, in milliseconds.
    double promptMs(double promptTokens) const;
    /// Time to the first token of a prompt that has no other ahead, in milliseconds.
    double firstTokenMs(double promptTokens) const;
    /// Time of one output token of one request in milliseconds.
    /// \param running Number of requests at the engine, this one included.
    double tokenMs(double running) const;
    /// Speed for a prompt of average length, in tokens per millisecond.
    double prefillTokensPerMs() const;
    /// Evidence of output tokens with about this number running: number of samples, fading with
    /// their age.
    double decodeEvidence(int running, TimePoint now) const;
    /// Smallest and largest number running of which there is evidence; both 0 without any.
    std::pair<int, int> evidenceRange(TimePoint now) const;
    /// Typical time from first event to end in milliseconds.
    double answerMs() const { return this->typicalAnswerMs; }
    /// Number of samples of first tokens and of ends.
    std::uint64_t samples() const { return this->sampleCount; }
    /// Time that everything takes, as a multiple of what it took when the model had learned first.
    double slowdown() const { return this->scale; }

    /// Largest number running that is told apart.
    static constexpr int maximumRunning = 64;

private:
    /// Indices of the coefficients: milliseconds without and with a prompt ahead, per thousand
    /// tokens, and per million token pairs.
    enum Index : std::size_t { IdleFixed, BehindFixed, Linear, Quadratic, CoefficientCount };
    using Vector = std::array<double, CoefficientCount>;

    /// Time of a token with a certain number running.
    struct TokenTime
    {
        double milliseconds() const; ///< \pre count > 0

        std::array<double, 11> latest = {}; ///< Milliseconds, as a ring.
        std::size_t count = 0; ///< Of all samples; the next one goes to count modulo size.
        double evidence = 0; ///< Number of samples, fading with their age, as of at.
        TimePoint at;
    };
    /// Token time as a function of the number running: flat up to a knee, then linear.
    struct TokenCurve
    {
        double flatMs = 5;
        double knee = 1;
        double slopeMs = 0; ///< For each request beyond the knee.
    };

    static Vector regressors(double promptTokens, bool behindPrompt);
    double predict(const Vector &row) const;
    void fitFirstTokens();
    void solve(const std::array<Vector, CoefficientCount> &information, const Vector &moments);
    /// Returns the factor by which the engine's speed changed, 1 when it did not.
    double detectStep() const;
    double detectTokenStep() const;
    /// Compares a token time with the prediction. Returns whether it is evidence of the curve.
    bool followTokenSpeed(double tokenTime, double running, TimePoint now);
    void rescale(double factor, TimePoint now);
    void rescaleTokens(double factor, TimePoint now);
    void fitCurve(TimePoint now);

    struct FirstToken
    {
        Vector row;
        double ms;
    };
    std::deque<FirstToken> firstTokens; ///< Latest first.
    Vector prior;
    Vector coefficients;
    double scale = 1;
    std::uint64_t sampleCount = 0;
    std::uint64_t firstTokenCount = 0;
    /// The last change of the speed was seen at a prompt that has not yielded its first token.
    bool steppedAtPending = false;
    std::deque<double> recentRatios; ///< Measured to predicted time to a first token, latest last.
    /// The same of token times where there was evidence with that number running.
    std::deque<double> recentTokenRatios;
    std::array<TokenTime, maximumRunning + 1> tokenTimes;
    /// After a change of the speed, the first answers show by how much the token times changed.
    /// They do not count beside those of before until then.
    bool isCalibrating = false;
    double typicalAnswerMs = 500;
    /// Answers that began earlier were generated at two speeds in part and are not evidence.
    TimePoint steppedAt;
    TokenCurve curve;
};

// ---------------------------------------------------------------------------------------------
// Limit of concurrent requests

/// Learns, for the only sender of an engine, how many concurrent requests the engine handles well:
/// the smallest number at which it generates nearly as many tokens a second as it can, and at which
/// answers are complete in time. Evaluates the model's curve of token times, which holds while the
/// whole engine becomes slower; see docs/design/learned-capacity.md for other ways.
class EngineLimit
{
public:
    /// Number of concurrent requests, from 1 to slots.
    /// \param slots Number of requests that the engine accepts, at least 1.
    /// \param isLoaded Whether requests wait. Only then the limit is lowered by a fifth for short
    /// times, to see how the engine's speed depends on it.
    int update(const EngineModel &model, int slots, bool isLoaded, TimePoint now);
    /// Records an answer that was granted: it must be generated within the time.
    void recordNeed(std::uint32_t outputTokens, Duration timeLeft);
    int current() const { return this->limit; }

private:
    /// The limit that the model alone suggests.
    int suggested(const EngineModel &model, int slots, TimePoint now) const;
    void probe(const EngineModel &model, bool isLoaded, TimePoint now);

    int limit = 0; ///< 0 before the first update.
    double smoothed = 0;
    double neededTokenMs = 0; ///< Mean time that an output token may take; 0 without a request.
    TimePoint updatedAt;
    TimePoint probeAt; ///< Start of the next probe, or end of the one that is running.
    bool isProbing = false;
    /// The model has shown that fewer than all slots are enough. Until then, numbers of which there
    /// is no evidence are assumed to be handled well.
    bool wasReduced = false;
    double probedSlowdown = 1; ///< EngineModel::slowdown() at the last probe.
};

} // namespace wigeonsill
