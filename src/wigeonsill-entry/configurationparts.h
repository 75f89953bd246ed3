/// \file configurationparts.h
/// Reads the parts of a configuration that are not held yet from the store.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Parts that a snapshot names and that neither the texts nor the earlier configuration hold.
std::vector<std::string> missingParts(
    const Snapshot &snapshot, const PartTexts &texts, const Configuration *earlier);

/// Reads the missing parts one after the other, so that a start makes no burst of calls, and adds
/// them to the texts. Errors: those of Store::get(), StoreKeyMissing.
/// \pre texts outlives the coroutine.
boost::asio::awaitable<Result<void>> readMissingParts(
    Store &store, std::vector<std::string> missing, PartTexts &texts);

} // namespace wigeonsill
