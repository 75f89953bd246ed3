/// \file config.h
/// Public header of the config library: parsing of JSON with comments, validated reading of
/// settings, and the declared configuration (pools, templates, organisations). It uses no sockets
/// or timers.
#pragma once

#include "wigeonsill/util.h"

#include <functional>
#include <random>
#include <set>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Settings

/// One validation error of a settings or declarations file.
struct SettingsProblem
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 when unknown.
    std::string key; ///< Dotted path of the key.
    ResultCode code = ResultCode::Ok;
    std::string expected; ///< What the reader accepts, such as "expected a text".
};

/// Formats a problem as one line: "file:line: key: E5005 SettingsWrongType: expected ...".
std::string toString(const SettingsProblem &problem);

/// A parsed JSON document that knows the line of each key. Comments and trailing commas are
/// allowed. Immutable after parsing, so const access is thread-safe.
class JsonDocument
{
public:
    /// An empty document.
    JsonDocument() = default;
    /// Parses a text. \param file Name used in errors. Errors: SettingsSyntax.
    static Result<JsonDocument> parse(std::string_view text, std::string file);
    /// Reads and parses a file. Errors: SettingsUnreadable, SettingsSyntax.
    static Result<JsonDocument> load(const std::string &path);
    /// Makes a document of a value that was not parsed from a text; its lines are unknown.
    static JsonDocument fromValue(boost::json::value value, std::string file);

    const boost::json::value &value() const { return this->root; }
    const std::string &file() const { return this->fileName; }
    /// Line of a key or array element by its dotted path, counted from 1; 0 when unknown.
    int lineOf(const std::string &path) const;

private:
    boost::json::value root;
    std::string fileName;
    std::map<std::string, int> lineByPath;
};

/// Reads the keys of a JSON object and collects all problems instead of stopping at the first one.
/// Call finish() last: it reports the keys that were never read. After reporting a missing or
/// invalid value, a call returns the minimum, an empty value, false or the first value of a table.
/// Not thread-safe. \pre the document and the problem list outlive the reader.
class SettingsReader
{
public:
    SettingsReader(const JsonDocument &document, std::vector<SettingsProblem> &problems);

    /// Reads a string. A key without a default is required, also in number(), real(), flag() and
    /// choice().
    std::string text(
        std::string_view key, const std::optional<std::string> &defaultValue = std::nullopt);
    /// Reads an integer within [minimum, maximum].
    std::int64_t number(std::string_view key, std::int64_t minimum, std::int64_t maximum,
        std::optional<std::int64_t> defaultValue = std::nullopt);
    /// Reads a number within [minimum, maximum].
    double real(std::string_view key, double minimum, double maximum,
        std::optional<double> defaultValue = std::nullopt);
    /// Reads true or false.
    bool flag(std::string_view key, std::optional<bool> defaultValue = std::nullopt);
    /// Reads a list of strings. An absent optional list reads as empty.
    std::vector<std::string> textList(std::string_view key, bool required = false);
    /// Reads a string that names a value of an enum table. \param code Reported for other names.
    template <class E, std::size_t N>
    E choice(std::string_view key, const std::array<EnumName<E>, N> &table,
        std::optional<E> defaultValue = std::nullopt,
        ResultCode code = ResultCode::SettingsOutOfRange)
    {
        if (defaultValue && !this->has(key)) {
            this->markKnown(key);
            return *defaultValue;
        }
        const std::string name = this->text(key);
        const std::optional<E> value = enumFromName(table, name);
        if (!value && this->has(key)) {
            std::string names;
            for (const EnumName<E> &row : table) {
                names += names.empty() ? "" : ", ";
                names += row.name;
            }
            this->report(key, code, "expected one of " + names);
        }
        return value.value_or(table.front().value);
    }
    /// Returns a reader of a nested object. An absent optional object reads as empty.
    SettingsReader object(std::string_view key, bool required = false);
    /// Returns a reader of each object of a list. An absent optional list reads as empty.
    std::vector<SettingsReader> objectList(std::string_view key, bool required = false);
    /// Returns name and reader of each member of the object. Members that are no objects are
    /// reported and read as empty.
    std::vector<std::pair<std::string, SettingsReader>> members();
    /// Returns the unvalidated value of a key, or nullptr when it is absent.
    const boost::json::value *raw(std::string_view key);

