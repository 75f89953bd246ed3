/// \file goodputplot.h
/// A small line plot as SVG.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonsill {

/// One line: a value for each second.
struct PlotSeries
{
    std::string name;
    std::vector<std::int64_t> bySecond;
};

/// Draws useful answers per second over time, one line for each series. Thread-safe.
std::string plotGoodput(const std::vector<PlotSeries> &series);

} // namespace wigeonsill
