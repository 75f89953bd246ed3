/// \file rundaemon.cpp
/// Runs a daemon: command line, settings, signals, admin port and graceful shutdown.
#include "wigeonsill/daemon.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitForced = 3;
constexpr Duration drainCheckInterval = milliseconds(50);

/// Settings that all daemons have.
struct CommonSettings
{
    asio::ip::tcp::endpoint admin;
    LogOptions log;
};

constexpr std::array logLevelNames = {
    EnumName<int>{ 0, "trace" },
    EnumName<int>{ 1, "debug" },
    EnumName<int>{ 2, "info" },
    EnumName<int>{ 3, "warn" },
    EnumName<int>{ 4, "error" },
};

CommonSettings readCommonSettings(SettingsReader &reader)
{
    CommonSettings settings;
    settings.admin = readEndpoint(reader, "admin", "127.0.0.1:0");
    SettingsReader log = reader.object("log");
    settings.log.level = enumName(logLevelNames, log.choice<int>("level", logLevelNames, 2));
    settings.log.json = log.flag("json", false);
    log.finish();
    return settings;
}

/// Runs the daemon on one thread until it has drained.
class DaemonRunner
{
public:
    DaemonRunner(const CommonSettings &common, const DaemonFactory &createDaemon,
        std::function<std::optional<bool>()> recheck)
        : recheckSettings(std::move(recheck))
        , daemon(createDaemon({ this->io, this->metrics }))
        , admin(this->io, common.admin,
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handleAdminRequest(request, responder);
              })
        , signals(this->io, SIGTERM, SIGINT, SIGHUP)
        , drainTimer(this->io)
    {
    }

    int run()
    {
        this->daemon->start();
        this->admin.start();
        this->waitForSignal();
        this->printReadyLine();
        this->io.run();
        return this->exitStatus;
    }

private:
    void printReadyLine() const
    {
        json::object ports;
        for (const auto &[name, port] : this->daemon->ports()) {
            ports[name] = port;
        }
        ports["admin"] = this->admin.endpoint().port();
        const json::object line{ { "ready", true }, { "ports", ports } };
        std::cout << json::serialize(line) << std::endl;
    }

    void waitForSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                if (const std::optional<bool> changed = this->recheckSettings()) {
                    this->daemon->settingsRechecked(*changed);
                }
                this->waitForSignal();
                return;
            }
            if (this->draining) {
                this->exitStatus = exitForced;
                this->io.stop();
                return;
            }
            this->beginDrain();
            this->waitForSignal();
        });
    }

    void beginDrain()
    {
        if (this->draining) {
            return;
        }
        LOG4CPLUS_INFO(logger("daemon"), "Draining.");
        this->draining = true;
        this->daemon->drain();
        this->checkDrained();
    }

    void checkDrained()
    {
        if (this->daemon->isDrained()) {
            LOG4CPLUS_INFO(logger("daemon"), "Drained; exiting.");
            this->io.stop();
            return;
        }
        this->drainTimer.expires_after(drainCheckInterval);
        this->drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->checkDrained();
            }
        });
    }

    HttpResponse adminResponse(const HttpRequest &request)
    {
        if (request.method == "POST" && request.target == "/drain") {
            asio::post(this->io, [this] { this->beginDrain(); });
            return jsonResponse(202, json::object{ { "draining", true } });
        }
        if (request.method == "POST") {
            if (auto answer = this->daemon->answerOperator(request)) {
                return std::move(*answer);
            }
        }
        if (request.method != "GET") {
            return problemResponse(ResultCode::MethodNotAllowed);
        }
        if (request.target == "/healthz") {
            return jsonResponse(200, json::object{ { "healthy", true } });
        }
        if (request.target == "/readyz") {
            const bool ready = this->daemon->isReady() && !this->draining;
            return jsonResponse(ready ? 200 : 503, json::object{ { "ready", ready } });
        }
        if (request.target == "/metrics") {
            this->daemon->updateMetrics();
            this->metrics.gauge("wigeonsill_draining", {}, this->draining ? 1 : 0);
            return { 200, { { "Content-Type", "text/plain; version=0.0.4" } },
                this->metrics.prometheusText() };
        }
        if (request.target == "/state") {
            return jsonResponse(200, this->daemon->dumpState());
        }
        return problemResponse(ResultCode::UnknownService);
    }

    asio::awaitable<void> handleAdminRequest(const HttpRequest &request, HttpResponder &responder)
    {
        co_await responder.respond(this->adminResponse(request));
    }

    /// Validates the settings file again; empty when it is invalid, else whether it changed.
    std::function<std::optional<bool>()> recheckSettings;
    asio::io_context io{ 1 };
    Metrics metrics;
    std::unique_ptr<Daemon> daemon;
    HttpServer admin;
    asio::signal_set signals;
    asio::steady_timer drainTimer;
    bool draining = false;
    int exitStatus = 0;
};

