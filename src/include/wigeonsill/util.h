/// \file util.h
/// Public header of the util library: result codes, identifiers, time types, names of enums,
/// option parsing, logging and metrics. It depends on no other library of the project.
#pragma once

#include <boost/json.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonsill {

/// Length of time; the project's unit is the microsecond.
using Duration = std::chrono::microseconds;
/// Point on a process's monotonic clock. It means nothing to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---------------------------------------------------------------------------------------------
// Result codes

/// What a caller knows about its request once it has ended.
enum class Outcome : std::uint8_t {
    Completed, ///< The whole answer was delivered.
    NotRun, ///< The request was not run and will not be.
    Interrupted, ///< The request ran; its answer is incomplete.
    Unknown, ///< Nobody reachable knows whether it ran.
};

/// Returns the name used in the Wigeonsill-Outcome header. Thread-safe.
std::string_view nameOf(Outcome outcome);

/// Numbered results. docs/ERRORS.md holds the same table.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    // 1xxx: the request is at fault; it was not run.
    MalformedRequest = 1001,
    HeaderTooLarge = 1002,
    BodyTooLarge = 1003,
    UnknownOrganisation = 1004,
    UnknownService = 1005,
    IdempotencyKeyRequired = 1006,
    IdempotencyKeyReused = 1007,
    RequestTimeout = 1008,
    MethodNotAllowed = 1009,
    IdempotencyKeyTooLong = 1010,
    // 2xxx: refused; it was not run.
    NoTargetAvailable = 2001,
    Overloaded = 2002,
    DeadlineUnreachable = 2003,
    Draining = 2004,
    ClaimStoreUnavailable = 2005,
    NoConfiguration = 2006,
    QuotaExceeded = 2007,
    TierFloor = 2008,
    CallerGone = 2009,
    TargetRefusedConnection = 2010,
    FirstAttemptRunning = 2011,
    RequestExpired = 2012,
    // 3xxx: ran, answer incomplete.
    TargetBrokeOff = 3001,
    AnswerLost = 3002,
    Preempted = 3003,
    Cancelled = 3004,
    // 4xxx: unknown whether it ran.
    AgentLost = 4001,
    TargetSilent = 4002,
    EarlierAttemptUnknown = 4003,
    EntryStopped = 4004,
    // 5xxx: settings and templates.
    SettingsUnreadable = 5001,
    SettingsSyntax = 5002,
    SettingsUnknownKey = 5003,
    SettingsMissingKey = 5004,
    SettingsWrongType = 5005,
    SettingsOutOfRange = 5006,
    TemplateUnknown = 5007,
    TierUnknown = 5008,
    ServiceWithoutTarget = 5009,
    QuotaAboveCapacity = 5010,
    // 6xxx: platform.
    StoreUnavailable = 6001,
    StoreConflict = 6002,
    StoreKeyMissing = 6003,
    StoreRateLimited = 6004,
    StoreAnswerLost = 6005,
    // 7xxx: transport between the system's processes.
    ConnectionFailed = 7001,
    ConnectionClosed = 7002,
    MessageMalformed = 7003,
    MessageTooLarge = 7004,
};

/// One row of the result table.
struct ResultInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus; ///< Status towards a caller; 0 where a caller never sees it.
    Outcome outcome;
    std::string_view text; ///< Sentence for problem documents and logs.
};

/// Returns the row of a code. Thread-safe.
const ResultInfo &infoOf(ResultCode code);
/// Returns the whole table in ascending order of code. Thread-safe.
std::span<const ResultInfo> resultTable();

/// An error with its code and a detail for people.
struct Error
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

/// Result of a fallible call. Asking for the value of a failed one ends the process.
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// ---------------------------------------------------------------------------------------------
// Tables of enum names

