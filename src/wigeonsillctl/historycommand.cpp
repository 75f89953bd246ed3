/// \file historycommand.cpp
/// "history": the newest changes that were stored.
#include "commandsupport.h"
#include "configurationstore.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

asio::awaitable<Result<std::vector<HistoryEntry>>> readNewest(
    ConfigurationStore &store, std::size_t count)
{
    const Result<StoredRoot> stored = co_await store.readRoot();
    if (!stored) {
        co_return stored.error();
    }
    co_return co_await store.readHistory(stored.value().root, 0, count);
}

json::object entryToJson(const HistoryEntry &entry)
{
    json::object row;
    row["revision"] = entry.revision;
    row["changeId"] = entry.changeId;
    row["author"] = entry.author;
    row["storedAt"] = entry.storedAt;
    row["summary"] = entry.summary;
    return row;
}

} // namespace

int runHistory(const CommandArguments &arguments)
{
    const auto address = readAddress(arguments.store, "store");
    if (!address) {
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const auto history = runToEnd(
        session.io, readNewest(session.store, static_cast<std::size_t>(arguments.count)));
    if (!history) {
        return printFailure(arguments, history.error());
    }
    json::array rows;
    for (const HistoryEntry &entry : history.value()) {
        rows.push_back(entryToJson(entry));
        if (!arguments.json) {
            std::cout << entry.revision << "  " << entry.storedAt << "  " << entry.author << "  "
                      << entry.changeId << "  " << entry.summary << "\n";
        }
    }
    if (arguments.json) {
        printJson(json::object{ { "history", std::move(rows) } });
    }
    return exitDone;
}

} // namespace wigeonsill
