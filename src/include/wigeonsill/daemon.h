/// \file daemon.h
/// Public header of the daemon library: what every long-running process has in common. Command
/// line, checked settings, logging, signals, the admin port, and the graceful end.
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
    /// Whether it can serve; answers /readyz.
    virtual bool isReady() const = 0;
    /// Take no new work. Called at most once, at SIGTERM or by the admin port.
    virtual void drain() = 0;
    /// Whether nothing is in progress after drain().
    virtual bool isDrained() const = 0;
    /// The settings file was read again without a fault after SIGHUP.
    /// \param changed Whether its text differs from the one the process was started with.
    virtual void settingsRead(bool changed) { static_cast<void>(changed); }
    /// State for people; answers /state.
    virtual boost::json::object dumpState() const = 0;
    /// Brings gauges and buffered counts up to date; called before each answer of /metrics.
    virtual void updateMetrics() { }
    /// Ports by name, for the line that says that the process is ready.
    virtual std::map<std::string, std::uint16_t> ports() const = 0;
};

/// What a daemon is built from.
struct DaemonContext
{
    boost::asio::io_context &io;
    Metrics &metrics;
};

using DaemonFactory = std::function<std::unique_ptr<Daemon>(DaemonContext)>;

/// Names a program for its help page.
struct ProgramInfo
{
    std::string name;
    std::string version;
    std::string summary;
    std::string notes;
    /// Environment variable that names the settings file where the command line does not; may be
    /// empty.
    std::string settingsVariable = {};
};

/// Reads the program's own settings and returns how to build the daemon from them.
using SettingsStep = std::function<DaemonFactory(SettingsReader &)>;

/// Runs a daemon from main() to its end and returns the exit status: 0 after a graceful end,
/// 1 after a failure, 2 when the command line or the settings are at fault, 3 when a second signal
/// ended it before it had drained.
int runDaemon(const ProgramInfo &info, const SettingsStep &readSettings, int argc, char **argv);

/// Reads an "IP:PORT" text and reports a fault at its key.
boost::asio::ip::tcp::endpoint readEndpoint(SettingsReader &reader, std::string_view key,
    const std::optional<std::string> &fallback = std::nullopt);
/// Reads a whole number of milliseconds within [minimum, maximum].
Duration readMilliseconds(SettingsReader &reader, std::string_view key, std::int64_t minimum,
    std::int64_t maximum, Duration fallback);

} // namespace wigeonsill
