/// \file enginerun.h
/// Test model of a model engine with hidden figures, under full load from one sender.
#pragma once

#include "wigeonsill/capacity.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

namespace wigeonsill::test {

/// Hidden figures of an engine that processes prompts one after another and generates all answers
/// together.
struct EngineFigures
{
    double fixedMs = 53;
    double tokensPerMs = 140;
    double msPerMillionPairs = 0.295;
    double stepMs = 2.2; ///< Time of a token up to the knee.
    double knee = 6;
    double power = 1.5; ///< Growth of the time of a token beyond the knee.
    int slots = 12;
    double promptTokens = 2'000; ///< Mean, lognormal.
    double outputTokens = 200;
    double slowCallers = 0; ///< Share of callers that stretch their answers fivefold.
    std::function<double(double ms)> slowness = [](double) { return 1.0; };

    double promptMs(double tokens) const
    {
        return tokens / this->tokensPerMs + tokens * tokens * 1e-6 * this->msPerMillionPairs;
    }
    double tokenMs(double running) const
    {
        return this->stepMs * std::pow(std::max(running / this->knee, 1.0), this->power);
    }
};

/// Runs an engine under full load and feeds what its agent sees to the model and the limit.
class EngineRun
{
public:
    /// \param bound Fixed number of concurrent requests; 0: learned.
    EngineRun(const EngineFigures &engineFigures, int bound, std::uint64_t seed)
        : figures(engineFigures)
        , fixedBound(bound)
        , random(seed)
    {
    }

    void runUntil(double endMs)
    {
        for (; this->ms < endMs; this->ms += 1) {
            this->step();
        }
    }
    double tokensPerSecond(double sinceMs, double sinceTokens) const
    {
        return (this->generated - sinceTokens) / (this->ms - sinceMs) * 1'000;
    }

    EngineFigures figures;
    EngineModel model;
    EngineLimit limit;
    double ms = 0;
    double generated = 0;
    int largestLimit = 0;
    int smallestLimit = 1'000;

private:
    struct Request
    {
        double prompt = 0;
        double output = 0;
        double slow = 1;
        double grantedMs = 0;
        double prefillLeft = 0;
        double tokensLeft = 0;
        double firstMs = -1;
        double endMs = -1; ///< When the caller has read the answer.
        double runningSum = 0;
        bool behind = false;
    };

    TimePoint now() const
    {
        return TimePoint{ milliseconds(1'000 + static_cast<std::int64_t>(this->ms)) };
    }
    static Duration toDuration(double duration)
    {
        return Duration(static_cast<std::int64_t>(duration * 1'000));
    }

    void start()
    {
        std::lognormal_distribution<double> size(-0.125, 0.5);
        std::uniform_real_distribution<double> uniform;
        Request request;
        request.prompt = std::round(this->figures.promptTokens * size(this->random));
        request.output = std::round(std::max(this->figures.outputTokens * size(this->random), 2.0));
        request.slow = uniform(this->random) < 0.15 ? 2.5 : 1;
        request.grantedMs = this->ms;
        request.prefillLeft
            = (this->figures.fixedMs + this->figures.promptMs(request.prompt)) * request.slow;
        request.tokensLeft = request.output;
        request.behind = std::any_of(this->requests.begin(), this->requests.end(),
            [](const Request &other) { return other.firstMs < 0; });
        if (uniform(this->random) < this->figures.slowCallers) {
            request.endMs = 0;
        }
        this->requests.push_back(request);
    }

    /// The work of prompts that TargetAdmission lets an engine have.
    double prefillAheadMs() const
    {
        double result = 0;
        for (const Request &request : this->requests) {
            result += request.firstMs < 0 ? this->model.promptMs(request.prompt) : 0;
        }
        return result;
    }

    void recordPending()
    {
        PendingWork pending;
        for (const Request &request : this->requests) {
            if (request.firstMs < 0 && !pending.hasPrompt) {
                pending.hasPrompt = true;
                pending.promptTokens = static_cast<std::uint32_t>(request.prompt);
                pending.promptTime
                    = toDuration(this->ms - std::max(request.grantedMs, this->lastFirstMs));
                pending.behindPrompt = request.behind;
            }
            if (request.firstMs >= 0) {
                ++pending.decoding;
                const double expected = this->figures.outputTokens
                    * this->model.tokenMs(static_cast<double>(this->requests.size()));
                pending.overdue += this->ms - request.firstMs > 2 * expected ? 1 : 0;
            }
        }
        this->model.recordPending(pending, this->now());
    }

    void step()
    {
        const int bound = this->fixedBound > 0
            ? this->fixedBound
            : this->limit.update(this->model, this->figures.slots, true, this->now());
        this->largestLimit = std::max(this->largestLimit, bound);
        this->smallestLimit = std::min(this->smallestLimit, bound);
        while (static_cast<int>(this->requests.size()) < bound && this->prefillAheadMs() <= 120) {
            this->start();
        }
        this->recordPending();
        const double speed = 1 / this->figures.slowness(this->ms);
        const auto running = static_cast<double>(this->requests.size());
        const double tokens = speed / this->figures.tokenMs(running);
        bool prefilling = false;
        for (std::size_t i = 0; i < this->requests.size();) {
            Request &request = this->requests[i];
            if (request.firstMs < 0) {
                if (!prefilling) {
                    prefilling = true;
                    request.prefillLeft -= speed;
                    this->finishPrompt(request);
                }
                ++i;
                continue;
            }
            request.runningSum += running;
            const double made = std::min(tokens / request.slow, request.tokensLeft);
            request.tokensLeft -= made;
            this->generated += made;
            if (request.tokensLeft > 0) {
                ++i;
                continue;
            }
            // A slow caller ends later, but its request leaves the engine.
            const double took = this->ms - request.firstMs;
            this->model.recordDecoding(static_cast<std::uint32_t>(request.output),
                toDuration(request.endMs < 0 ? took : 5 * took),
                request.runningSum / std::max(took, 1.0), this->now());
            this->requests.erase(this->requests.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void finishPrompt(Request &request)
    {
        if (request.prefillLeft > 0) {
            return;
        }
        request.firstMs = this->ms;
        const double from = std::max(request.grantedMs, this->lastFirstMs);
        this->lastFirstMs = this->ms;
        this->model.recordFirstToken(static_cast<std::uint32_t>(request.prompt),
            toDuration(this->ms - from), request.behind, this->now());
    }

    int fixedBound;
    std::mt19937_64 random;
    std::vector<Request> requests;
    double lastFirstMs = 0;
};

} // namespace wigeonsill::test
