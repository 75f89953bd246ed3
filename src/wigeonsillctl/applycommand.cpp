/// \file applycommand.cpp
/// "apply": checks a folder, stores it, waits until it is in force, and reports the result.
#include "commandsupport.h"
#include "configurationchange.h"
#include "inforce.h"

#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

struct ChangeExit
{
    ChangeState state;
    int status;
};
constexpr std::array changeExits = {
    ChangeExit{ ChangeState::Stored, exitSuccess },
    ChangeExit{ ChangeState::Unchanged, exitSuccess },
    ChangeExit{ ChangeState::Conflict, exitConflict },
    ChangeExit{ ChangeState::Failed, exitFailure },
    ChangeExit{ ChangeState::Unknown, exitOutcomeUnknown },
};

int exitStatusOf(ChangeState state)
{
    for (const ChangeExit &row : changeExits) {
        if (row.state == state) {
            return row.status;
        }
    }
    return exitFailure;
}

std::string baseFilePath(const CommandArguments &arguments)
{
    return arguments.positionals[1] + "/base.json";
}

/// The base revision given on the command line, or else in the folder's base.json; empty if there
/// is neither. Problems of the file are added to the list.
std::optional<std::uint64_t> readBase(
    const CommandArguments &arguments, std::vector<SettingsProblem> &problems)
{
    if (arguments.base >= 0) {
        return static_cast<std::uint64_t>(arguments.base);
    }
    if (!std::filesystem::exists(baseFilePath(arguments))) {
        return std::nullopt;
    }
    const Result<JsonDocument> document = JsonDocument::load(baseFilePath(arguments));
    if (!document) {
        problems.push_back(
            { baseFilePath(arguments), 0, {}, document.error().code, document.error().detail });
        return std::nullopt;
    }
    SettingsReader reader(document.value(), problems);
    const std::int64_t revision
        = reader.number("revision", 0, std::numeric_limits<std::int64_t>::max());
    reader.finish();
    return static_cast<std::uint64_t>(revision);
}

std::string currentUtcTime()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), size };
}

json::object reportToJson(const ChangeReport &report, const std::string &changeId)
{
    json::object object;
    object["result"] = enumName(changeStateNames, report.state);
    object["revision"] = report.revision;
    object["changeId"] = changeId;
    object["merged"] = report.merged;
    object["differences"] = toJson(report.differences);
    object["conflicts"] = json::value_from(report.conflicts);
    if (report.state == ChangeState::Failed) {
        object["code"] = static_cast<int>(report.error.code);
        object["detail"] = report.error.detail;
    }
    return object;
}

void printConflict(const ChangeReport &report)
{
    std::cerr << "conflict: nothing was stored; the stored revision is " << report.revision << "\n";
    for (const std::string &conflict : report.conflicts) {
        std::cerr << "  " << conflict << "\n";
    }
    std::cerr << "stored -> declared:\n";
    for (const ConfigurationDifference &difference : report.differences) {
        std::cerr << "  " << toString(difference) << "\n";
    }
    std::cerr << "Use --base=REVISION to give the revision that the declarations are based on.\n";
}

void printReport(const ChangeReport &report, const std::string &changeId)
{
    switch (report.state) {
    case ChangeState::Stored:
        std::cout << "stored: revision " << report.revision << " is accepted"
                  << (report.merged ? ", merged with another change" : "") << "\n";
        return;
    case ChangeState::Unchanged:
        std::cout << "stored: revision " << report.revision << " already has this content\n";
        return;
    case ChangeState::Conflict:
        printConflict(report);
        return;
    case ChangeState::Failed:
        std::cerr << "failed, nothing was stored: E" << static_cast<int>(report.error.code) << " "
                  << resultInfo(report.error.code).name << ": " << report.error.detail << "\n";
        return;
    case ChangeState::Unknown:
        std::cerr << "unknown whether it was stored; run the command again with --change="
                  << changeId << "\n";
        return;
    }
}

bool isStored(ChangeState state)
{
    return state == ChangeState::Stored || state == ChangeState::Unchanged;
}

void writeBaseFile(const CommandArguments &arguments, std::uint64_t revision)
{
    std::ofstream file(baseFilePath(arguments));
    file << "// Revision of the stored configuration that this folder is based on.\n"
         << "{ \"revision\": " << revision << " }\n";
}

/// Waits until a stored revision is in force everywhere or the timeout expires, adds the result to
/// the report, and returns the exit status.
int waitUntilInForce(asio::io_context &io, const CommandArguments &arguments,
    std::uint64_t revision, json::object &report)
{
    const auto address = parseAddress(instanceListAddress(arguments), "instances");
    if (!address) {
        return exitUsage;
    }
    const std::unique_ptr<InstanceList> list = makeHttpInstanceList(io, *address);
    InForceSurvey survey(io, *list);
    const Result<InForceReport> result = runToCompletion(
        io, survey.waitUntilEverywhere(revision, seconds(arguments.timeoutSeconds)));
    if (!result) {
        report["inForce"] = "unknown";
        std::cerr << "in force: unknown; " << result.error().detail << "\n";
        return exitNotInForceEverywhere;
    }
    report["instances"] = result.value().instances;
    report["reached"] = result.value().reached;
    report["behind"] = json::value_from(result.value().behind);
    report["inForce"] = result.value().isEverywhere() ? "everywhere" : "partly";
    if (!arguments.json) {
        std::cout << toString(result.value()) << "\n";
    }
    if (!result.value().isEverywhere()) {
        return exitNotInForceEverywhere;
    }
    if (!arguments.json) {
        std::cout << "in force everywhere\n";
    }
    return exitSuccess;
}

} // namespace

int runApply(const CommandArguments &arguments)
{
    std::optional<Configuration> declared = readAndCheckDeclarations(arguments);
    const auto address = parseAddress(arguments.store, "store");
    if (!declared || !address) {
        return exitUsage;
    }
    std::vector<SettingsProblem> problems;
    ChangeRequest request;
    request.declared = std::move(*declared);
    request.base = readBase(arguments, problems);
    request.isRepeated = !arguments.changeId.empty();
    request.changeId = request.isRepeated ? arguments.changeId : toString(generateIncarnation());
    request.author = arguments.author;
    request.storedAt = currentUtcTime();
    if (!problems.empty()) {
        std::cerr << toString(problems.front()) << "\n";
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const ChangeReport report
        = runToCompletion(session.io, changeConfiguration(session.store, request));
    if (isStored(report.state) && arguments.record) {
        writeBaseFile(arguments, report.revision);
    }
    json::object jsonReport = reportToJson(report, request.changeId);
    if (!arguments.json) {
        printReport(report, request.changeId);
        std::cout << std::flush;
    }
    int status = exitStatusOf(report.state);
    if (isStored(report.state) && !arguments.noWait) {
        status = waitUntilInForce(session.io, arguments, report.revision, jsonReport);
    }
    if (arguments.json) {
        printJson(jsonReport);
    }
    return status;
}

} // namespace wigeonsill
