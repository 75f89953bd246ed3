/// \file retryafter.cpp
/// Reading of the Retry-After field.
#include "wigeonsill/http.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wigeonsill {

namespace {

/// Longer times are taken for this one, so that they fit into a Duration.
constexpr Duration longestRetryAfter = std::chrono::hours(24);

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    const std::size_t first = text.find_first_not_of(whitespace);
    return first == std::string_view::npos
        ? std::string_view()
        : text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

} // namespace

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    const std::string_view number = trimmed(text);
    const std::size_t point = number.find('.');
    const std::string_view whole = number.substr(0, point);
    const std::string_view fraction
        = point == std::string_view::npos ? std::string_view("0") : number.substr(point + 1);
    for (const std::string_view digits : { whole, fraction }) {
        if (digits.empty() || !std::all_of(digits.begin(), digits.end(), isDigit)) {
            return std::nullopt;
        }
    }
    double value = 0;
    const auto parsed = std::from_chars(
        number.data(), number.data() + number.size(), value, std::chars_format::fixed);
    if (parsed.ec == std::errc::result_out_of_range) {
        // Also reported for a value that is too small to be told from 0.
        const bool isLarge = whole.find_first_not_of('0') != std::string_view::npos;
        return isLarge ? longestRetryAfter : Duration::zero();
    }
    const std::chrono::duration<double> limit = longestRetryAfter;
    const std::chrono::duration<double> stated(std::min(value, limit.count()));
    return std::chrono::ceil<Duration>(stated);
}

} // namespace wigeonsill
