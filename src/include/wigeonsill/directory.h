/// \file directory.h
/// Public header of the directory library: the targets that an entry knows, and what the store's
/// answers say about them when the store was away or came back from an older copy. The library
/// opens no sockets, sets no timers and reads no clock: callers pass the current time as an
/// argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/util.h"

#include <functional>
#include <set>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Targets

/// A running target in the platform's list.
struct Target
{
    std::string id; ///< Of this incarnation.
    std::string service;
    std::string version; ///< Of its software; empty when not stated.
    std::string address; ///< "IP:PORT".
    std::string failureDomain;
    std::string region;
    int slots = 1; ///< Maximum number of requests that it runs concurrently.
    bool leaving = false; ///< Listed as draining: takes no new requests.
    std::int64_t startedMs = 0; ///< Unix time of this incarnation's start; 0 when not stated.
    /// Number of the last write of its record among all writes that were seen; 0 without one.
    std::uint64_t lastWrite = 0;
};

/// The known targets and which of them requests may be sent to. Performs no I/O.
/// Handles the simultaneous power loss of many targets: their records remain in the list for
/// seconds, while new incarnations are already listed at the same addresses.
class TargetDirectory
{
public:
    /// Returns whether a service is one that requests may be sent to.
    using ServiceCheck = std::function<bool(std::string_view service)>;

    /// Sets which services are configured; without a call, all are. Any client can write records,
    /// and those of other services get no requests, so that no answer ever refutes them: they don't
    /// take over the address of a target. Applied by the next change of the directory.
    void setServiceCheck(ServiceCheck check) { this->isConfigured = std::move(check); }
    /// Replaces the directory's contents with a list read from the store.
    /// \param listMayBeIncomplete Records of live targets may be absent from the list because they
    /// expired during an outage of the store. A known target that no list since the outage has
    /// contained is then kept until a list arrives for which this is false; a target that was
    /// listed since the outage and is absent now is removed.
    void replace(std::vector<Target> list, bool listMayBeIncomplete);
    /// Records that another target, or another incarnation, answers at this incarnation's address.
    /// The target is not usable until newer evidence: it is listed with a later start or at another
    /// address, or its record was written in two later lists; the first of these writes may have
    /// been made before the other target answered.
    /// \param incarnation The target as it was when the request was sent to it.
    void markReplaced(const Target &incarnation);
    /// Records that a target itself stated that it is leaving. This incarnation is never usable
    /// again, whatever a list says; one that started later under the same id is.
    /// \param incarnation The target as it was when the request was sent to it; need not be listed.
    /// \returns Whether this was unknown.
    bool markLeaving(const Target &incarnation, TimePoint now);
    /// Forgets the targets that stated that they are leaving and have not been listed for so long
    /// that no older copy of the store brings them back. Must be called with each list.
    void forgetDeparted(TimePoint now);
    /// Whether a target is known and accepts new requests: it is not listed as leaving, did not
    /// state that it is leaving, and no other target has taken over its address.
    bool isUsable(std::string_view id) const;
    /// The targets of a service that accept new requests.
    std::vector<const Target *> usable(std::string_view service) const;
    /// Returns nullptr for an unknown target.
    const Target *find(std::string_view id) const;
    std::size_t size() const { return this->targets.size(); }
    const std::map<std::string, Target, std::less<>> &all() const { return this->targets; }

private:
    /// A target that stated that it is leaving.
    struct Departure
    {
        std::int64_t startedMs = 0; ///< Of the incarnation, as Target::startedMs.
        TimePoint lastKnownAt; ///< When it stated it or was listed last.
    };
    /// A target at whose address another one answered.
    struct Replacement
    {
        std::string address;
        std::int64_t startedMs = 0; ///< Of the incarnation, as Target::startedMs.
        std::uint64_t lastWrite = 0; ///< As Target::lastWrite, in the newest list.
        int writtenLists = 0; ///< Number of lists since then in which it had been written.
    };
    void updateSuperseded();
    bool statedDeparture(const Target &target) const;
    bool isReplaced(const Target &target) const;
    bool acceptsRequests(const Target &target) const;

