/// \file core.h
/// Public header of the core library: every decision of the entry and of the agent.
///
/// The core has no input, output, threads or clock. Its owner passes events with the present time
/// and carries out the actions that it takes back with takeActions(). Nothing here is thread-safe;
/// each object belongs to one thread. Times are points of the owner's own monotonic clock.
#pragma once

#include "wigeonsill/util.h"

#include <variant>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Requests and messages

/// Where a process stands.
struct Location
{
    std::string instance; ///< Unique name of the process.
    std::string region;
    std::string failureDomain;
};

/// One header field of HTTP, in order.
struct Header
{
    std::string name;
    std::string value;
};
using Headers = std::vector<Header>;

/// The light facts by which a request is placed. Never the prompt itself.
struct RequestProfile
{
    RequestId id;
    Tier tier = Tier::Normal;
    std::string organisation;
    std::string service;
    std::string pool;
    std::uint32_t weight = 1; ///< Share of the organisation within its tier.
    std::uint32_t promptTokens = 0; ///< Estimate.
    std::uint32_t outputTokens = 0; ///< Estimate.
    std::vector<std::uint64_t> prefixHashes; ///< Hashes of ever longer prompt prefixes.
    Duration timeLeft{}; ///< Until the latest useful start, from when this was sent.
    bool nonIdempotent = false;
    Preemption preemption = Preemption::Never;
    Weighting weighting = Weighting::Goodput;

    /// Estimated cost in tokens. Always at least 1.
    std::uint64_t tokens() const
    {
        return std::max<std::uint64_t>(1, std::uint64_t(this->promptTokens) + this->outputTokens);
    }
};

/// What is sent to the target.
struct ForwardedRequest
{
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
};

/// The lowest tier that a pool takes at present.
struct PoolFloor
{
    std::string pool;
    Tier lowestServed = Tier::Bulk;
    Duration remaining{}; ///< The floor lapses after this.
};

// Entry to agent. A message names one request; late, repeated or reordered messages are harmless.

/// Asks for a place in the agent's queue.
struct Reserve
{
    RequestProfile profile;
};
/// Gives a reservation up.
struct Withdraw
{
    RequestId id;
};
/// Hands the request over. Sent at most once for a request and an agent.
struct Bind
{
    RequestProfile profile;
    ForwardedRequest request;
};
/// Answers a pull of a request that is no longer to be had.
struct Decline
{
    RequestId id;
};
/// Stops a running request, whose caller is gone.
struct CancelRun
{
    RequestId id;
};
/// Asks for the answer from an offset on. An agent that never saw the request must refuse it for
/// ever before it replies NotRun.
struct Resume
{
    RequestId id;
    std::uint64_t offset = 0; ///< Bytes of the body already held by the entry.
    bool needHead = true;
};
/// Tells how much of the answer the caller has taken.
struct Acknowledge
{
    RequestId id;
    std::uint64_t offset = 0;
    bool final = false; ///< The entry needs nothing more of this request.
};
/// Sent at a fixed interval on every connection.
struct EntryHeartbeat
{
    std::uint64_t configurationRevision = 0;
    std::vector<PoolFloor> floors;
    std::uint64_t floorSequence = 0; ///< Number of this statement of floors; 0 means none.
};

using EntryMessage = std::variant<Reserve, Withdraw, Bind, Decline, CancelRun, Resume, Acknowledge,
    EntryHeartbeat>;

// Agent to entry.

