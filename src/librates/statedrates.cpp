/// \file statedrates.cpp
/// What targets state of the rate that they take.
#include "wigeonsill/rates.h"

#include <algorithm>
#include <charconv>

namespace wigeonsill {

namespace {

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool areDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

std::vector<RateStatement> newestFirst(std::vector<RateStatement> statements)
{
    std::sort(statements.begin(), statements.end(),
        [](const RateStatement &left, const RateStatement &right) { return left.at > right.at; });
    if (statements.size() > StatedRates::maximumStatements) {
        statements.resize(StatedRates::maximumStatements);
    }
    return statements;
}

} // namespace

std::optional<double> parseStatedRate(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return std::nullopt;
    }
    text = text.substr(first, text.find_last_not_of(blanks) + 1 - first);
    const std::size_t point = text.find('.');
    const bool hasFraction = point != std::string_view::npos;
    if (!areDigits(text.substr(0, point)) || (hasFraction && !areDigits(text.substr(point + 1)))) {
        return std::nullopt;
    }
    double value = 0;
    const auto parsed
        = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (parsed.ec == std::errc::result_out_of_range) {
        // Also reported for a value that is too small to be told from 0.
        const bool isLarge = text.substr(0, point).find_first_not_of('0') != std::string_view::npos;
        return isLarge ? maximumStatedRate : 0;
    }
    return std::min(value, maximumStatedRate);
}

bool StatedRates::apply(Record &record, const RateStatement &statement)
{
    const bool known = record.newest.isOfSameTarget(statement);
    if (known && statement.at <= record.newest.at) {
        return false;
    }
    if (!known && statement.startedMs < record.newest.startedMs) {
        return false; // Of an incarnation that has been replaced.
    }
    const bool changed
        = known ? record.newest.perSecond != statement.perSecond : statement.perSecond.has_value();
    if (!known) {
        record.received.reset();
    }
    record.newest = statement;
    return changed;
}

bool StatedRates::recordAnswer(
    const Target &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const RateStatement *known = this->find(target);
    if (!perSecond && (known == nullptr || !known->perSecond || sentAt <= known->at)) {
        return false;
    }
    Record &record = this->records[target.id];
    const RateStatement statement{ target.id, target.startedMs, perSecond, now };
    const bool changed = this->apply(record, statement);
    record.received = statement;
    return changed;
}

bool StatedRates::adopt(const RateStatement &statement, TimePoint now)
{
    Record &record = this->records[statement.targetId];
    record.toldAt = now;
    return this->apply(record, statement);
}

const RateStatement *StatedRates::find(const Target &target) const
{
    const auto found = this->records.find(target.id);
    const bool known
        = found != this->records.end() && found->second.newest.startedMs == target.startedMs;
    return known ? &found->second.newest : nullptr;
}

std::optional<double> StatedRates::rate(const Target &target) const
{
    const RateStatement *known = this->find(target);
    return known == nullptr ? std::nullopt : known->perSecond;
}

std::vector<RateStatement> StatedRates::received() const
{
    std::vector<RateStatement> result;
    for (const auto &[id, record] : this->records) {
        if (record.received) {
            result.push_back(*record.received);
        }
    }
    return newestFirst(std::move(result));
}

std::vector<RateStatement> StatedRates::known() const
{
    std::vector<RateStatement> result;
    result.reserve(this->records.size());
    for (const auto &[id, record] : this->records) {
        result.push_back(record.newest);
    }
    return newestFirst(std::move(result));
}

void StatedRates::forgetUnlisted(const TargetDirectory &directory)
{
    std::erase_if(this->records,
        [&directory](const auto &element) { return directory.find(element.first) == nullptr; });
}

void StatedRates::expire(TimePoint now)
{
    std::erase_if(this->records,
        [now](const auto &element) { return now - element.second.toldAt > relayTime; });
}

} // namespace wigeonsill
