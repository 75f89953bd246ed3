/// \file diffcommand.cpp
/// "diff": what applying a folder would change in the store.
#include "commandsupport.h"
#include "configurationstore.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

asio::awaitable<Result<Configuration>> readPresent(
    ConfigurationStore &store, const Configuration &wanted)
{
    const Result<StoredRoot> stored = co_await store.readRoot();
    if (!stored) {
        co_return stored.error();
    }
    if (stored.value().version == 0) {
        co_return Configuration();
    }
    const ConfigurationRoot &root = stored.value().root;
    co_return co_await store.readConfiguration(root.revision, root.snapshot, wanted.partTexts());
}

} // namespace

int runDiff(const CommandArguments &arguments)
{
    const std::optional<Configuration> wanted = readChecked(arguments);
    const auto address = readAddress(arguments.store, "store");
    if (!wanted || !address) {
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const Result<Configuration> present = runToEnd(session.io, readPresent(session.store, *wanted));
    if (!present) {
        return printFailure(arguments, present.error());
    }
    const auto rows = differences(present.value(), *wanted);
    if (arguments.json) {
        boost::json::object object;
        object["revision"] = present.value().revision;
        object["differences"] = toJson(rows);
        printJson(object);
        return exitDone;
    }
    for (const ConfigurationDifference &row : rows) {
        std::cout << toString(row) << "\n";
    }
    std::cout << rows.size() << " differences from revision " << present.value().revision << "\n";
    return exitDone;
}

} // namespace wigeonsill
