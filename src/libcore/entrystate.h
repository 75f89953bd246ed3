/// \file entrystate.h
/// State of an entry core and the steps that its parts share.
#pragma once

#include "entryfloors.h"
#include "placement.h"
#include "pushplacement.h"
#include "retrybudget.h"
#include "returnschedule.h"
#include "sizeestimator.h"

#include <set>
#include <unordered_map>

namespace wigeonsill {

/// Where a request stands at its entry.
enum class RequestPhase : std::uint8_t {
    Claiming, ///< Its idempotency key is being claimed.
    Waiting, ///< Reserved at agents; not handed over.
    Bound, ///< Handed over to one agent.
};
inline constexpr std::array requestPhaseNames = {
    EnumName<RequestPhase>{ RequestPhase::Claiming, "claiming" },
    EnumName<RequestPhase>{ RequestPhase::Waiting, "waiting" },
    EnumName<RequestPhase>{ RequestPhase::Bound, "bound" },
};

/// One request that has not ended.
struct EntryRequest
{
    CallerRequest caller;
    RequestPhase phase = RequestPhase::Waiting;
    bool callerIsGone = false; ///< Only for claimed requests, which run on without their caller.
    TimePoint arrivedAt;
    TimePoint deadline;
    std::set<std::string> reservedAt;
    TimePoint riskAt; ///< From when on it counts as being at risk of its deadline.
    bool atRisk = false;
    TimePoint affineUntil; ///< Until then only the holder of its prefix is asked.
    Duration quotaDelay{}; ///< Until the organisation's quota has room, when it has none.
    std::set<std::string> excluded; ///< Agents that refused it for ever.

    std::string agent; ///< When bound.
    Incarnation agentIncarnation;
    TimePoint lastProgress;
    bool haveHead = false;
    int status = 0;
    Headers headers;
    std::uint64_t received = 0;
    std::uint64_t taken = 0;
    std::uint64_t acknowledged = 0;
    std::string recorded; ///< Answer kept for replay, up to the limit.

    bool isClaimed() const { return !this->caller.idempotencyKey.empty(); }
    const RequestId &id() const { return this->caller.profile.id; }
};

struct EntryCore::Private
{
    static constexpr std::size_t servicesRemembered = 65'536;
    static constexpr std::size_t prefixesRemembered = 65'536;

    Incarnation incarnation;
    Location location;
    EntryLimits limits;
    std::mt19937_64 random;
    std::uint64_t nextSequence = 1;
    std::uint64_t configurationRevision = 0;
    bool draining = false;

    std::unordered_map<std::uint64_t, EntryRequest> requests;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines; ///< Of waiting and claiming requests.
    std::size_t waiting = 0;
    AgentDirectory agents;
    PushPlacement pushPlacement;
    PrefixDirectory prefixes{ prefixesRemembered };
    std::set<std::pair<TimePoint, std::uint64_t>>
        affineHolds; ///< Requests that wait for one agent.
    SizeEstimator sizes{ servicesRemembered };
    Quotas quotas;
    ReturnSchedule returns;
    TimePoint presentTime; ///< Of the call in progress.
    EntryFloors floors;
    std::set<std::pair<TimePoint, std::uint64_t>> riskTimes; ///< Of waiting requests not at risk.
    std::map<std::string, std::array<std::size_t, tierCount>>
        atRisk; ///< Requests by pool and tier.
    std::set<std::pair<Tier, std::uint64_t>> unplaced; ///< Waiting without a reservation.
    std::pair<Tier, std::uint64_t> lastUnplaced;
    /// Given up as soon as the floor allows it, by pool and tier.
    std::map<std::pair<std::string, Tier>, std::map<std::uint64_t, ResultCode>> toShed;
    RetryBudget retries;
    TimePoint lastHeartbeat;
    TimePoint lastAsk;
    std::vector<EntryAction> actions;

    EntryRequest *find(const RequestId &id);
    void send(const std::string &agent, EntryMessage message);

    /// Starts waiting and places the first reservations.
    void beginWaiting(TimePoint now, EntryRequest &request);
    /// Reserves at more agents until enough hold the request.
    /// \param avoid Name of an agent that is not asked this time, or empty.
    void placeReservations(TimePoint now, EntryRequest &request, const std::string &avoid = {});
    /// Reserves at the holder of the request's prefix alone. Returns whether there is one.
    bool placeAffine(TimePoint now, EntryRequest &request);
    void reserveAt(TimePoint now, EntryRequest &request, const std::string &agent);
    void endAffineHolds(TimePoint now);
    void noteUnplaced(const EntryRequest &request);
    void stopWaiting(EntryRequest &request);

    std::size_t wantedCandidates(const EntryRequest &request) const;
    /// Sets when a request counts as being at risk. It may end the request.
    void watchRisk(TimePoint now, EntryRequest &request);
    void unwatchRisk(EntryRequest &request);
    /// Shortest wait that its agents expect; empty when it is reserved nowhere.
    std::optional<Duration> predictedWait(const EntryRequest &request);
    void markAtRisk(TimePoint now, EntryRequest &request);
    void raiseFloor(TimePoint now, const std::string &pool, Tier tier);
    void tellFloors(TimePoint now);
    /// Gives a waiting request up, at once or when its floor has spread. Returns whether it ended.
    bool shed(TimePoint now, EntryRequest &request, ResultCode reason);
    /// Why a new request is refused at once, if it is.
    std::optional<ResultCode> refusalOf(TimePoint now, const RequestProfile &profile);
    void renewFloors(TimePoint now);
    void shedWhereAllowed(TimePoint now);
    void placeUnplaced(TimePoint now);

    void bind(TimePoint now, EntryRequest &request, AgentView &agent);
    /// Back to waiting: the bound agent's word is that the target never got it.
    /// It is refused instead when the retries of its organisation and pool are used up.
    void unbind(TimePoint now, EntryRequest &request, ResultCode reason);
    /// Ends a request with its last action and forgets it.
    void finish(EntryRequest &request, ResultCode result);
    /// When the caller of a refused request is asked to come back; 0 where it does not help.
    Duration retryAfter(const EntryRequest &request, ResultCode result);
    /// Shortest wait of a tier among a few agents of a pool.
    Duration poolWait(const RequestProfile &profile);
    /// Learns from a request that ended.
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
    /// The request when it is bound to this life of this agent, or nullptr.
    EntryRequest *boundTo(const AgentView &agent, const RequestId &id);

    /// Whether the request was one of this entry's and has ended.
    bool hasEnded(const RequestId &id) const;

    /// An agent is out of reach: its reservations are void and the requests placed elsewhere.
    void dropReservations(TimePoint now, AgentView &agent);
    /// A life of an agent is over: whatever was bound to it has ended.
    void endBoundRequests(AgentView &agent);
    void ask(EntryRequest &request);

    void expireWaiting(TimePoint now);
    void watchAgents(TimePoint now);
    void askAboutBound(TimePoint now);
    void sendHeartbeats(TimePoint now);
};

} // namespace wigeonsill
