/// \file core.h
/// Public header of the core library: the scheduling logic of the entry and of the agent.
///
/// The core does no I/O and has no threads and no clock. Its owner passes in events with the
/// current time, collects the resulting actions with takeActions() and carries them out. Nothing
/// here is thread-safe unless stated otherwise; each object belongs to one thread. Times are points
/// of the owner's monotonic clock.
#pragma once

#include "wigeonsill/util.h"

#include <variant>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Requests and messages

/// Location of a process.
struct Location
{
    std::string instance; ///< Unique name of the process.
    std::string region;
    std::string failureDomain;
};

/// One HTTP header field. Lists of these keep the order of the message.
struct Header
{
    std::string name;
    std::string value;
};
using Headers = std::vector<Header>;

/// Scheduling attributes of a request. They never contain the prompt itself.
struct RequestProfile
{
    RequestId id;
    Tier tier = Tier::Normal;
    std::string organisation;
    std::string service;
    std::string pool;
    std::uint32_t weight = 1; ///< Weight of the organisation within its tier.
    std::uint32_t promptTokens = 0; ///< Estimate.
    std::uint32_t outputTokens = 0; ///< Estimate.
    std::vector<std::uint64_t> prefixHashes; ///< Hashes of prompt prefixes, shortest prefix first.
    Duration timeLeft{}; ///< Until the latest useful start, counted from when this was sent.
    bool nonIdempotent = false;
    Preemption preemption = Preemption::Never;
    Weighting weighting = Weighting::Goodput;

    /// Estimated cost in tokens; at least 1.
    std::uint64_t tokens() const
    {
        return std::max<std::uint64_t>(1, std::uint64_t(this->promptTokens) + this->outputTokens);
    }
};

/// The HTTP request that the agent sends to the target.
struct ForwardedRequest
{
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
};

/// The lowest tier that a pool currently admits.
struct PoolFloor
{
    std::string pool;
    Tier lowestServed = Tier::Bulk;
    Duration remaining{}; ///< The floor expires after this.
};

// Entry to agent. A message refers to one request; delayed, duplicated or reordered messages are
// harmless.

/// Requests a reservation in the agent's queue.
struct Reserve
{
    RequestProfile profile;
};
/// Cancels a reservation.
struct Withdraw
{
    RequestId id;
};
/// Dispatches the request to the agent. Sent at most once per request and agent.
struct Bind
{
    RequestProfile profile;
    ForwardedRequest request;
};
/// Rejects a pull, because the request is no longer available to the agent.
struct Decline
{
    RequestId id;
};
/// Cancels a request whose caller has disconnected or which has ended at the entry.
struct CancelRun
{
    RequestId id;
};
/// Requests the answer from an offset on. An agent that never received the request must permanently
/// reject it before it replies NotRun.
struct Resume
{
    RequestId id;
    std::uint64_t offset = 0; ///< Bytes of the body that the entry already has.
    bool needHead = true;
};
/// Acknowledges the part of the answer that the caller has consumed.
struct Acknowledge
{
    RequestId id;
    std::uint64_t offset = 0; ///< Bytes of the body consumed so far.
    bool final = false; ///< The entry needs nothing more of this request.
};
/// Sent at a fixed interval on every connection, and at once when the entry raises a floor.
struct EntryHeartbeat
{
    std::uint64_t configurationRevision = 0;
    std::vector<PoolFloor> floors;
    std::uint64_t floorSequence = 0; ///< Number of this set of floors; 0 when there are none.
};

using EntryMessage = std::variant<Reserve, Withdraw, Bind, Decline, CancelRun, Resume, Acknowledge,
    EntryHeartbeat>;

// Agent to entry.

