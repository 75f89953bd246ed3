/// \file commands.h
/// The commands of wigeonsillctl. Each returns the exit status.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

struct CommandArguments
{
    std::vector<std::string> words; ///< The command and its arguments.
    std::string store;
    std::string admin;
};

int runCheck(const CommandArguments &arguments);
int runApply(const CommandArguments &arguments);
int runDump(const CommandArguments &arguments);
int runDrain(const CommandArguments &arguments);

} // namespace wigeonsill
