/// \file main.cpp
/// wigeonsillctl: checks and applies declarations, queries and drains processes.
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
    Command{ "release-hold", runReleaseHold },
};

constexpr const char *notes
    = "Commands:\n"
      "  check FOLDER   check the declarations and report every problem\n"
      "  diff FOLDER    show what applying the folder would change (needs --store)\n"
      "  apply FOLDER   check, store and put in force (needs --store); safe to repeat\n"
      "  status         show the stored revision and where it is in force (needs --store)\n"
      "  history        show the newest changes (needs --store)\n"
      "  dump           print the state of a process as JSON (needs --admin)\n"
      "  drain          have a process finish its requests and exit (needs --admin)\n"
      "  release-hold ID  serve requests again whose prompt parts are held back (needs --admin)\n"
      "\nThe base of a folder is the stored revision that the folder was made from. It is given\n"
      "by --base or by the folder's file base.json, which --record writes. Changes that other\n"
      "operators stored since the base are kept if they concern other organisations; otherwise\n"
      "apply reports a conflict.\n"
      "\nExit status: 0 success, 1 failed and nothing stored, 2 error in the command line or the\n"
      "declarations, 3 stored but not yet in force everywhere, 4 conflict and nothing stored,\n"
      "5 unknown whether it was stored.";

void addOptions(OptionParser &parser, CommandArguments &arguments)
{
    parser.positional("COMMAND [FOLDER|ID]");
    parser.text("store", 's', &arguments.store, "Address of the platform's store", "IP:PORT");
    parser.text("instances", 'i', &arguments.instances,
        "Address of the instance list; default: that of the store", "IP:PORT");
    parser.text("admin", 'a', &arguments.admin, "Admin address of a process", "IP:PORT");
    parser.number("base", &arguments.base, "Revision that the folder is based on", "REVISION");
    parser.flag(
        "record", 'r', &arguments.record, "Write the new base revision to FOLDER/base.json");
    parser.text(
        "change", 'c', &arguments.changeId, "Change id of an earlier apply to repeat", "ID");
    parser.text("author", 'u', &arguments.author, "Author to record in the history", "NAME");
    parser.number("timeout", &arguments.timeoutSeconds, "Timeout in seconds", "SECONDS");
    parser.number("count", &arguments.count, "Number of history records to print", "N");
    parser.flag("no-wait", 'n', &arguments.noWait, "Do not wait until the revision is in force");
    parser.flag("json", 'j', &arguments.json, "Print one JSON object instead of text");
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
        "Checks declarations, puts them in force, and queries the state of processes.");
    addOptions(parser, arguments);
    const auto parsed = parser.parse(argc, argv);
    if (!parsed) {
        return parsed.error();
    }
    arguments.positionals = parsed.value();
    for (const Command &command : commands) {
        if (!arguments.positionals.empty() && command.name == arguments.positionals.front()) {
            return command.run(arguments);
        }
    }
    std::cerr << "wigeonsillctl: expected a command: check, diff, apply, status, history, dump, "
                 "drain or release-hold\n";
    return exitUsage;
}
