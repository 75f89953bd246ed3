/// \file metrics.cpp
/// Metrics kept with Boost.Accumulators and exported in the Prometheus text format.
#include "wigeonsill/util.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sstream>

namespace wigeonsill {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles = { 0.5, 0.95, 0.99 };

using Distribution = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
        accumulators::tag::extended_p_square>>;

/// Values of one metric by their labels.
template <class T>
using Series = std::map<std::string, T, std::less<>>;
/// Series by the name of their metric.
template <class T>
using Family = std::map<std::string, Series<T>, std::less<>>;

template <class T>
Series<T> &findOrAddSeries(Family<T> &family, std::string_view name)
{
    auto found = family.find(name);
    if (found == family.end()) {
        found = family.emplace(std::string(name), Series<T>{}).first;
    }
    return found->second;
}

double &findOrAddValue(Family<double> &family, std::string_view name, std::string_view labels)
{
    Series<double> &series = findOrAddSeries(family, name);
    auto found = series.find(labels);
    if (found == series.end()) {
        found = series.emplace(std::string(labels), 0.0).first;
    }
    return found->second;
}

std::string formatLabels(std::string_view labels, std::string_view extraLabel = {})
{
    if (labels.empty() && extraLabel.empty()) {
        return {};
    }
    std::string text = "{";
    text += labels;
    if (!labels.empty() && !extraLabel.empty()) {
        text += ",";
    }
    text += extraLabel;
    return text + "}";
}

void writeFamily(std::ostringstream &out, const Family<double> &family, std::string_view type)
{
    for (const auto &[name, series] : family) {
        out << "# TYPE " << name << " " << type << "\n";
        for (const auto &[labels, value] : series) {
            out << name << formatLabels(labels) << " " << value << "\n";
        }
    }
}

void writeDistribution(std::ostringstream &out, const std::string &name, const std::string &labels,
    const Distribution &distribution)
{
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        std::ostringstream quantile;
        quantile << "quantile=\"" << quantiles[i] << "\"";
        out << name << formatLabels(labels, quantile.str()) << " "
            << accumulators::extended_p_square(distribution)[static_cast<std::ptrdiff_t>(i)]
            << "\n";
    }
    out << name << "_sum" << formatLabels(labels) << " " << accumulators::sum(distribution) << "\n";
    out << name << "_count" << formatLabels(labels) << " " << accumulators::count(distribution)
        << "\n";
}

} // namespace

struct Metrics::Private
{
    Family<double> counters;
    Family<double> gauges;
    Family<Distribution> distributions;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, double amount)
{
    findOrAddValue(this->d->counters, name, labels) += amount;
}

void Metrics::gauge(std::string_view name, std::string_view labels, double value)
{
    findOrAddValue(this->d->gauges, name, labels) = value;
}

void Metrics::sample(std::string_view name, std::string_view labels, double value)
{
    Series<Distribution> &series = findOrAddSeries(this->d->distributions, name);
    auto found = series.find(labels);
    if (found == series.end()) {
        const Distribution empty(accumulators::tag::extended_p_square::probabilities = quantiles);
        found = series.emplace(std::string(labels), empty).first;
    }
    found->second(value);
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    writeFamily(out, this->d->counters, "counter");
    writeFamily(out, this->d->gauges, "gauge");
    for (const auto &[name, series] : this->d->distributions) {
        out << "# TYPE " << name << " summary\n";
        for (const auto &[labels, distribution] : series) {
            writeDistribution(out, name, labels, distribution);
        }
    }
    return out.str();
}

} // namespace wigeonsill
