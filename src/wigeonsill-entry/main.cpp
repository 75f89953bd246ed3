/// \file main.cpp
/// wigeonsill-entry: takes callers' requests and answers them.
#include "entrydaemon.h"

using namespace wigeonsill;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "wigeonsill-entry",
        WIGEONSILL_VERSION,
        "Takes callers' requests over HTTP, holds them until an agent has room, hands each to one\n"
        "agent and streams the answer back. Runs behind the platform's balancer.",
        "Settings (JSON with comments): instance, region, failureDomain, listen, admin, store,\n"
        "instanceList, peers, limits, log. docs/OPERATING.md describes each.\n"
        "The first line on standard output is a JSON object with the ports in use.\n"
        "SIGTERM drains: new requests are refused, those in progress are finished. A second one "
        "ends.",
    };
    const SettingsStep readSettings = [](SettingsReader &reader) -> DaemonFactory {
        const EntrySettings settings = readEntrySettings(reader);
        return [settings](DaemonContext context) {
            return std::make_unique<EntryDaemon>(context, settings);
        };
    };
    return runDaemon(info, readSettings, argc, argv);
}
