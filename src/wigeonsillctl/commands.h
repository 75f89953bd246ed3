/// \file commands.h
/// The commands of wigeonsillctl. Each one returns the exit status of the process.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Exit statuses; the help page in main.cpp describes them.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitNotInForceEverywhere = 3;
constexpr int exitConflict = 4;
constexpr int exitOutcomeUnknown = 5;

/// The parsed command line. Addresses are not parsed yet.
struct CommandArguments
{
    std::vector<std::string> positionals; ///< The command and its operands.
    std::string store; ///< Address of the platform's store.
    std::string instances; ///< Address of the instance list; the store's when empty.
    std::string admin; ///< Address of the admin port of a process.
    std::string author;
    std::string changeId; ///< Of an earlier apply that is repeated; empty for a new change.
    std::int64_t base = -1; ///< Revision that the folder is based on; -1 if not given.
    std::int64_t timeoutSeconds = 30;
    std::int64_t count = 10; ///< Number of history records to print.
    bool json = false;
    bool record = false; ///< Write the new base revision to the folder.
    bool noWait = false; ///< Do not wait until the revision is in force.
};

int runCheck(const CommandArguments &arguments);
int runDiff(const CommandArguments &arguments);
int runApply(const CommandArguments &arguments);
int runStatus(const CommandArguments &arguments);
int runHistory(const CommandArguments &arguments);
int runDump(const CommandArguments &arguments);
int runDrain(const CommandArguments &arguments);
int runReleaseHold(const CommandArguments &arguments);

} // namespace wigeonsill
