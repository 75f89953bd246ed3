/// \file config.h
/// Public header of the config library: JSON with comments, checked reading of settings, and the
/// configuration that operators declare (pools, templates, organisations). No sockets, no timers.
#pragma once

#include "wigeonsill/util.h"

#include <functional>
#include <random>
#include <set>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Checked settings

/// One fault of a settings or template file.
struct SettingsProblem
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 where it is not known.
    std::string key; ///< Dotted path of the key.
    ResultCode code = ResultCode::Ok;
    std::string expected; ///< What would have been accepted.
};

/// One line for people: "file:line: key: E5005 SettingsWrongType: expected ...".
std::string toString(const SettingsProblem &problem);

/// A parsed JSON text with comments and trailing commas that knows the line of each key.
/// Immutable after parsing, so const access is thread-safe.
class JsonDocument
{
public:
    /// An empty document.
    JsonDocument() = default;
    /// Parses a text. \param file Name used in errors.
    static Result<JsonDocument> parse(std::string_view text, std::string file);
    /// Reads and parses a file. Errors: SettingsUnreadable, SettingsSyntax.
    static Result<JsonDocument> load(const std::string &path);
    /// Wraps a value that was not read from a text; its lines are unknown.
    static JsonDocument wrap(boost::json::value value, std::string file);

    const boost::json::value &value() const { return this->root; }
    const std::string &file() const { return this->fileName; }
    /// Line of a key by its dotted path, from 1; 0 when unknown.
    int lineOf(const std::string &path) const;

private:
    boost::json::value root;
    std::string fileName;
    std::map<std::string, int> lines;
};

/// Reads one JSON object, key by key, and collects every problem in place of stopping at the first.
/// Call finish() last: it reports the keys that nobody asked for.
/// Not thread-safe. \pre the document and the problem list outlive the reader.
class SettingsReader
{
public:
    SettingsReader(const JsonDocument &document, std::vector<SettingsProblem> &problems);

