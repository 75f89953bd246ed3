/// \file declarations.cpp
/// Reads a folder of declarations, expands the templates and validates the result.
#include "configurationreader.h"

#include <algorithm>
#include <filesystem>

namespace wigeonsill {

namespace json = boost::json;

namespace {

enum class ParameterType : std::uint8_t { Number, Text, Flag };
constexpr std::array parameterTypeNames = {
    EnumName<ParameterType>{ ParameterType::Number, "number" },
    EnumName<ParameterType>{ ParameterType::Text, "text" },
    EnumName<ParameterType>{ ParameterType::Flag, "flag" },
};

/// Default bound of a number parameter, and the largest one that a template may declare.
constexpr double largestNumber = 1e15;

/// Parameter that a template declares.
struct Parameter
{
    ParameterType type = ParameterType::Number;
    std::string unit;
    double minimum = -largestNumber;
    double maximum = largestNumber;
    std::optional<json::value> defaultValue;
};

/// Parsed template file.
struct Template
{
    std::string name;
    std::string file;
    std::map<std::string, Parameter> parameters;
    JsonDocument document;
    json::object body; ///< Organisation with unexpanded parameters.
};

/// Declarations that have been read so far.
struct DeclarationSet
{
    PoolMap pools;
    OrganisationMap organisations;
    std::map<std::string, std::string> files; ///< Path of the file, by organisation name.
};

/// Files that an organisation was expanded from: its own, with the parameter values, and its
/// template.
struct OrganisationSource
{
    const JsonDocument &values;
    const Template &definition;
};

using Templates = std::map<std::string, Template>;

std::vector<std::string> jsonFilesIn(const std::string &folder)
{
    std::vector<std::string> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".json") {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::optional<JsonDocument> loadOrReport(
    const std::string &path, std::vector<SettingsProblem> &problems)
{
    Result<JsonDocument> document = JsonDocument::load(path);
    if (!document) {
        problems.push_back({ path, 0, {}, document.error().code, document.error().detail });
        return std::nullopt;
    }
    return std::move(document).value();
}

Parameter readParameter(SettingsReader &reader)
{
    Parameter parameter;
    parameter.type = reader.choice<ParameterType>("type", parameterTypeNames);
    parameter.unit = reader.text("unit", std::string());
    parameter.minimum = reader.real("minimum", -largestNumber, largestNumber, -largestNumber);
    parameter.maximum = reader.real("maximum", -largestNumber, largestNumber, largestNumber);
    if (const json::value *defaultValue = reader.raw("default")) {
        parameter.defaultValue = *defaultValue;
    }
    reader.finish();
    return parameter;
}

void readTemplate(
    const std::string &path, Templates &templates, std::vector<SettingsProblem> &problems)
{
    const std::optional<JsonDocument> document = loadOrReport(path, problems);
    if (!document) {
        return;
    }
    SettingsReader reader(*document, problems);
    Template definition;
    definition.file = path;
    definition.name = reader.text("template");
    SettingsReader parameters = reader.object("parameters");
    for (auto &[name, parameterReader] : parameters.members()) {
        definition.parameters.emplace(name, readParameter(parameterReader));
    }
    const json::value *body = reader.raw("organisation");
    if (body == nullptr || !body->is_object()) {
        reader.report("organisation", ResultCode::SettingsMissingKey, "expected an object");
    } else {
        definition.body = body->get_object();
    }
    reader.finish();
    definition.document = *document;
    templates.emplace(definition.name, std::move(definition));
}

std::string expectedText(const Parameter &parameter)
{
    if (parameter.type == ParameterType::Text) {
        return "expected a text";
    }
    if (parameter.type == ParameterType::Flag) {
        return "expected true or false";
    }
    std::string text = "expected a number";
    if (parameter.minimum > -largestNumber || parameter.maximum < largestNumber) {
        text += " from " + std::to_string(parameter.minimum) + " to "
            + std::to_string(parameter.maximum);
    }
    return parameter.unit.empty() ? text : text + " in " + parameter.unit;
}

ResultCode validateValue(const Parameter &parameter, const json::value &value)
{
    if (parameter.type == ParameterType::Text) {
        return value.is_string() ? ResultCode::Ok : ResultCode::SettingsWrongType;
    }
    if (parameter.type == ParameterType::Flag) {
        return value.is_bool() ? ResultCode::Ok : ResultCode::SettingsWrongType;
    }
    if (!value.is_number()) {
        return ResultCode::SettingsWrongType;
    }
    const double number = value.to_number<double>();
    const bool inRange = number >= parameter.minimum && number <= parameter.maximum;
    return inRange ? ResultCode::Ok : ResultCode::SettingsOutOfRange;
}

/// Returns the value or the default of each parameter and reports invalid and unknown ones.
json::object parameterValues(const Template &definition, SettingsReader &values)
{
    json::object result;
    for (const auto &[name, parameter] : definition.parameters) {
        const json::value *given = values.raw(name);
        if (given == nullptr && !parameter.defaultValue) {
            values.report(name, ResultCode::SettingsMissingKey, expectedText(parameter));
            continue;
        }
        const json::value &value = given == nullptr ? *parameter.defaultValue : *given;
        const ResultCode code = validateValue(parameter, value);
        if (code != ResultCode::Ok) {
            values.report(name, code, expectedText(parameter));
        }
        result[name] = value;
    }
    values.finish();
    return result;
}

/// Replaces every string "${name}" with the value of that parameter.
json::value substitute(const json::value &value, const json::object &parameters)
{
    if (const json::string *text = value.if_string()) {
        const std::string_view view(text->data(), text->size());
        if (view.starts_with("${") && view.ends_with("}")) {
            const json::value *found = parameters.if_contains(view.substr(2, view.size() - 3));
            return found == nullptr ? value : *found;
        }
        return value;
    }
    if (const json::object *object = value.if_object()) {
        json::object result;
        for (const auto &member : *object) {
            result[member.key()] = substitute(member.value(), parameters);
        }
        return result;
    }
    if (const json::array *array = value.if_array()) {
        json::array result;
        for (const json::value &element : *array) {
            result.push_back(substitute(element, parameters));
        }
        return result;
    }
    return value;
}

/// Name of the parameter that a template uses at a dotted path; empty when there is none.
std::string parameterAt(const json::object &body, const std::string &path)
{
    const json::object *current = &body;
    std::size_t start = 0;
    for (;;) {
        const std::size_t dot = path.find('.', start);
        const json::value *value = current->if_contains(path.substr(start, dot - start));
        if (value == nullptr) {
            return {};
        }
        if (const json::string *text = value->if_string()) {
            const std::string_view view(text->data(), text->size());
            const bool isParameter = view.starts_with("${") && view.ends_with("}");
            return isParameter ? std::string(view.substr(2, view.size() - 3)) : std::string();
        }
        current = value->if_object();
        if (current == nullptr || dot == std::string::npos) {
            return {};
        }
        start = dot + 1;
    }
}

/// Sets file, key and line of a problem found after expansion: those of the parameter value in the
/// organisation's file if there is one, otherwise those of the template.
SettingsProblem locateProblem(SettingsProblem problem, const OrganisationSource &source)
{
    const std::string parameter = parameterAt(source.definition.body, problem.key);
    const std::string valueKey = "values." + parameter;
    if (!parameter.empty() && source.values.lineOf(valueKey) != 0) {
        problem.file = source.values.file();
        problem.key = valueKey;
        problem.line = source.values.lineOf(valueKey);
        return problem;
    }
    problem.file = source.definition.file;
    problem.key = "organisation." + problem.key;
    problem.line = source.definition.document.lineOf(problem.key);
    return problem;
}

std::string expectedPool(const ServiceDefinition &service)
{
    return "expected a pool that deployment.json declares, found \"" + service.pool + "\"";
}

void checkServicePools(const Organisation &organisation, const PoolMap &pools,
    const OrganisationSource &source, std::vector<SettingsProblem> &problems)
{
    for (const auto &[name, service] : *organisation.services) {
        if (!pools.contains(service.pool)) {
            problems.push_back(
                locateProblem({ {}, 0, "services." + name + ".pool",
                                  ResultCode::ServiceWithoutTarget, expectedPool(service) },
                    source));
        }
    }
}

/// Reports tokens that two organisations share, since a token must identify one organisation: else
/// one would receive the answers of the other. The file of a problem is the organisation's name.
void checkTokens(const OrganisationMap &organisations, std::vector<SettingsProblem> &problems)
{
    std::map<std::string_view, std::string_view> owners;
    for (const auto &[name, organisation] : organisations) {
        for (const std::string &token : organisation.tokens) {
            const auto [owner, isNew] = owners.emplace(token, name);
            if (!isNew && owner->second != name) {
                problems.push_back({ name, 0, "tokens", ResultCode::SettingsOutOfRange,
                    "expected tokens that no other organisation has, found one of "
                        + std::string(owner->second) });
            }
        }
    }
}

/// Warns when the quotas of the organisations that use a pool exceed the capacity of the pool.
void checkQuotas(const PoolMap &pools, const OrganisationMap &organisations,
    std::vector<SettingsProblem> &problems)
{
    std::map<std::string, double> quotaByPool;
    for (const auto &[name, organisation] : organisations) {
        std::map<std::string, bool> used;
        for (const auto &[serviceName, service] : *organisation.services) {
            used[service.pool] = true;
        }
        for (const auto &[pool, isUsed] : used) {
            quotaByPool[pool] += organisation.quotaTokensPerSecond;
        }
    }
    for (const auto &[name, pool] : pools) {
        if (pool.capacityTokensPerSecond > 0 && quotaByPool[name] > pool.capacityTokensPerSecond) {
            problems.push_back({ {}, 0, "pools." + name + ".capacityTokensPerSecond",
                ResultCode::QuotaAboveCapacity,
                "expected at least the sum of the quotas, "
                    + std::to_string(static_cast<std::int64_t>(quotaByPool[name])) + " tokens/s" });
        }
    }
}

void readOrganisation(const std::string &path, const Templates &templates,
    DeclarationSet &declarations, std::vector<SettingsProblem> &problems)
{
    const std::optional<JsonDocument> document = loadOrReport(path, problems);
    if (!document) {
        return;
    }
    SettingsReader reader(*document, problems);
    Organisation organisation;
    organisation.name = reader.text("organisation");
    organisation.templateName = reader.text("template");
    organisation.tokens = reader.textList("tokens", true);
    SettingsReader values = reader.object("values");
    reader.finish();
    const auto found = templates.find(organisation.templateName);
    if (found == templates.end()) {
        reader.report("template", ResultCode::TemplateUnknown, "expected the name of a template");
        return;
    }
    const json::object parameters = parameterValues(found->second, values);
    const JsonDocument expanded
        = JsonDocument::fromValue(substitute(found->second.body, parameters), found->second.file);
    std::vector<SettingsProblem> bodyProblems;
    SettingsReader body(expanded, bodyProblems);
    readOrganisationBody(organisation, body);
    body.finish();
    const OrganisationSource source{ *document, found->second };
    for (const SettingsProblem &problem : bodyProblems) {
        problems.push_back(locateProblem(problem, source));
    }
    checkServicePools(organisation, declarations.pools, source, problems);
    if (!declarations.organisations.emplace(organisation.name, organisation).second) {
        reader.report(
            "organisation", ResultCode::SettingsOutOfRange, "expected a name used only once");
    }
    declarations.files[organisation.name] = path;
}

} // namespace

bool isWarning(const SettingsProblem &problem)
{
    return problem.code == ResultCode::QuotaAboveCapacity;
}

Configuration readDeclarations(const std::string &folder, std::vector<SettingsProblem> &problems)
{
    DeclarationSet declarations;
    if (const auto deployment = loadOrReport(folder + "/deployment.json", problems)) {
        SettingsReader reader(*deployment, problems);
        readPools(declarations.pools, reader.object("pools", true));
        reader.finish();
    }
    Templates templates;
    for (const std::string &path : jsonFilesIn(folder + "/templates")) {
        readTemplate(path, templates, problems);
    }
    for (const std::string &path : jsonFilesIn(folder + "/organisations")) {
        readOrganisation(path, templates, declarations, problems);
    }
    std::vector<SettingsProblem> found;
    checkTokens(declarations.organisations, found);
    checkQuotas(declarations.pools, declarations.organisations, found);
    for (SettingsProblem &problem : found) {
        const auto file = declarations.files.find(problem.file);
        problem.file
            = file == declarations.files.end() ? folder + "/deployment.json" : file->second;
        const Result<JsonDocument> document = JsonDocument::load(problem.file);
        problem.line = document ? document.value().lineOf(problem.key) : 0;
        problems.push_back(std::move(problem));
    }
    return { std::move(declarations.pools), std::move(declarations.organisations) };
}

void checkDeclarations(const PoolMap &pools, const OrganisationMap &organisations,
    std::vector<SettingsProblem> &problems)
{
    for (const auto &[organisationName, organisation] : organisations) {
        for (const auto &[name, service] : *organisation.services) {
            if (!pools.contains(service.pool)) {
                problems.push_back({ organisationName, 0, "services." + name + ".pool",
                    ResultCode::ServiceWithoutTarget, expectedPool(service) });
            }
        }
    }
    checkTokens(organisations, problems);
}

} // namespace wigeonsill
