/// \file agentstate.h
/// Private state of AgentCore and the functions that its source files share.
#pragma once

#include "admissionlimit.h"
#include "answerbuffer.h"
#include "floors.h"
#include "ratemeter.h"
#include "reservationqueue.h"
#include "tombstones.h"

#include <unordered_map>

namespace wigeonsill {

/// A request bound to this agent, from its start at the target until its answer is delivered.
struct AgentRun
{
    RequestProfile profile;
    bool ended = false;
    bool haveHead = false;
    bool paused = false;
    bool cancelled = false;
    bool preempted = false; ///< Cancelled because of a raised floor; reported as Preempted.
    bool discarding = false; ///< No entry needs the answer; its bytes are dropped.
    int status = 0;
    Headers headers;
    AnswerBuffer answer;
    std::uint64_t sentOffset = 0; ///< Bytes before this offset were sent to the entry.
    std::uint64_t acknowledgedOffset = 0; ///< Bytes before this offset were read by the caller.
    bool endSent = false;
    ResultCode result = ResultCode::Ok;
    TokenUsage usage;
    AnswerTiming timing;
    TimePoint endedAt;
    TimePoint lastMessageAt; ///< Last message from the entry about this run.
    TimePoint lastQueriedAt; ///< When the agent last sent StillRunning for this run.
};

/// A pull without a reply yet.
struct PendingPull
{
    std::uint64_t tokens = 0;
    TimePoint sentAt;
};

/// Connection state of one entry.
struct EntryConnection
{
    bool connected = false;
    TimePoint lastMessageAt;
    TimePoint disconnectedAt;
    std::uint64_t floorSequence = 0; ///< Highest floor sequence received from the entry.
};

struct AgentCore::Private
{
    Private(const AgentLimits &agentLimits, Incarnation agentIncarnation)
        : limits(agentLimits)
        , incarnation(agentIncarnation)
        , tombstones(agentLimits.tombstonesPerEntry)
        , admission(admissionOptions(agentLimits))
        , completionMeter(rateTimeConstant)
        , dequeueMeter(rateTimeConstant)
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
    /// A NotRun message may still be unsent until then.
    std::optional<TimePoint> rejectionInTransitUntil;

    ReservationQueue queue;
    Tombstones tombstones;
    FloorTable floors;
    AdmissionLimit admission;
    RateMeter completionMeter; ///< Estimated tokens of completed runs.
    RateMeter dequeueMeter; ///< Estimated tokens of reservations dequeued to run here or elsewhere.
    std::unordered_map<RequestId, PendingPull, RequestIdHash> pulls;
    std::unordered_map<RequestId, AgentRun, RequestIdHash> runs;
    std::map<Incarnation, EntryConnection> entries;
    std::uint64_t tokensInFlight = 0; ///< Of running and pulled requests.
    std::uint32_t running = 0;
    TimePoint targetBackoffUntil;
    TimePoint lastHeartbeat;
    std::vector<AgentAction> actions;

    void send(const Incarnation &entry, AgentMessage message);
    /// Pulls queued reservations as long as the target has capacity.
    void pullQueuedRequests(TimePoint now);
    bool hasCapacityFor(std::uint64_t tokens) const;
    void releasePull(const RequestId &id);
    void releasePullsOf(const Incarnation &entry);
    /// Ends the pulls without a reply within the timeout and permanently rejects their requests.
    void expirePulls(TimePoint now);
    void sendHeartbeats(TimePoint now);
    AgentHeartbeat heartbeat(TimePoint now, const EntryConnection &connection) const;
    /// The part of a heartbeat that is the same for every entry.
    AgentHeartbeat load() const;
    /// Evicts the reservations and cancels the preemptible runs below a newly raised floor.
    void enforceFloor(const std::string &pool, Tier lowestServed, TimePoint now);
    /// Returns whether the queue can take the request. Evicts a lower tier's reservation when the
    /// queue is full.
    bool makeQueueSpaceFor(const RequestProfile &profile);
    /// Expected wait of a new reservation, by tier; zero until a dequeue rate has been measured.
    std::array<Duration, tierCount> expectedWait() const;
    /// Removes a reservation whose request runs here or at another agent.
    void removeDispatched(const RequestId &id);
    void updateRates(TimePoint now);

    void onMessage(TimePoint now, const Incarnation &entry, const Reserve &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Withdraw &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Bind &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Decline &message);
    void onMessage(TimePoint now, const Incarnation &entry, const CancelRun &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Resume &message);
    void onMessage(TimePoint now, const Incarnation &entry, const Acknowledge &message);
    void onMessage(TimePoint now, const Incarnation &entry, const EntryHeartbeat &message);

    /// Permanently rejects a request and sends NotRun to its entry.
    void rejectPermanently(TimePoint now, const RequestId &id, ResultCode reason);
    /// Cancels a run whose answer is not needed. A non-idempotent run continues and its answer is
    /// discarded.
    void cancelOrDiscard(AgentRun &run);
    void discardAnswer(AgentRun &run);
    void resumeReading(AgentRun &run);
    /// Sends StillRunning for the runs without a message from their entry for statusQueryInterval.
    void queryRunStatus(TimePoint now);
    /// Sends the answer bytes that the window allows, then the end once all bytes are sent.
    void flush(AgentRun &run);
    void endRun(TimePoint now, AgentRun &run, ResultCode result);
    void removeExpiredAnswers(TimePoint now);
    void checkEntryTimeouts(TimePoint now);
};

} // namespace wigeonsill