int printProblems(const std::vector<SettingsProblem> &problems);

/// Validates the settings file again and returns whether it differs from the one read at the start.
/// Prints the problems of an invalid file and returns empty.
std::optional<bool> recheckSettings(const std::string &file, const JsonDocument &initialDocument,
    const DaemonSettingsParser &readSettings)
{
    const Result<JsonDocument> document = JsonDocument::load(file);
    if (!document) {
        printProblems({ { file, 0, {}, document.error().code, document.error().detail } });
        return std::nullopt;
    }
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document.value(), problems);
    readCommonSettings(reader);
    readSettings(reader);
    reader.finish();
    if (!problems.empty()) {
        printProblems(problems);
        return std::nullopt;
    }
    return document.value().value() != initialDocument.value();
}

int printProblems(const std::vector<SettingsProblem> &problems)
{
    for (const SettingsProblem &problem : problems) {
        std::cerr << toString(problem) << "\n";
    }
    return exitUsage;
}

} // namespace

asio::ip::tcp::endpoint readEndpoint(
    SettingsReader &reader, std::string_view key, const std::optional<std::string> &fallback)
{
    const bool hasText = reader.has(key) || fallback;
    const std::string text = reader.text(key, fallback);
    const auto endpoint = parseEndpoint(text);
    if (endpoint) {
        return endpoint.value();
    }
    if (hasText) {
        reader.report(key, endpoint.error().code, endpoint.error().detail);
    }
    return {};
}

Duration readMilliseconds(SettingsReader &reader, std::string_view key, std::int64_t minimum,
    std::int64_t maximum, Duration fallback)
{
    const std::int64_t value = reader.number(
        key, minimum, maximum, std::chrono::duration_cast<milliseconds>(fallback).count());
    return milliseconds(value);
}

int runDaemon(
    const ProgramInfo &info, const DaemonSettingsParser &readSettings, int argc, char **argv)
{
    std::string settingsFile;
    bool checkOnly = false;
    OptionParser parser(info.name, info.version, info.summary);
    parser.text(
        "settings", 's', &settingsFile, "Settings file, JSON with comments (required)", "FILE");
    parser.flag("check", 'c', &checkOnly, "Check the settings file and exit");
    parser.notes(info.notes
        + "\nExit status: 0 after a graceful shutdown, 1 after a failure, 2 for an invalid command "
          "line or invalid\nsettings, 3 if a second signal stopped it before it had drained.");
    const auto arguments = parser.parse(argc, argv);
    if (!arguments) {
        return arguments.error();
    }
    if (settingsFile.empty() && !info.settingsEnvironmentVariable.empty()) {
        const char *environmentValue = std::getenv(info.settingsEnvironmentVariable.c_str());
        settingsFile = environmentValue != nullptr ? environmentValue : "";
    }
    if (settingsFile.empty() || !arguments.value().empty()) {
        std::cerr << info.name << ": expected --settings=FILE and no other arguments\n";
        return exitUsage;
    }
    const Result<JsonDocument> document = JsonDocument::load(settingsFile);
    if (!document) {
        return printProblems(
            { { settingsFile, 0, {}, document.error().code, document.error().detail } });
    }
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document.value(), problems);
    const CommonSettings common = readCommonSettings(reader);
    const DaemonFactory createDaemon = readSettings(reader);
    reader.finish();
    if (!problems.empty()) {
        return printProblems(problems);
    }
    if (checkOnly) {
        std::cout << settingsFile << ": no problems\n";
        return 0;
    }
    initializeLogging(common.log);
    std::signal(SIGPIPE, SIG_IGN);
    const auto recheck = [&]() -> std::optional<bool> {
        return recheckSettings(settingsFile, document.value(), readSettings);
    };
    try {
        DaemonRunner runner(common, createDaemon, recheck);
        return runner.run();
    } catch (const std::exception &exception) {
        std::cerr << info.name << ": " << exception.what() << "\n";
        return exitFailure;
    }
}

} // namespace wigeonsill
