/// \file control_bench.cpp
/// Measures the size and the CPU time of each control message, from which docs/CAPACITY.md derives
/// the cost per message.
///
/// The counter "bytes" is the size of the frame, length prefix included; the time covers encoding
/// and decoding one message.
#include "wigeonsill/wire.h"

#include <benchmark/benchmark.h>

namespace wigeonsill {
namespace {

constexpr std::size_t lengthFieldBytes = 4;

RequestProfile makeProfile()
{
    RequestProfile profile;
    profile.id = { { 1, 2 }, 3 };
    profile.organisation = "organisation-012345";
    profile.pool = "camp-language";
    profile.promptTokens = 1000;
    profile.outputTokens = 300;
    profile.prefixHashes = { 1, 2, 3, 4 };
    profile.timeLeft = seconds(10);
    return profile;
}

void measureEntryMessage(benchmark::State &state, const EntryMessage &message)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string frame = encodeFrame(EntryFrame(message));
        bytes = frame.size();
        benchmark::DoNotOptimize(decodeEntryFrame(frame));
    }
    state.counters["bytes"] = static_cast<double>(bytes + lengthFieldBytes);
}

void measureAgentMessage(benchmark::State &state, const AgentMessage &message)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string frame = encodeFrame(message);
        bytes = frame.size();
        benchmark::DoNotOptimize(decodeAgentFrame(frame));
    }
    state.counters["bytes"] = static_cast<double>(bytes + lengthFieldBytes);
}

BENCHMARK_CAPTURE(measureEntryMessage, entryHeartbeat, EntryMessage(EntryHeartbeat{}));
BENCHMARK_CAPTURE(measureEntryMessage, reserve, EntryMessage(Reserve{ makeProfile() }));
BENCHMARK_CAPTURE(measureEntryMessage, withdraw, EntryMessage(Withdraw{ { { 1, 2 }, 3 } }));
BENCHMARK_CAPTURE(measureEntryMessage, bindOf4KilobytePrompt,
    EntryMessage(Bind{ makeProfile(), { "POST", "/v1/completions", {}, std::string(4096, 'x') } }));
BENCHMARK_CAPTURE(
    measureEntryMessage, acknowledge, EntryMessage(Acknowledge{ { { 1, 2 }, 3 }, 100, true }));
BENCHMARK_CAPTURE(measureAgentMessage, agentHeartbeat, AgentMessage(AgentHeartbeat{}));
BENCHMARK_CAPTURE(measureAgentMessage, pull, AgentMessage(Pull{ { { 1, 2 }, 3 } }));
BENCHMARK_CAPTURE(measureAgentMessage, answerHead,
    AgentMessage(AnswerHead{ { { 1, 2 }, 3 }, 200, { { "Content-Type", "text/event-stream" } } }));
BENCHMARK_CAPTURE(measureAgentMessage, answerBytesOfOneToken,
    AgentMessage(AnswerBytes{ { { 1, 2 }, 3 }, 100, std::string(70, 'x') }));
BENCHMARK_CAPTURE(measureAgentMessage, answerEnd,
    AgentMessage(AnswerEnd{ { { 1, 2 }, 3 }, ResultCode::Ok, 1, 2, 3, 4 }));

} // namespace
} // namespace wigeonsill