/// First message from an agent on a connection.
struct AgentHello
{
    Incarnation incarnation;
    Location location;
    std::vector<std::string> pools;
    bool draining = false;
};
/// Requests the dispatch of a reserved request, because the agent has capacity for it.
struct Pull
{
    RequestId id;
};
/// The agent no longer holds the reservation, or never did.
struct ReservationEnded
{
    RequestId id;
    ResultCode reason = ResultCode::Ok;
    std::vector<PoolFloor> floors; ///< Floors in force at the agent, when a floor is the reason.
};
/// Status and headers of the answer.
struct AnswerHead
{
    RequestId id;
    int status = 0;
    Headers headers;
};
/// A part of the answer's body.
struct AnswerBytes
{
    RequestId id;
    std::uint64_t offset = 0; ///< Of the first byte within the body.
    std::string bytes;
};
/// The answer has ended. It is complete only with ResultCode::Ok.
struct AnswerEnd
{
    RequestId id;
    ResultCode result = ResultCode::Ok;
    std::uint64_t totalBytes = 0;
    std::uint32_t promptTokens = 0; ///< As reported by the target; 0 when it reported none.
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
};
/// The target never received the request and never will from this agent.
struct NotRun
{
    RequestId id;
    ResultCode reason = ResultCode::Ok;
};
/// Answers Resume while the request runs; also sent to check whether the entry still needs it. An
/// entry at which the request has ended replies CancelRun.
struct StillRunning
{
    RequestId id;
};
/// Sent at a fixed interval on every connection. Reports the agent's load.
struct AgentHeartbeat
{
    std::uint64_t configurationRevision = 0;
    bool draining = false;
    std::uint64_t tokensInFlight = 0; ///< Estimated tokens of the requests running at the target.
    std::uint64_t tokenLimit = 0; ///< Current limit of tokensInFlight.
    std::uint32_t running = 0; ///< Requests.
    std::uint32_t waiting = 0; ///< Reservations.
    std::vector<PoolFloor> floors;
    /// Latest EntryHeartbeat::floorSequence of the receiving entry in force at the agent.
    std::uint64_t floorSequence = 0;
    double tokensPerSecond = 0; ///< Estimated throughput of the target; 0 until measured.
    std::array<Duration, tierCount> expectedWait{}; ///< Of a new reservation, by tier.
};

using AgentMessage = std::variant<AgentHello, Pull, ReservationEnded, AnswerHead, AnswerBytes,
    AnswerEnd, NotRun, StillRunning, AgentHeartbeat>;

// ---------------------------------------------------------------------------------------------
// Entry

/// A request as received from a caller.
struct CallerRequest
{
    RequestProfile profile; ///< The core sets the id; timeLeft is the maximum wait.
    ForwardedRequest request;
    std::string idempotencyKey; ///< Empty when the caller sent none.
    double quotaTokensPerSecond = 0; ///< The organisation's quota at this entry; 0 means no quota.
};

/// Result of claiming an idempotency key in the store.
struct ClaimDecision
{
    ResultCode result = ResultCode::Ok; ///< Ok when this request may run.
    bool replay = false; ///< Deliver the recorded answer below instead of running.
    int status = 0;
    Headers headers;
    std::string body;
};

struct SendToAgent
{
    std::string agent; ///< Instance name.
    EntryMessage message;
};
/// Close the connection to an agent and open a new one.
struct ReconnectAgent
{
    std::string agent;
};
/// Send the answer's status and headers to the caller.
struct DeliverHead
{
    RequestId id;
    int status = 0;
    Headers headers;
};
/// Send the next bytes of the answer's body to the caller.
struct DeliverBytes
{
    RequestId id;
    std::string bytes;
};
/// The last action for a request. With Ok the answer is ended as complete. Otherwise the caller
/// gets an error, or a truncated answer when the head has already been sent.
struct DeliverEnd
{
    RequestId id;
    ResultCode result = ResultCode::Ok;
    Duration retryAfter{}; ///< Retry delay for the caller; 0 when waiting does not help.
};
/// Claim the request's idempotency key in the store, then call claimDecided().
struct ClaimKey
{
    RequestId id;
    std::string organisation;
    std::string key;
    std::uint64_t bodyDigest = 0;
};
/// Record how a claimed request ended.
struct RecordClaim
{
    RequestId id;
    std::string organisation;
    std::string key;
    ResultCode result = ResultCode::Ok;
    int status = 0;
    Headers headers;
    std::string body; ///< Complete answer, or empty when it exceeded the limit.
};

using EntryAction = std::variant<SendToAgent, ReconnectAgent, DeliverHead, DeliverBytes, DeliverEnd,
    ClaimKey, RecordClaim>;

