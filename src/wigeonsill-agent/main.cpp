/// \file main.cpp
/// wigeonsill-agent: runs beside one target and is the only process that sends requests to it.
#include "agentdaemon.h"

using namespace wigeonsill;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "wigeonsill-agent",
        WIGEONSILL_VERSION,
        "Runs beside one target (a model engine or a plain service). Pulls requests from the "
        "entries\n"
        "as the target has capacity, sends them to it, and buffers the answers until the entries\n"
        "have received them.",
        "Settings (JSON with comments): instance, region, failureDomain, listen, admin, target,\n"
        "pools, targetSilenceMs, limits, log. docs/OPERATING.md describes them.\n"
        "The first line on standard output is a JSON object with the ports in use.\n"
        "SIGTERM drains: the agent accepts no new requests and exits once the running ones have\n"
        "ended. A second SIGTERM ends the process at once.",
    };
    const DaemonSettingsParser readSettings = [](SettingsReader &reader) -> DaemonFactory {
        const AgentSettings settings = readAgentSettings(reader);
        return [settings](DaemonContext context) {
            return std::make_unique<AgentDaemon>(context, settings);
        };
    };
    return runDaemon(info, readSettings, argc, argv);
}