    /// A text; without a default the key is required.
    std::string text(
        std::string_view key, const std::optional<std::string> &fallback = std::nullopt);
    /// A whole number within [minimum, maximum].
    std::int64_t number(std::string_view key, std::int64_t minimum, std::int64_t maximum,
        std::optional<std::int64_t> fallback = std::nullopt);
    /// A number within [minimum, maximum].
    double real(std::string_view key, double minimum, double maximum,
        std::optional<double> fallback = std::nullopt);
    /// true or false.
    bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// A list of texts; empty when the key is absent and not required.
    std::vector<std::string> textList(std::string_view key, bool required = false);
    /// A text that names a value of an enum table.
    template <class E, std::size_t N>
    E choice(std::string_view key, const std::array<EnumName<E>, N> &table,
        std::optional<E> fallback = std::nullopt, ResultCode code = ResultCode::SettingsOutOfRange)
    {
        if (fallback && !this->has(key)) {
            this->markKnown(key);
            return *fallback;
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
    /// A nested object; an absent optional object reads as empty.
    SettingsReader object(std::string_view key, bool required = false);
    /// A list of objects.
    std::vector<SettingsReader> objectList(std::string_view key, bool required = false);
    /// Every member that is an object, as name and reader; the rest is reported.
    std::vector<std::pair<std::string, SettingsReader>> members();
    /// The raw value of a key, or nullptr.
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
    const boost::json::object *current;
    std::string path;
    std::vector<std::string> known;
};

// ---------------------------------------------------------------------------------------------
// What operators declare

/// What kind of back end serves a pool.
enum class PoolKind : std::uint8_t {
    Engine, ///< Model engine with the OpenAI-compatible protocol.
    Plain, ///< Plain HTTP service.
};
inline constexpr std::array poolKindNames = {
    EnumName<PoolKind>{ PoolKind::Engine, "engine" },
    EnumName<PoolKind>{ PoolKind::Plain, "plain" },
};

/// Interchangeable targets.
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

/// One organisation as it is in force.
struct Organisation
{
    std::string name;
    std::string templateName;
    std::vector<std::string> tokens; ///< Bearer tokens of its callers.
    std::uint32_t weight = 1; ///< Share within a tier, relative to the others.
    double quotaTokensPerSecond = 0; ///< 0 means no quota.
    Preemption preemption = Preemption::Never;
    Weighting weighting = Weighting::Goodput;
    /// Organisations with equal services share one map.
    std::shared_ptr<const ServiceMap> services = std::make_shared<const ServiceMap>();
};

using OrganisationMap = std::map<std::string, Organisation, std::less<>>;
using PoolMap = std::map<std::string, PoolDefinition, std::less<>>;

// ---------------------------------------------------------------------------------------------
// How a configuration is stored: immutable parts, named by their content, and one root value

/// Organisations are spread over this many bundles by the hash of their names.
constexpr std::size_t bundleCount = 256;

/// Index of the bundle that holds an organisation; equal in every process. Thread-safe.
std::size_t bundleOf(std::string_view organisation);
/// Name of a part, 32 hexadecimal digits of its content's hash. Thread-safe.
std::string partId(std::string_view text);
/// Store key of a part. Thread-safe.
std::string partKey(const std::string &id);
/// Store key of the root value.
inline constexpr std::string_view rootKey = "config/root";

/// Names the parts that make one configuration.
struct Snapshot
{
    std::string pools;
    std::map<std::size_t, std::string> bundles; ///< Empty bundles are left out.
    bool operator==(const Snapshot &) const = default;
};

/// One change in the history.
struct HistoryEntry
{
    std::uint64_t revision = 0;
    std::string changeId; ///< Drawn by the operator's program; unique.
    std::string author;
    std::string storedAt; ///< UTC, by the operator's clock.
    std::string summary;
    std::string snapshot; ///< Part that holds the snapshot.
    bool operator==(const HistoryEntry &) const = default;
};

/// Entries of the history that the root holds; older ones are in immutable pages.
constexpr std::size_t historyPageEntries = 32;

/// The one value whose swap is the commit.
struct ConfigurationRoot
{
    std::uint64_t revision = 0;
    std::string changeId;
    Snapshot snapshot;
    std::vector<HistoryEntry> history; ///< Newest last.
    std::string olderPage; ///< Part with the entries before these; empty when there are none.
};

/// Older entries of the history.
struct HistoryPage
{
    std::vector<HistoryEntry> entries;
    std::string olderPage;
};

std::string serializeRoot(const ConfigurationRoot &root);
/// Errors: MessageMalformed.
Result<ConfigurationRoot> parseRoot(std::string_view text);
std::string serializeSnapshot(const Snapshot &snapshot);
Result<Snapshot> parseSnapshot(std::string_view text);
std::string serializePage(const HistoryPage &page);
Result<HistoryPage> parsePage(std::string_view text);

/// Texts of parts by their names.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// Every part that a snapshot names.
std::vector<std::string> partsOf(const Snapshot &snapshot);

/// One bundle, parsed. Immutable, so shared between revisions.
struct OrganisationBundle
{
    OrganisationMap organisations;
};

/// Everything declared, at one revision. Immutable once built, so const access is thread-safe;
/// consecutive revisions share the bundles that are equal.
class Configuration
{
public:
    Configuration() = default;
    /// Builds a configuration and its parts from declarations.
    Configuration(PoolMap pools, OrganisationMap organisations);
    /// Builds a configuration from stored parts, sharing with an earlier one what is equal.
    /// Errors: MessageMalformed, also when a part is missing or does not match its name.
    static Result<Configuration> assemble(std::uint64_t revision, const Snapshot &snapshot,
        const PartTexts &parts, const Configuration *earlier = nullptr);

    const Organisation *findByName(std::string_view name) const;
    const Organisation *findByToken(std::string_view token) const;
    std::size_t organisationCount() const { return this->organisationTotal; }
    /// Calls the function for each organisation, in no particular order.
    void forEachOrganisation(const std::function<void(const Organisation &)> &function) const;
    /// A copy that is ordered by name.
    OrganisationMap organisations() const;

    std::uint64_t revision = 0;
    const PoolMap &pools() const { return this->poolMap; }
    const Snapshot &snapshot() const { return this->parts; }
    const PartTexts &partTexts() const { return this->texts; }

private:
    struct TokenEntry
    {
        std::uint64_t hash;
        const Organisation *organisation;
    };
    void index();
    void dropUnusedServices();

    PoolMap poolMap;
    Snapshot parts;
    PartTexts texts;
    std::map<std::size_t, std::shared_ptr<const OrganisationBundle>> bundles;
    std::map<std::string, std::shared_ptr<const ServiceMap>> serviceMaps; ///< By content.
    std::vector<TokenEntry> tokens; ///< Ordered by hash.
    std::size_t organisationTotal = 0;
};

/// Reads a folder (deployment.json, templates/*.json, organisations/*.json), expands the templates
/// and checks everything against everything. Problems are added to the list; the configuration is
/// usable only when no errors were added. Warnings are problems for which isWarning() holds.
Configuration readDeclarations(const std::string &folder, std::vector<SettingsProblem> &problems);
/// Whether a problem leaves the declarations usable.
bool isWarning(const SettingsProblem &problem);
/// Checks organisations against each other and against the pools.
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
    std::string after;
};

/// Differences by organisation and parameter, ordered by name.
std::vector<ConfigurationDifference> differences(
    const Configuration &before, const Configuration &after);
/// One line for people.
std::string toString(const ConfigurationDifference &difference);

/// Two changes of one base, joined.
struct MergedConfiguration
{
    Configuration configuration;
    /// Organisations and pools that both sides changed, and not alike; the merge is usable only
    /// when there are none.
    std::vector<std::string> conflicts;
};

/// Three-way merge by organisation and pool.
MergedConfiguration mergeConfigurations(
    const Configuration &base, const Configuration &theirs, const Configuration &mine);

// ---------------------------------------------------------------------------------------------
// Following the configuration

/// A process that hands out the configuration.
struct ConfigurationMember
{
    std::string instance;
    std::string region;
    bool operator==(const ConfigurationMember &) const = default;
};

struct FollowerLimits
{
    std::size_t watchersPerRegion = 1;
    Duration storeWait = seconds(10); ///< Longest time of one watch of the store.
    Duration peerWait = seconds(2); ///< Longest time that a peer holds one call.
    Duration firstRetry = milliseconds(250);
    Duration longestRetry = seconds(15);
    Duration peerSilence = seconds(5); ///< Without a peer for so long, the store is asked.
    Duration cutOffAfter = seconds(20); ///< Without any contact for so long, it is cut off.
    Duration suspicion = seconds(10); ///< A peer that failed or lags is asked last for so long.
};

/// Where a root comes from.
enum class RootSource : std::uint8_t { Store, Peer };

/// Ask for a root: the store, or the named peer.
struct FetchRoot
{
    RootSource source = RootSource::Store;
    std::string peer;
    Duration wait{}; ///< How long the answer may be held back until there is a newer root.
};

/// Decides where a process gets the configuration from. Pure: facts and a time point in, fetches
/// out; at most one fetch of each source is open at a time. Not thread-safe.
class ConfigurationFollower
{
public:
    ConfigurationFollower(
        ConfigurationMember self, const FollowerLimits &limits, std::uint64_t seed);

