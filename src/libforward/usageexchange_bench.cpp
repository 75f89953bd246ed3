/// \file usageexchange_bench.cpp
/// Work and bytes of the exchange of usage at one collector and one entry, without a network, by
/// number of entries and of organisations with a quota.
#include "grantmessage.h"

#include <benchmark/benchmark.h>

#include <random>

namespace wigeonsill {
namespace {

constexpr Duration window = seconds(8);
constexpr Duration reportInterval = milliseconds(250);
/// Reports of an entry before the measurement: a whole window, or a second where the samples of a
/// window would take hundreds of megabytes.
int warmUpRounds(std::int64_t organisations)
{
    return organisations > 100 ? 4 : 32;
}

/// Some use of each organisation; a tenth of them admitted something since the last report.
class ReportingEntry
{
public:
    explicit ReportingEntry(std::int64_t organisations)
    {
        for (std::int64_t i = 0; i < organisations; ++i) {
            this->usage["organisation-" + std::to_string(i)] = {};
        }
    }

    std::string report()
    {
        for (auto &[name, use] : this->usage) {
            if (this->random() % 10 == 0) {
                use.total += static_cast<double>(this->random() % 10'000);
                use.inWindow = use.total / 2;
            }
            use.demand = use.demand * 0.6 + static_cast<double>(this->random() % 1'000);
        }
        GrantMessage message;
        message.kind = GrantKind::Usage;
        message.sender = this->id;
        message.ownUsage = this->usage;
        return encode(message);
    }

private:
    UsageByOrganisation usage;
    std::mt19937_64 random{ std::random_device{}() };
    std::uint64_t id = this->random();
};

/// A report arrives at the collector and is answered.
void collectorAnswersReport(benchmark::State &state)
{
    const std::int64_t count = state.range(0);
    std::vector<ReportingEntry> entries;
    for (std::int64_t i = 0; i < count; ++i) {
        entries.emplace_back(state.range(1));
    }
    TimePoint now{ seconds(1'000) };
    UsageCollector collector(window, now);
    std::size_t reportBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t next = 0;
    const auto exchange = [&](const std::string &report) {
        const auto message = decodeGrantMessage(report);
        collector.addReport(message->sender, message->ownUsage, now);
        GrantMessage answer;
        answer.kind = GrantKind::OthersUsage;
        answer.sender = 1;
        answer.usage = collector.reportFor(message->sender, now);
        reportBytes = report.size();
        answerBytes = encode(answer).size();
        now += reportInterval / count;
        next = (next + 1) % entries.size();
    };
    for (std::int64_t i = 0; i < warmUpRounds(state.range(1)) * count; ++i) {
        exchange(entries[next].report());
    }
    for ([[maybe_unused]] auto _ : state) {
        state.PauseTiming();
        const std::string report = entries[next].report();
        state.ResumeTiming();
        exchange(report);
    }
    state.counters["report_bytes"] = static_cast<double>(reportBytes);
    state.counters["answer_bytes"] = static_cast<double>(answerBytes);
}

/// An entry makes its report and applies a collector's answer.
void entryReports(benchmark::State &state)
{
    const auto organisations = state.range(1);
    TimePoint now{ seconds(1'000) };
    QuotaLimiter limiter({ window, 140'000, 0.1 });
    GrantMessage answer;
    answer.kind = GrantKind::OthersUsage;
    answer.usage.sharingEntries = static_cast<int>(state.range(0));
    answer.usage.collectorAge = seconds(100);
    for (std::int64_t i = 0; i < organisations; ++i) {
        const std::string name = "organisation-" + std::to_string(i);
        answer.usage.othersUsage[name] = 1'234.5 * static_cast<double>(i + 1);
        answer.usage.othersDemand[name] = 123.25 * static_cast<double>(i + 1);
    }
    const std::string bytes = encode(answer);
    for ([[maybe_unused]] auto _ : state) {
        limiter.applyReport(decodeGrantMessage(bytes)->usage, now);
        GrantMessage report;
        report.kind = GrantKind::Usage;
        report.ownUsage = limiter.ownUsage(now);
        benchmark::DoNotOptimize(encode(report));
        now += reportInterval;
    }
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    for (const int entries : { 30, 100, 300 }) {
        for (const int organisations : { 16, 100, 1'000 }) {
            benchmark->Args({ entries, organisations });
        }
    }
}

BENCHMARK(collectorAnswersReport)->Apply(sizes)->Unit(benchmark::kMicrosecond)->Iterations(600);
BENCHMARK(entryReports)->Apply(sizes)->Unit(benchmark::kMicrosecond)->Iterations(600);

} // namespace
} // namespace wigeonsill
