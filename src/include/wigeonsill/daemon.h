/// \file daemon.h
/// Public header of the daemon library: what all long-running processes share. Command line,
/// settings validation, logging, signals, the admin port and graceful shutdown.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/http.h"

namespace wigeonsill {

/// One long-running process. All calls come from the thread that runs the io_context.
class Daemon
{
public:
    virtual ~Daemon() = default;
    virtual void start() = 0;
    /// Whether the process can serve requests; reported at /readyz.
    virtual bool isReady() const = 0;
    /// Stops accepting new work. Called at most once, on SIGTERM, SIGINT or a call of /drain.
    virtual void drain() = 0;
    /// Whether all work has finished after drain().
    virtual bool isDrained() const = 0;
    /// Called after SIGHUP when the settings file was read again and is valid. The settings in
    /// force do not change.
    /// \param changed Whether the file's content differs from what the process was started with.
    virtual void settingsRechecked(bool changed) { static_cast<void>(changed); }
    /// Answers an operator's call that only this daemon knows; empty for any other one. Such calls
    /// are POST requests to the admin port.
    virtual std::optional<HttpResponse> answerOperator(const HttpRequest &request)
    {
        static_cast<void>(request);
        return std::nullopt;
    }
    /// State for operators; reported at /state.
    virtual boost::json::object dumpState() const = 0;
    /// Updates gauges and buffered counts; called before each answer to /metrics.
    virtual void updateMetrics() { }
    /// Listening ports by name, printed in the line that announces that the process is ready.
    virtual std::map<std::string, std::uint16_t> ports() const = 0;
};

/// Objects of the process that a daemon uses; they outlive it.
struct DaemonContext
{
    boost::asio::io_context &io;
    Metrics &metrics;
};

using DaemonFactory = std::function<std::unique_ptr<Daemon>(DaemonContext)>;

/// Texts of a program's help page, and where its settings file is named.
struct ProgramInfo
{
    std::string name;
    std::string version;
    std::string summary;
    std::string notes;
    /// Environment variable with the path of the settings file, used when the command line names
    /// none; may be empty.
    std::string settingsEnvironmentVariable = {};
};

/// Reads the program's own settings and returns a factory that builds the daemon from them.
using DaemonSettingsParser = std::function<DaemonFactory(SettingsReader &)>;

/// Runs a daemon until it exits and returns the exit status for main(): 0 after a graceful
/// shutdown, 1 after a failure, 2 if the command line or the settings are invalid, 3 if a second
/// signal stopped it before it had drained.
int runDaemon(
    const ProgramInfo &info, const DaemonSettingsParser &readSettings, int argc, char **argv);

/// Reads an "IP:PORT" setting. Reports an invalid value as a problem of its key and then returns
/// a default endpoint.
boost::asio::ip::tcp::endpoint readEndpoint(SettingsReader &reader, std::string_view key,
    const std::optional<std::string> &fallback = std::nullopt);
/// Reads a whole number of milliseconds within [minimum, maximum].
Duration readMilliseconds(SettingsReader &reader, std::string_view key, std::int64_t minimum,
    std::int64_t maximum, Duration fallback);

} // namespace wigeonsill
