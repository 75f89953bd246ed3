/// \file commandsupport.h
/// Functions shared by the commands: parsing arguments, running coroutines, printing results.
#pragma once

#include "commands.h"

namespace wigeonsill {

/// Runs a coroutine to completion on the io_context and returns its value.
template <class T>
T runToCompletion(boost::asio::io_context &io, boost::asio::awaitable<T> task)
{
    io.restart();
    std::optional<T> result;
    const auto storeResult = [](boost::asio::awaitable<T> inner,
                                 std::optional<T> &destination) -> boost::asio::awaitable<void> {
        destination.emplace(co_await std::move(inner));
    };
    spawn(io, storeResult(std::move(task), result));
    io.run();
    return std::move(result).value();
}

/// Reads and checks the folder given as the command's operand and prints the problems found; empty
/// if there are errors. Warnings are printed, but are no errors.
std::optional<Configuration> readAndCheckDeclarations(const CommandArguments &arguments);
/// Parses an "IP:PORT" address; prints an error that names the option if it is invalid.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(
    const std::string &text, std::string_view option);
/// The address of the instance list: that of --instances, or else that of --store.
std::string instanceListAddress(const CommandArguments &arguments);
/// Prints an error, as text or as JSON, and returns exitFailure.
int printFailure(const CommandArguments &arguments, const Error &error);
/// Prints a JSON object on one line.
void printJson(const boost::json::object &object);

boost::json::object toJson(const SettingsProblem &problem);
boost::json::array toJson(const std::vector<ConfigurationDifference> &differences);

} // namespace wigeonsill
