/// \file loadreport.h
/// Statistics of a load run and their output as a table, JSON, CSV and a plot.
#pragma once

#include "scenario.h"

#include <iosfwd>

namespace wigeonsill {

/// Outcome of one request as its caller saw it.
enum class RequestOutcome : std::uint8_t {
    InTime, ///< Complete, correct and received while still useful.
    Late, ///< Complete and correct, but received too late to be useful.
    Refused, ///< Answered with a status other than 200.
    Partial, ///< Truncated: a connection error or timeout before the end of the body.
    Wrong, ///< Text of another request, or an incomplete answer that was ended as if complete.
    Failed, ///< No response: the connection was refused, closed or timed out.
    Unfinished, ///< Still in flight when the run ended.
};
inline constexpr std::array requestOutcomeNames = {
    EnumName<RequestOutcome>{ RequestOutcome::InTime, "inTime" },
    EnumName<RequestOutcome>{ RequestOutcome::Late, "late" },
    EnumName<RequestOutcome>{ RequestOutcome::Refused, "refused" },
    EnumName<RequestOutcome>{ RequestOutcome::Partial, "partial" },
    EnumName<RequestOutcome>{ RequestOutcome::Wrong, "wrong" },
    EnumName<RequestOutcome>{ RequestOutcome::Failed, "failed" },
    EnumName<RequestOutcome>{ RequestOutcome::Unfinished, "unfinished" },
};

/// Result of one finished request.
struct RequestRecord
{
    Tier tier = Tier::Normal;
    Duration finishedAt{}; ///< From the start of the run.
    Duration total{}; ///< From arrival to the last byte, including retries.
    std::optional<Duration> firstToken; ///< From arrival, including retries.
    std::vector<Duration> tokenGaps;
    RequestOutcome outcome = RequestOutcome::Failed;
    int code = 0; ///< Result code of a refusal, or its HTTP status if the body has no code.
    std::int64_t retries = 0;
};

/// Collects request records by tier. Not thread-safe.
class LoadReport
{
public:
    explicit LoadReport(Duration runLength);

    void recordArrival(Tier tier);
    void addRecord(const RequestRecord &record);
    /// Counts the requests without a record as unfinished. Call once, after the last addRecord().
    void countUnfinished();

    /// Whether any request got a wrong answer.
    bool hasWrongAnswers() const;
    void printTable(std::ostream &out) const;
    boost::json::object toJson() const;
    /// Goodput with one row for each second and tier.
    std::string toCsv() const;
    /// Plot of goodput by tier over time.
    std::string toSvg() const;

private:
    struct TierStatistics
    {
        std::int64_t arrived = 0;
        std::array<std::int64_t, requestOutcomeNames.size()> outcomes{};
        std::int64_t retries = 0;
        std::vector<double> totalTimes; ///< Milliseconds.
        std::vector<double> firstTokenTimes; ///< Milliseconds.
        std::vector<double> tokenGaps; ///< Milliseconds.
        std::map<int, std::int64_t> refusals; ///< By result code.
        std::vector<std::int64_t> inTimeBySecond;
    };

    double goodput(const TierStatistics &statistics) const;
    boost::json::object tierToJson(const TierStatistics &statistics) const;

    Duration length;
    std::array<TierStatistics, tierCount> tiers;
};

/// Sample at a quantile from 0 to 1, with its rank rounded down; 0 without samples.
double quantile(std::vector<double> samples, double fraction);

} // namespace wigeonsill
