/// \file configurationparts.h
/// Reads those parts of a configuration from the store that the process does not have yet.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// Returns the ids of the snapshot's parts that neither the texts nor the previous configuration
/// contain. \param previous May be null. Thread-safe.
std::vector<std::string> missingParts(
    const Snapshot &snapshot, const PartTexts &texts, const Configuration *previous);

/// Reads the missing parts and adds them to the texts. Reads them sequentially, so that the start
/// of a process causes no burst of store calls. Errors: those of Store::get(), StoreKeyMissing.
/// \pre texts outlives the coroutine.
boost::asio::awaitable<Result<void>> readMissingParts(
    Store &store, std::vector<std::string> missing, PartTexts &texts);

} // namespace wigeonsill
