/// \file versions.h
/// Public header of the versions library: which software versions of a service have served lately,
/// and at which of them a stream began. What targets of two versions write doesn't fit together, so
/// that a caller's stream goes on only where it began. The library opens no sockets, sets no timers
/// and reads no clock: callers pass the current time as an argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/directory.h"

#include <compare>
#include <deque>

namespace wigeonsill {

/// A software version of a service's targets.
struct ServiceVersion
{
    std::string service;
    std::string version;

    auto operator<=>(const ServiceVersion &) const = default;
};

/// The versions that served within the last time, from the list of targets and from the store,
/// where processes write them for those that start later. Answers releases that end before all
/// entries are killed: the list names the new version alone, and streams of the old one are taken
/// up. Replayed by versionhistory_test and the testsuite's case joined-versions.
class VersionHistory
{
public:
    /// How long a version counts after its last target has left. Longer than streams last, with all
    /// tries of their callers.
    static constexpr Duration memory = seconds(60);

    /// Records that a target was listed, which may have left the list since.
    void recordSeen(ServiceVersion version, TimePoint now)
    {
        this->lastSeenAt[std::move(version)] = now;
    }
    /// Records the targets that are listed now.
    void recordListed(const std::vector<Target> &targets, TimePoint now);
    /// Records which versions the store names now.
    void recordStored(std::set<ServiceVersion> versions, TimePoint now);
    /// The versions that are listed, are in the store, or were within the time.
    std::set<ServiceVersion> recent(TimePoint now) const;
    /// Versions to be written to the store: listed ones that it doesn't name.
    std::vector<ServiceVersion> missing() const;
    /// Versions to be removed from the store: none of their targets was listed for the time, and
    /// another version of the service is listed.
    std::vector<ServiceVersion> outdated(TimePoint now) const;

private:
    std::set<ServiceVersion> listed;
    std::set<ServiceVersion> stored;
    /// Listed, or first known from the store.
    std::map<ServiceVersion, TimePoint> lastSeenAt;
};

/// The only version in a set that serves or served a service lately; empty with none or several.
std::optional<std::string> onlyVersion(
    const std::set<ServiceVersion> &recent, std::string_view service);

/// At which versions streams began, by a hash of the id of the request that brought the first
/// event. Bounded; the oldest records give way.
class StreamOrigins
{
public:
    static constexpr Duration memory = VersionHistory::memory;
    static constexpr std::size_t capacity = 16'384;

    /// How often a stream that goes on is recorded again, well within the memory of those that are
    /// told of it.
    static constexpr Duration renewalInterval = seconds(20);

    void record(std::uint64_t stream, std::string_view version, TimePoint now);
    /// Whether a stream that goes on is to be recorded again.
    bool isRenewalDue(std::uint64_t stream, TimePoint now) const;
    /// Forgets a stream that has ended whole.
    void forget(std::uint64_t stream) { this->origins.erase(stream); }
    std::optional<std::string> find(std::uint64_t stream, TimePoint now) const;
    /// All streams with their versions.
    std::vector<std::pair<std::uint64_t, std::string>> all(TimePoint now) const;
    /// The streams that were recorded last, with their versions, newest first.
    /// \param age Longest time since the record.
    std::vector<std::pair<std::uint64_t, std::string>> newest(
        std::size_t count, Duration age, TimePoint now) const;

private:
    struct Origin
    {
        std::string version;
        TimePoint recordedAt;
    };
    void removeOldest(TimePoint now);

