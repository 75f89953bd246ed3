/// \file capacitypublisher.cpp
/// Metrics, log lines and state of what an agent has learned about its target.
#include "capacitypublisher.h"

#include <cmath>

namespace wigeonsill {

namespace {

/// Relative change of the limit that is logged, and the least time between two such lines.
constexpr double loggedChange = 0.25;
constexpr Duration logInterval = seconds(2);

} // namespace

void CapacityPublisher::publish(
    const TargetAdmission &admission, Metrics &metrics, DecisionLog &log, TimePoint now)
{
    const LearnedEngine *learned = admission.learnedEngine();
    if (learned == nullptr) {
        return;
    }
    const EngineModel &model = learned->model();
    const int limit = admission.concurrencyLimit();
    metrics.gauge("wigeonsill_capacity_limit", {}, limit);
    metrics.gauge("wigeonsill_capacity_slowdown", {}, model.slowdown());
    metrics.gauge(
        "wigeonsill_capacity_granted_tokens", {}, static_cast<double>(admission.grantedTokens()));
    if (std::abs(limit - this->loggedLimit) <= loggedChange * this->loggedLimit
        || now - this->loggedAt < logInterval) {
        return;
    }
    DecisionLine line("agent", "capacity-limit");
    line.number("limit", limit)
        .number("before", this->loggedLimit)
        .number("token_ms", model.tokenMs(limit))
        .number("fixed_ms", model.fixedMs())
        .number("prefill_per_ms", model.prefillTokensPerMs())
        .number("slowdown", model.slowdown())
        .number("samples", static_cast<double>(model.samples()));
    log.stateChange(line);
    this->loggedLimit = limit;
    this->loggedAt = now;
}

boost::json::value CapacityPublisher::dump(const TargetAdmission &admission)
{
    const LearnedEngine *learned = admission.learnedEngine();
    if (learned == nullptr) {
        return {};
    }
    const EngineModel &model = learned->model();
    const auto memory = learned->memoryTokens();
    return boost::json::object{
        { "limit", admission.concurrencyLimit() },
        { "fixedMs", model.fixedMs() },
        { "prefillPerMs", model.prefillTokensPerMs() },
        { "tokenMs", model.tokenMs(admission.concurrencyLimit()) },
        { "slowdown", model.slowdown() },
        { "samples", model.samples() },
        { "grantedTokens", admission.grantedTokens() },
        { "memoryTokens", memory ? boost::json::value(*memory) : boost::json::value() },
    };
}

} // namespace wigeonsill
