/// \file configurationroot.cpp
/// Serialization of the root value, of snapshots and of history pages.
#include "wigeonsill/config.h"

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::int64_t maximumInteger = std::numeric_limits<std::int64_t>::max();

json::object snapshotToJson(const Snapshot &snapshot)
{
    json::object bundles;
    for (const auto &[index, id] : snapshot.bundles) {
        bundles[std::to_string(index)] = id;
    }
    json::object object;
    object["pools"] = snapshot.pools;
    object["bundles"] = std::move(bundles);
    return object;
}

Snapshot readSnapshot(SettingsReader reader)
{
    Snapshot snapshot;
    snapshot.pools = reader.text("pools");
    SettingsReader bundles = reader.object("bundles", true);
    for (std::size_t index = 0; index < bundleCount; ++index) {
        const std::string key = std::to_string(index);
        if (bundles.has(key)) {
            snapshot.bundles[index] = bundles.text(key);
        }
    }
    bundles.finish();
    reader.finish();
    return snapshot;
}

json::array historyToJson(const std::vector<HistoryRecord> &history)
{
    json::array items;
    for (const HistoryRecord &record : history) {
        json::object item;
        item["revision"] = record.revision;
        item["changeId"] = record.changeId;
        item["author"] = record.author;
        item["storedAt"] = record.storedAt;
        item["summary"] = record.summary;
        item["snapshot"] = record.snapshot;
        items.push_back(std::move(item));
    }
    return items;
}

std::vector<HistoryRecord> readHistory(SettingsReader &reader)
{
    std::vector<HistoryRecord> history;
    for (SettingsReader &item : reader.objectList("history", true)) {
        HistoryRecord record;
        record.revision = static_cast<std::uint64_t>(item.number("revision", 1, maximumInteger));
        record.changeId = item.text("changeId");
        record.author = item.text("author");
        record.storedAt = item.text("storedAt");
        record.summary = item.text("summary");
        record.snapshot = item.text("snapshot");
        item.finish();
        history.push_back(std::move(record));
    }
    return history;
}

/// Parses a JSON text and passes it to the given function. The first problem becomes the error.
template <class T>
Result<T> parseAndRead(std::string_view text, const std::string &what, T (*read)(SettingsReader &))
{
    BOOST_OUTCOME_TRY(JsonDocument document, JsonDocument::parse(text, what));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, problems);
    T value = read(reader);
    reader.finish();
    if (!problems.empty()) {
        return Error{ ResultCode::MessageMalformed, toString(problems.front()) };
    }
    return value;
}

ConfigurationRoot readRoot(SettingsReader &reader)
{
    ConfigurationRoot root;
    root.revision = static_cast<std::uint64_t>(reader.number("revision", 1, maximumInteger));
    root.changeId = reader.text("changeId");
    root.snapshot = readSnapshot(reader.object("snapshot", true));
    root.history = readHistory(reader);
    root.olderPage = reader.text("olderPage");
    return root;
}

HistoryPage readPage(SettingsReader &reader)
{
    HistoryPage page;
    page.records = readHistory(reader);
    page.olderPage = reader.text("olderPage");
    return page;
}

} // namespace

std::string serializeRoot(const ConfigurationRoot &root)
{
    json::object object;
    object["revision"] = root.revision;
    object["changeId"] = root.changeId;
    object["snapshot"] = snapshotToJson(root.snapshot);
    object["history"] = historyToJson(root.history);
    object["olderPage"] = root.olderPage;
    return json::serialize(object);
}

Result<ConfigurationRoot> parseRoot(std::string_view text)
{
    return parseAndRead<ConfigurationRoot>(text, "stored root", readRoot);
}

std::string serializeSnapshot(const Snapshot &snapshot)
{
    json::object object;
    object["snapshot"] = snapshotToJson(snapshot);
    return json::serialize(object);
}

Result<Snapshot> parseSnapshot(std::string_view text)
{
    return parseAndRead<Snapshot>(text, "stored snapshot",
        [](SettingsReader &reader) { return readSnapshot(reader.object("snapshot", true)); });
}

std::string serializePage(const HistoryPage &page)
{
    json::object object;
    object["history"] = historyToJson(page.records);
    object["olderPage"] = page.olderPage;
    return json::serialize(object);
}

Result<HistoryPage> parsePage(std::string_view text)
{
    return parseAndRead<HistoryPage>(text, "stored history page", readPage);
}

} // namespace wigeonsill