/// First message of an agent on a connection.
struct AgentHello
{
    Incarnation incarnation;
    Location location;
    std::vector<std::string> pools;
    bool draining = false;
};
/// Asks for a reserved request, now that there is room for it.
struct Pull
{
    RequestId id;
};
/// The agent does not hold the reservation any more, or never did.
struct ReservationEnded
{
    RequestId id;
    ResultCode reason = ResultCode::Ok;
    std::vector<PoolFloor> floors; ///< Those of the agent, when a floor is the reason.
};
struct AnswerHead
{
    RequestId id;
    int status = 0;
    Headers headers;
};
struct AnswerBytes
{
    RequestId id;
    std::uint64_t offset = 0;
    std::string bytes;
};
/// The answer is over. It is whole only with ResultCode::Ok.
struct AnswerEnd
{
    RequestId id;
    ResultCode result = ResultCode::Ok;
    std::uint64_t totalBytes = 0;
    std::uint32_t promptTokens = 0; ///< As the target counted; 0 where it did not.
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
};
/// The target never got the request and never will from this agent.
struct NotRun
{
    RequestId id;
    ResultCode reason = ResultCode::Ok;
};
/// Answers Resume while the request runs; also asks whether the entry still wants it. An entry for
/// which the request has ended replies CancelRun.
struct StillRunning
{
    RequestId id;
};
/// Sent at a fixed interval on every connection.
struct AgentHeartbeat
{
    std::uint64_t configurationRevision = 0;
    bool draining = false;
    std::uint64_t tokensInFlight = 0;
    std::uint64_t tokenLimit = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<PoolFloor> floors;
    std::uint64_t floorSequence = 0; ///< Latest of the receiving entry that is in force here.
    double tokensPerSecond = 0; ///< Estimated tokens served a second; 0 until measured.
    std::array<Duration, tierCount> expectedWait{}; ///< Of a new reservation, by tier.
};

using AgentMessage = std::variant<AgentHello, Pull, ReservationEnded, AnswerHead, AnswerBytes,
    AnswerEnd, NotRun, StillRunning, AgentHeartbeat>;

// ---------------------------------------------------------------------------------------------
// Entry

/// A request as the entry's front accepted it.
struct CallerRequest
{
    RequestProfile profile; ///< The id is filled in by the core; timeLeft is the whole wait.
    ForwardedRequest request;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    double quotaTokensPerSecond = 0; ///< Of the organisation, at this entry; 0 means no quota.
};

/// What the store said of an idempotency key.
struct ClaimDecision
{
    ResultCode result = ResultCode::Ok; ///< Ok: this request may run.
    bool replay = false; ///< The recorded answer below is to be given.
    int status = 0;
    Headers headers;
    std::string body;
};

struct SendToAgent
{
    std::string agent; ///< Instance name.
    EntryMessage message;
};
/// Drop the connection to an agent and make a new one.
struct ReconnectAgent
{
    std::string agent;
};
struct DeliverHead
{
    RequestId id;
    int status = 0;
    Headers headers;
};
struct DeliverBytes
{
    RequestId id;
    std::string bytes;
};
/// The last action for a request. With Ok the answer is closed as whole; otherwise it is refused,
/// or broken off when its head is out.
struct DeliverEnd
{
    RequestId id;
    ResultCode result = ResultCode::Ok;
    Duration retryAfter{}; ///< When to come back; 0 where waiting does not help.
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
    std::string body; ///< Whole answer, or empty when it was over the limit.
};

using EntryAction = std::variant<SendToAgent, ReconnectAgent, DeliverHead, DeliverBytes, DeliverEnd,
    ClaimKey, RecordClaim>;

/// How a request finds its agent. All but the first exist to be measured against.
enum class PlacementStrategy : std::uint8_t {
    LateBinding, ///< Reserved at several agents; the first with room takes it.
    RoundRobin, ///< Pushed at arrival to the agents in turn.
    LeastLoad, ///< Pushed at arrival to the agent with the least reported load.
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
    std::size_t candidates = 2; ///< Agents asked at first.
    std::uint64_t acknowledgeEvery = 65'536; ///< Bytes.
    std::size_t maximumRecordedAnswer = 16'384; ///< Bytes of an answer kept for replay.
    Duration heartbeatInterval = seconds(1);
    Duration silenceLimit = seconds(3); ///< A quiet agent connection is replaced after this.
    Duration agentLostAfter
        = seconds(10); ///< Bound requests of an unreachable agent end after this.
    Duration askInterval = seconds(5); ///< A bound request without progress is asked for.
};

