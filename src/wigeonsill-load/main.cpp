/// \file main.cpp
/// wigeonsill-load: callers at a set rate and mix.
#include "loadrunner.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

using namespace wigeonsill;

namespace {

constexpr int exitDone = 0;
constexpr int exitWrongAnswers = 1;
constexpr int exitUsage = 2;

struct LoadOptions
{
    std::string scenario;
    std::string entries;
    std::string json;
    std::string csv;
    std::string svg;
    std::int64_t ratePercent = 100;
};

int reportProblems(const std::vector<SettingsProblem> &problems)
{
    for (const SettingsProblem &problem : problems) {
        std::cerr << toString(problem) << "\n";
    }
    return exitUsage;
}

Result<std::vector<boost::asio::ip::tcp::endpoint>> parseEntries(std::string_view text)
{
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    while (!text.empty()) {
        const std::string_view one = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), one.size() + 1));
        BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(one));
        entries.push_back(endpoint);
    }
    return entries;
}

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        return true;
    }
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "wigeonsill-load: cannot write " << path << "\n";
    }
    return bool(file);
}

int runLoad(const LoadPlan &plan, const LoadOptions &options)
{
    boost::asio::io_context io;
    LoadReport report(plan.scenario.length());
    LoadRunner runner(io, plan, report);
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &error, int) {
        if (!error) {
            std::cerr << "wigeonsill-load: interrupted; reporting what was seen\n";
            io.stop();
        }
    });
    runner.start([&io] { io.stop(); });
    io.run();
    report.close();
    report.printTable(std::cout);
    const bool written = writeFile(options.json, boost::json::serialize(report.toJson()) + "\n")
        && writeFile(options.csv, report.toCsv()) && writeFile(options.svg, report.toSvg());
    if (!written) {
        return exitUsage;
    }
    return report.hasWrongAnswers() ? exitWrongAnswers : exitDone;
}

} // namespace

int main(int argc, char **argv)
{
    LoadOptions options;
    OptionParser parser("wigeonsill-load", WIGEONSILL_VERSION,
        "Sends completions at a set rate and mix to entries before stand-in engines, checks that "
        "each answer is whole and its own, and reports goodput by tier.");
    parser.text("scenario", 's', &options.scenario, "What to send (JSON with comments)", "FILE");
    parser.text("entries", 'e', &options.entries, "Entries, taken in turn", "IP:PORT,...");
    parser.number("rate-percent", &options.ratePercent, "Scales every phase's rate", "PERCENT");
    parser.text("json", 'j', &options.json, "Write all figures here", "FILE");
    parser.text("csv", 'c', &options.csv, "Write goodput by second and tier here", "FILE");
    parser.text("svg", 'g', &options.svg, "Plot goodput by tier over time here", "FILE");
    parser.notes(
        "A scenario names phases (name, milliseconds, rate), requests (name, service,\n"
        "token, tier, share, stream, usefulWithinMs, promptTokens and outputTokens with\n"
        "minimum and maximum, sharedPrefix with count and tokens), retry\n"
        "(obeyRetryAfter, maximum), seed and settleMs. See examples/load/.\n"
        "The run ends settleMs after the last phase at the latest; SIGINT ends it at\n"
        "once with a report.\n\n"
        "Exit status: 0 done, 1 wrong answers were seen, 2 fault of the command line, the\n"
        "scenario or an output file.");
    const auto rest = parser.parse(argc, argv);
    if (!rest) {
        return rest.error();
    }
    const auto entries = parseEntries(options.entries);
    if (options.scenario.empty() || !entries || entries.value().empty()
        || options.ratePercent <= 0) {
        std::cerr << "wigeonsill-load: expected --scenario=FILE, --entries=IP:PORT,... and a "
                     "--rate-percent above 0\n";
        return exitUsage;
    }
    const Result<JsonDocument> document = JsonDocument::load(options.scenario);
    if (!document) {
        std::cerr << "wigeonsill-load: " << document.error().detail << "\n";
        return exitUsage;
    }
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document.value(), problems);
    LoadPlan plan;
    plan.scenario = readScenario(reader);
    if (!problems.empty()) {
        return reportProblems(problems);
    }
    plan.entries = entries.value();
    plan.rateFactor = double(options.ratePercent) / 100;
    initializeLogging({});
    return runLoad(plan, options);
}
