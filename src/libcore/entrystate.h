/// \file entrystate.h
/// Private state of EntryCore, and the functions shared by its source files.
#pragma once

#include "callerretryschedule.h"
#include "entryfloors.h"
#include "placement.h"
#include "pushplacement.h"
#include "retrybudget.h"
#include "sizeestimator.h"

#include <set>
#include <unordered_map>

namespace wigeonsill {

/// Phase of a request at its entry.
enum class RequestPhase : std::uint8_t {
    Claiming, ///< Its idempotency key is being claimed.
    Waiting, ///< Reserved at agents, or to be reserved; not dispatched.
    Bound, ///< Dispatched to one agent.
};
inline constexpr std::array requestPhaseNames = {
    EnumName<RequestPhase>{ RequestPhase::Claiming, "claiming" },
    EnumName<RequestPhase>{ RequestPhase::Waiting, "waiting" },
    EnumName<RequestPhase>{ RequestPhase::Bound, "bound" },
};

/// One request that has not ended.
struct EntryRequest
{
    CallerRequest callerRequest;
    RequestPhase phase = RequestPhase::Waiting;
    /// Set only for claimed requests, which continue without their caller.
    bool isCallerDisconnected = false;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::set<std::string> reservedAt; ///< Agents.
    TimePoint riskStartsAt; ///< From then on it counts as at risk of missing its deadline.
    bool atRisk = false;
    TimePoint affinityEndsAt; ///< Until then it is reserved only at the holder of its prefix.
    Duration quotaDelay{}; ///< Until the organisation's quota allows it; 0 when it does already.
    std::set<std::string> excluded; ///< Agents that permanently rejected it.

    std::string agent; ///< Set while bound.
    Incarnation agentIncarnation;
    /// Time of the dispatch, the last new part of the answer or the last status query.
    TimePoint lastProgress;
    bool haveHead = false; ///< Status and headers of the answer have arrived.
    int status = 0;
    Headers headers;
    std::uint64_t receivedBytes = 0; ///< Of the body, without gaps.
    std::uint64_t consumedBytes = 0; ///< By the caller.
    std::uint64_t acknowledgedBytes = 0; ///< To the agent.
    std::string recordedAnswer; ///< Body recorded for replay, up to the limit.

    bool isClaimed() const { return !this->callerRequest.idempotencyKey.empty(); }
    const RequestId &id() const { return this->callerRequest.profile.id; }
};

struct EntryCore::Private
{
    static constexpr std::size_t maximumTrackedServices = 65'536;
    static constexpr std::size_t maximumTrackedPrefixes = 65'536;

    Incarnation incarnation;
    Location location;
    EntryLimits limits;
    std::mt19937_64 random;
    std::uint64_t nextSequence = 1;
    std::uint64_t configurationRevision = 0;
    bool draining = false;

    std::unordered_map<std::uint64_t, EntryRequest> requests; ///< By sequence number.
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines; ///< Of waiting and claiming requests.
    std::size_t waiting = 0; ///< Number of requests in deadlines.
    AgentDirectory agents;
    PushPlacement pushPlacement;
    PrefixDirectory prefixes{ maximumTrackedPrefixes };
    /// Requests reserved only at the holder of their prefix.
    std::set<std::pair<TimePoint, std::uint64_t>> affinityWaits;
    SizeEstimator sizes{ maximumTrackedServices };
    Quotas quotas;
    CallerRetrySchedule callerRetrySchedule;
    TimePoint presentTime; ///< Time passed to the call in progress.
    EntryFloors floors;
    /// Of waiting requests that are not at risk yet.
    std::set<std::pair<TimePoint, std::uint64_t>> riskStartTimes;
    /// Number of requests at risk, by pool and tier.
    std::map<std::string, std::array<std::size_t, tierCount>> atRiskCounts;
    std::set<std::pair<Tier, std::uint64_t>> unplaced; ///< Waiting without a reservation.
    std::pair<Tier, std::uint64_t> unplacedCursor; ///< Last request that placeUnplaced() tried.
    /// Requests to shed once the floor allows it, with the reason, by pool and tier.
    std::map<std::pair<std::string, Tier>, std::map<std::uint64_t, ResultCode>> pendingSheds;
    RetryBudget retryBudget;
    TimePoint lastHeartbeat;
    TimePoint lastStatusCheck;
    std::vector<EntryAction> actions;

    EntryRequest *find(const RequestId &id);
    void send(const std::string &agent, EntryMessage message);

