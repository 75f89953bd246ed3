/// \file loadreport.cpp
/// Collection of a load run's figures and their output.
#include "loadreport.h"

#include "goodputplot.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <ostream>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::array quantileShares = { 0.5, 0.95, 0.99 };
constexpr std::array<std::string_view, 3> quantileNames = { "p50", "p95", "p99" };

double inMilliseconds(Duration duration)
{
    return double(duration.count()) / 1000;
}

json::object quantilesOf(const std::vector<double> &samples)
{
    json::object result;
    for (std::size_t i = 0; i < quantileShares.size(); ++i) {
        result[quantileNames[i]] = quantile(samples, quantileShares[i]);
    }
    result["samples"] = samples.size();
    return result;
}

} // namespace

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = std::size_t(share * double(samples.size() - 1));
    const auto place = samples.begin() + std::ptrdiff_t(rank);
    std::nth_element(samples.begin(), place, samples.end());
    return *place;
}

LoadReport::LoadReport(Duration runLength)
    : length(runLength)
{
}

void LoadReport::arrived(Tier tier)
{
    ++this->tiers[std::size_t(tier)].arrived;
}

void LoadReport::add(const CallRecord &record)
{
    TierFigures &figures = this->tiers[std::size_t(record.tier)];
    ++figures.ends[std::size_t(record.end)];
    figures.retries += record.retries;
    if (record.end == CallEnd::Refused) {
        ++figures.refusals[record.code];
    }
    if (record.firstToken) {
        figures.firstTokens.push_back(inMilliseconds(*record.firstToken));
    }
    for (const Duration gap : record.tokenGaps) {
        figures.tokenGaps.push_back(inMilliseconds(gap));
    }
    if (record.end != CallEnd::InTime && record.end != CallEnd::Late) {
        return;
    }
    figures.totals.push_back(inMilliseconds(record.total));
    if (record.end == CallEnd::InTime) {
        const auto second = std::size_t(record.endedAt / seconds(1));
        figures.inTimeBySecond.resize(std::max(figures.inTimeBySecond.size(), second + 1));
        ++figures.inTimeBySecond[second];
    }
}

void LoadReport::close()
{
    for (TierFigures &figures : this->tiers) {
        const std::int64_t ended
            = std::accumulate(figures.ends.begin(), figures.ends.end(), std::int64_t(0));
        figures.ends[std::size_t(CallEnd::Unfinished)] += figures.arrived - ended;
    }
}

bool LoadReport::hasWrongAnswers() const
{
    return std::any_of(this->tiers.begin(), this->tiers.end(),
        [](const TierFigures &tier) { return tier.ends[std::size_t(CallEnd::Wrong)] > 0; });
}

/// Useful answers per second, counted while the phases last.
double LoadReport::goodput(const TierFigures &figures) const
{
    const auto wholeSeconds = std::size_t(std::max<std::int64_t>(1, this->length / seconds(1)));
    const std::size_t counted = std::min(wholeSeconds, figures.inTimeBySecond.size());
    const auto begin = figures.inTimeBySecond.begin();
    const std::int64_t useful
        = std::accumulate(begin, begin + std::ptrdiff_t(counted), std::int64_t(0));
    return double(useful) / double(wholeSeconds);
}

void LoadReport::printTable(std::ostream &out) const
{
    out << "tier     arrived  inTime   late refused partial  wrong failed unfin. goodput/s "
           "ttft p50/p95/p99 ms    gap p50/p95/p99 ms\n";
    for (std::size_t i = 0; i < tierCount; ++i) {
        const TierFigures &tier = this->tiers[i];
        if (tier.arrived == 0) {
            continue;
        }
        std::array<char, 256> line{};
        const auto &ends = tier.ends;
        const auto ttft = [&tier](double share) { return quantile(tier.firstTokens, share); };
        const auto gap = [&tier](double share) { return quantile(tier.tokenGaps, share); };
        std::snprintf(line.data(), line.size(),
            "%-8s %7lld %7lld %6lld %7lld %7lld %6lld %6lld %6lld %9.1f %6.0f/%6.0f/%6.0f   "
            "%5.1f/%5.1f/%5.1f\n",
            std::string(tierNames[i].name).c_str(), static_cast<long long>(tier.arrived),
            static_cast<long long>(ends[0]), static_cast<long long>(ends[1]),
            static_cast<long long>(ends[2]), static_cast<long long>(ends[3]),
            static_cast<long long>(ends[4]), static_cast<long long>(ends[5]),
            static_cast<long long>(ends[6]), this->goodput(tier), ttft(0.5), ttft(0.95), ttft(0.99),
            gap(0.5), gap(0.95), gap(0.99));
        out << line.data();
        for (const auto &[code, count] : tier.refusals) {
            out << "         refused with code " << code << ": " << count << "\n";
        }
    }
}

json::object LoadReport::tierJson(const TierFigures &figures) const
{
    json::object result;
    result["arrived"] = figures.arrived;
    for (std::size_t i = 0; i < callEndNames.size(); ++i) {
        result[callEndNames[i].name] = figures.ends[i];
    }
    result["retries"] = figures.retries;
    result["goodputPerSecond"] = this->goodput(figures);
    result["totalMs"] = quantilesOf(figures.totals);
    result["firstTokenMs"] = quantilesOf(figures.firstTokens);
    result["tokenGapMs"] = quantilesOf(figures.tokenGaps);
    json::object refusals;
    for (const auto &[code, count] : figures.refusals) {
        refusals[std::to_string(code)] = count;
    }
    result["refusals"] = std::move(refusals);
    result["inTimeBySecond"] = json::value_from(figures.inTimeBySecond);
    return result;
}

json::object LoadReport::toJson() const
{
    json::object tierFigures;
    for (std::size_t i = 0; i < tierCount; ++i) {
        if (this->tiers[i].arrived > 0) {
            tierFigures[tierNames[i].name] = this->tierJson(this->tiers[i]);
        }
    }
    json::object result;
    result["seconds"] = double(this->length.count()) / 1e6;
    result["tiers"] = std::move(tierFigures);
    return result;
}

std::string LoadReport::toCsv() const
{
    std::string text = "second,tier,inTime\n";
    for (std::size_t i = 0; i < tierCount; ++i) {
        const auto &bySecond = this->tiers[i].inTimeBySecond;
        for (std::size_t second = 0; second < bySecond.size(); ++second) {
            text += std::to_string(second) + "," + std::string(tierNames[i].name) + ","
                + std::to_string(bySecond[second]) + "\n";
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
