/// \file applycommand.cpp
/// "apply": checks a folder, stores it, and says what became of it.
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
    ChangeExit{ ChangeState::Stored, exitDone },
    ChangeExit{ ChangeState::Unchanged, exitDone },
    ChangeExit{ ChangeState::Conflict, exitConflict },
    ChangeExit{ ChangeState::Failed, exitFailure },
    ChangeExit{ ChangeState::Unknown, exitUnknown },
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

std::string baseFileOf(const CommandArguments &arguments)
{
    return arguments.words[1] + "/base.json";
}

/// The base named on the command line, or else in the folder; reports a fault of the file.
std::optional<std::uint64_t> readBase(
    const CommandArguments &arguments, std::vector<SettingsProblem> &problems)
{
    if (arguments.base >= 0) {
        return static_cast<std::uint64_t>(arguments.base);
    }
    if (!std::filesystem::exists(baseFileOf(arguments))) {
        return std::nullopt;
    }
    const Result<JsonDocument> document = JsonDocument::load(baseFileOf(arguments));
    if (!document) {
        problems.push_back(
            { baseFileOf(arguments), 0, {}, document.error().code, document.error().detail });
        return std::nullopt;
    }
    SettingsReader reader(document.value(), problems);
    const std::int64_t revision
        = reader.number("revision", 0, std::numeric_limits<std::int64_t>::max());
    reader.finish();
    return static_cast<std::uint64_t>(revision);
}

std::string presentUtc()
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
    std::cerr << "conflict: nothing was stored; revision " << report.revision << " is present\n";
    for (const std::string &conflict : report.conflicts) {
        std::cerr << "  " << conflict << "\n";
    }
    std::cerr << "stored -> declared:\n";
    for (const ConfigurationDifference &difference : report.differences) {
        std::cerr << "  " << toString(difference) << "\n";
    }
    std::cerr << "--base=REVISION names the revision that the declarations were made from.\n";
}

void printReport(const ChangeReport &report, const std::string &changeId)
{
    switch (report.state) {
    case ChangeState::Stored:
        std::cout << "stored: revision " << report.revision << " is accepted"
                  << (report.merged ? ", merged with another change" : "") << "\n";
        return;
    case ChangeState::Unchanged:
        std::cout << "stored: revision " << report.revision << " is already like this\n";
        return;
    case ChangeState::Conflict:
        printConflict(report);
        return;
    case ChangeState::Failed:
        std::cerr << "failed, nothing was stored: E" << static_cast<int>(report.error.code) << " "
                  << resultInfo(report.error.code).name << ": " << report.error.detail << "\n";
        return;
    case ChangeState::Unknown:
        std::cerr << "unknown whether it was stored; run it again with --change=" << changeId
                  << "\n";
        return;
    }
}

bool isStored(ChangeState state)
{
    return state == ChangeState::Stored || state == ChangeState::Unchanged;
}

void recordBase(const CommandArguments &arguments, std::uint64_t revision)
{
    std::ofstream file(baseFileOf(arguments));
    file << "// Revision of the stored configuration that this folder is made from.\n"
         << "{ \"revision\": " << revision << " }\n";
}

/// Waits until a stored revision is in force everywhere, adds that to the report, and returns the
/// exit status.
int waitForInstances(asio::io_context &io, const CommandArguments &arguments,
    std::uint64_t revision, json::object &report)
{
    const auto address = readAddress(instanceListOf(arguments), "instances");
    if (!address) {
        return exitUsage;
    }
    const std::unique_ptr<InstanceList> list = makeHttpInstanceList(io, *address);
    InForceSurvey survey(io, *list);
    const Result<InForceReport> result
        = runToEnd(io, survey.wait(revision, seconds(arguments.timeoutSeconds)));
    if (!result) {
        report["inForce"] = "unknown";
        std::cerr << "in force: not known; " << result.error().detail << "\n";
        return exitNotEverywhere;
    }
    report["instances"] = result.value().instances;
    report["reached"] = result.value().reached;
    report["behind"] = json::value_from(result.value().behind);
    report["inForce"] = result.value().isEverywhere() ? "everywhere" : "partly";
    if (!arguments.json) {
        std::cout << toString(result.value()) << "\n";
    }
    if (!result.value().isEverywhere()) {
        return exitNotEverywhere;
    }
    if (!arguments.json) {
        std::cout << "in force everywhere\n";
    }
    return exitDone;
}

} // namespace

int runApply(const CommandArguments &arguments)
{
    std::optional<Configuration> wanted = readChecked(arguments);
    const auto address = readAddress(arguments.store, "store");
    if (!wanted || !address) {
        return exitUsage;
    }
    std::vector<SettingsProblem> problems;
    ChangeRequest request;
    request.wanted = std::move(*wanted);
    request.base = readBase(arguments, problems);
    request.isRepeated = !arguments.changeId.empty();
    request.changeId = request.isRepeated ? arguments.changeId : toString(generateIncarnation());
    request.author = arguments.author;
    request.storedAt = presentUtc();
    if (!problems.empty()) {
        std::cerr << toString(problems.front()) << "\n";
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const ChangeReport report = runToEnd(session.io, changeConfiguration(session.store, request));
    if (isStored(report.state) && arguments.record) {
        recordBase(arguments, report.revision);
    }
    json::object row = reportToJson(report, request.changeId);
    if (!arguments.json) {
        printReport(report, request.changeId);
        std::cout << std::flush;
    }
    int status = exitStatusOf(report.state);
    if (isStored(report.state) && !arguments.noWait) {
        status = waitForInstances(session.io, arguments, report.revision, row);
    }
    if (arguments.json) {
        printJson(row);
    }
    return status;
}

} // namespace wigeonsill
