/// \file requestflow.h
/// One request from its arrival to its final answer.
#pragma once

#include "entrystate.h"
#include "eventsplitter.h"

namespace wigeonsill {

class CallerConnection;

/// Decides and acts for one request; the decisions stand in the gateway library.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>,
                    private AnswerHandler,
                    private GrantListener
{
public:
    /// \pre shared is owned by a shared pointer; from lives until it called callerGone() or got its
    /// answer.
    RequestFlow(EntryState &entryState, CallerConnection &callerConnection, MessageHead requestHead,
        std::string requestBody);
    ~RequestFlow() override;

    void start();
    /// The caller closed its connection: everything is withdrawn.
    void onCallerDisconnected();
    /// The process is about to end: the request gets its final answer now.
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

    // Decisions before a target is chosen; each returns false when it gave the final answer.
    bool checkConfiguration();
    bool checkRoute();
    bool checkDrain();
    bool checkKey();
    bool checkQuota();

    void placeRequest();
    void placeByReservation();
    void placeWithoutReservation();
    void reserveAtNext(std::size_t count);
    void onTimer();
    void sendPastUnresponsiveAgent();
    std::vector<TargetView> targetViews() const;
    /// End of the wait for room that begins at a time after the arrival.
    Duration waitEnd(Duration start) const;
    double requestSize() const;
    TicketProfile profile() const;
    void sendTo(const Target &target);
    void withdrawReservations(const std::string &exceptTarget);
    void releaseTarget();
    /// Whether the request may be sent to one more target now.
    bool mayRetry() const;
    bool retryAtOtherTarget(std::string_view cause);
    void resumeStream();

    void onSent() override;
    void onAnswerHead(const MessageHead &answerHead) override;
    void onAnswerBody(std::string_view bytes) override;
    void onAnswerEnd() override;
    void onAnswerFailed(TargetFailure failure) override;
    bool onGranted(const std::string &targetId) override;
    void onQueued(const std::string &targetId) override;
    void onDeclined(const std::string &targetId) override;

    void forwardEvents(std::string_view bytes);
    void beginRelay();
    HttpFields relayedFields() const;
    void refuse(ResultCode code, std::string_view detail, Duration retryAfter = {});
    void fail(int status, std::string_view detail);
    void abortAnswer(std::string_view cause);
    void finish(std::string_view outcome, int status, std::string_view detail);
    void startTimer(Duration time);
    Duration elapsed() const;
    Duration timeLeft() const;
    Duration retryDelay() const;

    std::shared_ptr<EntryState> stateOwner;
    /// No second send with less than this left: it could not be answered.
    static constexpr Duration minimumTimeLeft = milliseconds(100);

    EntryState &state;
    CallerConnection *caller;
    MessageHead head;
    std::string body;
    RequestFacts request;
    std::shared_ptr<const ServingConfiguration> configuration;
    const Route *route = nullptr;
    const OrganisationAccount *organisation = nullptr;
    const ServiceProfile *service = nullptr;
    TimePoint arrived;
    Duration timeLimit = {}; ///< From arrival until the final answer.
    Duration maximumWait = {}; ///< From arrival until it is refused if no target has room.
    double quotaCharged = 0;
    Duration timeBeforeCallerRetry = {}; ///< Of the caller's time, on earlier attempts.

    Phase phase = Phase::Deciding;
    boost::asio::steady_timer timer;
    std::uint64_t ticket = 0;
    std::vector<Target> rankedTargets;
    std::uint64_t rankedTargetsVersion = 0; ///< Of the list of targets.
    std::size_t nextRankedTarget = 0;
    std::vector<Reservation> reservations;
    std::set<std::string> excludedTargets; ///< Targets that this request is not sent to again.

    std::optional<Target> target;
    bool granted = false; ///< The present target's agent holds room for it.
    std::shared_ptr<TargetConnection> connection;
    int attempts = 0; ///< Targets that it was sent to and that got it.
    bool sentToAnyTarget = false; ///< Some target, meant or not, got its bytes.
    bool currentTargetMayHaveRun = false; ///< The present target may have got the request.
    bool anyTargetMayHaveRun = false; ///< A target may have run it.
    MessageHead answerHead;
    std::string answerBody;
    EventSplitter events;
    bool streaming = false;
    bool headSentToCaller = false;
    std::optional<Duration> timeToFirstEvent;
    std::optional<Duration> timeToSend;
    TimePoint lastEventAt;
};

} // namespace wigeonsill
