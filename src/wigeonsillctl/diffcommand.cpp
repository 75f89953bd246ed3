/// \file diffcommand.cpp
/// "diff": prints what applying a folder would change in the stored configuration.
#include "commandsupport.h"
#include "configurationstore.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

asio::awaitable<Result<Configuration>> readCurrent(
    ConfigurationStore &store, const Configuration &declared)
{
    const Result<StoredRoot> stored = co_await store.readRoot();
    if (!stored) {
        co_return stored.error();
    }
    if (stored.value().version == 0) {
        co_return Configuration();
    }
    const ConfigurationRoot &root = stored.value().root;
    co_return co_await store.readConfiguration(root.revision, root.snapshot, declared.partTexts());
}

} // namespace

int runDiff(const CommandArguments &arguments)
{
    const std::optional<Configuration> declared = readAndCheckDeclarations(arguments);
    const auto address = parseAddress(arguments.store, "store");
    if (!declared || !address) {
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const Result<Configuration> current
        = runToCompletion(session.io, readCurrent(session.store, *declared));
    if (!current) {
        return printFailure(arguments, current.error());
    }
    const auto rows = differences(current.value(), *declared);
    if (arguments.json) {
        boost::json::object object;
        object["revision"] = current.value().revision;
        object["differences"] = toJson(rows);
        printJson(object);
        return exitSuccess;
    }
    for (const ConfigurationDifference &row : rows) {
        std::cout << toString(row) << "\n";
    }
    std::cout << rows.size() << " differences from revision " << current.value().revision << "\n";
    return exitSuccess;
}

} // namespace wigeonsill
