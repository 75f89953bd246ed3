/// \file processcommands.cpp
/// "dump" and "drain": requests to the admin port of one process.
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

} // namespace wigeonsill