/// One name of an enum value.
template <class E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// Looks a name up in a table; empty when it is not there. Thread-safe.
template <class E, std::size_t N>
std::optional<E> enumFromName(const std::array<EnumName<E>, N> &table, std::string_view name)
{
    for (const EnumName<E> &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// Returns the name of a value, or "?" when the table lacks it. Thread-safe.
template <class E, std::size_t N>
std::string_view enumName(const std::array<EnumName<E>, N> &table, E value)
{
    for (const EnumName<E> &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

// ---------------------------------------------------------------------------------------------
// Vocabulary shared by declarations and decisions

/// Order in which work survives overload; lower value survives longer.
enum class Tier : std::uint8_t { Critical, High, Normal, Bulk };
constexpr std::size_t tierCount = 4;
inline constexpr std::array tierNames = {
    EnumName<Tier>{ Tier::Critical, "critical" },
    EnumName<Tier>{ Tier::High, "high" },
    EnumName<Tier>{ Tier::Normal, "normal" },
    EnumName<Tier>{ Tier::Bulk, "bulk" },
};

/// Whether running lower-tier work may be cancelled for a higher tier.
enum class Preemption : std::uint8_t {
    Never, ///< Running work always ends by itself.
    IdempotentOnly, ///< Idempotent lower-tier work may be cancelled.
};
inline constexpr std::array preemptionNames = {
    EnumName<Preemption>{ Preemption::Never, "never" },
    EnumName<Preemption>{ Preemption::IdempotentOnly, "idempotent-only" },
};

/// What a deployment weighs more heavily.
enum class Weighting : std::uint8_t {
    Goodput, ///< Goodput by tier.
    Prefill, ///< Little wasted prefill.
};
inline constexpr std::array weightingNames = {
    EnumName<Weighting>{ Weighting::Goodput, "goodput" },
    EnumName<Weighting>{ Weighting::Prefill, "prefill" },
};

// ---------------------------------------------------------------------------------------------
// Identifiers

/// One life of a process: 128 random bits drawn at start.
struct Incarnation
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Incarnation &) const = default;
};

/// Identifies a request for ever: the entry's incarnation and a counter.
struct RequestId
{
    Incarnation entry;
    std::uint64_t sequence = 0;
    auto operator<=>(const RequestId &) const = default;
};

/// Draws an incarnation from the system's entropy source.
Incarnation drawIncarnation();
/// Text form, 32 hexadecimal digits.
std::string toString(const Incarnation &incarnation);
/// Text form, incarnation and sequence joined by a dash.
std::string toString(const RequestId &id);

/// Stable 64-bit hash (XXH3), equal in every process and build. Thread-safe.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

struct RequestIdHash
{
    std::size_t operator()(const RequestId &id) const noexcept
    {
        return static_cast<std::size_t>(id.entry.low ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};

// ---------------------------------------------------------------------------------------------
// Command line

/// Parses options with popt. Add options, then call parse().
/// Not thread-safe; meant for main().
class OptionParser
{
public:
    /// \param program Name of the binary. \param summary One paragraph shown by --help.
    OptionParser(std::string program, std::string version, std::string summary);
    ~OptionParser();
    OptionParser(const OptionParser &) = delete;
    OptionParser &operator=(const OptionParser &) = delete;

    /// Adds "--name=ARGUMENT". \pre value outlives the parser.
    OptionParser &text(const char *name, char shortName, std::string *value, const char *help,
        const char *argument);
    /// Adds a whole number. \pre value outlives the parser.
    OptionParser &number(
        const char *name, std::int64_t *value, const char *help, const char *argument);
    /// Adds a switch. \pre value outlives the parser.
    OptionParser &flag(const char *name, char shortName, bool *value, const char *help);
    /// Adds a paragraph that --help shows after the options.
    OptionParser &notes(std::string text);
    /// Names the positional arguments in the usage line.
    OptionParser &positional(std::string usage);

    /// Reads the command line. Returns the positional arguments, or the exit status at which the
    /// program must end at once (0 after --help or --version, 2 after a usage error).
    boost::outcome_v2::basic_result<std::vector<std::string>, int,
        boost::outcome_v2::policy::terminate>
    parse(int argc, char **argv);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Logging

/// How a process logs.
struct LogOptions
{
    std::string level = "info"; ///< trace, debug, info, warn, error
    bool json = false; ///< One JSON object per line in place of text.
};

/// Sets log4cplus up: one appender on standard error. Call once, before any log line.
void initializeLogging(const LogOptions &options);
/// Returns the logger whose lines carry this prefix, such as "entry.http". Thread-safe.
log4cplus::Logger logger(std::string_view prefix);

// ---------------------------------------------------------------------------------------------
// Metrics

/// Named counters, gauges and distributions with labels. Not thread-safe: one per process thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. \param labels Prometheus labels such as tier="critical", or empty.
    void count(std::string_view name, std::string_view labels = {}, double amount = 1);
    /// Sets a gauge.
    void gauge(std::string_view name, std::string_view labels, double value);
    /// Adds a sample to a distribution, exported with p50, p95 and p99.
    void sample(std::string_view name, std::string_view labels, double value);
    /// Everything in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace wigeonsill
