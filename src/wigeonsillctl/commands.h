/// \file commands.h
/// The commands of wigeonsillctl. Each returns the exit status.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Exit statuses; main.cpp documents them for people.
constexpr int exitDone = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitNotEverywhere = 3;
constexpr int exitConflict = 4;
constexpr int exitUnknown = 5;

struct CommandArguments
{
    std::vector<std::string> words; ///< The command and its arguments.
    std::string store;
    std::string instances; ///< Instance list; the store's address when empty.
    std::string admin;
    std::string author;
    std::string changeId;
    std::int64_t base = -1; ///< Revision that the folder was made from; -1 when not given.
    std::int64_t timeoutSeconds = 30;
    std::int64_t count = 10;
    bool json = false;
    bool record = false;
    bool noWait = false;
};

int runCheck(const CommandArguments &arguments);
int runDiff(const CommandArguments &arguments);
int runApply(const CommandArguments &arguments);
int runStatus(const CommandArguments &arguments);
int runHistory(const CommandArguments &arguments);
int runDump(const CommandArguments &arguments);
int runDrain(const CommandArguments &arguments);

} // namespace wigeonsill
