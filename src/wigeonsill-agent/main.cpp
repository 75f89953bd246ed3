/// \file main.cpp
/// wigeonsill-agent: the only sender of work to the target that it stands beside.
#include "agentdaemon.h"

using namespace wigeonsill;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "wigeonsill-agent",
        WIGEONSILL_VERSION,
        "Stands beside one target (a model engine or a plain service). Pulls work from the "
        "entries\n"
        "as the target has room, sends it, and holds the answers until the entries have them.",
        "Settings (JSON with comments): instance, region, failureDomain, listen, admin, target,\n"
        "pools, targetSilenceMs, limits, log. docs/OPERATING.md describes each.\n"
        "The first line on standard output is a JSON object with the ports in use.\n"
        "SIGTERM drains: no new work is taken, what runs is finished. A second one ends.",
    };
    const DaemonSettingsParser readSettings = [](SettingsReader &reader) -> DaemonFactory {
        const AgentSettings settings = readAgentSettings(reader);
        return [settings](DaemonContext context) {
            return std::make_unique<AgentDaemon>(context, settings);
        };
    };
    return runDaemon(info, readSettings, argc, argv);
}
