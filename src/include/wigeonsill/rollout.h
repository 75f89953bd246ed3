/// \file rollout.h
/// Public header of the rollout library: moving a service's requests to targets of another version,
/// judging that version by what all entries see, and taking it back. The library opens no sockets,
/// sets no timers and reads no clock: callers pass the current time as an argument. Nothing is
/// thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <map>
#include <memory>
#include <set>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// What the store holds

/// Identifies an order of an operator. Revisions of different histories cannot be compared.
struct RolloutOrderId
{
    std::uint64_t history = 0; ///< Of the store in which the order was read; see StoreHistory.
    std::uint64_t revision = 0; ///< Of the order's key.
    auto operator<=>(const RolloutOrderId &) const = default;
};

/// An operator's order to move a service's requests to targets of another version.
struct RolloutOrder
{
    RolloutOrderId id;
    std::string service;
    std::string targetVersion;
    Duration duration = {}; ///< From the store's acknowledgement of the order to its deadline.
    /// Why the order cannot be carried out; it is then answered as rolled back. Empty otherwise.
    std::string problem;
};

/// Whether an order is the one that is known. After the store came back from an older copy, an
/// order that is there again has another id.
bool isSameOrder(const RolloutOrder &known, const RolloutOrder &read);

/// Times in the course of a rollout, from the order on.
class RolloutSchedule
{
public:
    explicit RolloutSchedule(Duration orderDuration);
    Duration canaryEnd() const { return this->end / 2; }
    /// From then on, an open judgement may be enough to move; see canAffordMove().
    Duration latestMove() const { return this->end * 7 / 10; }
    /// Before the deadline by the time of the store's answer and the entries' next read.
    Duration endTime() const { return this->end; }

private:
    Duration end;
};

/// Stage of a rollout. Goes forward only, and from any stage before Completed to RolledBack.
enum class RolloutStage : std::uint8_t {
    Canary, ///< A few targets of the new version get a small share of the requests.
    Trial, ///< All targets of the new version get full load until the exposure limit is used.
    Moving, ///< All new requests go to the new version; the old targets finish theirs.
    Completed, ///< The old targets stop at once.
    RolledBack, ///< The new version gets no requests; its targets drain.
};
inline constexpr std::array rolloutStageNames = {
    EnumName<RolloutStage>{ RolloutStage::Canary, "canary" },
    EnumName<RolloutStage>{ RolloutStage::Trial, "trial" },
    EnumName<RolloutStage>{ RolloutStage::Moving, "moving" },
    EnumName<RolloutStage>{ RolloutStage::Completed, "completed" },
    EnumName<RolloutStage>{ RolloutStage::RolledBack, "rolled-back" },
};
/// Whether nothing follows a stage.
inline bool isFinal(RolloutStage stage)
{
    return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
}
/// The one of two stages of the same order that came later.
RolloutStage laterStage(RolloutStage first, RolloutStage second);

/// The system's own record of a rollout in the store, written together with the status that
/// operators read.
struct RolloutRecord
{
    std::string service;
    RolloutOrderId order;
    std::string targetVersion;
    RolloutStage stage = RolloutStage::Canary;
    /// Versions of the service's targets before the order. After Completed they get no requests.
    std::set<std::string> oldVersions;
    /// Versions that were judged bad and that no later order named. They get no requests.
    std::set<std::string> rejectedVersions;
    std::int64_t orderedUnixMs = 0; ///< Time of day at which the order was first seen.
    std::string reason; ///< Of the last change of stage.
    std::uint64_t recordRevision = 0; ///< Of the record's key; 0 when it does not exist yet.
    std::uint64_t statusRevision = 0; ///< Of the status key; 0 when it does not exist yet.
};

/// Everything that the store holds about rollouts, as of one read or watch call.
struct RolloutSnapshot
{
    std::map<std::string, RolloutOrder, std::less<>> orders; ///< By service.
    std::map<std::string, RolloutRecord, std::less<>> records; ///< By service.
    std::uint64_t ownerRevision = 0; ///< Of the owner's key; 0 when there is no owner.
    std::string ownerAddress; ///< "IP:PORT" of the owner's UDP socket; empty without one.
    /// When the call was sent that returned this, on the steady clock. An order that was not in
    /// the snapshot before was given after the previous call was sent.
    TimePoint readAt;
};

// ---------------------------------------------------------------------------------------------
// Evidence

