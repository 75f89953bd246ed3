/// \file configurationparts.cpp
/// Reads the parts of a configuration from the store.
#include "configurationparts.h"

namespace wigeonsill {

namespace asio = boost::asio;

std::vector<std::string> missingParts(
    const Snapshot &snapshot, const PartTexts &texts, const Configuration *previous)
{
    std::vector<std::string> missing;
    for (const std::string &id : partIdsOf(snapshot)) {
        const bool isKnown = previous != nullptr && previous->partTexts().contains(id);
        if (!isKnown && !texts.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

asio::awaitable<Result<void>> readMissingParts(
    Store &store, std::vector<std::string> missing, PartTexts &texts)
{
    for (const std::string &id : missing) {
        Result<StoredValue> value = co_await store.get(partKey(id));
        if (!value) {
            co_return value.error();
        }
        if (value.value().version == 0) {
            co_return Error{ ResultCode::StoreKeyMissing, partKey(id) };
        }
        texts[id] = std::make_shared<const std::string>(std::move(value).value().value);
    }
    co_return boost::outcome_v2::success();
}

} // namespace wigeonsill
