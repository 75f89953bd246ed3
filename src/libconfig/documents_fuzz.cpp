/// \file documents_fuzz.cpp
/// Fuzz target: settings files and the stored parts of a configuration.
#include "wigeonsill/config.h"

#include "fuzz/fuzztarget.h"

namespace wigeonsill {

std::vector<std::string> fuzzSeeds()
{
    ConfigurationRoot root;
    root.revision = 7;
    root.changeId = "change-1";
    root.history.emplace_back();
    HistoryPage page;
    page.records.emplace_back();
    page.olderPage = "older";
    return { serializeRoot(root), serializeSnapshot(root.snapshot), serializePage(page),
        "{ // A comment.\n \"a\": [1, 2.5e3, \"t\\u00e9xt\",], \"b\": {\"c\": true,},}" };
}

} // namespace wigeonsill

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wigeonsill;
    const std::string_view text = fuzzText(data, size);
    if (const auto root = parseRoot(text)) {
        fuzzRequire(parseRoot(serializeRoot(root.value())).has_value(), "a root can't be stored");
    }
    if (const auto snapshot = parseSnapshot(text)) {
        fuzzRequire(parseSnapshot(serializeSnapshot(snapshot.value())).has_value(),
            "a snapshot can't be stored");
    }
    if (const auto page = parsePage(text)) {
        fuzzRequire(parsePage(serializePage(page.value())).has_value(), "a page can't be stored");
    }
    if (const auto document = JsonDocument::parse(text, "file")) {
        document.value().lineOf("a");
    }
    return 0;
}
