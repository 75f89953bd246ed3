/// \file outcomes.h
/// Public header of the outcomes library: decisions about a request that was sent to a target, up
/// to its final answer. The library opens no sockets, sets no timers and reads no clock: callers
/// pass the current time as an argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/util.h"

namespace wigeonsill {

/// What is to be done about a request that was sent to a target.
enum class ContinuationStep : std::uint8_t {
    KeepTarget, ///< Wait for the target.
    SearchTarget, ///< Look for another target; the current one is kept until another grants room.
    EndAnswer, ///< Give the final answer: no target works on the request, and none can.
};
inline constexpr std::array continuationStepNames = {
    EnumName<ContinuationStep>{ ContinuationStep::KeepTarget, "keep-target" },
    EnumName<ContinuationStep>{ ContinuationStep::SearchTarget, "search-target" },
    EnumName<ContinuationStep>{ ContinuationStep::EndAnswer, "end-answer" },
};

/// Decides when a request leaves its target, for requests that may run again or be resumed.
/// Load pattern: an engine falls silent or crashes while all others are full. A silent engine may
/// still continue, so its answer is not given up before another target has granted room. Once the
/// caller has part of an answer, there is nothing else that it could be told, so that a lost target
/// is replaced until the time limit.
/// Replayed by the BegunStream tests and continuation_test.
class AnswerContinuation
{
public:
    struct Limits
    {
        /// A target without progress for this long is silent. Callers give up a stream without
        /// events after two seconds.
        Duration silenceTimeout = milliseconds(1'300);
        /// With less time left than this, no further target could answer in time.
        Duration minimumTimeLeft = milliseconds(100);
    };
    /// What allows or prevents another target at this moment.
    struct Options
    {
        bool repeatable = false; ///< The request may run again or be resumed.
        int attemptsLeft = 0;
        Duration timeLeft = {};
    };
    AnswerContinuation() = default;
    explicit AnswerContinuation(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Records that the request was sent to a target.
    void recordSent(TimePoint now);
    /// Records that the target made progress: the head of its answer or a complete event.
    void recordProgress(TimePoint now);
    /// Records that the target is lost: its connection ended without a complete answer.
    void recordLost();
    /// Whether the target is connected but has made no progress for too long.
    bool isSilent(TimePoint now) const;
    /// Whether a further target could still answer. \param timeLeft Of the request.
    bool isTimeLeft(Duration timeLeft) const { return timeLeft > this->limits.minimumTimeLeft; }
    /// Time without progress; zero before the request was sent.
    Duration silence(TimePoint now) const;
    ContinuationStep nextStep(const Options &options, TimePoint now) const;
    /// Time until isSilent() may become true; zero when it is.
    Duration untilSilent(TimePoint now) const;

private:
    Limits limits;
    std::optional<TimePoint> progressAt; ///< Empty while no target works on the request.
    bool lost = false;
};

/// Whether an event may follow another one in a stream, by their ids. Ids increase; those that are
/// no numbers can only be told to differ. Answers a target that was to resume a stream after an
/// event and begins it anew. \param previousId Empty before the first event.
bool isLaterEvent(std::string_view id, std::string_view previousId);

/// Timetable of a process that was asked to stop. A request is only accepted if its time limit is
/// over before unfinished requests are ended; a connection may still bring requests after that. All
/// times count from the request to stop. Immutable, so thread-safe.
class DrainSchedule
{
public:
    /// \param gracePeriod Time after which the platform kills the process.
    explicit DrainSchedule(Duration gracePeriod)
        : grace(gracePeriod)
    {
    }
    /// Whether new connections are accepted. The load balancer opens some until it has noticed that
    /// the process is not ready.
    bool acceptsConnections(Duration sinceStop) const;
    /// Whether a request that has arrived is accepted. Any request is, whatever its time limit,
    /// while the load balancer may not have noticed yet.
    bool admits(Duration sinceStop, Duration timeLimit) const;
    /// When unfinished requests are ended, so that their final answers can still be written.
    Duration requestEnd() const;
    /// When the process exits although answers are not written yet.
    Duration processEnd() const;

private:
    Duration grace;
};

/// How long a caller should wait before it comes back after a refusal, for callers that accept up
/// to a third of the time that they have left. Load pattern: bursts of seconds in which refused
/// callers come back. Those that return early meet the same burst and use up their last attempt, so
/// they return late and at scattered moments. Replayed by callerreturn_test and
/// SharedQuota.refusedCallersAreServedAfterTheBurst. \param timeLeft Of the caller. \param
/// untilRoom Expected time until a like request would fit, where it is known. \param uniformRandom
/// Uniformly distributed in [0, 1).
Duration callerReturnDelay(Duration timeLeft, Duration untilRoom, double uniformRandom);

/// How long a caller should wait before it comes back when all targets want no requests for a time:
/// until the first of them does, and a little longer at scattered moments, so that it does not meet
/// all callers at once. \param untilWanted Until the first target wants requests. \param
/// uniformRandom Uniformly distributed in [0, 1).
Duration quietReturnDelay(Duration untilWanted, double uniformRandom);

/// How long a caller should wait before it comes back with a request whose prompt parts are held
/// back: as long as they have been, since a hold that is wrong is found out early and any other one
/// stays. \param heldFor How long the parts have been held. \param uniformRandom Uniformly
/// distributed in [0, 1).
Duration heldReturnDelay(Duration heldFor, double uniformRandom);

/// Why a complete body may not be what its target sent for it.
enum class BodyDoubt : std::uint8_t {
    Quoting, ///< It contains a status line, which may be that of an answer behind a cut.
    EndsWithAnswers, ///< Its last bytes are whole answers.
    Followed, ///< Bytes that begin no answer follow, which may have filled it as well.
};
inline constexpr std::array bodyDoubtNames = {
    EnumName<BodyDoubt>{ BodyDoubt::Quoting, "quotes-a-head" },
    EnumName<BodyDoubt>{ BodyDoubt::EndsWithAnswers, "ends-with-answers" },
    EnumName<BodyDoubt>{ BodyDoubt::Followed, "followed-by-other-bytes" },
};

/// What happens to a complete body that may have been cut.
enum class DoubtStep : std::uint8_t {
    PassOn,
    Discard, ///< The answer has failed; the request is repeated if that is possible.
    AwaitRest, ///< It is passed on unless more of another answer follows on its connection.
};
inline constexpr std::array doubtStepNames = {
    EnumName<DoubtStep>{ DoubtStep::PassOn, "pass-on" },
    EnumName<DoubtStep>{ DoubtStep::Discard, "discard" },
    EnumName<DoubtStep>{ DoubtStep::AwaitRest, "await-rest" },
};

struct DoubtOptions
{
    bool isStream = false; ///< The body is read as events, which have an end of their own.
    bool isConfirmed = false; ///< Another target's body for the request shows that it is whole.
    bool wasRepeated = false; ///< Another target's body was doubtful too, and differs.
    bool isRepeatable = false; ///< Another target can be asked.
};

/// Chooses what happens to a body that may have been cut. No time that passes makes it whole:
/// another target's body does, or, where none can be asked, the end of its connection. Thread-safe.
DoubtStep chooseDoubtStep(BodyDoubt doubt, const DoubtOptions &options);

} // namespace wigeonsill
