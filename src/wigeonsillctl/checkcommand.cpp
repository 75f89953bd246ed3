/// \file checkcommand.cpp
/// "check": checks the declarations in a folder and reports every problem.
#include "commandsupport.h"

#include <iostream>

namespace wigeonsill {

int runCheck(const CommandArguments &arguments)
{
    const std::optional<Configuration> configuration = readAndCheckDeclarations(arguments);
    if (!configuration) {
        return exitUsage;
    }
    const std::size_t organisations = configuration->organisationCount();
    const std::size_t pools = configuration->pools().size();
    if (arguments.json) {
        boost::json::object object;
        object["result"] = "usable";
        object["organisations"] = organisations;
        object["pools"] = pools;
        printJson(object);
    } else {
        std::cout << organisations << " organisations, " << pools << " pools: no errors\n";
    }
    return exitSuccess;
}

} // namespace wigeonsill
