/// \file main.cpp
/// wigeonsill-entry: schedules callers' requests and returns their answers.
#include "entrydaemon.h"

using namespace wigeonsill;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "wigeonsill-entry",
        WIGEONSILL_VERSION,
        "Accepts callers' requests over HTTP, queues them until an agent has capacity, dispatches\n"
        "each to one agent and streams the answer back. Runs behind the platform's load balancer.",
        "Settings (JSON with comments): instance, region, failureDomain, listen, admin, store,\n"
        "instanceList, peers, limits, log. docs/OPERATING.md describes each.\n"
        "The first line on standard output is a JSON object with the ports in use.\n"
        "SIGTERM drains: new requests are refused and those in progress are completed. A second\n"
        "SIGTERM stops the process immediately.",
    };
    const DaemonSettingsParser readSettings = [](SettingsReader &reader) -> DaemonFactory {
        const EntrySettings settings = readEntrySettings(reader);
        return [settings](DaemonContext context) {
            return std::make_unique<EntryDaemon>(context, settings);
        };
    };
    return runDaemon(info, readSettings, argc, argv);
}