    std::map<std::string, Target, std::less<>> targets;
    std::set<std::string, std::less<>> listedSinceOutage; ///< Of the store.
    /// Targets with a more recently started one at the same address.
    std::set<std::string, std::less<>> superseded;
    ServiceCheck isConfigured = [](std::string_view /*service*/) { return true; };
    std::map<std::string, Replacement, std::less<>> replacements; ///< By target id.
    std::map<std::string, Departure, std::less<>> departures; ///< By target id.
};

/// Targets that asked this process to send nothing for a time. When the time is over, requests
/// probe the target: the number of concurrent ones starts at one and doubles with each round of
/// successes, so that the requests that waited do not all reach the target at once. Performs no
/// I/O. A record holds for one incarnation of a target (id and start). Replayed by
/// quiettargets_test and the testsuite's case engine-signals.
class QuietTargets
{
public:
    /// Longest time that a target is believed; it is asked again by one request afterwards. Answers
    /// and streams take seconds, so a target's load a minute ago does not describe the present one.
    static constexpr Duration longestTime = seconds(60);

    /// Records that a target asked for a time without requests. A time that is already running is
    /// not shortened. \param ownRequests Requests of this process at the target, reserved or
    /// running. \returns Whether the target was not quiet before.
    bool recordQuiet(const Target &target, Duration time, int ownRequests, TimePoint now);
    /// Time until the target wants requests again; zero when it does.
    Duration remaining(const Target &target, TimePoint now) const;
    bool isQuiet(const Target &target, TimePoint now) const
    {
        return this->remaining(target, now) > Duration::zero();
    }
    /// Whether one more request may be reserved or sent there. \param ownRequests As above, now.
    bool admits(const Target &target, int ownRequests, TimePoint now);
    /// Records that the target answered without a server error. \param sentAt When the request was
    /// sent to it; a request from before the time was over is no probe.
    void recordSuccess(const Target &target, TimePoint sentAt);
    /// Shortest time until one of the targets wants requests again. Empty when one of them does or
    /// when there are none.
    std::optional<Duration> untilAnyWantsRequests(
        const std::vector<const Target *> &targets, TimePoint now) const;
    /// Forgets targets that are not listed any more and whose time is over.
    void forgetUnlisted(const TargetDirectory &directory, TimePoint now);

private:
    struct Record
    {
        std::int64_t startedMs = 0; ///< Of the incarnation, as Target::startedMs.
        TimePoint quietUntil;
        int probeLimit = 1; ///< Maximum number of concurrent requests since then.
        int earlierRequests = 0; ///< Requests from before that are still there, at most.
    };
    /// Returns nullptr when this incarnation has no record.
    const Record *find(const Target &target) const;

    std::map<std::string, Record, std::less<>> records; ///< By target id.
};

/// Distinguishes an outage of the store, during which records of live targets may expire, from a
/// loss of connection of this process alone. While the store is available, each target rewrites its
/// record at every heartbeat, and each write increases the store's revision.
class StoreOutageDetector
{
public:
    explicit StoreOutageDetector(Duration heartbeatInterval)
        : heartbeat(heartbeatInterval)
    {
    }
    /// Records that the store answers: a part of an answer was received.
    void recordContact(TimePoint now);
    /// Records that a list was read. \param revision Of the store.
    /// \param recordCount Number of records in the list.
    void recordList(std::uint64_t revision, std::size_t recordCount, TimePoint now);
    /// Records that the store came back from an older copy, which may lack records of live targets.
    void recordHistoryReplaced(TimePoint now);
    /// Whether records of live targets may be absent from the list that was just read.
    bool listMayBeIncomplete(TimePoint now) const { return now < this->incompleteUntil; }
    /// Time from which a list is complete again. The list should be read at that time.
    TimePoint listCompleteFrom() const { return this->incompleteUntil; }

private:
    Duration heartbeat;
    std::uint64_t lastRevision = 0;
    std::size_t lastRecordCount = 0;
    std::optional<TimePoint> lastContactAt; ///< Empty before the first list.
    Duration longestGap = {}; ///< Between two contacts since the last list.
    TimePoint incompleteUntil;
};