/// Which targets of a service a request may be sent to.
enum class VersionSide : std::uint8_t {
    Any, ///< No rollout is in progress.
    Old, ///< All versions but the one that is rolled out.
    Target, ///< The version that is rolled out.
};
inline constexpr std::array versionSideNames = {
    EnumName<VersionSide>{ VersionSide::Any, "any" },
    EnumName<VersionSide>{ VersionSide::Old, "old" },
    EnumName<VersionSide>{ VersionSide::Target, "target" },
};

/// One answer, or its absence, at a target during a rollout.
struct AnswerSample
{
    std::string service;
    std::string route;
    std::string targetId;
    VersionSide side = VersionSide::Old;
    /// The target answered with a server error, broke off, sent bytes that are no answer, or gave
    /// no answer within the time limit. Not: a refusal that says that the request has not run, a
    /// caller that left.
    bool failed = false;
    Duration latency = {}; ///< From the send to the first event, or to the end of other answers.
    /// From the target's learned speed and the request's size; zero when unknown.
    Duration expectedLatency = {};
    /// Of a request of the same size at a target of fixed speed; greater than zero.
    Duration referenceLatency = milliseconds(1);
};

/// Counts of answers in classes of latency, half an octave wide. Merged by addition.
class LatencyHistogram
{
public:
    static constexpr std::size_t bucketCount = 24;
    /// \param ratio To what the latency is compared, greater than 0: 1 falls into the middle.
    void record(double ratio);
    void merge(const LatencyHistogram &other);
    std::uint64_t count() const;
    /// \pre 0 <= share <= 1. \returns A ratio, 0 without any answer.
    double quantile(double share) const;
    /// Share of the answers whose ratio is above a bound; 0 without any answer.
    double shareAbove(double ratio) const;

    std::array<std::uint32_t, bucketCount> counts = {};
};

/// Answers on one route by one side of a rollout.
struct RouteEvidence
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    LatencyHistogram byTarget; ///< Latency against the expected one; only where that is known.
    LatencyHistogram bySize; ///< Latency against that of a reference target for the same size.
};

/// Answers of one target of the new version.
struct TargetEvidence
{
    /// Of the expected latency, from which on an answer is slow.
    static constexpr double slowRatio = 2.5;

    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t slowAnswers = 0; ///< More than 2.5 times the expected latency.
};

/// What one process has seen of a rollout since its order. Counters only grow, so a report that is
/// lost or repeated does no harm: the newest of each process counts.
struct RolloutEvidence
{
    std::map<std::string, RouteEvidence, std::less<>> oldByRoute;
    std::map<std::string, RouteEvidence, std::less<>> targetByRoute;
    std::map<std::string, TargetEvidence, std::less<>> byTarget; ///< New version only, by id.
    std::uint64_t sentToOld = 0;
    std::uint64_t sentToTarget = 0;
};

/// What an entry reports to the owner of the rollouts, some times a second.
struct RolloutReport
{
    std::string service;
    RolloutOrderId order;
    RolloutStage stage = RolloutStage::Canary; ///< That the entry acts on.
    Duration orderAge = {}; ///< Since the entry saw the order first; see RolloutOwner::merge.
    std::uint64_t inProgressAtOld = 0; ///< Requests sent to old targets that have not ended.
    std::uint32_t sequence = 0; ///< Grows with each report of this incarnation.
    RolloutEvidence evidence;
};

/// What the owner answers to a report.
struct RolloutDirective
{
    std::string service;
    RolloutOrderId order;
    RolloutStage stage = RolloutStage::Canary;
    Duration orderAge = {};
};

enum class Verdict : std::uint8_t { Undecided, Good, Bad };
inline constexpr std::array verdictNames = {
    EnumName<Verdict>{ Verdict::Undecided, "undecided" },
    EnumName<Verdict>{ Verdict::Good, "good" },
    EnumName<Verdict>{ Verdict::Bad, "bad" },
};

struct Judgement
{
    Verdict verdict = Verdict::Undecided;
    std::string reason; ///< For the log and the record: the route, the counts and the test.
};

/// What a judgement needs to know beside the evidence.
struct JudgementBasis
{
    std::size_t oldTargets = 0; ///< Usable targets of the old versions; 0 when unknown.
    /// Judgements that are made of one rollout, apart from repeated ones of growing evidence. They
    /// share the allowed false alarms. \pre Greater than 0.
    std::size_t comparisons = 1;
    /// The evidence is not judged again, so that no repeated test has to be allowed for.
    bool isLast = false;
};

