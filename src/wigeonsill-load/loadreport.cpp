/// \file loadreport.cpp
/// Collection and output of load run statistics.
#include "loadreport.h"

#include "goodputplot.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <ostream>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::array quantileFractions = { 0.5, 0.95, 0.99 };
constexpr std::array<std::string_view, 3> quantileNames = { "p50", "p95", "p99" };

double toMilliseconds(Duration duration)
{
    return double(duration.count()) / 1000;
}

json::object quantilesToJson(const std::vector<double> &samples)
{
    json::object result;
    for (std::size_t i = 0; i < quantileFractions.size(); ++i) {
        result[quantileNames[i]] = quantile(samples, quantileFractions[i]);
    }
    result["samples"] = samples.size();
    return result;
}

} // namespace

double quantile(std::vector<double> samples, double fraction)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = std::size_t(fraction * double(samples.size() - 1));
    const auto position = samples.begin() + std::ptrdiff_t(rank);
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

LoadReport::LoadReport(Duration runLength)
    : length(runLength)
{
}

void LoadReport::recordArrival(Tier tier)
{
    ++this->tiers[std::size_t(tier)].arrived;
}

void LoadReport::addRecord(const RequestRecord &record)
{
    TierStatistics &statistics = this->tiers[std::size_t(record.tier)];
    ++statistics.outcomes[std::size_t(record.outcome)];
    statistics.retries += record.retries;
    if (record.outcome == RequestOutcome::Refused) {
        ++statistics.refusals[record.code];
    }
    if (record.firstToken) {
        statistics.firstTokenTimes.push_back(toMilliseconds(*record.firstToken));
    }
    for (const Duration gap : record.tokenGaps) {
        statistics.tokenGaps.push_back(toMilliseconds(gap));
    }
    if (record.outcome != RequestOutcome::InTime && record.outcome != RequestOutcome::Late) {
        return;
    }
    statistics.totalTimes.push_back(toMilliseconds(record.total));
    if (record.outcome == RequestOutcome::InTime) {
        const auto second = std::size_t(record.finishedAt / seconds(1));
        statistics.inTimeBySecond.resize(std::max(statistics.inTimeBySecond.size(), second + 1));
        ++statistics.inTimeBySecond[second];
    }
}

void LoadReport::countUnfinished()
{
    for (TierStatistics &statistics : this->tiers) {
        const std::int64_t finishedRequests = std::accumulate(
            statistics.outcomes.begin(), statistics.outcomes.end(), std::int64_t(0));
        statistics.outcomes[std::size_t(RequestOutcome::Unfinished)]
            += statistics.arrived - finishedRequests;
    }
}

bool LoadReport::hasWrongAnswers() const
{
    return std::any_of(this->tiers.begin(), this->tiers.end(), [](const TierStatistics &tier) {
        return tier.outcomes[std::size_t(RequestOutcome::Wrong)] > 0;
    });
}

/// Mean useful answers per second over the phases, without the settle time.
double LoadReport::goodput(const TierStatistics &statistics) const
{
    const auto fullSeconds = std::size_t(std::max<std::int64_t>(1, this->length / seconds(1)));
    const std::size_t countedSeconds = std::min(fullSeconds, statistics.inTimeBySecond.size());
    const auto begin = statistics.inTimeBySecond.begin();
    const std::int64_t usefulAnswers
        = std::accumulate(begin, begin + std::ptrdiff_t(countedSeconds), std::int64_t(0));
    return double(usefulAnswers) / double(fullSeconds);
}

void LoadReport::printTable(std::ostream &out) const
{
    out << "tier     arrived  inTime   late refused partial  wrong failed unfin. goodput/s "
           "ttft p50/p95/p99 ms    gap p50/p95/p99 ms\n";
    for (std::size_t i = 0; i < tierCount; ++i) {
        const TierStatistics &tier = this->tiers[i];
        if (tier.arrived == 0) {
            continue;
        }
        std::array<char, 256> line{};
        const auto &outcomes = tier.outcomes;
        const auto ttft
            = [&tier](double fraction) { return quantile(tier.firstTokenTimes, fraction); };
        const auto gap = [&tier](double fraction) { return quantile(tier.tokenGaps, fraction); };
        std::snprintf(line.data(), line.size(),
            "%-8s %7lld %7lld %6lld %7lld %7lld %6lld %6lld %6lld %9.1f %6.0f/%6.0f/%6.0f   "
            "%5.1f/%5.1f/%5.1f\n",
            std::string(tierNames[i].name).c_str(), static_cast<long long>(tier.arrived),
            static_cast<long long>(outcomes[0]), static_cast<long long>(outcomes[1]),
            static_cast<long long>(outcomes[2]), static_cast<long long>(outcomes[3]),
            static_cast<long long>(outcomes[4]), static_cast<long long>(outcomes[5]),
            static_cast<long long>(outcomes[6]), this->goodput(tier), ttft(0.5), ttft(0.95),
            ttft(0.99), gap(0.5), gap(0.95), gap(0.99));
        out << line.data();
        for (const auto &[code, count] : tier.refusals) {
            out << "         refused with code " << code << ": " << count << "\n";
        }
    }
}

json::object LoadReport::tierToJson(const TierStatistics &statistics) const
{
    json::object result;
    result["arrived"] = statistics.arrived;
    for (std::size_t i = 0; i < requestOutcomeNames.size(); ++i) {
        result[requestOutcomeNames[i].name] = statistics.outcomes[i];
    }
    result["retries"] = statistics.retries;
    result["goodputPerSecond"] = this->goodput(statistics);
    result["totalMs"] = quantilesToJson(statistics.totalTimes);
    result["firstTokenMs"] = quantilesToJson(statistics.firstTokenTimes);
    result["tokenGapMs"] = quantilesToJson(statistics.tokenGaps);
    json::object refusals;
    for (const auto &[code, count] : statistics.refusals) {
        refusals[std::to_string(code)] = count;
    }
    result["refusals"] = std::move(refusals);
    result["inTimeBySecond"] = json::value_from(statistics.inTimeBySecond);
    return result;
}

json::object LoadReport::toJson() const
{
    json::object tierStatistics;
    for (std::size_t i = 0; i < tierCount; ++i) {
        if (this->tiers[i].arrived > 0) {
            tierStatistics[tierNames[i].name] = this->tierToJson(this->tiers[i]);
        }
    }
    json::object result;
    result["seconds"] = double(this->length.count()) / 1e6;
    result["tiers"] = std::move(tierStatistics);
    return result;
}

std::string LoadReport::toCsv() const
{
    std::string text = "second,tier,inTime\n";
    for (std::size_t i = 0; i < tierCount; ++i) {
        const auto &valuesBySecond = this->tiers[i].inTimeBySecond;
        for (std::size_t second = 0; second < valuesBySecond.size(); ++second) {
            text += std::to_string(second) + "," + std::string(tierNames[i].name) + ","
                + std::to_string(valuesBySecond[second]) + "\n";
        }
    }
    return text;
}

std::string LoadReport::toSvg() const
{
    std::vector<PlotSeries> series;
    for (std::size_t i = 0; i < tierCount; ++i) {
        if (this->tiers[i].arrived > 0) {
            series.push_back({ std::string(tierNames[i].name), this->tiers[i].inTimeBySecond });
        }
    }
    return plotGoodput(series);
}

} // namespace wigeonsill