/// Every decision of one entry process.
class EntryCore
{
public:
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Takes a request in. Exactly one DeliverEnd follows for the returned id, sooner or later.
    RequestId arrive(TimePoint now, CallerRequest request);
    /// The caller's connection is gone. No DeliverEnd follows. Unknown ids are ignored.
    void callerGone(TimePoint now, const RequestId &id);
    /// The caller has taken this many body bytes in all.
    void callerTook(TimePoint now, const RequestId &id, std::uint64_t offset);
    /// The store's word on a ClaimKey action.
    void claimDecided(TimePoint now, const RequestId &id, const ClaimDecision &decision);

    /// A connection to an agent stands and its hello has come. Supersedes an earlier connection.
    void agentConnected(TimePoint now, const AgentHello &hello);
    void agentDisconnected(TimePoint now, const std::string &agent);
    /// The instance list says that the agent is leaving, or no longer so.
    void agentLeaving(TimePoint now, const std::string &agent, bool leaving);
    /// A message of the agent's present or an earlier connection.
    void receive(TimePoint now, const std::string &agent, const Incarnation &incarnation,
        const AgentMessage &message);

    void setConfigurationRevision(std::uint64_t revision);
    /// Refuse new requests from now on; those held go on.
    void drain();
    /// Call at least every 100 ms.
    void tick(TimePoint now);

    /// Hands over the actions decided since the last call, in order.
    std::vector<EntryAction> takeActions();
    /// Requests not yet ended.
    std::size_t requestsInProgress() const;
    /// Requests that no agent has been given yet.
    std::size_t requestsWaiting() const;
    std::size_t connectedAgents() const;
    /// State for people, as JSON.
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
    /// Seed of the generator for random choices.
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
/// The word on a claim, for EntryCore::claimDecided().
struct ClaimDecided
{
    RequestId id;
    ClaimDecision decision;
};
using ClaimBookAction = std::variant<ReadShard, WriteShard, ClaimDecided>;

/// A shard as the store holds it.
struct ShardValue
{
    std::string value;
    std::uint64_t version = 0; ///< 0: the store has none.
};

struct ClaimLimits
{
    std::uint32_t shards = 64;
    std::size_t maximumShardBytes = 900'000; ///< Recorded answers are dropped beyond this.
    Duration claimDelay = milliseconds(5); ///< Claims are gathered this long into one write.
    Duration runningWait = seconds(1); ///< A repeat waits this long for the first attempt's end.
    Duration recordDelay = milliseconds(250); ///< Ends of requests wait this long for a claim.
    Duration writeInterval = milliseconds(200); ///< Between two writes of one shard.
    Duration claimTimeout = seconds(3); ///< A claim that is not written by then is refused.
    Duration recordTimeout = seconds(60); ///< An end that is not written by then is given up.
    std::size_t maximumRecords = 64; ///< Ends held for one shard.
    Duration retryInterval = milliseconds(200); ///< After the store failed.
    std::chrono::seconds retention{ 86'400 }; ///< Age at which a claim is forgotten.
    std::chrono::seconds runningLimit{ 60 }; ///< Older running claims are said to be unknown.
};

/// Claims idempotency keys and records how their requests ended, with many of both in one write.
/// The swap is the guard: any number of entries may write the same shard.
class ClaimBook
{
public:
    explicit ClaimBook(const ClaimLimits &limits);
    ~ClaimBook();
    ClaimBook(const ClaimBook &) = delete;
    ClaimBook &operator=(const ClaimBook &) = delete;

    /// Exactly one ClaimDecided follows.
    void claim(TimePoint now, ClaimKey action);
    void record(TimePoint now, RecordClaim action);
    /// The outcome of a ReadShard action.
    void readDone(TimePoint now, const std::string &key, const Result<ShardValue> &value);
    /// The outcome of a WriteShard action: the new version, or StoreConflict, StoreAnswerLost or
    /// another error after which nothing was written.
    void writeDone(TimePoint now, const std::string &key, const Result<std::uint64_t> &version);
    /// Call at least every 50 ms. The wall clock is in seconds of the Unix epoch.
    void tick(TimePoint now, std::chrono::seconds wallClock);

