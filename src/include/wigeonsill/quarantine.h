/// \file quarantine.h
/// Public header of the quarantine library: requests and prompt parts under which targets crash,
/// learned from what all processes see, and what is held back for them. The library opens no
/// sockets, sets no timers and reads no clock: callers pass the current time as an argument.
/// Nothing is thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <set>

namespace wigeonsill {

/// Ids of the prompt parts that a request shares with others, sorted and unique. A request's last
/// part is its own and never among them.
using PartSet = std::vector<std::uint64_t>;

/// Makes a PartSet of ids in any order.
PartSet makePartSet(std::vector<std::uint64_t> ids);

/// What a request has in common with others that may end targets.
struct RequestTraits
{
    std::uint64_t organisation = 0; ///< Hash of the name; 0 without one.
    /// Equal for requests that are the same but for their id, see requestIdentity(); 0 for none.
    std::uint64_t identity = 0;
    PartSet parts;
};

/// Identity of a request: the same for each attempt of a caller, and another one for each other
/// caller. \param target Path and query. \param organisation Name; empty without one.
std::uint64_t requestIdentity(std::string_view method, std::string_view target,
    std::string_view organisation, std::string_view body);

/// A target ended before it had begun to answer a request. Reports are merged between processes:
/// there is one for each target and request, its identity and parts are only taken away, and its
/// marks are only set, so the order in which processes learn of reports doesn't matter.
struct CrashReport
{
    /// Bounds the size of a report. Requests have three or four parts.
    static constexpr std::size_t maximumParts = 16;

    std::uint64_t target = 0; ///< Hash of the incarnation that ended.
    std::uint64_t request = 0; ///< Hash of the request's id.
    std::uint64_t organisation = 0; ///< Hash of the name; 0 without one.
    /// Of the request, if it may have ended the target; 0 once answers to it have been seen.
    std::uint64_t identity = 0;
    /// That may have ended the target: answers on the others have been seen. No more than
    /// maximumParts are kept when it is merged, the same ones for each request that has them.
    PartSet parts;
    TimePoint at; ///< When the target ended.
    bool evidence = false; ///< Part of the evidence of a hold, kept as long as the hold.
    bool released = false; ///< An operator released the hold that it was evidence of.
    bool operator==(const CrashReport &) const = default;
};

/// Requests of this identity, or without one those with all these parts, are refused.
struct Hold
{
    std::uint64_t id = 0;
    std::uint64_t identity = 0;
    PartSet parts; ///< Empty with an identity.
    /// Whose requests are refused; with parts everyone's when requests of two or more were among
    /// the evidence.
    std::set<std::uint64_t> organisations;
    TimePoint since; ///< When the evidence was complete.
    std::size_t targets = 0; ///< Number of targets that ended.
    std::size_t requests = 0; ///< Number of requests under which they ended.
};

/// Remembers which prompt parts, or which requests, targets have answered lately. What crashes
/// targets does so at the beginning of each answer, so one answer that goes on clears its request
/// and parts. The memory of each organisation is bounded by itself, whatever ids the others invent.
class AnsweredParts
{
public:
    /// How long an answer speaks for its parts. A part that begins to crash targets later, for
    /// example with new weights, is suspected again after it.
    static constexpr Duration memoryTime = seconds(30);
    static constexpr std::size_t maximumPerOrganisation = 2'048;
    static constexpr std::size_t maximumOrganisations = 256;

