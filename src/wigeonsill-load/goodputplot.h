/// \file goodputplot.h
/// Draws goodput over time as an SVG line plot.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonsill {

/// One line of the plot, with one value per second.
struct PlotSeries
{
    std::string name;
    std::vector<std::int64_t> valuesBySecond;
};

/// Returns an SVG plot of the useful answers per second over time, with one line per series.
/// Thread-safe.
std::string plotGoodput(const std::vector<PlotSeries> &series);

} // namespace wigeonsill
