/// \file main.cpp
/// wigeonsill-load: open-loop load generator for entries.
#include "loadrunner.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

using namespace wigeonsill;

namespace {

constexpr int exitSuccess = 0;
constexpr int exitWrongAnswers = 1;
constexpr int exitError = 2;

struct LoadOptions
{
    std::string scenario;
    std::string entries;
    std::string json;
    std::string csv;
    std::string svg;
    std::int64_t ratePercent = 100;
};

int printProblems(const std::vector<SettingsProblem> &problems)
{
    for (const SettingsProblem &problem : problems) {
        std::cerr << toString(problem) << "\n";
    }
    return exitError;
}

Result<std::vector<boost::asio::ip::tcp::endpoint>> parseEntries(std::string_view text)
{
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(item));
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
            std::cerr << "wigeonsill-load: interrupted; reporting the results so far\n";
            io.stop();
        }
    });
    runner.start([&io] { io.stop(); });
    io.run();
    report.countUnfinished();
    report.printTable(std::cout);
    const bool written = writeFile(options.json, boost::json::serialize(report.toJson()) + "\n")
        && writeFile(options.csv, report.toCsv()) && writeFile(options.svg, report.toSvg());
    if (!written) {
        return exitError;
    }
    return report.hasWrongAnswers() ? exitWrongAnswers : exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    LoadOptions options;
    OptionParser parser("wigeonsill-load", WIGEONSILL_VERSION,
        "Sends completion requests to entries at a given rate and mix, checks that each answer of "
        "the stand-in engines is complete and belongs to its request, and reports goodput by "
        "tier.");
    parser.text(
        "scenario", 's', &options.scenario, "Workload to send (JSON with comments)", "FILE");
    parser.text("entries", 'e', &options.entries, "Entries, used round-robin", "IP:PORT,...");
    parser.number("rate-percent", &options.ratePercent, "Scale the rate of every phase", "PERCENT");
    parser.text("json", 'j', &options.json, "Write all statistics to FILE", "FILE");
    parser.text("csv", 'c', &options.csv, "Write goodput by second and tier to FILE", "FILE");
    parser.text("svg", 'g', &options.svg, "Plot goodput by tier over time to FILE", "FILE");
    parser.notes(
        "A scenario consists of phases (name, milliseconds, rate), requests (name, service,\n"
        "token, tier, share, stream, usefulWithinMs, promptTokens and outputTokens with\n"
        "minimum and maximum, sharedPrefix with count and tokens), retry\n"
        "(obeyRetryAfter, maximum), seed and settleMs. See examples/load/.\n"
        "The run ends at most settleMs after the last phase; SIGINT ends it immediately\n"
        "and still prints the report.\n\n"
        "Exit status: 0 success, 1 wrong answers received, 2 invalid command line or\n"
        "scenario, or an output file that cannot be written.");
    const auto arguments = parser.parse(argc, argv);
    if (!arguments) {
        return arguments.error();
    }
    const auto entries = parseEntries(options.entries);
    if (options.scenario.empty() || !entries || entries.value().empty()
        || options.ratePercent <= 0) {
        std::cerr << "wigeonsill-load: expected --scenario=FILE, --entries=IP:PORT,... and a "
                     "--rate-percent above 0\n";
        return exitError;
    }
    const Result<JsonDocument> document = JsonDocument::load(options.scenario);
    if (!document) {
        std::cerr << "wigeonsill-load: " << document.error().detail << "\n";
        return exitError;
    }
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document.value(), problems);
    LoadPlan plan;
    plan.scenario = readScenario(reader);
    if (!problems.empty()) {
        return printProblems(problems);
    }
    plan.entries = entries.value();
    plan.rateFactor = double(options.ratePercent) / 100;
    initializeLogging({});
    return runLoad(plan, options);
}