    void record(std::uint64_t organisation, const PartSet &parts, TimePoint now);
    bool contains(std::uint64_t part, TimePoint now) const;

private:
    struct Memory
    {
        std::map<std::uint64_t, TimePoint> answeredAt; ///< By part.
        TimePoint usedAt;
        void removeOldest(TimePoint now);
    };
    std::map<std::uint64_t, Memory> organisations;
};

/// Decides which requests and prompt parts are held back, from reports of ended targets.
/// Load pattern: a few requests a second, no two alike, share one part that crashes each engine
/// that begins to answer them, while sound requests of the same callers share all their other
/// parts. Engines also end for other reasons, many at once, while requests wait there.
/// A set of parts is held when targets ended under it at several separate moments, under several
/// requests, and no answer on any of the parts has been seen. It is the intersection of the
/// suspected parts of all these requests, so it narrows down as reports arrive. Sets that explain
/// more ends come first, and an end that is explained speaks against no other part.
/// Load pattern: one request comes again and again, at any process, and ends each target that
/// begins to run it, also several within a moment. It is held by its identity once enough targets
/// ended under two of its attempts, and its ends alone hold no part. Replayed by quarantine_test
/// and the testsuite's cases crashing-parts and crashing-requests.
class Quarantine
{
public:
    struct Limits
    {
        std::size_t minimumTargets = 3; ///< That ended, for a hold.
        std::size_t minimumMoments = 3; ///< Separate moments at which they ended; for parts.
        std::size_t minimumRequests = 2; ///< Under which they ended; for an identity, attempts.
        /// Largest share of the ended targets for which one identity may account in a hold of
        /// parts.
        double maximumShareOfIdentity = 0.75;
        /// Targets that end closer together may have a common cause: a rack, a link, a release.
        Duration momentGap = milliseconds(250);
        /// How long a report that is no evidence of a hold counts.
        Duration reportTime = seconds(60);
        /// How long a released report is kept, so that no process that was cut off brings it back.
        Duration releaseTime = seconds(600);
        std::size_t reportsPerOrganisation = 128;
        std::size_t evidencePerHold = 6; ///< Reports that are kept with a hold.
        std::size_t evidencePerRequest = 2; ///< Of these, at most.
        /// For so long after the first answer that it sees, a process doesn't know yet which parts
        /// are sound, and holds only what others have found.
        Duration learningTime = seconds(3);
        std::size_t maximumOrganisations = 64;
    };
    Quarantine() = default;
    explicit Quarantine(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Records that a target has gone on answering a request, which clears its identity and parts.
    void recordAnswered(const RequestTraits &request, TimePoint now);
    /// Records reports, of this process or others. Identities and parts that this process knows to
    /// be answered are left out of them. \returns Whether anything was new.
    bool merge(const std::vector<CrashReport> &received, TimePoint now);
    /// Forgets what is too old to count. Should be called several times a second.
    void expire(TimePoint now);
    /// Releases a hold: its evidence no longer counts. \returns Whether there was such a hold.
    bool release(std::uint64_t holdId, TimePoint now);

    /// The hold that a request falls under; nullptr without one. Valid until the next call of a
    /// method that is not const.
    const Hold *findHold(const RequestTraits &request) const;
    /// Whether a target ended under another request of the same identity or with one of the parts,
    /// on which no answer has been seen. Such a request isn't worth a second target.
    /// \param attempt Hash of the request's id.
    bool isSuspected(std::uint64_t attempt, const RequestTraits &request, TimePoint now) const;
    /// What of a request's identity and parts no answer has been seen on lately.
    RequestTraits unanswered(RequestTraits request, TimePoint now) const;
    const std::vector<Hold> &holds() const { return this->currentHolds; }
    std::vector<CrashReport> reports() const;
    /// Equal for processes that know the same reports; 0 without reports.
    std::uint64_t digest() const { return this->currentDigest; }

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; ///< Target and request.
    struct Candidate;

    bool mergeReport(const CrashReport &received, TimePoint now);
    void limitReports(std::uint64_t organisation);
    /// Derives the holds and the digest from the reports.
    void update(TimePoint now);
    bool hasLearned(TimePoint now) const;
    bool qualifies(const Candidate &candidate) const;
    bool qualifiesByIdentity(const Candidate &candidate) const;
    std::vector<Candidate> identityCandidates() const;
    std::optional<Candidate> strongestCandidate(
        const std::vector<const CrashReport *> &unexplained) const;
    /// Whether enough of the evidence is known for a process that has not learned what is sound.
    bool isEvident(const Candidate &candidate) const;
    Candidate makeCandidate(std::vector<const CrashReport *> reports) const;
    void keepEvidence(const Candidate &candidate);
    Hold makeHold(const Candidate &candidate) const;

    Limits limits;
    AnsweredParts answeredParts;
    AnsweredParts answeredIdentities;
    std::optional<TimePoint> firstAnswerAt;
    bool learned = false; ///< hasLearned() at the last update.
    std::map<Key, CrashReport> byKey;
    std::vector<Hold> currentHolds;
    std::uint64_t currentDigest = 0;
};

/// Reports of requests whose connection to their target ended, which doesn't show that the target
/// did: they count once it is known to have ended.
class UnconfirmedCrashes
{
public:
    /// How long after a report the target's end may be confirmed.
    static constexpr Duration confirmationTime = seconds(2);
    static constexpr std::size_t maximumReports = 512;

    void record(const std::string &targetId, CrashReport report, TimePoint now);
    /// Removes and returns the reports of a target that is known to have ended.
    std::vector<CrashReport> confirm(const std::string &targetId, TimePoint now);
    /// Forgets reports whose time is over.
    void expire(TimePoint now);
    bool contains(const std::string &targetId) const { return this->reports.contains(targetId); }

private:
    std::multimap<std::string, CrashReport> reports; ///< By target id.
};

} // namespace wigeonsill
