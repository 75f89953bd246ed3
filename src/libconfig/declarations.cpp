/// \file declarations.cpp
/// Reads the operators' folder: expands templates and checks all files against each other.
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

constexpr double largestNumber = 1e15;

struct Parameter
{
    ParameterType type = ParameterType::Number;
    std::string unit;
    double minimum = -largestNumber;
    double maximum = largestNumber;
    std::optional<json::value> fallback;
};

struct Template
{
    std::string name;
    std::string file;
    std::map<std::string, Parameter> parameters;
    json::object body;
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
    if (const json::value *fallback = reader.raw("default")) {
        parameter.fallback = *fallback;
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

ResultCode checkValue(const Parameter &parameter, const json::value &value)
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

json::object parameterValues(const Template &definition, SettingsReader &values)
{
    json::object result;
    for (const auto &[name, parameter] : definition.parameters) {
        const json::value *given = values.raw(name);
        if (given == nullptr && !parameter.fallback) {
            values.report(name, ResultCode::SettingsMissingKey, expectedText(parameter));
            continue;
        }
        const json::value &value = given == nullptr ? *parameter.fallback : *given;
        const ResultCode code = checkValue(parameter, value);
        if (code != ResultCode::Ok) {
            values.report(name, code, expectedText(parameter));
        }
        result[name] = value;
    }
    values.finish();
    return result;
}

/// Replaces every text "${name}" by the parameter of that name.
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

void checkPoolsOf(const Organisation &organisation, const Configuration &configuration,
    const std::string &file, std::vector<SettingsProblem> &problems)
{
    for (const auto &[name, service] : organisation.services) {
        if (!configuration.pools.contains(service.pool)) {
            problems.push_back({ file, 0, "organisation.services." + name + ".pool",
                ResultCode::ServiceWithoutTarget,
                "expected a pool of deployment.json, found \"" + service.pool + "\"" });
        }
    }
}

void readOrganisation(const std::string &path, const Templates &templates,
    Configuration &configuration, std::vector<SettingsProblem> &problems)
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
    const JsonDocument expanded = JsonDocument::wrap(substitute(found->second.body, parameters),
        found->second.file + " (as " + organisation.name + ")");
    SettingsReader body(expanded, problems);
    readOrganisationBody(organisation, body);
    body.finish();
    checkPoolsOf(organisation, configuration, expanded.file(), problems);
    if (!configuration.organisations.emplace(organisation.name, organisation).second) {
        reader.report(
            "organisation", ResultCode::SettingsOutOfRange, "expected a name used only once");
    }
}

} // namespace

Configuration readDeclarations(const std::string &folder, std::vector<SettingsProblem> &problems)
{
    Configuration configuration;
    if (const auto deployment = loadOrReport(folder + "/deployment.json", problems)) {
        SettingsReader reader(*deployment, problems);
        readPools(configuration, reader.object("pools", true));
        reader.finish();
    }
    Templates templates;
    for (const std::string &path : jsonFilesIn(folder + "/templates")) {
        readTemplate(path, templates, problems);
    }
    for (const std::string &path : jsonFilesIn(folder + "/organisations")) {
        readOrganisation(path, templates, configuration, problems);
    }
    indexTokens(configuration);
    return configuration;
}

} // namespace wigeonsill
