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
    RequestFlow(EntryState &shared, CallerConnection &from, MessageHead requestHead,
        std::string requestBody);
    ~RequestFlow() override;

    void start();
    /// The caller closed its connection: everything is withdrawn.
    void callerGone();
    /// The process is about to end: the request gets its final answer now.
    void endNow();

private:
    enum class Phase : std::uint8_t { Deciding, Reserving, Sent, Relaying, Over };
    enum class AskState : std::uint8_t { Asked, Queued, Declined };
    struct Ask
    {
        Target target;
        AskState state = AskState::Asked;
        TimePoint askedAt;
        int sends = 0;
    };

    // Decisions before a target is chosen; each returns false when it gave the final answer.
    bool checkConfiguration();
    bool checkRoute();
    bool checkTimeToEnd();
    bool checkKey();
    bool checkQuota();

    void place();
    void placeByAgents();
    void placeDirectly();
    void askNext(std::size_t count);
    void onTick();
    void tryWithoutAgents();
    std::vector<TargetView> views() const;
    /// End of the wait for room that begins at a time after the arrival.
    Duration waitFrom(Duration start) const;
    double size() const;
    TicketProfile profile() const;
    void sendTo(const Target &target);
    void withdraw(const std::string &exceptTarget);
    void releaseTarget();
    /// Whether the request may be sent to one more target now.
    bool mayRepeat() const;
    bool tryElsewhere(std::string_view why);
    void resume();

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
    void breakOff(std::string_view why);
    void finish(std::string_view outcome, int status, std::string_view detail);
    void armTick(Duration time);
    Duration elapsed() const;
    Duration timeLeft() const;
    Duration returnDelay() const;

    std::shared_ptr<EntryState> keepState;
    /// No second send with less than this left: it could not be answered.
    static constexpr Duration leastTimeLeft = milliseconds(100);

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
    Duration limit = {}; ///< From arrival until the final answer.
    Duration patience = {}; ///< From arrival until it is refused if no target has room.
    double quotaTaken = 0;
    Duration spentBefore = {}; ///< Of the caller's time, on earlier attempts.

    Phase phase = Phase::Deciding;
    boost::asio::steady_timer tick;
    std::uint64_t ticket = 0;
    std::vector<Target> ranked;
    std::uint64_t rankedVersion = 0; ///< Of the list of targets.
    std::size_t nextRanked = 0;
    std::vector<Ask> asks;
    std::set<std::string> refusedBy; ///< Targets that this request is not sent to again.

    std::optional<Target> target;
    bool granted = false; ///< The present target's agent holds room for it.
    std::shared_ptr<TargetConnection> connection;
    int attempts = 0; ///< Targets that it was sent to and that got it.
    bool sentBefore = false; ///< Some target, meant or not, got its bytes.
    bool bytesLeft = false; ///< The present target may have got the request.
    bool ranSomewhere = false; ///< A target may have run it.
    MessageHead answerHead;
    std::string answerBody;
    EventSplitter events;
    bool streaming = false;
    bool callerHasHead = false;
    std::optional<Duration> firstEventAt;
    std::optional<Duration> sentAt;
    TimePoint lastEventAt;
};

} // namespace wigeonsill
