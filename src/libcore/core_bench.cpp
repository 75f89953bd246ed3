/// \file core_bench.cpp
/// Benchmarks of an entry, by number of agents and of waiting requests, and of an agent, by number
/// of reservations.
#include "wigeonsill/core.h"

#include <benchmark/benchmark.h>

namespace wigeonsill {
namespace {

const std::string pool = "pool";

CallerRequest makeRequest(std::uint64_t number)
{
    CallerRequest request;
    request.profile.tier = static_cast<Tier>(number % tierCount);
    request.profile.organisation = "organisation-" + std::to_string(number % 50);
    request.profile.service = "service";
    request.profile.pool = pool;
    request.profile.promptTokens = 100;
    request.profile.outputTokens = 100;
    request.profile.timeLeft = std::chrono::hours(1);
    for (std::uint64_t i = 0; i < 8; ++i) {
        request.profile.prefixHashes.push_back(number * 8 + i);
    }
    return request;
}

/// One request arrives, is reserved, pulled, dispatched, answered and ended.
void entryDecision(benchmark::State &state)
{
    EntryCoreBuilder builder;
    const auto entry = builder.incarnation({ 1, 1 }).location({ "entry", "r", "d" }).build();
    TimePoint now{ seconds(1000) };
    const auto agents = static_cast<std::uint64_t>(state.range(0));
    for (std::uint64_t i = 0; i < agents; ++i) {
        entry->agentConnected(now, { { 2, i }, { std::to_string(i), "r", "d" }, { pool }, false });
        AgentHeartbeat busy;
        busy.waiting = 10;
        busy.tokensInFlight = busy.tokenLimit = 1000;
        entry->receive(now, std::to_string(i), { 2, i }, busy);
    }
    std::uint64_t number = 0;
    for (; number < static_cast<std::uint64_t>(state.range(1)); ++number) {
        entry->submitRequest(now, makeRequest(number));
    }
    entry->takeActions();
    for (auto _ : state) {
        const RequestId id = entry->submitRequest(now, makeRequest(number++));
        std::string agent;
        for (const EntryAction &action : entry->takeActions()) {
            if (const auto *send = std::get_if<SendToAgent>(&action)) {
                agent = send->agent;
            }
        }
        const Incarnation incarnation{ 2, std::stoull(agent) };
        entry->receive(now, agent, incarnation, Pull{ id });
        entry->receive(now, agent, incarnation, AnswerHead{ id, 200, {} });
        entry->receive(now, agent, incarnation, AnswerEnd{ id, ResultCode::Ok, 0, 100, 0, 100 });
        now += milliseconds(1);
        entry->tick(now);
        benchmark::DoNotOptimize(entry->takeActions());
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(entryDecision)->ArgsProduct({ { 10, 100, 760 }, { 0, 1'000, 10'000 } });

/// One reservation is queued, another is pulled, dispatched and ended.
void agentDecision(benchmark::State &state)
{
    AgentLimits limits;
    limits.maximumRunning = 1;
    limits.maximumQueued = 20'000;
    AgentCoreBuilder builder;
    const auto agent = builder.incarnation({ 2, 1 })
                           .location({ "agent", "r", "d" })
                           .pools({ pool })
                           .limits(limits)
                           .build();
    TimePoint now{ seconds(1000) };
    const Incarnation entry{ 1, 1 };
    agent->entryConnected(now, entry);
    std::map<std::uint64_t, RequestProfile> profiles;
    std::uint64_t number = 0;
    const auto reserve = [&] {
        RequestProfile profile = makeRequest(number).profile;
        profile.id = { entry, ++number };
        profiles[number] = profile;
        agent->receive(now, entry, Reserve{ profile });
    };
    while (number <= static_cast<std::uint64_t>(state.range(0))) {
        reserve();
    }
    std::vector<AgentAction> actions = agent->takeActions();
    for (auto _ : state) {
        reserve();
        std::optional<RequestId> pulled;
        for (const AgentAction &action : actions) {
            const auto *send = std::get_if<SendToEntry>(&action);
            if (send != nullptr && std::holds_alternative<Pull>(send->message)) {
                pulled = std::get<Pull>(send->message).id;
            }
        }
        const RequestId id = pulled.value();
        agent->receive(now, entry, Bind{ profiles[id.sequence], {} });
        agent->targetHead(now, id, 200, {});
        agent->targetEnded(now, id, TargetEnd::Complete, {});
        agent->receive(now, entry, Acknowledge{ id, 0, true });
        profiles.erase(id.sequence);
        now += milliseconds(1);
        agent->tick(now);
        actions = agent->takeActions();
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(agentDecision)->Arg(10)->Arg(1'000)->Arg(10'000);

} // namespace
} // namespace wigeonsill
