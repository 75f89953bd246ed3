/// \file requestflow.h
/// State machine of one request, from its arrival to its final answer.
#pragma once

#include "entrystate.h"
#include "targetattempt.h"
#include "wigeonsill/outcomes.h"

namespace wigeonsill {

class CallerConnection;

/// Handles one request: checks it, reserves room, forwards it and relays the answer. The decision
/// rules are in the gateway library.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>,
                    private AnswerHandler,
                    private GrantListener,
                    private StreamOriginListener
{
public:
    /// \pre entryState is owned by a shared pointer; callerConnection lives until it called
    /// onCallerDisconnected() or received its answer.
    RequestFlow(EntryState &entryState, CallerConnection &callerConnection, MessageHead requestHead,
        std::string requestBody);
    ~RequestFlow() override;

    void start();
    /// The caller closed its connection: withdraws all reservations and cancels the send.
    void onCallerDisconnected();
    /// Places the requests that wait for a permit, the most useful ones first.
    static void placePermitWaiters(EntryState &entryState);
    /// The caller's connection has written more of the answer.
    void onCallerWritten();
    /// Reads on in the pacer's turn. Returns false when it does not, since the request has ended,
    /// need not wait any more, or waits for its caller.
    bool readAhead();
    /// Gives the request its final answer because the process is about to exit.
    void finishForShutdown();

private:
    enum class Phase : std::uint8_t { Deciding, Reserving, Sent, Relaying, Finished };
    enum class ReservationState : std::uint8_t { Requested, Queued, Declined };
    struct Reservation
    {
        Target target;
        ReservationState state = ReservationState::Requested;
        TimePoint lastSentAt;
        int sendCount = 0;
    };

    // Checks before a target is chosen. Each returns false when it gave the final answer.
    bool checkConfiguration();
    bool checkRoute();
    bool checkDrain();
    bool checkKey();
    bool checkHolds();
    bool checkQuota();

    void placeRequest();
    /// Whether the caller asks for the rest of a stream that another answer began.
    bool takesUpStream() const;
    /// Finds the version at which a stream began that the caller takes up. Returns false when it is
    /// not known yet.
    bool settleStreamVersion();
    void askStreamOrigin();
    /// Counts and logs at which version a stream goes on that the caller takes up.
    void recordTakenUp(OriginSource source);
    void onOriginTimer();
    void onStreamOrigin(const OriginDecision &decision) override;
    /// Hash of the id of the request that began the stream; empty when the caller doesn't name it.
    std::optional<std::uint64_t> streamId() const;
    /// Keeps known at which version the stream is going on. \param isFirst Of the attempt's events.
    void recordStreamEvents(bool isFirst);
    /// Chooses a target, reserves at targets or waits for one that takes requests.
    void place();
    void placeByReservation();
    void placeWithoutReservation();
    /// Ranks the targets and reserves at the first. Returns false when no target is known.
    bool beginReservations();
    void reserveAtNext(std::size_t count);
    void setReservationState(const std::string &targetId, ReservationState newState);
    /// Withdraws the reservations at targets that take no requests any more.
    void withdrawFromClosedTargets();
    /// Whether a target that takes no request at this moment is worth waiting for.
    bool isWaitUseful() const;
    /// Waits for a target that takes requests, or refuses the request.
    void waitOrRefuse();
    /// Whether a rollout may keep requests from targets of some versions.
    bool followsRollout() const;
    /// Whether the request may not be sent to targets of all versions.
    bool areVersionsRestricted() const;
    /// The usable targets of the service of versions that the request may be sent to.
    std::vector<const Target *> usableTargets() const;
    /// Whether the request may go to a target of this version: a stream goes on only at the version
    /// that began it, and rollouts restrict others.
    bool isAdmitted(const Target &target) const;
    /// As isAdmitted(), and the limits allow one more request to the version now.
    bool maySendTo(const Target &target) const;
    bool hasTargetOn(VersionSide versionSide) const;
    /// Chooses the side of a rollout at the first placement. Changes it where that side has no
    /// target that the request may be sent to and the other one has.
    void settleSide();
    /// Gives up a granted reservation at a version that gets no more requests now.
    void leaveSide(const std::string &targetId);
    void recordSample(bool failed);
    /// Records for a rollout how long the current target took, or is taking, to answer. Does
    /// nothing when that is recorded already.
    void recordLatencySample();
    /// Records for a rollout that the current target failed.
    void recordFailureSample();
    /// Records a failure when the time limit is reached while the current target is silent.
    void recordTimeLimitSample();
    /// The targets that the request may be sent to, now or later.
    std::vector<const Target *> candidates() const;
    /// Expected time until the rates of all candidates leave room for this request, behind the more
    /// useful ones that wait here. Empty when a candidate states no rate.
    std::optional<Duration> untilRateLeavesRoom() const;
    /// Whether each agent declined the request for the rate that its target states.
    bool isDeclinedForRates() const;
    /// Refuses the request because the targets' rates leave no room for it.
    void refuseForRates(Duration untilRoom);
    /// Resends unanswered reservations and adds one.
    void maintainReservations();
    void onTimer();
    void onReservingTimer();
    void sendPastUnresponsiveAgent();
    /// Whether room is reserved for a request that a target is still working on.
    bool isSearching() const { return this->attempt && this->reservationId != 0; }
    /// Whether a target may have run the request or part of it.
    bool mayHaveRun() const;
    /// Whether another target may answer in place of one that may have run the request.
    bool canContinueElsewhere() const;
    /// Whether the request may be sent to a target that was reserved.
    bool mayMove() const
    {
        return !this->attempt || (this->canContinueElsewhere() && !this->isHeld());
    }
    /// Whether the request or parts of its prompt are held back. It is then not sent to any target.
    bool isHeld() const { return this->state.crashes.findHold(this->suspect) != nullptr; }
    /// Gives a request that is held its final answer. Returns whether it is held.
    bool refuseIfHeld();
    /// Records that the current target failed before it had begun to answer.
    void recordBrokenOff(TargetFailure failure);
    /// Records that the current target has gone on answering.
    void recordAnswering();
    AnswerContinuation::Options continuationOptions() const;
    /// Reserves at other targets while the current one is silent.
    void searchOtherTarget();
    void endSearch();
    void recordProgress();
    /// Leaves the current target, if any, and sends the request to one that was reserved.
    void moveTo(const Target &chosen, bool byGrant);
    std::vector<TargetView> targetViews() const;
    /// Time after arrival at which a wait for room ends. \param start Time after arrival at which
    /// the wait begins.
    Duration waitEnd(Duration start) const;
    double requestSize() const;
    /// Estimate of the tokens that the caller has, also from earlier answers.
    std::uint32_t deliveredTokens() const;
    ReservationProfile profile() const;
    /// \param reservation Under which the target was reserved; 0 without one.
    void sendTo(const Target &target, std::uint64_t reservation = 0, bool byGrant = false);
    /// Releases the reservations. That of a target to be sent to is kept for as long as the target.
    void withdrawReservations(const std::string &exceptTarget = {});
    void releaseTarget();
    /// Logs that the request leaves its target.
    void logMove(std::string_view cause);
    bool retryAtOtherTarget(std::string_view cause);
    /// Whether the request may be repeated at another target than the current one now.
    bool mayAskOtherTarget();

    void onSent() override;
    void onAnswerHead(const MessageHead &answerHead) override;
    void onAnswerBody(std::string_view bytes) override;
    void onForeignAnswer(std::string_view answerId, std::uint64_t earlierRequests) override;
    void onAnswerEnd() override;
    DoubtStep settleDoubt(BodyDoubt doubt, std::string_view held) override;
    void onBodyHeld() override { this->recordProgress(); }
    void onBoundExceeded(AnswerBound bound) override;
    void onUnreadable(std::string_view why) override;
    void onAnswerFailed(TargetFailure failure) override;
    bool onGranted(std::uint64_t reservation, const std::string &targetId) override;
    void onQueued(std::uint64_t reservation, const std::string &targetId) override;
    void onDeclined(std::uint64_t reservation, const std::string &targetId) override;

    /// Whether the end of the answer may be that of the target's process: without length and
    /// chunks, its system closes the connection as after a whole answer.
    bool mayHaveBeenKilled() const;
    /// Finishes the answer unless the target's machine refuses a connection.
    void confirmEnd();
    /// Gives the caller the end of a whole answer.
    void finishAnswer();
    /// Relays a piece of the body that is no stream of events.
    void forwardBody(std::string_view bytes);
    void forwardEvents(std::string_view bytes);
    /// Pauses the reading of the answer when much of it is held and nothing is left to read ahead.
    /// \param bytes Number of bytes that were read.
    void paceReading(std::size_t bytes);
    void waitForTurnToRead();
    void resumeReading();
    std::size_t heldAnswerBytes() const;
    /// Whether the answer is not read on since the caller is behind. The target is not silent then.
    bool isTargetWaitingForCaller() const;
    /// \param eventsBefore Number of the attempt's events before these.
    void relayEvents(const std::string &completeEvents, std::uint64_t eventsBefore);
    /// Closes the target's connection, whose answer can't be used.
    void dropAttempt(TargetFailure failure);
    void beginRelay();
    /// Whether an answer shows that another target took over the address of the one it was sent to.
    /// No caller can bring that about by what it sends.
    bool wasReplaced(const AnswerFacts &facts) const;
    /// Whether a target's answer can follow the part that the caller has.
    bool continuesRelayedAnswer(const MessageHead &received) const;
    HttpFields relayedFields() const;
    void refuse(ResultCode code, std::string_view detail, Duration retryAfter = {});
    void fail(int status, std::string_view detail);
    void abortAnswer(std::string_view cause);
    void finish(std::string_view outcome, int status, std::string_view detail);
    void startTimer(Duration time);
    Duration elapsed() const;
    Duration timeLeft() const;
    /// For the caller. \param untilRoom Expected time until a like request would fit, if known.
    Duration retryDelay(Duration untilRoom = {}) const;
    /// As retryDelay(); where all targets of the service want no requests, until the first one
    /// does.
    Duration delayUntilTarget() const;

    std::shared_ptr<EntryState> stateOwner;

    EntryState &state;
    CallerConnection *caller;
    MessageHead head;
    std::string body;
    RequestMetadata request;
    std::shared_ptr<const ServingConfiguration> configuration;
    const Route *route = nullptr;
    const OrganisationAccount *organisation = nullptr;
    const ServiceProfile *service = nullptr;
    SuspectRequest suspect;
    TimePoint arrived;
    Duration timeLimit = {}; ///< From arrival until the final answer.
    Duration maximumWait = {}; ///< From arrival until it is refused when no target has room.
    std::optional<std::string>
        streamVersion; ///< That began the stream; empty before its first event.
    std::optional<VersionSide> side; ///< Of a rollout; empty until it is chosen.
    double quotaCharged = 0;
    Duration timeBeforeCallerRetry = {}; ///< Spent by the caller on refused requests before this.

    Phase phase = Phase::Deciding;
    boost::asio::steady_timer timer;
    std::uint64_t reservationId = 0; ///< Of the reservations; 0 when there are none.
    std::vector<Target> rankedTargets;
    std::uint64_t rankedTargetsVersion = 0; ///< EntryState::targetsVersion when they were ranked.
    std::size_t nextRankedTarget = 0;
    std::vector<Reservation> reservations;
    std::set<std::string> excludedTargets; ///< Ids; not sent to again.

    std::optional<TargetAttempt> attempt; ///< At the target that works on the request.
    int attempts = 0; ///< Number of targets that received the request.
    bool sentToAnyTarget = false; ///< Also when a wrong target received it.
    bool anyTargetMayHaveRun = false; ///< Of the earlier attempts, or the current one answered.
    bool mayHaveEndedTarget
        = false; ///< The last attempt's connection ended before an answer began.
    bool headSentToCaller = false;
    MessageHead relayedHead; ///< That the caller got.
    std::uint64_t relayedEvents = 0; ///< Number of events that the caller got.
    std::vector<DoubtfulBody> doubtfulBodies; ///< Of earlier attempts.
    std::string lastRelayedEventId; ///< Empty when the last event that the caller got has none.
    std::optional<Duration> timeToFirstEvent;
    std::optional<Duration> timeToSend;
    TimePoint lastEventAt;
    bool waitsForTurnToRead = false; ///< In the state's pacer.
    AnswerContinuation continuation;
};

} // namespace wigeonsill
