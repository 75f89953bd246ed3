/// \file commandsupport.cpp
/// Functions shared by the commands.
#include "commandsupport.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

std::optional<Configuration> readAndCheckDeclarations(const CommandArguments &arguments)
{
    if (arguments.positionals.size() != 2) {
        std::cerr << "wigeonsillctl: expected one folder after \"" << arguments.positionals.front()
                  << "\"\n";
        return std::nullopt;
    }
    std::vector<SettingsProblem> problems;
    Configuration configuration = readDeclarations(arguments.positionals[1], problems);
    bool usable = true;
    json::array rows;
    for (const SettingsProblem &problem : problems) {
        usable = usable && isWarning(problem);
        rows.push_back(toJson(problem));
        if (!arguments.json) {
            std::cerr << (isWarning(problem) ? "warning: " : "") << toString(problem) << "\n";
        }
    }
    if (!usable && arguments.json) {
        printJson(json::object{ { "result", "unusable" }, { "problems", std::move(rows) } });
    }
    if (!usable) {
        return std::nullopt;
    }
    return configuration;
}

std::optional<asio::ip::tcp::endpoint> parseAddress(
    const std::string &text, std::string_view option)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        std::cerr << "wigeonsillctl: --" << option << ": " << endpoint.error().detail << "\n";
        return std::nullopt;
    }
    return endpoint.value();
}

std::string instanceListAddress(const CommandArguments &arguments)
{
    return arguments.instances.empty() ? arguments.store : arguments.instances;
}

int printFailure(const CommandArguments &arguments, const Error &error)
{
    const ResultInfo &info = resultInfo(error.code);
    if (arguments.json) {
        json::object object;
        object["result"] = "failed";
        object["code"] = static_cast<int>(error.code);
        object["name"] = info.name;
        object["detail"] = error.detail;
        printJson(object);
    } else {
        std::cerr << "wigeonsillctl: E" << static_cast<int>(error.code) << " " << info.name << ": "
                  << error.detail << "\n";
    }
    return exitFailure;
}

void printJson(const json::object &object)
{
    std::cout << json::serialize(object) << "\n";
}

json::object toJson(const SettingsProblem &problem)
{
    json::object row;
    row["file"] = problem.file;
    row["line"] = problem.line;
    row["key"] = problem.key;
    row["code"] = static_cast<int>(problem.code);
    row["name"] = resultInfo(problem.code).name;
    row["expected"] = problem.expected;
    row["warning"] = isWarning(problem);
    return row;
}

json::array toJson(const std::vector<ConfigurationDifference> &differences)
{
    json::array rows;
    for (const ConfigurationDifference &difference : differences) {
        json::object row;
        row["kind"] = difference.kind;
        row["name"] = difference.name;
        row["parameter"] = difference.parameter;
        row["before"] = difference.before;
        row["after"] = difference.after;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace wigeonsill
