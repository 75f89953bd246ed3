/// \file forward.h
/// Public header of the forward library, which drives the gateway library's decisions with sockets
/// and timers. It provides an entry that forwards callers' requests directly to targets, and an
/// agent that grants capacity at its target without being in the request path. A WireDialect
/// supplies the header names used on the wire. Everything runs on one io_context and is not
/// thread-safe.
#pragma once

#include "wigeonsill/daemon.h"
#include "wigeonsill/gateway.h"
#include "wigeonsill/outcomes.h"
#include "wigeonsill/rollout.h"
#include "wigeonsill/versions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Decision log

/// Builder for one log line, a JSON object.
class DecisionLine
{
public:
    DecisionLine(std::string_view part, std::string_view event);
    DecisionLine &text(std::string_view name, std::string_view value);
    DecisionLine &number(std::string_view name, double value);
    DecisionLine &ms(std::string_view name, Duration value);
    /// Returns the complete line with its terminating newline.
    std::string finish() const;

private:
    std::string line;
};

/// Writes structured log lines to standard output without blocking. Lines that do not fit into the
/// buffer because the reader is too slow are dropped and counted. Lines beyond the rate limit are
/// counted and reported in one summary line a second.
class DecisionLog
{
public:
    /// \param rate Maximum number of decision lines a second; lines logged with change() do not
    /// count.
    DecisionLog(boost::asio::io_context &io, Metrics &counters, int rate);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// Logs a decision about a request; subject to the rate limit.
    void decision(const DecisionLine &line);
    /// Logs a change of the process's state or of its view of other processes; not rate-limited.
    void stateChange(const DecisionLine &line);
    /// Writes as much of the buffered text as standard output accepts without blocking.
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
// Wire format

/// What an answer states of the requests a second that its target takes from all processes
/// together.
struct StatedRate
{
    std::optional<double> perSecond;
    bool isAbsent = true; ///< The answer states none; otherwise without a rate it cannot be read.
};

/// What the head of a target's answer states about the request and about the target.
struct AnswerFacts
{
    bool notRun = false; ///< The target guarantees that it did not run the request.
    /// The reason: it is not the target the request was addressed to, or it does not meet a
    /// condition that the caller set.
    bool isMisdirected = false;
    std::string targetId; ///< Of the target that answers; empty when not stated.
    bool targetLeaving = false; ///< The target that answers takes no new requests from now on.
    /// Time for which the target, which turned the request away, wants nothing from this process.
    std::optional<Duration> quietFor;
    bool quietUnreadable = false; ///< It stated such a time in a form that cannot be read.
    StatedRate rate;
    std::string requestId; ///< Empty when the answer carries none.
    /// Several fields carry a request id: the heads of two answers were joined.
    bool idIsRepeated = false;
    bool lacksSignature = false; ///< A success without the signature that each target gives.
};

/// What the entry adds to a request when it forwards it to a target.
struct ForwardContext
{
    std::string organisation; ///< Empty on anonymous routes.
    std::string targetId;
    Duration timeLeft = {};
    std::string lastEventId; ///< Id of the last event that the caller has; empty for a new run.
};

/// Header names and formats used between callers, entries and targets.
class WireDialect
{
public:
    virtual ~WireDialect() = default;
    /// Decodes the caller's headers. Errors: MalformedRequest.
    virtual Result<RequestMetadata> decodeRequest(const MessageHead &head) const = 0;
    /// Returns the fields to send to the target: the caller's fields without hop-by-hop fields, the
    /// API key and fields reserved for the system, plus the system's own.
    virtual HttpFields encodeRequest(const MessageHead &head, const ForwardContext &context) const
        = 0;
    virtual AnswerFacts decodeAnswer(const MessageHead &head) const = 0;
};

// ---------------------------------------------------------------------------------------------
// HTTP calls

/// How long a call may take whose answer can be large.
struct CallTimeout
{
    Duration silence = {}; ///< Longest time without received bytes, from the start on.
    Duration total = {}; ///< Of the whole call.
};

/// Client for calls to one server over persistent connections, each with a timeout. No call is
/// repeated. Bodies of answers are bounded (AnswerBound::Body).
class CallClient
{
public:
    using Handler = std::function<void(Result<HttpResponse>)>;
    /// Called for each piece of an answer's body that is received, with the answer's status and the
    /// number of bytes.
    using ProgressHandler = std::function<void(int status, std::size_t bytes)>;