/// How the agent of a request is chosen. The strategies other than LateBinding are baselines for
/// measurements.
enum class PlacementStrategy : std::uint8_t {
    LateBinding, ///< Reserved at several agents; the first with capacity pulls it.
    RoundRobin, ///< Sent on arrival to the agents in turn.
    LeastLoad, ///< Sent on arrival to the agent with the least reported load.
};
inline constexpr std::array placementStrategyNames = {
    EnumName<PlacementStrategy>{ PlacementStrategy::LateBinding, "late-binding" },
    EnumName<PlacementStrategy>{ PlacementStrategy::RoundRobin, "round-robin" },
    EnumName<PlacementStrategy>{ PlacementStrategy::LeastLoad, "least-load" },
};

/// Limits and intervals of an entry.
struct EntryLimits
{
    PlacementStrategy placement = PlacementStrategy::LateBinding;
    std::size_t maximumWaiting = 20'000; ///< Requests.
    std::size_t candidates = 2; ///< Agents at which a new request is reserved.
    std::uint64_t acknowledgeIntervalBytes = 65'536; ///< Bytes consumed between acknowledgements.
    std::size_t maximumRecordedAnswerBytes = 16'384; ///< Largest answer body recorded for replay.
    Duration heartbeatInterval = seconds(1);
    Duration heartbeatTimeout = seconds(3); ///< An agent connection idle this long is replaced.
    /// Bound requests of a disconnected agent end after this.
    Duration agentLostAfter = seconds(10);
    /// The status of a bound request without progress is queried after this.
    Duration statusQueryInterval = seconds(5);
};

/// Scheduling logic of one entry process. Not thread-safe.
class EntryCore
{
public:
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Accepts a new request. Exactly one DeliverEnd follows for the returned id, unless the caller
    /// disconnects.
    RequestId submitRequest(TimePoint now, CallerRequest request);
    /// The caller has disconnected. No DeliverEnd follows. Unknown ids are ignored.
    void callerDisconnected(TimePoint now, const RequestId &id);
    /// The caller has consumed this many body bytes in total.
    void callerConsumed(TimePoint now, const RequestId &id, std::uint64_t offset);
    /// Result of a ClaimKey action.
    void claimDecided(TimePoint now, const RequestId &id, const ClaimDecision &decision);

    /// A connection to an agent is established and its hello has arrived. Supersedes an earlier
    /// connection.
    void agentConnected(TimePoint now, const AgentHello &hello);
    void agentDisconnected(TimePoint now, const std::string &agent);
    /// Sets whether the instance list marks the agent as leaving.
    void setAgentLeaving(TimePoint now, const std::string &agent, bool leaving);
    /// Handles a message from the agent. Ignored when the incarnation is not the agent's current
    /// one.
    void receive(TimePoint now, const std::string &agent, const Incarnation &incarnation,
        const AgentMessage &message);

    void setConfigurationRevision(std::uint64_t revision);
    /// Refuses new requests from now on; requests in progress continue.
    void drain();
    /// Call at least every 100 ms.
    void tick(TimePoint now);

    /// Returns and removes the pending actions, in order.
    std::vector<EntryAction> takeActions();
    /// Number of requests that have not ended.
    std::size_t requestsInProgress() const;
    /// Number of requests that have not been dispatched to an agent.
    std::size_t requestsWaiting() const;
    std::size_t connectedAgents() const;
    /// Returns the state as JSON for diagnostics.
    boost::json::object dumpState(TimePoint now) const;

private:
    friend class EntryCoreBuilder;
    struct Private;
    explicit EntryCore(std::unique_ptr<Private> state);
    std::unique_ptr<Private> d;
};

/// Builds an EntryCore.
class EntryCoreBuilder
{
public:
    EntryCoreBuilder &incarnation(const Incarnation &value);
    EntryCoreBuilder &location(Location value);
    EntryCoreBuilder &limits(const EntryLimits &value);
    /// Seed of the random number generator.
    EntryCoreBuilder &seed(std::uint64_t value);
    /// \pre incarnation and location are set.
    std::unique_ptr<EntryCore> build() const;

private:
    Incarnation ownIncarnation;
    Location ownLocation;
    EntryLimits ownLimits;
    std::uint64_t ownSeed = 0;
};

// ---------------------------------------------------------------------------------------------
// Claims

