/// \file historycommand.cpp
/// "history": prints the newest stored changes.
#include "commandsupport.h"
#include "configurationstore.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

asio::awaitable<Result<std::vector<HistoryRecord>>> readNewest(
    ConfigurationStore &store, std::size_t count)
{
    const Result<StoredRoot> stored = co_await store.readRoot();
    if (!stored) {
        co_return stored.error();
    }
    co_return co_await store.readHistory(stored.value().root, 0, count);
}

json::object recordToJson(const HistoryRecord &record)
{
    json::object row;
    row["revision"] = record.revision;
    row["changeId"] = record.changeId;
    row["author"] = record.author;
    row["storedAt"] = record.storedAt;
    row["summary"] = record.summary;
    return row;
}

} // namespace

int runHistory(const CommandArguments &arguments)
{
    const auto address = parseAddress(arguments.store, "store");
    if (!address) {
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const auto history = runToCompletion(
        session.io, readNewest(session.store, static_cast<std::size_t>(arguments.count)));
    if (!history) {
        return printFailure(arguments, history.error());
    }
    json::array rows;
    for (const HistoryRecord &record : history.value()) {
        rows.push_back(recordToJson(record));
        if (!arguments.json) {
            std::cout << record.revision << "  " << record.storedAt << "  " << record.author << "  "
                      << record.changeId << "  " << record.summary << "\n";
        }
    }
    if (arguments.json) {
        printJson(json::object{ { "history", std::move(rows) } });
    }
    return exitSuccess;
}

} // namespace wigeonsill
