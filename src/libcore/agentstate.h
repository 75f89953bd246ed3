/// \file agentstate.h
/// State of an agent core and the steps that its parts share.
#pragma once

#include "admissionlimit.h"
#include "answerbuffer.h"
#include "floors.h"
#include "ratemeter.h"
#include "reservationqueue.h"
#include "tombstones.h"

#include <unordered_map>

namespace wigeonsill {

/// A request that was handed over to this agent.
struct AgentRun
{
    RequestProfile profile;
    bool ended = false;
    bool haveHead = false;
    bool paused = false;
    bool cancelled = false;
    bool preempted = false; ///< Cancelled for a higher tier; its entry is told.
    bool discarding = false; ///< Nobody waits for the answer; its bytes are not kept.
    int status = 0;
    Headers headers;
    AnswerBuffer answer;
    std::uint64_t sent = 0; ///< Offset up to which bytes went to the entry.
    std::uint64_t acknowledged = 0; ///< Offset up to which the entry's caller took bytes.
    bool endSent = false;
    ResultCode result = ResultCode::Ok;
    TokenUsage usage;
    AnswerTiming timing;
    TimePoint endedAt;
    TimePoint lastHeard; ///< Last message of the entry about it.
    TimePoint lastAsked; ///< When the agent last asked about it.
};

/// A pull that waits for its reply.
struct PendingPull
{
    std::uint64_t tokens = 0;
    TimePoint sentAt;
};

/// What the agent knows of one entry.
struct EntryLink
{
    bool connected = false;
    TimePoint lastHeard;
    TimePoint disconnectedAt;
    std::uint64_t floorSequence = 0; ///< Latest statement of floors that came.
};

struct AgentCore::Private
{
    Private(const AgentLimits &agentLimits, Incarnation agentIncarnation)
        : limits(agentLimits)
        , incarnation(agentIncarnation)
        , tombstones(agentLimits.tombstonesPerEntry)
        , admission(admissionOptions(agentLimits))
        , served(rateTimeConstant)
        , drained(rateTimeConstant)
    {
    }

    static AdmissionLimit::Options admissionOptions(const AgentLimits &limits)
    {
        AdmissionLimit::Options options;
        options.initial = limits.tokenLimit;
        return options;
    }

    static constexpr Duration rateTimeConstant = seconds(5);

    AgentLimits limits;
    Incarnation incarnation;
    Location location;
    std::vector<std::string> pools;
    std::uint64_t configurationRevision = 0;
    bool draining = false;
    std::optional<TimePoint> lingersUntil; ///< A refusal is on its way out until then.

    ReservationQueue queue;
    Tombstones tombstones;
    FloorTable floors;
    AdmissionLimit admission;
    RateMeter served; ///< Estimated tokens of ended runs.
    RateMeter drained; ///< Estimated tokens that left the queue to be run, here or elsewhere.
    std::unordered_map<RequestId, PendingPull, RequestIdHash> pulls;
    std::unordered_map<RequestId, AgentRun, RequestIdHash> runs;
    std::map<Incarnation, EntryLink> entries;
    std::uint64_t tokensInFlight = 0; ///< Running and pulled.
    std::uint32_t running = 0;
    TimePoint targetUsableAt;
    TimePoint lastHeartbeat;
    std::vector<AgentAction> actions;

    void send(const Incarnation &entry, AgentMessage message);
    /// Pulls from the queue as long as there is room.
    void pullNext(TimePoint now);
    bool hasRoomFor(std::uint64_t tokens) const;
    void releasePull(const RequestId &id);
    void releasePullsOf(const Incarnation &entry);
    /// Gives up the pulls that got no reply in time, for ever.
    void expirePulls(TimePoint now);
    void sendHeartbeats(TimePoint now);
    AgentHeartbeat heartbeat(TimePoint now, const EntryLink &link) const;
    /// What a heartbeat says to every entry alike.
    AgentHeartbeat load() const;
    /// Evicts and cancels what a floor that has just been raised no longer lets through.
    void enforceFloor(const std::string &pool, Tier lowestServed, TimePoint now);
    /// Whether the queue has room, if need be by evicting a lower tier.
    bool makeRoomFor(const RequestProfile &profile);
    /// Wait of a new reservation, by tier; zero until the rate is known.
    std::array<Duration, tierCount> expectedWait() const;
    /// Takes a reservation out of the queue because its request runs here or elsewhere.
    void removeServed(const RequestId &id);
    void measureRates(TimePoint now);

    void onMessage(TimePoint now, const Incarnation &entry, const Reserve &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Withdraw &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Bind &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Decline &message);
    void onMessage(TimePoint now, const Incarnation &entry, const CancelRun &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Resume &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Acknowledge &message);
    void onMessage(TimePoint now, const Incarnation &entry, const EntryHeartbeat &message);

    /// Refuses a request for ever and says so.
    void refuse(TimePoint now, const RequestId &id, ResultCode reason);
    /// Stops a run that nobody waits for. A non-idempotent one runs on and its answer is discarded.
    void cancel(AgentRun &run);
    void discard(AgentRun &run);
    void resumeReading(AgentRun &run);
    /// Asks the entries about runs of which they have said nothing for long.
    void askAboutRuns(TimePoint now);
    /// Sends what the window allows of an answer, and its end when all of it is out.
    void flush(AgentRun &run);
    void endRun(TimePoint now, AgentRun &run, ResultCode result);
    void forgetOldAnswers(TimePoint now);
    void watchEntries(TimePoint now);
};

} // namespace wigeonsill
