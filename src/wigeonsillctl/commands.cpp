/// \file commands.cpp
/// The commands of wigeonsillctl.
#include "commands.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitConflict = 4;
constexpr Duration adminTimeout = seconds(5);
constexpr std::string_view configurationKey = "config/root";

/// Runs a coroutine to its end and returns its value.
template <class T>
T runToEnd(asio::io_context &io, asio::awaitable<T> task)
{
    std::optional<T> result;
    const auto keep
        = [](asio::awaitable<T> inner, std::optional<T> &place) -> asio::awaitable<void> {
        place.emplace(co_await std::move(inner));
    };
    spawn(io, keep(std::move(task), result));
    io.run();
    return std::move(result).value();
}

std::optional<Configuration> readChecked(const CommandArguments &arguments)
{
    if (arguments.words.size() != 2) {
        std::cerr << "wigeonsillctl: expected one folder after \"" << arguments.words.front()
                  << "\"\n";
        return std::nullopt;
    }
    std::vector<SettingsProblem> problems;
    Configuration configuration = readDeclarations(arguments.words[1], problems);
    for (const SettingsProblem &problem : problems) {
        std::cerr << toString(problem) << "\n";
    }
    if (!problems.empty()) {
        return std::nullopt;
    }
    return configuration;
}

std::optional<asio::ip::tcp::endpoint> readOption(const std::string &text, std::string_view name)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        std::cerr << "wigeonsillctl: --" << name << ": " << endpoint.error().detail << "\n";
        return std::nullopt;
    }
    return endpoint.value();
}

struct ApplyResult
{
    int status = exitFailure;
    std::string text;
};

asio::awaitable<ApplyResult> apply(Store &store, Configuration configuration)
{
    const std::string key(configurationKey);
    const Result<StoredValue> before = co_await store.get(key);
    if (!before) {
        co_return ApplyResult{ exitFailure, before.error().detail };
    }
    if (before.value().version > 0) {
        const Result<Configuration> present = parseConfiguration(before.value().value);
        configuration.revision = present ? present.value().revision : before.value().version;
        if (present && serializeConfiguration(configuration) == before.value().value) {
            co_return ApplyResult{ 0,
                "revision " + std::to_string(configuration.revision)
                    + " is already stored; nothing to change" };
        }
    }
    ++configuration.revision;
    const std::string text = serializeConfiguration(configuration);
    const Result<std::uint64_t> written = co_await store.swap(key, text, before.value().version);
    if (!written && written.error().code == ResultCode::StoreConflict) {
        co_return ApplyResult{ exitConflict,
            "another operator changed the configuration meanwhile" };
    }
    if (!written) {
        const Result<StoredValue> after = co_await store.get(key);
        if (!after || after.value().value != text) {
            co_return ApplyResult{ exitFailure, written.error().detail };
        }
    }
    co_return ApplyResult{ 0, "stored as revision " + std::to_string(configuration.revision) };
}

int callAdmin(
    const CommandArguments &arguments, const std::string &method, const std::string &target)
{
    const auto endpoint = readOption(arguments.admin, "admin");
    if (!endpoint) {
        return exitUsage;
    }
    asio::io_context io;
    const HttpRequest request{ method, target, {}, {} };
    const Result<HttpResponse> response = runToEnd(io, fetch(io, *endpoint, request, adminTimeout));
    if (!response) {
        std::cerr << "wigeonsillctl: " << response.error().detail << "\n";
        return exitFailure;
    }
    std::cout << response.value().body;
    return response.value().status < 300 ? 0 : exitFailure;
}

} // namespace

int runCheck(const CommandArguments &arguments)
{
    const std::optional<Configuration> configuration = readChecked(arguments);
    if (!configuration) {
        return exitUsage;
    }
    std::cout << configuration->organisations.size() << " organisations, "
              << configuration->pools.size() << " pools: no problems\n";
    return 0;
}

int runApply(const CommandArguments &arguments)
{
    const std::optional<Configuration> configuration = readChecked(arguments);
    if (!configuration) {
        return exitUsage;
    }
    const auto endpoint = readOption(arguments.store, "store");
    if (!endpoint) {
        return exitUsage;
    }
    asio::io_context io;
    const std::unique_ptr<Store> store = makeHttpStore(io, *endpoint);
    const ApplyResult result = runToEnd(io, apply(*store, *configuration));
    (result.status == 0 ? std::cout : std::cerr) << result.text << "\n";
    return result.status;
}

int runDump(const CommandArguments &arguments)
{
    return callAdmin(arguments, "GET", "/state");
}

int runDrain(const CommandArguments &arguments)
{
    return callAdmin(arguments, "POST", "/drain");
}

} // namespace wigeonsill