/// Read a shard of claims from the store, then call readDone().
struct ReadShard
{
    std::string key;
};
/// Write a shard by compare-and-swap, then call writeDone().
struct WriteShard
{
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0;
};
/// The decision on a claim, for EntryCore::claimDecided().
struct ClaimDecided
{
    RequestId id;
    ClaimDecision decision;
};
using ClaimRegistryAction = std::variant<ReadShard, WriteShard, ClaimDecided>;

/// A shard as stored.
struct ShardValue
{
    std::string value;
    std::uint64_t version = 0; ///< 0 when the shard does not exist.
};

/// Limits and intervals of the claims.
struct ClaimLimits
{
    std::uint32_t shards = 64;
    /// Beyond it recorded answers are dropped, oldest first.
    std::size_t maximumShardBytes = 900'000;
    Duration claimBatchDelay = milliseconds(5); ///< Claims are batched this long into one write.
    /// A caller retry waits this long for the first attempt to end.
    Duration runningClaimWait = seconds(1);
    /// Results are batched this long, unless a claim is written.
    Duration recordBatchDelay = milliseconds(250);
    Duration minimumWriteInterval
        = milliseconds(200); ///< Minimum time between two writes of one shard.
    Duration claimTimeout = seconds(3); ///< A claim not written within this time is refused.
    Duration recordTimeout = seconds(60); ///< A result not written within this time is dropped.
    std::size_t maximumPendingRecords
        = 64; ///< Results pending for one shard; the oldest is dropped.
    Duration retryInterval = milliseconds(200); ///< Delay after a failed store call.
    std::chrono::seconds retention{ 86'400 }; ///< Claims older than this are removed.
    std::chrono::seconds runningClaimTimeout{
        60
    }; ///< Older running claims count as of unknown outcome.
};

/// Claims idempotency keys and records the results of their requests, batching both into one write.
/// Writes are compare-and-swap, so any number of entries may write the same shard. Not thread-safe.
class ClaimRegistry
{
public:
    explicit ClaimRegistry(const ClaimLimits &limits);
    ~ClaimRegistry();
    ClaimRegistry(const ClaimRegistry &) = delete;
    ClaimRegistry &operator=(const ClaimRegistry &) = delete;

    /// Exactly one ClaimDecided follows.
    void claim(TimePoint now, ClaimKey action);
    /// Records the result of a claimed request.
    void record(TimePoint now, RecordClaim action);
    /// Result of a ReadShard action.
    void readDone(TimePoint now, const std::string &key, const Result<ShardValue> &value);
    /// Result of a WriteShard action: the new version, or StoreConflict, StoreAnswerLost (the write
    /// may still take effect) or another error, after which nothing was written.
    void writeDone(TimePoint now, const std::string &key, const Result<std::uint64_t> &version);
    /// Call at least every 50 ms. The wall clock is in seconds since the Unix epoch.
    void tick(TimePoint now, std::chrono::seconds wallClock);

