/// \file config.h
/// Public header of the config library: JSON with comments, checked reading of settings, and the
/// configuration that operators declare (pools, templates, organisations). No sockets, no timers.
#pragma once

#include "wigeonsill/util.h"

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
    std::map<std::string, ServiceDefinition, std::less<>> services;
};

/// Everything declared, at one revision. Immutable once built, so const access is thread-safe.
struct Configuration
{
    std::uint64_t revision = 0;
    std::map<std::string, PoolDefinition, std::less<>> pools;
    std::map<std::string, Organisation, std::less<>> organisations;
    std::map<std::string, std::string, std::less<>> organisationOfToken;

    const Organisation *findByName(std::string_view name) const;
    const Organisation *findByToken(std::string_view token) const;
};

/// Reads a folder (deployment.json, templates/*.json, organisations/*.json), expands the templates
/// and checks everything against everything. Problems are added to the list; the configuration is
/// usable only when none were added.
Configuration readDeclarations(const std::string &folder, std::vector<SettingsProblem> &problems);

/// The stored form of a configuration, and back. Errors: MessageMalformed.
std::string serializeConfiguration(const Configuration &configuration);
Result<Configuration> parseConfiguration(std::string_view text);

} // namespace wigeonsill