    bool has(std::string_view key) const;
    /// Reports a problem at a key.
    void report(std::string_view key, ResultCode code, std::string expected);
    /// Reports every key that was never read.
    void finish();

private:
    SettingsReader(const JsonDocument &document, std::vector<SettingsProblem> &problems,
        const boost::json::object *object, std::string path);

    std::string pathOf(std::string_view key) const;
    void markKnown(std::string_view key);
    const boost::json::value *find(std::string_view key, bool required);

    const JsonDocument *document;
    std::vector<SettingsProblem> *problems;
    const boost::json::object *currentObject;
    std::string path;
    std::vector<std::string> knownKeys;
};

// ---------------------------------------------------------------------------------------------
// Declarations

/// Protocol of the targets of a pool.
enum class PoolKind : std::uint8_t {
    Engine, ///< Model engine with the OpenAI-compatible protocol.
    Plain, ///< Plain HTTP service.
};
inline constexpr std::array poolKindNames = {
    EnumName<PoolKind>{ PoolKind::Engine, "engine" },
    EnumName<PoolKind>{ PoolKind::Plain, "plain" },
};

/// A pool: a group of interchangeable targets.
struct PoolDefinition
{
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string model; ///< Model name sent to engines; empty for plain services.
    double capacityTokensPerSecond = 0; ///< Used for warnings only; 0 when not declared.
};

/// One service of an organisation.
struct ServiceDefinition
{
    std::string name;
    Tier tier = Tier::Normal;
    std::string pool;
    bool nonIdempotent = false;
    Duration deadline = seconds(30); ///< Longest wait until the request starts at a target.
    std::uint32_t maximumOutputTokens = 1024;
};

using ServiceMap = std::map<std::string, ServiceDefinition, std::less<>>;

/// One organisation with its template expanded.
struct Organisation
{
    std::string name;
    std::string templateName;
    std::vector<std::string> tokens; ///< Bearer tokens of its callers.
    std::uint32_t weight = 1; ///< Share within a tier, relative to the others.
    double quotaTokensPerSecond = 0; ///< 0 means no quota.
    Preemption preemption = Preemption::Never;
    Weighting weighting = Weighting::Goodput;
    /// Shared by organisations with equal services.
    std::shared_ptr<const ServiceMap> services = std::make_shared<const ServiceMap>();
};

using OrganisationMap = std::map<std::string, Organisation, std::less<>>;
using PoolMap = std::map<std::string, PoolDefinition, std::less<>>;

// ---------------------------------------------------------------------------------------------
// Stored form of a configuration: immutable content-addressed parts and one root value

/// Number of bundles. The hash of an organisation's name selects its bundle.
constexpr std::size_t bundleCount = 256;

/// Index of the bundle that holds an organisation; the same in every process. Thread-safe.
std::size_t bundleIndex(std::string_view organisation);
/// ID of a part: the 128-bit hash of its content as 32 hexadecimal digits. Thread-safe.
std::string partId(std::string_view text);
/// Store key of a part. Thread-safe.
std::string partKey(const std::string &id);
/// Store key of the root value.
inline constexpr std::string_view rootKey = "config/root";

/// IDs of the parts that make up one configuration.
struct Snapshot
{
    std::string pools; ///< ID of the part with the pools.
    std::map<std::size_t, std::string> bundles; ///< Part ID by bundle index, without empty bundles.
    bool operator==(const Snapshot &) const = default;
};

/// Record of one change in the history.
struct HistoryRecord
{
    std::uint64_t revision = 0;
    std::string changeId; ///< Unique ID that the operator's program generates.
    std::string author;
    std::string storedAt; ///< UTC, by the clock of the operator's machine.
    std::string summary;
    std::string snapshot; ///< ID of the part that holds the snapshot.
    bool operator==(const HistoryRecord &) const = default;
};

/// Maximum number of history records in the root; older records are in immutable pages.
constexpr std::size_t historyPageSize = 32;

/// Root value of the stored configuration. Replacing it with compare-and-swap commits a change.
struct ConfigurationRoot
{
    std::uint64_t revision = 0;
    std::string changeId;
    Snapshot snapshot;
    std::vector<HistoryRecord> history; ///< Newest last.
    std::string olderPage; ///< ID of the part with the older records; empty when there are none.
};

/// Older records of the history, linked from the root or from a newer page.
struct HistoryPage
{
    std::vector<HistoryRecord> records;
    std::string olderPage;
};