    std::vector<ClaimBookAction> takeActions();
    /// Claims without a decision and ends not yet recorded.
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
/// Send the request to the target, at once and once.
struct StartAtTarget
{
    RequestId id;
    ForwardedRequest request;
};
/// Stop a request at the target.
struct CancelAtTarget
{
    RequestId id;
};
/// Stop or go on reading the target's answer.
struct PauseTarget
{
    RequestId id;
    bool paused = false;
};

using AgentAction = std::variant<SendToEntry, StartAtTarget, CancelAtTarget, PauseTarget>;

/// How a request ended at the target.
enum class TargetEnd : std::uint8_t {
    Whole, ///< The answer came whole.
    NeverSent, ///< No byte of the request reached the target.
    BrokeOff, ///< The connection ended before the answer did.
    Silent, ///< No byte of an answer came in time.
};

/// Tokens as the target counted them; 0 where it did not.
struct TokenUsage
{
    std::uint32_t prompt = 0;
    std::uint32_t cached = 0;
    std::uint32_t output = 0;
};

/// Limits and intervals of an agent.
struct AgentLimits
{
    std::uint64_t tokenLimit = 8'192; ///< Tokens in flight at the target at first; it adapts.
    std::uint32_t maximumRunning = 64; ///< Requests in flight at the target.
    std::size_t maximumQueued = 4'096; ///< Reservations.
    std::uint64_t window = 262'144; ///< Bytes of one answer sent ahead of its acknowledgement.
    std::uint64_t maximumBuffered = 4'194'304; ///< Bytes of one answer held.
    std::size_t tombstonesPerEntry = 65'536;
    Duration heartbeatInterval = seconds(1);
    Duration silenceLimit = seconds(3); ///< Reservations of a quiet entry are dropped after this.
    Duration pullTimeout = seconds(2); ///< A pull without reply is given up, and its request too.
    bool acceptPushed = false; ///< Start requests that were not pulled, however late they come.
    Duration askInterval = seconds(5); ///< A run of which its entry says nothing is asked about.
    Duration answerRetention = seconds(30); ///< An ended answer is held for a lost entry this long.
    Duration entryLostAfter
        = seconds(20); ///< Idempotent work of an unreachable entry is cancelled.
    Duration targetBackoff = seconds(1); ///< Pause after the target refused a connection.
};

/// Every decision of one agent process. The agent is the only sender of work to its target.
class AgentCore
{
public:
    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    /// The first message for new connections.
    AgentHello hello() const;
    /// An entry has a new connection. Its earlier reservations are dropped.
    void entryConnected(TimePoint now, const Incarnation &entry);
    void entryDisconnected(TimePoint now, const Incarnation &entry);
    void receive(TimePoint now, const Incarnation &entry, const EntryMessage &message);

    void targetHead(TimePoint now, const RequestId &id, int status, Headers headers);
    void targetBytes(TimePoint now, const RequestId &id, std::string_view bytes);
    void targetEnded(TimePoint now, const RequestId &id, TargetEnd end, const TokenUsage &usage);

    void setConfigurationRevision(std::uint64_t revision);
    /// Take no new work from now on; what runs goes on.
    void drain(TimePoint now);
    /// Call at least every 100 ms.
    void tick(TimePoint now);

    std::vector<AgentAction> takeActions();
    /// Requests running, or ended with an answer that an entry has not taken whole.
    std::size_t requestsInProgress() const;
    /// What every entry is told at each heartbeat, without the floors.
    AgentHeartbeat load() const;
    std::size_t connectedEntries() const;
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

/// Chooses the agents of one pool for one entry by rendezvous hashing: every process computes the
/// same choice, an agent that comes or goes changes it only for the entries that had it, and each
/// agent is chosen by about size * entries / agents entries. Thread-safe.
/// \param entry Name of the entry. \param agents Names of the pool's agents, in any order.
/// \param size Agents wanted; all are returned when there are no more than that.
/// \return The chosen names in descending order of preference.
std::vector<std::string> chooseAgentSubset(
    const std::string &entry, const std::vector<std::string> &agents, std::size_t size);

} // namespace wigeonsill
