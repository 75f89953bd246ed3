/// \file goodputplot.cpp
/// SVG output of the goodput plot.
#include "goodputplot.h"

#include <algorithm>
#include <array>

namespace wigeonsill {

namespace {

constexpr int width = 800; // Pixels, like all lengths in this file.
constexpr int height = 400;
constexpr int margin = 50;
constexpr int legendLineHeight = 18;
constexpr std::array seriesColours = { "#c1272d", "#e08214", "#2166ac", "#7f7f7f" };

std::string textElement(int x, int y, const std::string &text, const std::string &colour)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" fill=\"" + colour
        + "\" font-family=\"sans-serif\" font-size=\"13\">" + text + "</text>\n";
}

std::string axisElement(int x1, int y1, int x2, int y2)
{
    return "<line x1=\"" + std::to_string(x1) + "\" y1=\"" + std::to_string(y1) + "\" x2=\""
        + std::to_string(x2) + "\" y2=\"" + std::to_string(y2) + "\" stroke=\"black\"/>\n";
}

std::string seriesElement(
    const PlotSeries &series, double xStep, double yStep, const std::string &colour)
{
    std::string points;
    for (std::size_t second = 0; second < series.valuesBySecond.size(); ++second) {
        const double x = margin + double(second) * xStep;
        const double y = height - margin - double(series.valuesBySecond[second]) * yStep;
        points += std::to_string(int(x)) + "," + std::to_string(int(y)) + " ";
    }
    return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + colour + "\" points=\"" + points
        + "\"/>\n";
}

} // namespace

std::string plotGoodput(const std::vector<PlotSeries> &series)
{
    std::size_t longest = 2;
    std::int64_t highest = 1;
    for (const PlotSeries &current : series) {
        longest = std::max(longest, current.valuesBySecond.size());
        for (const std::int64_t value : current.valuesBySecond) {
            highest = std::max(highest, value);
        }
    }
    const double xStep = double(width - 2 * margin) / double(longest - 1);
    const double yStep = double(height - 2 * margin) / double(highest);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width)
        + "\" height=\"" + std::to_string(height) + "\">\n";
    svg += axisElement(margin, height - margin, width - margin, height - margin);
    svg += axisElement(margin, margin, margin, height - margin);
    svg += textElement(margin, margin - 10, "useful answers per second", "black");
    svg += textElement(5, margin + 5, std::to_string(highest), "black");
    svg += textElement(
        width - margin - 30, height - margin + 20, std::to_string(longest - 1) + " s", "black");
    for (std::size_t i = 0; i < series.size(); ++i) {
        const std::string colour = seriesColours[i % seriesColours.size()];
        svg += seriesElement(series[i], xStep, yStep, colour);
        svg += textElement(
            width - 2 * margin, margin + int(i) * legendLineHeight, series[i].name, colour);
    }
    return svg + "</svg>\n";
}

} // namespace wigeonsill