/// Judges a version from the evidence of both sides on the same routes over the same time. May be
/// called after each answer: the test is a sequential one (see versionjudge.cpp). Bad needs a
/// significant difference in failures or latency, over all routes or on one, to which at least
/// three targets contribute. Good says that there were answers enough to see a difference.
Judgement judgeVersion(const RolloutEvidence &evidence, const JudgementBasis &basis = {});

/// Adds the counts of a part to a sum.
void add(RouteEvidence &sum, const RouteEvidence &part);
void add(RolloutEvidence &sum, const RolloutEvidence &part);
/// The counts that were added since an earlier state of the same evidence. Counts that have not
/// grown are 0; routes and targets without any new answer are left out.
RolloutEvidence evidenceSince(const RolloutEvidence &now, const RolloutEvidence &earlier);

/// Judges growing evidence as a whole and since several earlier moments: what a version answered
/// before it turned bad must not hide what it answers now. The moments lie about as far back as
/// 1 s, 2 s, 4 s and so on, so that few are kept.
class VersionJudge
{
public:
    /// Keeps the state of the evidence as a moment to compare with, at most once a second.
    void keep(const RolloutEvidence &evidence, TimePoint now);
    /// \param basis Its comparisons are multiplied by the moments.
    Judgement judge(const RolloutEvidence &evidence, const JudgementBasis &basis) const;

private:
    std::vector<std::pair<TimePoint, RolloutEvidence>> moments; ///< Oldest first.
};

/// How often an entry reports, by the number of entries, so that the owner's load stays bounded.
/// \pre entries > 0.
Duration reportInterval(std::size_t entries);

// ---------------------------------------------------------------------------------------------
// Each entry's part

struct RolloutLimits
{
    double exposedShare = 0.1; ///< Of a service's requests that a bad version may get.
    double exposedRequests = 50; ///< In addition, over all entries.
    Duration rollBackTime = seconds(5); ///< From the 50th bad answer to the last request.
};

/// Decides at one entry which side of a rollout each request goes to. The limit on exposure holds
/// for each entry by itself, so it holds for their sum without any message.
class RolloutGate
{
public:
    explicit RolloutGate(const RolloutLimits &bounds);

    /// Applies what the store holds. Must be called before the targets of the same read are used.
    void apply(const RolloutSnapshot &snapshot, TimePoint now);
    /// Applies what the owner says, which may be newer than the store's record. \returns Whether it
    /// is about the order that is known, and not dropped.
    bool applyDirective(const RolloutDirective &directive, TimePoint now);
    /// Sets how many entries share the additional exposed requests. \pre entries > 0.
    void setSharingEntries(int entries);
    /// Sets the targets of a service that take requests. \param versions By target id.
    void setTargets(const std::string &service, std::map<std::string, std::string> versions);

    /// The side for a new request. Does not count it.
    VersionSide choose(std::string_view service, double uniformRandom, TimePoint now) const;
    /// Whether one more request may be sent to a side. To be asked right before each send, also of
    /// a request that is sent again or had no usable target on the side that was chosen for it:
    /// other requests may have used the share since choose().
    bool maySend(std::string_view service, VersionSide side, TimePoint now) const;
    /// Whether a request of this side may be sent to a target. \param targetId Used for the few
    /// targets of the Canary stage, which all entries choose alike.
    bool admits(std::string_view service, std::string_view version, std::string_view targetId,
        VersionSide side, TimePoint now) const;
    /// The side that a target of a version belongs to.
    VersionSide sideOf(std::string_view service, std::string_view version) const;
    /// Must be called for each send to a target of a service, also without a rollout: requests that
    /// were sent before an order are in progress at its old targets.
    void recordSent(std::string_view service, std::string_view version);
    /// Must be called when a request has left its target, once for each recordSent().
    void recordLeft(std::string_view service, std::string_view version);
    /// Ignored when the sample's service has no rollout in progress.
    void recordAnswer(const AnswerSample &sample);