std::string serializeRoot(const ConfigurationRoot &root);
/// The parse functions below fail with MessageMalformed or SettingsSyntax.
Result<ConfigurationRoot> parseRoot(std::string_view text);
std::string serializeSnapshot(const Snapshot &snapshot);
Result<Snapshot> parseSnapshot(std::string_view text);
std::string serializePage(const HistoryPage &page);
Result<HistoryPage> parsePage(std::string_view text);

/// Content of parts by ID.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// IDs of all parts of a snapshot.
std::vector<std::string> partIdsOf(const Snapshot &snapshot);

/// A parsed bundle. Immutable, so that revisions can share it.
struct OrganisationBundle
{
    OrganisationMap organisations;
};

/// All declared pools and organisations at one revision. Immutable once built, so const access is
/// thread-safe. Consecutive revisions share equal bundles.
class Configuration
{
public:
    Configuration() = default;
    /// Builds a configuration and its parts from declarations.
    Configuration(PoolMap pools, OrganisationMap organisations);
    /// Builds a configuration from stored parts. Takes unchanged bundles, and parts that are not
    /// given, from the previous configuration. Errors: MessageMalformed, also when a part is
    /// missing or does not match its ID; SettingsSyntax.
    static Result<Configuration> assemble(std::uint64_t revision, const Snapshot &snapshot,
        const PartTexts &parts, const Configuration *previous = nullptr);

    const Organisation *findByName(std::string_view name) const;
    const Organisation *findByToken(std::string_view token) const;
    std::size_t organisationCount() const { return this->organisationTotal; }
    /// Calls the function for each organisation, in no particular order.
    void forEachOrganisation(const std::function<void(const Organisation &)> &function) const;
    /// Returns a copy of all organisations, ordered by name.
    OrganisationMap organisations() const;

    std::uint64_t revision = 0;
    const PoolMap &pools() const { return this->poolMap; }
    const Snapshot &snapshot() const { return this->partIds; }
    const PartTexts &partTexts() const { return this->texts; }

private:
    struct TokenRecord
    {
        std::uint64_t hash;
        const Organisation *organisation;
    };
    /// Fills the token index and counts the organisations.
    void buildIndex();
    void removeUnusedServiceMaps();

    PoolMap poolMap;
    Snapshot partIds;
    PartTexts texts;
    std::map<std::size_t, std::shared_ptr<const OrganisationBundle>> bundles;
    std::map<std::string, std::shared_ptr<const ServiceMap>> serviceMaps; ///< By content hash.
    std::vector<TokenRecord> tokens; ///< Ordered by hash.
    std::size_t organisationTotal = 0;
};

/// Reads a folder (deployment.json, templates/*.json, organisations/*.json), expands the templates
/// and validates the files and their references to each other. Problems are added to the list; the
/// configuration is usable only if all of them are warnings, see isWarning().
Configuration readDeclarations(const std::string &folder, std::vector<SettingsProblem> &problems);
/// Whether a problem leaves the declarations usable.
bool isWarning(const SettingsProblem &problem);
/// Reports services without a declared pool and tokens that organisations share. The file of each
/// problem is the name of the organisation.
void checkDeclarations(const PoolMap &pools, const OrganisationMap &organisations,
    std::vector<SettingsProblem> &problems);

// ---------------------------------------------------------------------------------------------
// Differences and merges

/// One parameter that differs. An absent side is empty.
struct ConfigurationDifference
{
    std::string kind; ///< "organisation" or "pool"
    std::string name;
    std::string parameter; ///< Dotted path.
    std::string before; ///< JSON text.
    std::string after; ///< JSON text.
};

/// Differences by parameter: pools first, then organisations, each ordered by name.
std::vector<ConfigurationDifference> differences(
    const Configuration &before, const Configuration &after);
/// Formats a difference as one line for operators.
std::string toString(const ConfigurationDifference &difference);

/// Result of a three-way merge.
struct MergedConfiguration
{
    Configuration configuration;
    /// Kind and name of the organisations and pools that both sides changed differently. The merged
    /// configuration is usable only if there are none.
    std::vector<std::string> conflicts;
};

/// Three-way merge by organisation and pool.
MergedConfiguration mergeConfigurations(
    const Configuration &base, const Configuration &theirs, const Configuration &mine);

// ---------------------------------------------------------------------------------------------
// Distribution of the configuration

