/// \file main.cpp
/// wigeonsillctl: checks and applies declarations, and asks processes for their state.
#include "commands.h"

#include <iostream>

using namespace wigeonsill;

namespace {

constexpr int exitUsage = 2;

struct Command
{
    std::string_view name;
    int (*run)(const CommandArguments &arguments);
};

constexpr std::array commands = {
    Command{ "check", runCheck },
    Command{ "apply", runApply },
    Command{ "dump", runDump },
    Command{ "drain", runDrain },
};

} // namespace

int main(int argc, char **argv)
{
    CommandArguments arguments;
    OptionParser parser("wigeonsillctl", WIGEONSILL_VERSION,
        "Checks declarations, puts them in force, and asks processes for their state.");
    parser.positional("COMMAND [ARGUMENT]");
    parser.text("store", 's', &arguments.store, "Address of the platform's store", "IP:PORT");
    parser.text("admin", 'a', &arguments.admin, "Admin address of a process", "IP:PORT");
    parser.notes(
        "Commands:\n"
        "  check FOLDER   read templates and organisations and report every problem\n"
        "  apply FOLDER   check, then put them in force (needs --store)\n"
        "  dump           print the state of a process as JSON (needs --admin)\n"
        "  drain          let a process finish its work and end (needs --admin)\n"
        "\nExit status: 0 done, 1 failed, 2 fault of the command line or the declarations,\n"
        "4 another operator changed the configuration meanwhile.");
    const auto rest = parser.parse(argc, argv);
    if (!rest) {
        return rest.error();
    }
    arguments.words = rest.value();
    for (const Command &command : commands) {
        if (!arguments.words.empty() && command.name == arguments.words.front()) {
            return command.run(arguments);
        }
    }
    std::cerr << "wigeonsillctl: expected a command: check, apply, dump or drain\n";
    return exitUsage;
}
