/// \file util.h
/// Public header of the util library: result codes, identifiers, time types, enum names, command
/// line options, logging and metrics. It depends on no other library of the project.
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

/// Time span in microseconds, the unit used throughout the project.
using Duration = std::chrono::microseconds;
/// Point in time on the monotonic clock of this process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---------------------------------------------------------------------------------------------
// Result codes

/// Whether a request was run, as reported to its caller when it ends.
enum class Outcome : std::uint8_t {
    Completed, ///< The complete answer was delivered.
    NotRun, ///< The request was not run and will not be run.
    Interrupted, ///< The request was run, but its answer is incomplete.
    Unknown, ///< No reachable process knows whether the request was run.
};

/// Returns the outcome's value in the Wigeonsill-Outcome header. Thread-safe.
std::string_view outcomeName(Outcome outcome);

/// Result codes of requests and operations. docs/ERRORS.md lists the same table.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    // 1xxx: the request is invalid; it was not run.
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
    // 2xxx: the request was refused; it was not run.
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
    PartsHeld = 2013,
    RequestHeld = 2014,
    // 3xxx: the request was run; its answer is incomplete.
    TargetBrokeOff = 3001,
    AnswerLost = 3002,
    Preempted = 3003,
    Cancelled = 3004,
    // 4xxx: it is unknown whether the request was run.
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

/// Description of one result code.
struct ResultInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus; ///< Status sent to a caller; 0 for codes that are never sent to one.
    Outcome outcome;
    std::string_view text; ///< Title used in problem documents and logs.
};

/// Returns the description of a code, or that of Ok for a number without a code. Thread-safe.
const ResultInfo &resultInfo(ResultCode code);
/// Returns the descriptions of all codes in ascending order. Thread-safe.
std::span<const ResultInfo> resultTable();

/// An error code with a human-readable detail.
struct Error
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

/// Result of an operation that can fail. Reading the value of a failed one terminates the process.
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// ---------------------------------------------------------------------------------------------
// Tables of enum names

/// An enum value and its name.
template <class E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// Returns the value of a name; empty when the table lacks it. Thread-safe.
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
// Enums shared by the configuration and the scheduler

/// Order in which requests are shed under overload; the highest value is shed first.
enum class Tier : std::uint8_t { Critical, High, Normal, Bulk };
constexpr std::size_t tierCount = 4;
inline constexpr std::array tierNames = {
    EnumName<Tier>{ Tier::Critical, "critical" },
    EnumName<Tier>{ Tier::High, "high" },
    EnumName<Tier>{ Tier::Normal, "normal" },
    EnumName<Tier>{ Tier::Bulk, "bulk" },
};

/// Whether running requests may be cancelled in favour of a higher tier.
enum class Preemption : std::uint8_t {
    Never, ///< Running requests are never cancelled.
    IdempotentOnly, ///< Idempotent requests of lower tiers may be cancelled.
};
inline constexpr std::array preemptionNames = {
    EnumName<Preemption>{ Preemption::Never, "never" },
    EnumName<Preemption>{ Preemption::IdempotentOnly, "idempotent-only" },
};

/// Objective that a deployment gives the greater weight.
enum class Weighting : std::uint8_t {
    Goodput, ///< High goodput, by tier.
    Prefill, ///< Little wasted prefill work.
};
inline constexpr std::array weightingNames = {
    EnumName<Weighting>{ Weighting::Goodput, "goodput" },
    EnumName<Weighting>{ Weighting::Prefill, "prefill" },
};

// ---------------------------------------------------------------------------------------------
// Identifiers

/// Identifies one run of a process: 128 random bits generated at its start.
struct Incarnation
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Incarnation &) const = default;
};

/// Globally unique and never reused: the entry's incarnation and a counter.
struct RequestId
{
    Incarnation entry;
    std::uint64_t sequence = 0;
    auto operator<=>(const RequestId &) const = default;
};

/// Generates an incarnation from the system's entropy source.
Incarnation generateIncarnation();
/// Returns the incarnation as 32 hexadecimal digits.
std::string toString(const Incarnation &incarnation);
/// Returns the entry's incarnation and the sequence joined by a dash.
std::string toString(const RequestId &id);

/// 64-bit hash (XXH3) that is the same in every process and build. Thread-safe.
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

/// Parses command line options with popt. Add all options, then call parse().
/// Not thread-safe; meant for main().
class OptionParser
{
public:
    /// \param program Name of the binary. \param summary One paragraph shown by --help.
    OptionParser(std::string program, std::string version, std::string summary);
    ~OptionParser();
    OptionParser(const OptionParser &) = delete;
    OptionParser &operator=(const OptionParser &) = delete;

    /// Adds an option "--name=ARGUMENT" with a text value. \pre value outlives the parser.
    OptionParser &text(const char *name, char shortName, std::string *value, const char *help,
        const char *argument);
    /// Adds an option "--name=ARGUMENT" with an integer value. \pre value outlives the parser.
    OptionParser &number(
        const char *name, std::int64_t *value, const char *help, const char *argument);
    /// Adds an option without an argument, which sets the value to true. \pre value outlives the
    /// parser.
    OptionParser &flag(const char *name, char shortName, bool *value, const char *help);
    /// Adds a paragraph that --help shows after the options.
    OptionParser &notes(std::string text);
    /// Sets the text that describes the positional arguments in the usage line.
    OptionParser &positional(std::string usage);

    /// Parses the command line. Returns the positional arguments, or the status with which the
    /// program must exit immediately (0 after --help or --version, 2 after a usage error).
    boost::outcome_v2::basic_result<std::vector<std::string>, int,
        boost::outcome_v2::policy::terminate>
    parse(int argc, char **argv);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Logging

/// Log settings of a process.
struct LogOptions
{
    std::string level = "info"; ///< trace, debug, info, warn, error
    bool json = false; ///< Writes one JSON object per line instead of text.
};

/// Configures log4cplus with one appender on standard error. Call once, before logging anything.
void initializeLogging(const LogOptions &options);
/// Returns the logger that marks its lines with this prefix, such as "entry.http". Thread-safe.
log4cplus::Logger logger(std::string_view prefix);

// ---------------------------------------------------------------------------------------------
// Metrics

/// Registry of counters, gauges and distributions with labels. Not thread-safe; each thread needs
/// its own.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increases a counter. \param labels Prometheus labels such as tier="critical", or empty.
    void count(std::string_view name, std::string_view labels = {}, double amount = 1);
    /// Sets a gauge.
    void gauge(std::string_view name, std::string_view labels, double value);
    /// Adds a sample to a distribution, which is exported with its p50, p95 and p99.
    void sample(std::string_view name, std::string_view labels, double value);
    /// Returns all metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace wigeonsill