    std::map<std::uint64_t, Origin> origins;
    std::deque<std::pair<TimePoint, std::uint64_t>> order; ///< Of the records, oldest first.
};

/// Streams by the version at which they began.
using StreamsByVersion = std::map<std::string, std::vector<std::uint64_t>, std::less<>>;

/// Limits of the writes that keep the origins of streams in the store.
struct OriginWriteLimits
{
    double storeWritesPerSecond = 400; ///< That the store takes from all processes together.
    /// Share of these that all entries use while each service has one version: only processes that
    /// are lost while another version joins need the records.
    double shareOfOneVersion = 0.01;
    double shareOfSeveralVersions = 0.05; ///< While a service has several.
    /// Of all entries, which bound the bytes that an entry sends and reads for the records, and the
    /// calls that the store is paid for.
    double mostWritesOfOneVersion = 20;
    double mostWritesOfSeveralVersions = 100;
};

/// Decides when an entry writes the origins of its streams to the store, and which. Each write
/// replaces the one before, so that one key holds all that the entry knows. The period between two
/// writes grows with the number of entries, so that the store gets as many calls from many entries
/// as from few. Not thread-safe.
class OriginWriter
{
public:
    /// How long a stream is written after its last record. Streams that go on are recorded again
    /// well within it (StreamOrigins::renewalInterval), and callers whose stream broke off come
    /// back sooner.
    static constexpr Duration memory = seconds(30);
    /// Streams of one write at most; the newest are kept.
    static constexpr std::size_t capacity = 1'024;
    /// Streams that begin together are gathered for this long.
    static constexpr Duration gatherTime = milliseconds(20);
    static constexpr Duration shortestPeriod = milliseconds(100);
    /// Entries that are assumed before their number is known.
    static constexpr int assumedEntries = 8;

    explicit OriginWriter(const OriginWriteLimits &writeLimits = {})
        : limits(writeLimits)
    {
    }

    void record(std::uint64_t stream, std::string_view version, TimePoint now);
    /// Forgets a stream that has ended whole. Not written by itself, since the record stays true.
    void forget(std::uint64_t stream) { this->origins.forget(stream); }
    /// \param count Number of entries that write. \pre count is positive.
    void setEntries(int count) { this->entries = count; }
    void setSeveralVersions(bool several) { this->areSeveralVersions = several; }
    /// Shortest time between the starts of two writes.
    Duration period() const;
    /// When the next write is due; empty while nothing is to be written or a write is in progress.
    std::optional<TimePoint> dueAt() const;
    bool isInProgress() const { return this->isWriting; }
    /// Begins a write, and returns what it must hold. \pre no write is in progress.
    StreamsByVersion begin(TimePoint now);
    /// Ends the write in progress. A failed one is repeated after a delay that doubles each time.
    void end(bool isWritten, TimePoint now);
    /// Records that the store may have lost what was written.
    void invalidate(TimePoint now);

private:
    OriginWriteLimits limits;
    int entries = assumedEntries;
    bool areSeveralVersions = false;
    StreamOrigins origins;
    std::optional<TimePoint> unwrittenSince; ///< When the first stream came that isn't written.
    std::optional<TimePoint> begunAt; ///< Of the last write.
    std::optional<TimePoint> retryAt; ///< After failures.
    int failuresInRow = 0;
    bool isWriting = false;
};

/// At which version a stream began, by the store.
struct StoredOrigin
{
    std::optional<std::string> version;
    bool isAmbiguous = false; ///< Records name several versions, of which none can be trusted.
};

/// The origins of streams that entries have written to the store, each to a key of its own. Any
/// client can write such keys. Not thread-safe.
class StoredOrigins
{
public:
    /// Records what a key holds now.
    void set(const std::string &key, StreamsByVersion streams)
    {
        this->streamsByKey.insert_or_assign(key, std::move(streams));
    }
    void remove(const std::string &key) { this->streamsByKey.erase(key); }
    /// Searches all records: for streams that are taken up, which are few.
    StoredOrigin find(std::uint64_t stream) const;

private:
    std::map<std::string, StreamsByVersion, std::less<>> streamsByKey;
};

/// What a process knows of a stream that a caller takes up.
struct OriginEvidence
{
    std::optional<std::string> version; ///< At which it began, as an agent keeps it.
    StoredOrigin stored;
    bool isVersionListed = false; ///< The process knows that version.
    std::optional<std::string> onlyVersion; ///< That served lately, as far as the process knows.
    bool isListConfirmed = false; ///< The versions were read since the stream was taken up.
    /// An entry that knows several versions told an agent of a stream lately.
    bool areSeveralVersionsKnown = false;
    std::size_t askedAgents = 0;
    std::size_t answeredAgents = 0;
    bool areEntriesAsked = false; ///< Of which only one that knows the stream answers.
    /// What is known by now is enough; a stream that nobody knows is asked for until the time is
    /// over.
    bool isDue = false;
    bool isTimeOver = false; ///< No further answer is waited for.
};

enum class OriginVerdict : std::uint8_t { Pending, Known, Unknown };

/// By what the version of a stream is known.
enum class OriginSource : std::uint8_t {
    OwnRecord, ///< The process saw the stream begin, or go on.
    Agent, ///< An agent keeps it.
    Store, ///< An entry, which may have ended, wrote it to the store.
    List, ///< No other version served, by what was read since the stream was taken up.
    AgentsUnaware, ///< The store doesn't answer, and no agent knows of a second version.
};
inline constexpr std::array originSourceNames = {
    EnumName<OriginSource>{ OriginSource::OwnRecord, "own-record" },
    EnumName<OriginSource>{ OriginSource::Agent, "agent" },
    EnumName<OriginSource>{ OriginSource::Store, "store" },
    EnumName<OriginSource>{ OriginSource::List, "list" },
    EnumName<OriginSource>{ OriginSource::AgentsUnaware, "agents-unaware" },
};

struct OriginDecision
{
    OriginVerdict verdict = OriginVerdict::Pending;
    std::string version = {}; ///< If it is known.
    OriginSource source = OriginSource::OwnRecord;
    OriginEvidence evidence = {}; ///< From which an unknown version was concluded.
};

/// Decides whether a stream can go on, and where. A list that was read before the stream was taken
/// up may lack the version that began it, so a process that knows one version only must not trust
/// it. Always decides once the time is over.
OriginDecision decideOrigin(const OriginEvidence &evidence);

/// Questions for streams that an agent passes on to the entries, which keep those that they began.
/// It answers them once an entry has told of the stream. Bounded. Not thread-safe.
class RelayedQueries
{
public:
    /// How long a question is kept. Longer than an entry waits for the answer.
    static constexpr Duration memory = seconds(2);
    /// Shortest time between two rounds of questions for a stream.
    static constexpr Duration interval = milliseconds(60);
    /// Streams that are asked for at a time, which bounds the rounds.
    static constexpr std::size_t capacity = 128;