    /// Reports on all rollouts that are not final, or became final in the last seconds.
    std::vector<RolloutReport> reports(TimePoint now);
    /// Services with an order whose end is not in the store yet. While there are any, the rollouts
    /// need an owner.
    std::vector<std::string> activeServices() const;
    /// The stage that this entry acts on; empty when no order is known for the service.
    std::optional<RolloutStage> stage(std::string_view service) const;
    /// Whether this entry's own evidence stopped its requests to the new version.
    bool isStoppedByOwnEvidence(std::string_view service) const;

private:
    struct Service
    {
        std::map<std::string, std::string> versions; ///< Of the usable targets, by id.
        std::map<std::string, std::uint64_t, std::less<>> inProgress; ///< By version.
        std::optional<RolloutOrder> order; ///< The last one that can be carried out.
        std::optional<RolloutRecord> record;
        RolloutStage stage = RolloutStage::Canary;
        bool needsOwner = false; ///< An order in the store has no final record yet.
        bool wasRemoved = false; ///< Missing in a snapshot, or replaced by one with a problem.
        /// Targets of another version that may get requests were seen since the order. Otherwise
        /// all targets have the version already, and there is nothing to choose.
        bool hadOldTargets = false;
        /// Versions that get no requests until an order names them: rejected ones, those that a
        /// completed rollout replaced, and those whose order was replaced before its end.
        std::set<std::string, std::less<>> barredVersions;
        /// Versions that were seen when no order in progress named them. An order for one of them
        /// that is replaced does not bar it.
        std::set<std::string, std::less<>> usedVersions;
        TimePoint orderSeenAt; ///< Earliest time at which the order may have been given.
        std::optional<TimePoint> finalSince;
        RolloutEvidence evidence;
        std::uint32_t sequence = 0;
        bool stoppedByOwnEvidence = false;
        VersionJudge judge;
        RolloutEvidence judgedBefore; ///< Evidence that the owner has overruled.
        std::uint64_t badAnswers = 0; ///< Of the new version.
        std::uint64_t judgedBadAnswers = 0; ///< The same at the last judgement.
        std::set<std::string> canaryTargets;
    };

    void applyOrder(Service &service, const RolloutOrder &order, TimePoint givenAfter);
    void applyRecord(Service &service, const RolloutRecord &record, TimePoint now);
    void applyMissingOrder(Service &service, bool recordIsThere);
    void setStage(Service &service, RolloutStage stage, TimePoint now);
    /// The stage whose rules hold for the service's requests now.
    RolloutStage actingStage(const Service &service, TimePoint now) const;
    /// Whether one more request may go to the new version under a share of all requests.
    bool isWithinShare(const Service &service, double share) const;
    bool isActive(const Service &service) const;
    void judgeOwnEvidence(Service &service) const;
    const Service *find(std::string_view service) const;
    Service &findOrAdd(std::string_view service);
    static void updateBarred(Service &service);
    static void updateTargets(Service &service);

    std::map<std::string, Service, std::less<>> services;
    RolloutLimits limits;
    int sharingEntries = 1;
    std::optional<TimePoint> previousReadAt;
    std::optional<TimePoint> lastContactAt; ///< With the store or the owner.
};

// ---------------------------------------------------------------------------------------------
// The owner's part

/// The targets of a service by version, as the owner's list shows them.
struct VersionTargets
{
    std::map<std::string, int> usableSlots; ///< By version; of targets that take requests.
    std::map<std::string, int> usableTargets; ///< By version.
    bool listComplete = true; ///< False while records of live targets may be absent.
};

/// Decides at the process that owns the rollouts when a stage ends. Another process that becomes
/// the owner continues from the store's record and the entries' next reports.
class RolloutOwner
{
public:
    explicit RolloutOwner(const RolloutLimits &bounds);
    RolloutOwner(RolloutOwner &&other) noexcept;
    RolloutOwner &operator=(RolloutOwner &&other) noexcept;
    ~RolloutOwner();

    /// \param unixMs Time of day. Only used for orders that were there before this process, whose
    /// age no entry's report tells.
    void apply(const RolloutSnapshot &snapshot, TimePoint now, std::int64_t unixMs);
    void setTargets(const std::string &service, const VersionTargets &targets, TimePoint now);
    /// \param entry Random id of the reporting entry's incarnation; the owner's own reports are
    /// merged too.
    /// \returns Whether the report is newer than the last one and about the order in progress.
    bool merge(std::uint64_t entry, const RolloutReport &report, TimePoint now);
    RolloutDirective directive(const std::string &service, TimePoint now) const;
    /// Records to be written, each under the condition that the owner's key, the record and the
    /// status still have the revisions of the last snapshot. The same change is returned until a
    /// snapshot contains it; at most one for each service.
    std::vector<RolloutRecord> changes(TimePoint now);
    /// Records that the store has written a change. \param revision Of the record and the status.
    void recordWritten(const RolloutRecord &record, std::uint64_t revision, TimePoint now);
    /// For the state page and metrics.
    Judgement judgement(const std::string &service) const;
    std::size_t reportingEntries(const std::string &service, TimePoint now) const;
    RolloutEvidence evidence(const std::string &service) const;

private:
    struct Rollout; ///< In rolloutrules.h.

