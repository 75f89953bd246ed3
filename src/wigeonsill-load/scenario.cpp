/// \file scenario.cpp
/// Reading of scenarios from JSON.
#include "scenario.h"

namespace wigeonsill {

namespace {

constexpr std::int64_t maximumTokens = 1'000'000;
constexpr double maximumRate = 100'000;
constexpr std::int64_t maximumMilliseconds = 3'600'000;

Duration readDuration(SettingsReader &reader, std::string_view key, Duration fallback)
{
    return milliseconds(reader.number(key, 1, maximumMilliseconds, fallback / milliseconds(1)));
}

TokenRange readTokenRange(SettingsReader reader)
{
    TokenRange range;
    range.minimum = reader.number("minimum", 1, maximumTokens);
    range.maximum = reader.number("maximum", 1, maximumTokens);
    if (range.maximum < range.minimum) {
        reader.report("maximum", ResultCode::SettingsOutOfRange, "expected at least the minimum");
    }
    reader.finish();
    return range;
}

Phase readPhase(SettingsReader &reader)
{
    Phase phase;
    phase.name = reader.text("name");
    phase.length = readDuration(reader, "milliseconds", phase.length);
    phase.rate = reader.real("rate", 0.001, maximumRate);
    reader.finish();
    return phase;
}

RequestKind readRequestKind(SettingsReader &reader)
{
    RequestKind kind;
    kind.name = reader.text("name");
    kind.service = reader.text("service");
    kind.token = reader.text("token");
    kind.tier = reader.choice<Tier>("tier", tierNames);
    kind.share = reader.real("share", 0.0001, 1e6, kind.share);
    kind.stream = reader.flag("stream", kind.stream);
    kind.usefulWithin = readDuration(reader, "usefulWithinMs", kind.usefulWithin);
    kind.promptTokens = readTokenRange(reader.object("promptTokens", true));
    kind.outputTokens = readTokenRange(reader.object("outputTokens", true));
    SettingsReader prefix = reader.object("sharedPrefix");
    kind.prefixCount = prefix.number("count", 0, maximumTokens, kind.prefixCount);
    kind.prefixTokens = prefix.number("tokens", 0, maximumTokens, kind.prefixTokens);
    prefix.finish();
    reader.finish();
    return kind;
}

} // namespace

Duration Scenario::length() const
{
    Duration total{};
    for (const Phase &phase : this->phases) {
        total += phase.length;
    }
    return total;
}

Scenario readScenario(SettingsReader &reader)
{
    Scenario scenario;
    scenario.seed = static_cast<std::uint64_t>(reader.number("seed", 0, INT64_MAX, 1));
    scenario.settleTime = readDuration(reader, "settleMs", scenario.settleTime);
    for (SettingsReader &phase : reader.objectList("phases", true)) {
        scenario.phases.push_back(readPhase(phase));
    }
    for (SettingsReader &kind : reader.objectList("requests", true)) {
        scenario.kinds.push_back(readRequestKind(kind));
    }
    SettingsReader retry = reader.object("retry");
    scenario.retry.obeyRetryAfter = retry.flag("obeyRetryAfter", false);
    scenario.retry.maximumRetries = retry.number("maximum", 0, 100, 0);
    retry.finish();
    if (scenario.phases.empty() || scenario.kinds.empty()) {
        reader.report("phases", ResultCode::SettingsOutOfRange,
            "expected at least one phase and one kind of request");
    }
    reader.finish();
    return scenario;
}

} // namespace wigeonsill
