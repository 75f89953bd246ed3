/// \file main.cpp
/// wigeonsillctl: checks and applies declarations, and asks processes for their state.
#include "commands.h"

#include <cstdlib>
#include <iostream>

using namespace wigeonsill;

namespace {

struct Command
{
    std::string_view name;
    int (*run)(const CommandArguments &arguments);
};

constexpr std::array commands = {
    Command{ "check", runCheck },
    Command{ "diff", runDiff },
    Command{ "apply", runApply },
    Command{ "status", runStatus },
    Command{ "history", runHistory },
    Command{ "dump", runDump },
    Command{ "drain", runDrain },
};

constexpr const char *notes
    = "Commands:\n"
      "  check FOLDER   read templates and organisations and report every problem\n"
      "  diff FOLDER    what applying the folder would change (needs --store)\n"
      "  apply FOLDER   check, then put them in force (needs --store); a repeat changes nothing\n"
      "  status         the stored revision and where it is in force (needs --store)\n"
      "  history        the newest changes (needs --store)\n"
      "  dump           print the state of a process as JSON (needs --admin)\n"
      "  drain          let a process finish its work and end (needs --admin)\n"
      "\nThe folder's base, the stored revision that it was made from, comes from --base or from\n"
      "its file base.json, which --record writes. Changes of other operators since the base are\n"
      "kept when they touch other organisations; otherwise apply reports a conflict.\n"
      "\nExit status: 0 done, 1 failed and nothing stored, 2 fault of the command line or the\n"
      "declarations, 3 stored but not yet in force everywhere, 4 conflict and nothing stored,\n"
      "5 unknown whether it was stored.";

void addOptions(OptionParser &parser, CommandArguments &arguments)
{
    parser.positional("COMMAND [FOLDER]");
    parser.text("store", 's', &arguments.store, "Address of the platform's store", "IP:PORT");
    parser.text("instances", 'i', &arguments.instances,
        "Address of the instance list; the store's when not given", "IP:PORT");
    parser.text("admin", 'a', &arguments.admin, "Admin address of a process", "IP:PORT");
    parser.number("base", &arguments.base, "Revision that the folder was made from", "REVISION");
    parser.flag("record", 'r', &arguments.record, "Write the new base to FOLDER/base.json");
    parser.text("change", 'c', &arguments.changeId, "Change id of an apply to repeat", "ID");
    parser.text("author", 'u', &arguments.author, "Author for the history", "NAME");
    parser.number("timeout", &arguments.timeoutSeconds, "Longest wait in seconds", "SECONDS");
    parser.number("count", &arguments.count, "Entries of the history to print", "N");
    parser.flag("no-wait", 'n', &arguments.noWait, "Do not wait for the instances");
    parser.flag("json", 'j', &arguments.json, "Print one JSON object in place of text");
    parser.notes(notes);
}

} // namespace

int main(int argc, char **argv)
{
    CommandArguments arguments;
    if (const char *user = std::getenv("USER")) {
        arguments.author = user;
    }
    OptionParser parser("wigeonsillctl", WIGEONSILL_VERSION,
        "Checks declarations, puts them in force, and asks processes for their state.");
    addOptions(parser, arguments);
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
    std::cerr << "wigeonsillctl: expected a command: check, diff, apply, status, history, dump or "
                 "drain\n";
    return exitUsage;
}
