/// \file rates.h
/// Public header of the rates library: the requests a second that a target states it takes from all
/// processes together, and the permits by which the processes that send to it keep that rate. The
/// library opens no sockets, sets no timers and reads no clock: callers pass the current time as an
/// argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/directory.h"

#include <deque>

namespace wigeonsill {

/// Highest rate that is believed. A target that takes more has no need to state a rate.
inline constexpr double maximumStatedRate = 10'000;

/// Reads a rate: digits with an optional fraction, in requests a second. Higher rates than
/// maximumStatedRate are returned as that. Empty for any other text.
std::optional<double> parseStatedRate(std::string_view text);

/// What a target has stated of its rate.
struct RateStatement
{
    std::string targetId;
    std::int64_t startedMs = 0; ///< Of the incarnation, as Target::startedMs.
    std::optional<double> perSecond; ///< Empty: it has stopped stating one.
    TimePoint at; ///< When the answer was received.

    /// Whether both are about the same incarnation.
    bool isOfSameTarget(const RateStatement &other) const
    {
        return this->targetId == other.targetId && this->startedMs == other.startedMs;
    }
};

/// The rates that targets state, as answers and other processes tell them. A rate holds for one
/// incarnation of a target (id and start), from the first answer that states it to the first answer
/// that doesn't to a request sent later: an answer to an earlier one may have overtaken it.
/// Replayed by statedrates_test and the testsuite's case engine-limits.
class StatedRates
{
public:
    /// Bounds what one process tells another.
    static constexpr std::size_t maximumStatements = 32;
    /// How long a process that only passes statements on keeps one that it isn't told again.
    static constexpr Duration relayTime = seconds(10);

    /// Records an answer that this process received.
    /// \param perSecond Empty when the answer states no rate.
    /// \param sentAt When the request was sent to the target.
    /// \returns Whether the rate changed.
    bool recordAnswer(
        const Target &target, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);
    /// Records what another process received. The statement that was received last holds.
    /// \returns Whether the rate changed.
    bool adopt(const RateStatement &statement, TimePoint now);
    /// The newest statement about an incarnation; nullptr without one.
    const RateStatement *find(const Target &target) const;
    /// The rate of a target; empty when it has none.
    std::optional<double> rate(const Target &target) const;
    /// The statements that this process received itself, newest first. It must not tell others what
    /// it was told: each process that passes a statement on makes it look newer.
    std::vector<RateStatement> received() const;
    /// All statements that are known, newest first.
    std::vector<RateStatement> known() const;
    /// Forgets targets that are not listed.
    void forgetUnlisted(const TargetDirectory &directory);
    /// Forgets statements that this process was told last longer ago than relayTime.
    void expire(TimePoint now);
    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        RateStatement newest;
        std::optional<RateStatement> received; ///< By this process.
        TimePoint toldAt;
    };
    bool apply(Record &record, const RateStatement &statement);

    std::map<std::string, Record, std::less<>> records; ///< By target id.
};

/// Permits to send one request each, issued at a target's rate. Few are kept while none are asked
/// for, so that no more than the rate and these few are sent in any time.
class PermitBucket
{
public:
    /// Share of a second whose permits are kept while none are asked for, and the least number.
    static constexpr double keptSeconds = 0.25;
    static constexpr double minimumKept = 2;
    /// Lowest rate at which permits are issued: only an answer tells that a rate of zero is over.
    static constexpr double minimumRate = 0.1;

    /// Sets the rate; empty when there is none, and each permit is issued. The first permit of a
    /// rate is issued when its time has come.
    void setRate(std::optional<double> perSecond, TimePoint now);
    bool isLimited() const { return this->perSecond.has_value(); }
    double rate() const { return this->perSecond.value_or(0); }
    /// Issues a permit. Returns false when none is left.
    bool tryTake(TimePoint now);
    /// Takes back a permit that was not used.
    void giveBack(TimePoint now);
    /// Time until so many permits are left; zero without a rate. \pre count > 0
    Duration untilAvailable(std::size_t count, TimePoint now) const;

private:
    double capacity() const;
    double available(TimePoint now) const;

    std::optional<double> perSecond; ///< At least minimumRate.
    double permits = 0; ///< At updatedAt.
    TimePoint updatedAt;
};

/// The process that issues the permits of targets without an agent, for all entries. Which process
/// that is follows from the list of targets; a deputy issues at half the rate, since the other one
/// may be there for others.
class PermitIssuer
{
public:
    static constexpr double deputyShare = 0.5;
    static constexpr std::size_t maximumTargets = 1'024;
    /// How long a target is remembered for which no permit is asked.
    static constexpr Duration memoryTime = seconds(60);

    struct Answer
    {
        int permits = 0;
        Duration untilNext = {}; ///< Until another one can be issued.
    };
    /// \param wanted Number of permits. \param asDeputy The first process didn't answer the entry.
    Answer request(const RateStatement &statement, int wanted, bool asDeputy, TimePoint now);
    /// Forgets targets for which none were asked lately.
    void expire(TimePoint now);
    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        RateStatement statement;
        PermitBucket bucket;
        TimePoint askedAt;
    };
    using Key = std::tuple<std::string, std::int64_t, bool>; ///< Id, start, as deputy.

    std::map<Key, Record> records;
};

/// One entry's share of a rate while no process issues permits. Time is cut into slots of one
/// request each, and each entry draws whether a slot is its own. Shares that add up while nothing
/// is sent would all be used at once when requests come to all entries.
class PermitShare
{
public:
    /// Share of the rate that all entries use together. Their draws are independent, so that the
    /// number of requests in a few seconds varies.
    static constexpr double usedShare = 0.6;

    /// Whether a request may be sent now. \param perSecond The target's rate.
    /// \param entries Number of entries that share it. \pre entries > 0
    /// \param uniformRandom Uniformly distributed in [0, 1).
    bool isAvailable(double perSecond, int entries, double uniformRandom, TimePoint now);
    /// Uses the slot. \pre isAvailable() returned true at this time.
    void take() { this->available = false; }

private:
    std::optional<std::int64_t> drawnSlot;
    bool available = false;
};

/// The permits of one target at an entry: those at hand, and when to ask for more. Permits are
/// asked for as requests come, so an entry with more of them gets more.
class PermitStock
{
public:
    /// How long a permit may be kept until a request uses it.
    static constexpr Duration permitTime = seconds(1);
    /// An issuer that hasn't answered by then is passed over: five round trips between regions,
    /// plus time for one whose CPU quota is exhausted.
    static constexpr Duration answerTime = milliseconds(150);
    static constexpr int maximumPerAsk = 16;

    /// Records that a request could use a permit.
    void recordDemand() { ++this->demand; }
    /// Number of permits to ask for now; zero while it is of no use to ask.
    int toAsk(TimePoint now) const;
    void recordAsked(TimePoint now);
    void recordAnswer(const PermitIssuer::Answer &answer, TimePoint now);
    /// Whether the last ask is unanswered for too long.
    bool isUnanswered(TimePoint now) const;
    bool isAvailable(TimePoint now) const;
    /// Uses a permit. Returns false when there is none.
    bool tryTake(TimePoint now);

private:
    std::deque<TimePoint> validUntil;
    int demand = 0; ///< Requests that came since the last ask.
    std::optional<TimePoint> askedAt; ///< Empty once it is answered.
    TimePoint askAgainAt;
};

} // namespace wigeonsill