    Rollout &findOrAdd(const std::string &service);
    const Rollout *find(const std::string &service) const;
    void applyOrder(
        Rollout &rollout, const RolloutOrder &order, TimePoint givenAfter, TimePoint now);
    void applyRecord(Rollout &rollout, const RolloutRecord &record, TimePoint now);
    void judge(Rollout &rollout, TimePoint now);
    /// Whether the answers since the stage began show that the version is not bad.
    static bool isSettled(const Rollout &rollout);
    /// A stage that follows by time, or RolledBack when a single look at the evidence says Bad.
    static std::pair<RolloutStage, std::string> unlessBad(
        const Rollout &rollout, std::pair<RolloutStage, std::string> next);
    static JudgementBasis basisOf(const Rollout &rollout);
    /// The record if it belongs to the order in progress.
    static const RolloutRecord *currentRecord(const Rollout &rollout);
    /// The stage that follows the current one now, with the reason; empty when none does.
    std::optional<std::pair<RolloutStage, std::string>> nextStage(
        const Rollout &rollout, TimePoint now) const;
    std::optional<RolloutRecord> nextRecord(const Rollout &rollout, TimePoint now) const;
    static bool hasRoomForAll(const Rollout &rollout);
    /// Whether the exposure limit holds if the version gets all requests and turns out to be bad.
    bool canAffordMove(const Rollout &rollout, Duration age) const;
    /// Whether targets of another version that gets requests are or were there.
    static bool hasOldVersions(const Rollout &rollout, const RolloutRecord &record);
    static bool isOldVersionIdle(const Rollout &rollout, TimePoint now);
    RolloutRecord firstRecord(const Rollout &rollout, TimePoint now) const;

    std::map<std::string, std::unique_ptr<Rollout>, std::less<>> rollouts; ///< By service.
    RolloutLimits limits;
    std::optional<TimePoint> previousReadAt;
    std::int64_t unixMsAtRead = 0;
    TimePoint readAt;
};

/// What a process should do next about the ownership of the rollouts.
enum class OwnershipStep : std::uint8_t {
    Nothing,
    Acquire, ///< Take a lease and write the owner's key under it, if that does not exist.
    Renew, ///< Renew the lease.
};
inline constexpr std::array ownershipStepNames = {
    EnumName<OwnershipStep>{ OwnershipStep::Nothing, "nothing" },
    EnumName<OwnershipStep>{ OwnershipStep::Acquire, "acquire" },
    EnumName<OwnershipStep>{ OwnershipStep::Renew, "renew" },
};

/// Decides when a process tries to own the rollouts and when it no longer does. Processes try only
/// while there is a rollout that is not final, at random moments, so that few calls are made. Times
/// are of a clock that counts suspension (CLOCK_BOOTTIME): a process that wakes up late must know
/// that its lease has lapsed.
class RolloutOwnership
{
public:
    static constexpr Duration leaseTime = milliseconds(1'500);
    static constexpr Duration renewInterval = milliseconds(500);
    /// A silent owner's key is tried again at this interval, plus a random part as long.
    static constexpr Duration acquireInterval = milliseconds(400);

    /// \param uniformRandom Uniformly distributed in [0, 1).
    OwnershipStep nextStep(bool rolloutActive, const RolloutSnapshot &snapshot, bool ownerIsSilent,
        double uniformRandom, TimePoint now);
    /// \param sentAt When the first call of the acquisition was sent: the lease runs from then on.
    void recordAcquired(std::uint64_t ownerRevision, std::string leaseId, TimePoint sentAt);
    void recordAcquisitionFailed(TimePoint now);
    void recordRenewed(TimePoint sentAt);
    /// The store knows neither the lease nor the key, or another process has the key.
    void recordLost();
    /// Whether this process may act as the owner. False once the lease may have lapsed.
    bool isOwner(TimePoint now) const;
    std::uint64_t ownerRevision() const { return this->revision; }
    const std::string &leaseId() const { return this->lease; }

private:
    std::uint64_t revision = 0;
    std::string lease;
    std::optional<TimePoint> renewedAt;
    std::optional<TimePoint> nextAttemptAt;
};

} // namespace wigeonsill