    CallClient(boost::asio::io_context &io, Metrics &metrics,
        const boost::asio::ip::tcp::endpoint &server);
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Calls the handler exactly once. Errors: ConnectionFailed (nothing was sent),
    /// ConnectionClosed (also on timeout). \pre the handler's captures outlive the client's pending
    /// calls.
    void get(const std::string &target, Duration timeout, Handler handler);
    /// As above. A call whose answer keeps arriving is not ended before the total time is over.
    void get(const std::string &target, const CallTimeout &timeout, Handler handler,
        ProgressHandler onProgress = {});
    /// As get(), with a JSON body. After ConnectionClosed the call may have been or may still be
    /// executed.
    void post(
        const std::string &target, const std::string &body, Duration timeout, Handler handler);
    /// As post(), with the method DELETE.
    void remove(
        const std::string &target, const std::string &body, Duration timeout, Handler handler);

private:
    void call(std::string head, std::string_view body, const CallTimeout &timeout, Handler handler,
        ProgressHandler onProgress = {});

    struct Private;
    std::unique_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Rollouts

/// The calls by which the rollouts' owner uses the store. Each handler is called exactly once,
/// unless the object is destroyed before. Not thread-safe.
class RolloutStore
{
public:
    struct Acquired
    {
        std::uint64_t ownerRevision = 0;
        std::string leaseId;
    };
    virtual ~RolloutStore() = default;
    /// Takes a lease and writes the owner's key under it, if the key does not exist.
    /// \param ownerAddress "IP:PORT" of this process's UDP socket.
    /// Errors: StoreConflict (another process is the owner), StoreUnavailable, StoreRateLimited.
    virtual void acquire(
        const std::string &ownerAddress, std::function<void(Result<Acquired>)> handler)
        = 0;
    /// Renews the owner's lease. Errors: StoreConflict (it has ended), StoreUnavailable,
    /// StoreRateLimited.
    virtual void renew(const std::string &leaseId, std::function<void(Result<bool>)> handler) = 0;
    /// Writes a record and its status in one transaction, under the condition that the owner's key,
    /// the record and the status have their known revisions. Returns the new revision.
    /// Errors: StoreConflict, StoreUnavailable (it may have been or may still be written),
    /// StoreRateLimited.
    virtual void write(const RolloutRecord &record, std::uint64_t ownerRevision,
        std::function<void(Result<std::uint64_t>)> handler)
        = 0;
    /// Reads the store's changes soon; a snapshot follows.
    virtual void refresh() = 0;
};

/// Keeps the versions at which streams began where they outlive all processes. No call waits for
/// anything. Not thread-safe.
class StreamOriginStore
{
public:
    virtual ~StreamOriginStore() = default;
    /// Records that a stream began or goes on; written soon.
    virtual void record(std::uint64_t stream, std::string_view version) = 0;
    /// Records that a stream has ended whole, and need not be kept.
    virtual void forget(std::uint64_t stream) = 0;
    /// What was read last of a stream.
    virtual StoredOrigin find(std::uint64_t stream) const = 0;
    /// Sets the number of entries that write, which the period of the writes follows.
    /// \pre count is positive.
    virtual void setEntries(int count) = 0;
    /// Sets whether a service has several versions, which the period follows as well.
    virtual void setSeveralVersions(bool several) = 0;
};

// ---------------------------------------------------------------------------------------------
// Entry

/// Settings of a forwarding entry.
struct ForwardEntrySettings
{
    std::string instance;
    EntryLocation location;
    boost::asio::ip::tcp::endpoint listen;
    std::uint16_t grantPort = 0; ///< UDP port of every entry and agent.
    std::string grantAddress; ///< IP address that the entry's grant socket binds.
    bool strictRevocation = true;
    Duration maximumRevocationDelay = seconds(5); ///< Longest time that a revoked key still works.
    /// When the configuration was last confirmed longer ago than this, requests with unknown names
    /// are refused temporarily instead of permanently.
    Duration maximumConfigurationAge = milliseconds(3'200);
    Duration gracePeriod = seconds(8); ///< From SIGTERM until the process exits.
    ServiceRetryBudget::Limits retryBudget;
    WaitPolicy wait;
    AnswerContinuation::Limits continuation;
    QuotaLimiter::Limits quotas;
    std::optional<RolloutLimits> rollouts; ///< Empty: orders of rollouts are not followed.
    int logLinesPerSecond = 400;
};

/// Accepts callers' requests, forwards them to targets and relays the answers.
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
    /// Sets a revision that the platform acknowledged. Ignored unless newer than the current one.
    void setConfiguration(std::shared_ptr<const ServingConfiguration> configuration);
    /// Records that the platform confirmed at this time of the boot clock that no newer revision
    /// exists.
    void confirmConfiguration(Duration timeSinceBoot);
    /// Replaces the list of targets. \param targets The complete list.
    /// \param listMayBeIncomplete See TargetDirectory::replace.
    void setTargets(std::vector<Target> targets, bool listMayBeIncomplete);
    /// Sets the software versions of services that served lately. Without a call, only those of the
    /// listed targets count.
    void setRecentVersions(std::set<ServiceVersion> versions);
    /// Applies what the store holds about rollouts. Must be called before setTargets() with the
    /// list of the same read. Ignored unless ForwardEntrySettings::rollouts is set.
    void setRollouts(const RolloutSnapshot &snapshot);
    /// Sets the store that the owner of the rollouts writes to. \pre it outlives the entry.
    void setRolloutStore(RolloutStore &store);
    /// Sets the store that keeps the versions at which streams began. Without a call, only
    /// processes keep them. \pre it outlives the entry's io_context runs.
    void setStreamOriginStore(StreamOriginStore &store);
    /// Sets the handler that re-reads the list of targets. It is called each time a target turns
    /// out to have been replaced at its address.
    void setTargetsOutdatedHandler(std::function<void()> refresh);
    /// Sets the handler that reads the list of targets and the recent versions by calls that begin
    /// from now on. It is called when a caller takes up a stream that this entry doesn't know.
    void setTargetsConfirmationHandler(std::function<void()> read);
    /// Records that the list of targets and the recent versions, as set last, are complete as of a
    /// moment. \param calledAt When the first of the calls was sent that returned them.
    void confirmTargets(TimePoint calledAt);
    /// Whether new connections are welcome: targets are known, and a configuration that was
    /// confirmed at least once where keys need that.
    bool isReady() const;
    void drain();
    bool isDrained() const;
    boost::json::object dumpState() const;
    /// Releases prompt parts that are held back, here and at all entries that learn of it.
    /// \param id Of the hold, as in dumpState(). \returns Whether there was such a hold.
    bool releasePartHold(std::string_view id);
    std::uint16_t port() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Time since the machine booted, including time in suspend (CLOCK_BOOTTIME). Thread-safe.
Duration timeSinceBoot();

// ---------------------------------------------------------------------------------------------
// Agent

/// State that a target reports about itself.
struct TargetReport
{
    int running = 0;
    int waiting = 0;
    std::int64_t startedMs = 0; ///< As Target::startedMs.
    std::optional<std::int64_t> memoryTokens = {}; ///< Tokens that its requests may hold.
    std::optional<std::int64_t> memoryTokensUsed = {}; ///< Tokens that its requests hold.
};
/// What a target's answer to a request for its report states.
struct ReportAnswer
{
    std::optional<TargetReport> report; ///< Empty when it is refused or malformed.
    bool targetLeaving = false; ///< As AnswerFacts::targetLeaving.
    std::optional<Duration> quietFor; ///< As AnswerFacts::quietFor.
    StatedRate rate; ///< As AnswerFacts::rate.
};
using ReportDecoder = std::function<ReportAnswer(const HttpResponse &response)>;

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

/// The agent beside a target: answers entries' reservations and shares their quota usage. No
/// request passes through it.
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