    /// Returns and removes the pending actions, in order.
    std::vector<ClaimRegistryAction> takeActions();
    /// Number of claims without a decision and of results not yet recorded.
    std::size_t inProgress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

// ---------------------------------------------------------------------------------------------
// Agent

struct SendToEntry
{
    Incarnation entry;
    AgentMessage message;
};
/// Send the request to the target immediately, exactly once.
struct StartAtTarget
{
    RequestId id;
    ForwardedRequest request;
};
/// Cancel a request at the target.
struct CancelAtTarget
{
    RequestId id;
};
/// Pause or resume reading the target's answer.
struct PauseTarget
{
    RequestId id;
    bool paused = false;
};

using AgentAction = std::variant<SendToEntry, StartAtTarget, CancelAtTarget, PauseTarget>;

/// How a request ended at the target.
enum class TargetEnd : std::uint8_t {
    Complete, ///< The answer is complete.
    NeverSent, ///< No byte of the request reached the target.
    Truncated, ///< The connection closed before the answer was complete.
    TimedOut, ///< No byte of an answer arrived before the timeout.
};

/// Token counts as reported by the target; 0 where it reported none.
struct TokenUsage
{
    std::uint32_t prompt = 0;
    std::uint32_t cached = 0;
    std::uint32_t output = 0;
};

/// Limits and intervals of an agent.
struct AgentLimits
{
    std::uint64_t tokenLimit = 8'192; ///< Initial limit of tokens in flight; it adapts.
    std::uint32_t maximumRunning = 64; ///< Requests running at the target.
    std::size_t maximumQueued = 4'096; ///< Reservations.
    std::uint64_t sendWindowBytes
        = 262'144; ///< Unacknowledged bytes of one answer that may be sent.
    /// Buffered bytes of one answer at which reading pauses.
    std::uint64_t maximumBufferedBytes = 4'194'304;
    std::size_t tombstonesPerEntry = 65'536;
    Duration heartbeatInterval = seconds(1);
    Duration heartbeatTimeout
        = seconds(3); ///< Reservations of an entry idle this long are dropped.
    /// A pull without a reply expires; a later Bind is rejected.
    Duration pullTimeout = seconds(2);
    bool acceptPushed = false; ///< Accept a Bind without a pull in progress, however late.
    /// A run without messages from its entry is checked with it after this.
    Duration statusQueryInterval = seconds(5);
    /// An ended answer is kept this long after the entry's last message on it.
    Duration answerRetention = seconds(30);
    /// Idempotent runs of an unreachable entry are cancelled after this.
    Duration entryLostAfter = seconds(20);
    Duration targetBackoff = seconds(1); ///< Pause after the target refused a connection.
};

/// Scheduling logic of one agent process. The agent is the only sender of requests to its target.
/// Not thread-safe.
class AgentCore
{
public:
    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    /// The first message for a new connection.
    AgentHello hello() const;
    /// An entry has connected or reconnected. Its earlier reservations are dropped.
    void entryConnected(TimePoint now, const Incarnation &entry);
    void entryDisconnected(TimePoint now, const Incarnation &entry);
    void receive(TimePoint now, const Incarnation &entry, const EntryMessage &message);

    void targetHead(TimePoint now, const RequestId &id, int status, Headers headers);
    void targetBytes(TimePoint now, const RequestId &id, std::string_view bytes);
    void targetEnded(TimePoint now, const RequestId &id, TargetEnd end, const TokenUsage &usage);

    void setConfigurationRevision(std::uint64_t revision);
    /// Refuses new requests from now on; running requests continue.
    void drain(TimePoint now);
    /// Call at least every 100 ms.
    void tick(TimePoint now);

    /// Returns and removes the pending actions, in order.
    std::vector<AgentAction> takeActions();
    /// Number of requests that run, or whose answer the entry has not received completely.
    std::size_t requestsInProgress() const;
    /// The load report of the heartbeat, without the floors.
    AgentHeartbeat load() const;
    std::size_t connectedEntries() const;
    /// Returns the state as JSON for diagnostics.
    boost::json::object dumpState(TimePoint now) const;

private:
    friend class AgentCoreBuilder;
    struct Private;
    explicit AgentCore(std::unique_ptr<Private> state);
    std::unique_ptr<Private> d;
};

/// Builds an AgentCore.
class AgentCoreBuilder
{
public:
    AgentCoreBuilder &incarnation(const Incarnation &value);
    AgentCoreBuilder &location(Location value);
    AgentCoreBuilder &pools(std::vector<std::string> value);
    AgentCoreBuilder &limits(const AgentLimits &value);
    /// \pre incarnation, location and pools are set.
    std::unique_ptr<AgentCore> build() const;

private:
    Incarnation ownIncarnation;
    Location ownLocation;
    std::vector<std::string> ownPools;
    AgentLimits ownLimits;
};

// ---------------------------------------------------------------------------------------------
// Membership

/// Chooses the agents of one pool for one entry by rendezvous hashing. Every process computes the
/// same choice, adding or removing an agent changes the choice only of the entries that choose it,
/// and each agent is chosen by about size * entries / agents entries. Thread-safe.
/// \param entry Name of the entry. \param agents Names of the pool's agents, in any order.
/// \param size Number of agents to choose; all are returned when there are no more than that.
/// \return The chosen names in descending order of preference.
std::vector<std::string> chooseAgentSubset(
    const std::string &entry, const std::vector<std::string> &agents, std::size_t size);

} // namespace wigeonsill