    /// The members that are known, with or without this process.
    void setMembers(std::vector<ConfigurationMember> members);
    /// A message named a revision that is in force somewhere.
    void revisionHeard(TimePoint now, std::uint64_t revision);
    /// The fetches to start now.
    std::vector<FetchRoot> tick(TimePoint now);
    /// A fetch ended. \param revision Revision that the source has; empty when it failed.
    /// \pre a fetch of that source is open.
    void fetchEnded(TimePoint now, RootSource source, std::optional<std::uint64_t> revision);
    /// Whether a root is newer than what is in force. Anything else must be ignored.
    bool isNewer(std::uint64_t revision) const { return revision > this->current; }
    /// The configuration of this revision is in force. An older one changes nothing.
    void putInForce(std::uint64_t revision);

    std::uint64_t inForce() const { return this->current; }
    std::uint64_t highestHeard() const { return this->heard; }
    bool isWatcher(TimePoint now) const;
    bool isCutOff(TimePoint now) const;

private:
    struct Lane
    {
        bool isOpen = false;
        TimePoint retryAt;
        Duration retry{};
    };
    Lane &laneOf(RootSource source);
    void backOff(TimePoint now, Lane &lane);
    std::set<std::string> regions() const;
    bool isSuspect(TimePoint now, const std::string &instance) const;
    /// Members that may be relied on; this process is always one.
    std::vector<ConfigurationMember> trustedMembers(TimePoint now) const;
    /// The next peer to ask; empty when there is none.
    std::string choosePeer(TimePoint now) const;
    bool mayAskStore(TimePoint now) const;

    ConfigurationMember self;
    FollowerLimits limits;
    std::mt19937_64 random;
    std::vector<ConfigurationMember> members;
    std::map<std::string, TimePoint> suspectUntil;
    std::string askedPeer;
    std::uint64_t current = 0;
    std::uint64_t heard = 0;
    Lane store;
    Lane peer;
    std::optional<TimePoint> startedAt;
    std::optional<TimePoint> lastPeerContact;
    std::optional<TimePoint> lastContact;
};

/// The watchers of a region: the first by rendezvous hashing. Equal wherever the members are equal.
/// Thread-safe.
std::vector<std::string> watchersOf(
    const std::vector<ConfigurationMember> &members, const std::string &region, std::size_t count);

} // namespace wigeonsill