    /// Records a question. Returns whether the entries are to be asked now.
    /// \param asker Id of the entry that asks.
    bool add(std::uint64_t stream, std::uint64_t asker, TimePoint now);
    /// Returns those who asked for a stream, and forgets them.
    std::set<std::uint64_t> take(std::uint64_t stream);

private:
    struct Query
    {
        std::set<std::uint64_t> askers;
        TimePoint askedAt; ///< First.
        TimePoint relayedAt;
    };
    std::map<std::uint64_t, Query> queries; ///< By stream.
};

/// Hash of the id of a request, under which a stream that it began is known.
std::uint64_t streamHash(std::string_view requestId);

/// The targets whose agents keep a stream's origin, the same for all that know the same targets:
/// the highest by a hash of stream and address (rendezvous hashing), so that few streams change
/// their keepers when targets come and go. \param targets Any targets with agents.
std::vector<const Target *> chooseOriginKeepers(
    std::vector<const Target *> targets, std::uint64_t stream, std::size_t count);

/// The agents that keep the origins of streams. All processes that know the same targets choose
/// the same ones. Not thread-safe.
class OriginKeepers
{
public:
    /// \param engines All targets with agents. \pre they outlive this object.
    explicit OriginKeepers(std::vector<const Target *> engines)
        : targets(std::move(engines))
    {
    }

    /// The targets whose agents are told of a stream: some of those that stay, and of all, since a
    /// process that has an older list doesn't know which of them leave.
    std::vector<const Target *> toTell(std::uint64_t stream) const;
    /// The targets whose agents are asked for a stream of a service: those that were told of it by
    /// a process that knows the same targets, or only those of one of the versions.
    /// \param versions Those of all services that served lately.
    std::vector<const Target *> toAsk(std::uint64_t stream, std::string_view service,
        const std::set<ServiceVersion> &versions) const;

private:
    std::vector<const Target *> stayingTargets() const;

    std::vector<const Target *> targets;
};

} // namespace wigeonsill