/// A process that distributes the configuration to its peers.
struct ConfigurationMember
{
    std::string instance;
    std::string region;
    bool operator==(const ConfigurationMember &) const = default;
};

/// Limits and intervals of a ConfigurationFollower.
struct FollowerLimits
{
    std::size_t watchersPerRegion = 1;
    Duration storeWatchTimeout = seconds(10); ///< Maximum duration of one watch call to the store.
    Duration peerPollTimeout = seconds(2); ///< Maximum time until a peer answers a poll.
    Duration initialRetryDelay = milliseconds(250);
    Duration maximumRetryDelay = seconds(15);
    Duration peerTimeout = seconds(5); ///< Without a peer for this time, the store is asked.
    Duration cutOffTimeout = seconds(20); ///< See isCutOff().
    Duration suspicionPeriod = seconds(10); ///< A peer that failed or lags is asked last.
};

/// Source of a configuration root.
enum class RootSource : std::uint8_t { Store, Peer };

/// Instruction to fetch the root from the store or from a peer.
struct RootFetch
{
    RootSource source = RootSource::Store;
    std::string peer; ///< Instance name; empty when the source is the store.
    Duration wait{}; ///< Long-poll timeout: how long the source may wait for a newer root.
};

/// Decides when and from which source a process fetches the configuration. Every process polls a
/// peer. A few elected processes of each region (watchers) also watch the store; the others ask it
/// only after peerTimeout without an up-to-date peer. The class does no I/O and reads no clock: it
/// takes events with their time and returns fetches. At most one fetch from each source is open.
/// Not thread-safe.
class ConfigurationFollower
{
public:
    ConfigurationFollower(
        ConfigurationMember self, const FollowerLimits &limits, std::uint64_t seed);

    /// Replaces the known members. The list may contain this process or not.
    void setMembers(std::vector<ConfigurationMember> members);
    /// Records that a message named a revision that is in force in another process.
    void revisionReceived(TimePoint now, std::uint64_t revision);
    /// Returns the fetches to start now.
    std::vector<RootFetch> tick(TimePoint now);
    /// Records the end of a fetch. \param revision Revision of the source; empty if it failed.
    /// \pre a fetch from that source is open.
    void fetchEnded(TimePoint now, RootSource source, std::optional<std::uint64_t> revision);
    /// Whether a root is newer than the active one. The process must ignore any other root.
    bool isNewer(std::uint64_t revision) const { return revision > this->currentRevision; }
    /// Records that the process has activated a revision. An older revision is ignored.
    void activate(std::uint64_t revision);

    std::uint64_t activeRevision() const { return this->currentRevision; }
    std::uint64_t highestKnownRevision() const { return this->highestKnown; }
    /// Whether this process is one of the watchers of its region.
    bool isWatcher(TimePoint now) const;
    /// Whether no source has answered for FollowerLimits::cutOffTimeout.
    bool isCutOff(TimePoint now) const;

private:
    /// State of the fetches from one source.
    struct SourceState
    {
        bool isFetching = false;
        TimePoint nextFetchAt;
        Duration retryDelay{}; ///< Zero after a success.
    };
    SourceState &stateOf(RootSource source);
    void backOff(TimePoint now, SourceState &state);
    std::set<std::string> regions() const;
    bool isSuspect(TimePoint now, const std::string &instance) const;
    /// Members that are not suspect; this process is always one.
    std::vector<ConfigurationMember> trustedMembers(TimePoint now) const;
    /// Returns the next peer to ask; empty when there is none.
    std::string choosePeer(TimePoint now) const;
    bool mayFetchFromStore(TimePoint now) const;

    ConfigurationMember self;
    FollowerLimits limits;
    std::mt19937_64 random;
    std::vector<ConfigurationMember> members;
    std::map<std::string, TimePoint> suspectUntil;
    std::string fetchedPeer; ///< Peer of the latest fetch.
    std::uint64_t currentRevision = 0;
    std::uint64_t highestKnown = 0;
    SourceState store;
    SourceState peer;
    std::optional<TimePoint> firstTickAt;
    std::optional<TimePoint> lastPeerContact;
    std::optional<TimePoint> lastContact;
};

/// Returns the watchers of a region: its first members in the order of rendezvous hashing.
/// Processes with the same members elect the same watchers. Thread-safe.
std::vector<std::string> watchersOf(
    const std::vector<ConfigurationMember> &members, const std::string &region, std::size_t count);

} // namespace wigeonsill