    /// Starts waiting: places the first reservations, or dispatches at once under a push strategy.
    void beginWaiting(TimePoint now, EntryRequest &request);
    /// Reserves at further agents until wantedCandidates() hold a reservation.
    /// \param avoid Name of an agent to skip this time, or empty.
    void placeReservations(TimePoint now, EntryRequest &request, const std::string &avoid = {});
    /// Reserves only at the holder of the request's prefix. Returns whether there is one.
    bool reserveAtPrefixHolder(TimePoint now, EntryRequest &request);
    void reserveAt(TimePoint now, EntryRequest &request, const std::string &agent);
    /// Places further reservations for the requests whose affinity wait has expired.
    void endAffinityWaits(TimePoint now);
    /// Adds the request to unplaced or removes it, as it has a reservation or not.
    void updateUnplaced(const EntryRequest &request);
    /// Withdraws the reservations and removes the request from all waiting state.
    void stopWaiting(EntryRequest &request);

    /// Number of agents that should hold a reservation of the request.
    std::size_t wantedCandidates(const EntryRequest &request) const;
    /// Sets the time from which the request counts as at risk. Sheds the request when its deadline
    /// is predicted to be unreachable, which may end it.
    void startRiskTracking(TimePoint now, EntryRequest &request);
    void stopRiskTracking(EntryRequest &request);
    /// Shortest wait expected by the agents that hold a reservation; empty when there are none.
    std::optional<Duration> predictedWait(const EntryRequest &request);
    /// Raises the pool's floor to the request's tier and reserves at more agents.
    void markAtRisk(TimePoint now, EntryRequest &request);
    void raiseFloor(TimePoint now, const std::string &pool, Tier tier);
    /// Sends a heartbeat with the current floors to every connected agent.
    void publishFloors(TimePoint now);
    /// Sheds a waiting request, at once or when all agents have confirmed its floor. Returns
    /// whether it ended.
    bool shed(TimePoint now, EntryRequest &request, ResultCode reason);
    /// The reason to refuse a new request at once, if there is one.
    std::optional<ResultCode> admissionRefusal(TimePoint now, const RequestProfile &profile);
    /// Marks the requests that have become at risk and renews the floors of the pools with such
    /// requests.
    void updateRiskAndFloors(TimePoint now);
    /// Ends the requests to shed whose floor all agents have confirmed.
    void shedPendingRequests(TimePoint now);
    /// Tries to place a bounded number of the requests without a reservation.
    void placeUnplaced(TimePoint now);

    /// Dispatches the request to the agent and withdraws its other reservations.
    void bind(TimePoint now, EntryRequest &request, AgentView &agent);
    /// Returns a bound request to waiting after its agent confirmed that it did not run. The
    /// request is refused instead when the retry budget of its organisation and pool is exhausted.
    /// A rejection by a floor does not use the budget.
    void retryOrRefuse(TimePoint now, EntryRequest &request, ResultCode reason);
    /// Ends a request: emits its last actions and removes it.
    void finish(EntryRequest &request, ResultCode result);
    /// Retry delay for the caller of a refused request; 0 when retrying does not help.
    Duration retryAfter(const EntryRequest &request, ResultCode result);
    /// Shortest expected wait of the request's tier among a few random agents of its pool.
    Duration poolWait(const RequestProfile &profile);
    /// Updates the size estimates and completion rates from a request that has ended.
    void learn(const RequestProfile &profile, const AnswerEnd &message);

    void onMessage(TimePoint now, AgentView &agent, const AgentHello &message);
    void onMessage(TimePoint now, AgentView &agent, const Pull &message);
    void onMessage(TimePoint now, AgentView &agent, const ReservationEnded &message);
    void onMessage(TimePoint now, AgentView &agent, const AnswerHead &message);
    void onMessage(TimePoint now, AgentView &agent, const AnswerBytes &message);
    void onMessage(TimePoint now, AgentView &agent, const AnswerEnd &message);
    void onMessage(TimePoint now, AgentView &agent, const NotRun &message);
    void onMessage(TimePoint now, AgentView &agent, const StillRunning &message);
    void onMessage(TimePoint now, AgentView &agent, const AgentHeartbeat &message);
    /// Returns the request when it is bound to this incarnation of the agent, or nullptr.
    EntryRequest *findBound(const AgentView &agent, const RequestId &id);

    /// Whether the request belonged to this entry and has ended.
    bool hasEnded(const RequestId &id) const;

    /// Drops the reservations at an unreachable agent and reserves at other agents instead.
    void dropReservations(TimePoint now, AgentView &agent);
    /// Ends the requests bound to an agent that was lost or replaced by a new incarnation.
    void endBoundRequests(AgentView &agent);
    /// Asks the bound agent for the status and the missing part of the answer.
    void queryRunStatus(EntryRequest &request);

    void expireWaiting(TimePoint now);
    /// Replaces unresponsive connections and ends the requests bound to lost agents.
    void checkAgentConnections(TimePoint now);
    void queryStalledRuns(TimePoint now);
    void sendHeartbeats(TimePoint now);
};

} // namespace wigeonsill
