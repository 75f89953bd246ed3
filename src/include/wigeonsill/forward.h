/// \file forward.h
/// Public header of the forward library: sockets and timers round the gateway's decisions. An entry
/// that forwards callers' requests straight to targets, and an agent that only grants its target's
/// room. The names that callers and targets use on the wire come from a WireDialect. Everything
/// runs on one io_context and is not thread-safe.
#pragma once

#include "wigeonsill/daemon.h"
#include "wigeonsill/gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Log of decisions

/// One line of the log while it is written. Values are written as JSON.
class DecisionLine
{
public:
    DecisionLine(std::string_view part, std::string_view event);
    DecisionLine &text(std::string_view name, std::string_view value);
    DecisionLine &number(std::string_view name, double value);
    DecisionLine &ms(std::string_view name, Duration value);
    /// The line with its end, ready to be written.
    std::string finish() const;

private:
    std::string line;
};

/// Structured lines on standard output. Never blocks: what the reader does not take in time is
/// dropped and counted. Lines beyond the rate are counted and summed up in one line a second.
class DecisionLog
{
public:
    /// \param rate Most lines a second; start, stop and dependency lines do not count.
    DecisionLog(boost::asio::io_context &io, Metrics &counters, int rate);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// A decision that touches a request; bounded by the rate.
    void decision(const DecisionLine &line);
    /// A change of what the process believes; not bounded by the rate.
    void change(const DecisionLine &line);
    /// Writes what is pending, as far as the reader takes it at once.
    void flush();

private:
    void scheduleFlush();

    boost::asio::steady_timer timer;
    Metrics &metrics;
    int linesPerSecond;
    int linesThisSecond = 0;
    std::uint64_t suppressed = 0;
    TimePoint secondStartedAt;
    std::string pending;
    bool flushScheduled = false;
};

// ---------------------------------------------------------------------------------------------
// What is said on the wire

/// Head of an HTTP/1.1 message as it arrived.
struct MessageHead
{
    std::string method; ///< Of a request.
    std::string target; ///< Path and query of a request.
    int status = 0; ///< Of an answer.
    std::string reason;
    int httpVersion = 11; ///< 10 or 11.
    HttpFields fields;
    bool chunked = false;
    std::optional<std::uint64_t> length;
    bool endsAtClose = false; ///< An answer without a length.
    bool keepAlive = true;
};

/// What a target's answer states about the request.
struct AnswerFacts
{
    bool notRun = false; ///< The target promises that it did not run the request.
    bool otherTarget = false; ///< Since it is not the one that the request was meant for.
    std::string requestId; ///< Empty when the answer names none.
};

/// What the entry states about a request towards the target.
struct ForwardContext
{
    std::string organisation; ///< Empty on anonymous routes.
    std::string targetId;
    Duration timeLeft = {};
    std::string resumeAfter; ///< Last event that the caller has; empty for a new run.
};

/// Names and forms of the headers by which callers, entries and targets speak.
class WireDialect
{
public:
    virtual ~WireDialect() = default;
    /// Reads what the caller states. Errors: MalformedRequest.
    virtual Result<RequestFacts> decodeRequest(const MessageHead &head) const = 0;
    /// The fields for the target: the caller's without those of one connection, without the key
    /// and without those that only the system sets, and with the system's own.
    virtual HttpFields encodeRequest(const MessageHead &head, const ForwardContext &context) const
        = 0;
    virtual AnswerFacts decodeAnswer(const MessageHead &head) const = 0;
};

// ---------------------------------------------------------------------------------------------
// Calls

/// Small GET calls to one server on kept connections, each with a time limit.
class CallClient
{
public:
    using Handler = std::function<void(Result<HttpResponse>)>;

    CallClient(boost::asio::io_context &io, Metrics &metrics,
        const boost::asio::ip::tcp::endpoint &server);
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Calls the handler once. Errors: ConnectionFailed (nothing was sent), ConnectionClosed (also
    /// when the time is over). \pre the handler's captures outlive the client's pending calls.
    void get(const std::string &target, Duration timeout, Handler handler);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Entry

/// Settings of a forwarding entry.
struct ForwardEntrySettings
{
    std::string instance;
    EntryPlace place;
    boost::asio::ip::tcp::endpoint listen;
    std::uint16_t grantPort = 0; ///< UDP port of every entry and agent.
    std::string grantAddress; ///< IP number that the entry's grant socket binds.
    bool strictRevocation = true;
    Duration revocation = seconds(5); ///< A key that was taken away works at most this long.
    /// Older, and names that the configuration lacks are refused for a while only.
    Duration configurationAge = milliseconds(3'200);
    Duration grace = seconds(8); ///< From SIGTERM to the end of the process.
    RepeatBudget::Limits repeats;
    WaitPolicy wait;
    QuotaLedger::Limits quotas;
    int logLinesPerSecond = 400;
};

/// The entry: accepts callers, decides, forwards, and relays the answers.
class ForwardEntry
{
public:
    /// \pre dialect and log outlive the entry.
    ForwardEntry(boost::asio::io_context &io, Metrics &metrics, DecisionLog &log,
        const WireDialect &dialect, const ForwardEntrySettings &settings);
    ~ForwardEntry();
    ForwardEntry(const ForwardEntry &) = delete;
    ForwardEntry &operator=(const ForwardEntry &) = delete;

    void start();
    /// A revision that the platform acknowledged. Older ones are ignored.
    void setConfiguration(std::shared_ptr<const ServingConfiguration> configuration);
    /// The platform confirmed at this point of the boot clock that no newer revision exists.
    void confirmConfiguration(Duration bootTime);
    /// A complete list of targets. \param mayHaveLapsed See TargetDirectory::replace.
    void setTargets(std::vector<Target> targets, bool mayHaveLapsed);
    /// Names who reads the list anew; called each time that a target turns out to be replaced.
    void whenTargetsOutdated(std::function<void()> refresh);
    bool isReady() const;
    void drain();
    bool isDrained() const;
    boost::json::object dumpState() const;
    std::uint16_t port() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Time on the clock that counts suspension of the machine. Thread-safe.
Duration bootTime();

// ---------------------------------------------------------------------------------------------
// Agent

/// State that a target reports of itself.
struct TargetReport
{
    int running = 0;
    int waiting = 0;
    std::int64_t startedMs = 0; ///< As Target::startedMs.
};
/// Reads a report's body; empty when it cannot be read.
using ReportDecoder = std::function<std::optional<TargetReport>(std::string_view body)>;

struct GrantAgentSettings
{
    std::string instance;
    std::string grantAddress;
    std::uint16_t grantPort = 0;
    boost::asio::ip::tcp::endpoint target;
    std::string reportPath;
    TargetAdmission::Limits admission;
    Duration quotaWindow = seconds(8);
    int logLinesPerSecond = 200;
};

/// The agent beside a target: answers reservations, and nothing else.
class GrantAgent
{
public:
    /// \pre log outlives the agent.
    GrantAgent(boost::asio::io_context &io, Metrics &metrics, DecisionLog &log,
        ReportDecoder decoder, const GrantAgentSettings &settings);
    ~GrantAgent();
    GrantAgent(const GrantAgent &) = delete;
    GrantAgent &operator=(const GrantAgent &) = delete;

    void start();
    void drain();
    bool isDrained() const;
    boost::json::object dumpState() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace wigeonsill
