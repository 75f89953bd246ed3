/// \file processcommands.cpp
/// "dump", "drain" and "release-hold": requests to the admin port of one process.
#include "commandsupport.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration adminTimeout = seconds(5);

int callAdmin(
    const CommandArguments &arguments, const std::string &method, const std::string &target)
{
    const auto endpoint = parseAddress(arguments.admin, "admin");
    if (!endpoint) {
        return exitUsage;
    }
    asio::io_context io;
    const HttpRequest request{ method, target, {}, {} };
    const Result<HttpResponse> response
        = runToCompletion(io, fetch(io, *endpoint, request, adminTimeout));
    if (!response) {
        return printFailure(arguments, response.error());
    }
    std::cout << response.value().body;
    return response.value().status < 300 ? exitSuccess : exitFailure;
}

} // namespace

int runDump(const CommandArguments &arguments)
{
    return callAdmin(arguments, "GET", "/state");
}

int runDrain(const CommandArguments &arguments)
{
    return callAdmin(arguments, "POST", "/drain");
}

int runReleaseHold(const CommandArguments &arguments)
{
    constexpr std::size_t commandAndHold = 2;
    if (arguments.positionals.size() != commandAndHold) {
        std::cerr << "wigeonsillctl: release-hold expects the id of a hold, as in the state\n";
        return exitUsage;
    }
    return callAdmin(arguments, "POST", "/release-hold/" + arguments.positionals.back());
}

} // namespace wigeonsill