// ---------------------------------------------------------------------------------------------
// Histories of the store

/// Which history of the store an answer belongs to. The store numbers its histories: it begins
/// another one when it comes back from a copy that is older than what it acknowledged.
enum class HistoryChange : std::uint8_t {
    Same, ///< The history that is known.
    Replaced, ///< A later one: everything that was known must be read again.
    Outdated, ///< An earlier one: the answer was delayed and must be dropped.
};
inline constexpr std::array historyChangeNames = {
    EnumName<HistoryChange>{ HistoryChange::Same, "same" },
    EnumName<HistoryChange>{ HistoryChange::Replaced, "replaced" },
    EnumName<HistoryChange>{ HistoryChange::Outdated, "outdated" },
};

/// What an entry knows of the store's histories, revisions and configuration versions. Revisions of
/// different histories cannot be compared: those that were lost are given out again.
/// Answers a store that was away and lost its last seconds. A key that was revoked in them must not
/// work again, and an older configuration must not count as confirmed.
class StoreHistory
{
public:
    /// Time within which the operator and live targets write again what a copy lacks.
    static constexpr Duration rewriteTime = seconds(2);
    /// Added to it in a process that starts and so knows no version that the copy may lack.
    static constexpr Duration startMargin = milliseconds(500);
    /// Number of a store's first history. A later one replaced another, at an unknown time before
    /// this process saw it first.
    static constexpr std::uint64_t firstHistory = 1;
    /// How long a target that is gone is remembered. Longer than a copy of the store is old.
    static constexpr Duration goneTargetMemory = seconds(60);

    /// Must be called with each answer before its content is used. After Replaced, the revision is
    /// unknown until recordRevision(). \param history Number stated by the store, empty if none.
    HistoryChange recordHistory(std::optional<std::uint64_t> history, TimePoint now);
    std::uint64_t history() const { return this->currentHistory.value_or(0); }
    /// Records that all changes up to a revision of the current history are known.
    void recordRevision(std::uint64_t revision) { this->knownRevision = revision; }
    std::uint64_t revision() const { return this->knownRevision; }
    /// Records the configuration version that the store holds in the current history.
    void recordConfiguration(std::uint64_t version);
    /// Whether an answer to a call confirms that no configuration is newer than the one in force.
    /// Not while the store holds an older one, and not within rewriteTime after a history was
    /// replaced, unless the operator has written a newer one since. A process that starts in a
    /// history that replaced another one takes it for one that was just replaced.
    /// \param sentAt When the call was sent.
    bool confirmsConfiguration(TimePoint sentAt) const;

private:
    std::optional<std::uint64_t> currentHistory;
    std::uint64_t knownRevision = 0;
    std::optional<std::uint64_t> heldVersion; ///< By the store; empty while not read.
    std::uint64_t newestVersion = 0; ///< In any history.
    /// Newest version in any earlier history; empty while that is unknown.
    std::optional<std::uint64_t> versionBeforeReplacement;
    std::optional<TimePoint> rewrittenFrom; ///< When the copy's gaps are filled; empty without one.
};

/// The targets' records as read from the store. In a history that replaced another one, a record
/// that brings back a target known to be leaving or gone is only believed once it was written in
/// that history.
class TargetRecords
{
public:
    /// Begins to read all records. \param historyReplaced Since the last complete read.
    void beginRead(bool historyReplaced);
    /// Records a target found while reading.
    void recordRead(Target target);
    /// Ends the reading: targets that were not found are gone.
    void endRead(TimePoint now);
    /// Records that a target's record was written.
    void recordWritten(Target target);
    /// Records that a target's record was removed or no longer describes a target.
    void recordRemoved(const std::string &id, TimePoint now);
    std::vector<Target> list() const;
    std::size_t size() const { return this->records.size(); }

private:
    using ById = std::map<std::string, Target, std::less<>>;

    ById records;
    std::uint64_t writeCount = 0; ///< Of all records, as far as they were seen.
    ById found; ///< By the current read.
    bool readIsFromCopy = false; ///< Records that were not written since may be older than known.
    std::map<std::string, TimePoint, std::less<>> goneAt;
};

} // namespace wigeonsill
