/// \file commandsupport.h
/// What the commands have in common: reading of arguments, running of coroutines, output.
#pragma once

#include "commands.h"

namespace wigeonsill {

/// Runs a coroutine to its end and returns its value.
template <class T>
T runToEnd(boost::asio::io_context &io, boost::asio::awaitable<T> task)
{
    io.restart();
    std::optional<T> result;
    const auto keep = [](boost::asio::awaitable<T> inner,
                          std::optional<T> &place) -> boost::asio::awaitable<void> {
        place.emplace(co_await std::move(inner));
    };
    spawn(io, keep(std::move(task), result));
    io.run();
    return std::move(result).value();
}

/// Reads the folder named after the command and prints its problems; empty when it has errors.
std::optional<Configuration> readChecked(const CommandArguments &arguments);
/// Reads an address and prints a fault of it.
std::optional<boost::asio::ip::tcp::endpoint> readAddress(
    const std::string &text, std::string_view option);
/// Address of the instance list.
std::string instanceListOf(const CommandArguments &arguments);
/// Prints the error and returns exitFailure.
int printFailure(const CommandArguments &arguments, const Error &error);
/// Prints one JSON object on a line.
void printJson(const boost::json::object &object);

boost::json::object toJson(const SettingsProblem &problem);
boost::json::array toJson(const std::vector<ConfigurationDifference> &differences);

} // namespace wigeonsill
