/// \file loadreport.h
/// What a load run has seen, and its table, JSON, CSV and plot.
#pragma once

#include "scenario.h"

#include <iosfwd>

namespace wigeonsill {

/// How one request ended for its caller.
enum class CallEnd : std::uint8_t {
    InTime, ///< Whole, its own, and useful.
    Late, ///< Whole and its own, but too late to be useful.
    Refused, ///< Answered by a refusal.
    Partial, ///< Broken off.
    Wrong, ///< Another's answer, or one that was closed as whole and is not.
    Failed, ///< No answer: connection refused or closed.
    Unfinished, ///< The run ended first.
};
inline constexpr std::array callEndNames = {
    EnumName<CallEnd>{ CallEnd::InTime, "inTime" },
    EnumName<CallEnd>{ CallEnd::Late, "late" },
    EnumName<CallEnd>{ CallEnd::Refused, "refused" },
    EnumName<CallEnd>{ CallEnd::Partial, "partial" },
    EnumName<CallEnd>{ CallEnd::Wrong, "wrong" },
    EnumName<CallEnd>{ CallEnd::Failed, "failed" },
    EnumName<CallEnd>{ CallEnd::Unfinished, "unfinished" },
};

/// One ended request.
struct CallRecord
{
    Tier tier = Tier::Normal;
    Duration endedAt{}; ///< From the start of the run.
    Duration total{}; ///< From arrival to the last byte, retries included.
    std::optional<Duration> firstToken; ///< From arrival, retries included.
    std::vector<Duration> tokenGaps;
    CallEnd end = CallEnd::Failed;
    int code = 0; ///< Result code of a refusal, or its HTTP status.
    std::int64_t retries = 0;
};

/// Collects records. Not thread-safe.
class LoadReport
{
public:
    explicit LoadReport(Duration runLength);

    void arrived(Tier tier);
    void add(const CallRecord &record);
    /// Counts the requests that never ended. Call once, last.
    void close();

    /// Whether a wrong answer was seen.
    bool hasWrongAnswers() const;
    void printTable(std::ostream &out) const;
    boost::json::object toJson() const;
    /// One row for each second and tier.
    std::string toCsv() const;
    /// Goodput by tier over time.
    std::string toSvg() const;

private:
    struct TierFigures
    {
        std::int64_t arrived = 0;
        std::array<std::int64_t, callEndNames.size()> ends{};
        std::int64_t retries = 0;
        std::vector<double> totals; ///< Milliseconds.
        std::vector<double> firstTokens; ///< Milliseconds.
        std::vector<double> tokenGaps; ///< Milliseconds.
        std::map<int, std::int64_t> refusals; ///< By code.
        std::vector<std::int64_t> inTimeBySecond;
    };

    double goodput(const TierFigures &figures) const;
    boost::json::object tierJson(const TierFigures &figures) const;

    Duration length;
    std::array<TierFigures, tierCount> tiers;
};

/// Value below which a share of the samples lie; 0 without samples.
double quantile(std::vector<double> samples, double share);

} // namespace wigeonsill
