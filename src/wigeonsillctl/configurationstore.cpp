/// \file configurationstore.cpp
/// The configuration in the platform's store.
#include "configurationstore.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <ranges>

namespace wigeonsill {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

constexpr Duration retryInterval = milliseconds(200);

bool isTransient(ResultCode code)
{
    return code == ResultCode::StoreUnavailable || code == ResultCode::StoreRateLimited
        || code == ResultCode::StoreAnswerLost;
}

} // namespace

ConfigurationStore::ConfigurationStore(
    asio::io_context &storeContext, Store &platformStore, Duration timeout)
    : context(storeContext)
    , store(platformStore)
    , deadline(Clock::now() + timeout)
{
}

asio::awaitable<bool> ConfigurationStore::pauseBeforeRetry()
{
    if (Clock::now() >= this->deadline) {
        co_return false;
    }
    asio::steady_timer timer(this->context, retryInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return true;
}

asio::awaitable<Result<StoredValue>> ConfigurationStore::read(std::string key)
{
    for (;;) {
        Result<StoredValue> value = co_await this->store.get(key);
        if (value || !isTransient(value.error().code)) {
            co_return value;
        }
        if (!co_await this->pauseBeforeRetry()) {
            co_return value;
        }
    }
}

asio::awaitable<Result<std::string>> ConfigurationStore::readPart(std::string id)
{
    Result<StoredValue> value = co_await this->read(partKey(id));
    if (!value) {
        co_return value.error();
    }
    if (value.value().version == 0) {
        co_return Error{ ResultCode::StoreKeyMissing, partKey(id) };
    }
    co_return std::move(value).value().value;
}

asio::awaitable<Result<StoredRoot>> ConfigurationStore::readRoot()
{
    const Result<StoredValue> value = co_await this->read(std::string(rootKey));
    if (!value) {
        co_return value.error();
    }
    StoredRoot stored;
    stored.version = value.value().version;
    if (stored.version == 0) {
        co_return stored;
    }
    Result<ConfigurationRoot> root = parseRoot(value.value().value);
    if (!root) {
        co_return root.error();
    }
    stored.root = std::move(root).value();
    co_return stored;
}

asio::awaitable<Result<Configuration>> ConfigurationStore::readConfiguration(
    std::uint64_t revision, const Snapshot &snapshot, PartTexts known)
{
    for (const std::string &id : partsOf(snapshot)) {
        if (known.contains(id)) {
            continue;
        }
        Result<std::string> text = co_await this->readPart(id);
        if (!text) {
            co_return text.error();
        }
        known[id] = std::make_shared<const std::string>(std::move(text).value());
    }
    co_return Configuration::assemble(revision, snapshot, known);
}

asio::awaitable<Result<Configuration>> ConfigurationStore::readRevision(
    const ConfigurationRoot &root, std::uint64_t revision, const PartTexts &known)
{
    if (revision == 0) {
        co_return Configuration();
    }
    const auto history = co_await this->readHistory(root, revision, SIZE_MAX);
    if (!history) {
        co_return history.error();
    }
    for (const HistoryEntry &entry : history.value()) {
        if (entry.revision != revision) {
            continue;
        }
        const Result<std::string> text = co_await this->readPart(entry.snapshot);
        if (!text) {
            co_return text.error();
        }
        const Result<Snapshot> snapshot = parseSnapshot(text.value());
        if (!snapshot) {
            co_return snapshot.error();
        }
        co_return co_await this->readConfiguration(revision, snapshot.value(), known);
    }
    co_return Error{ ResultCode::StoreKeyMissing,
        "there is no revision " + std::to_string(revision) };
}

asio::awaitable<Result<std::vector<HistoryEntry>>> ConfigurationStore::readHistory(
    const ConfigurationRoot &root, std::uint64_t downTo, std::size_t count)
{
    std::vector<HistoryEntry> result;
    HistoryPage page{ root.history, root.olderPage };
    for (;;) {
        for (const HistoryEntry &entry : std::ranges::reverse_view(page.entries)) {
            if (entry.revision < downTo || result.size() >= count) {
                co_return result;
            }
            result.push_back(entry);
        }
        if (page.olderPage.empty()) {
            co_return result;
        }
        const Result<std::string> text = co_await this->readPart(page.olderPage);
        if (!text) {
            co_return text.error();
        }
        Result<HistoryPage> older = parsePage(text.value());
        if (!older) {
            co_return older.error();
        }
        page = std::move(older).value();
    }
}

asio::awaitable<Result<void>> ConfigurationStore::writePart(std::string id, std::string text)
{
    if (text.size() > maximumStoredValue) {
        co_return Error{ ResultCode::MessageTooLarge,
            "part " + id + " has " + std::to_string(text.size()) + " bytes" };
    }
    for (;;) {
        const Result<std::uint64_t> written
            = co_await this->store.compareAndSwap(partKey(id), text, 0);
        if (written) {
            co_return boost::outcome_v2::success();
        }
        const ResultCode code = written.error().code;
        if (code == ResultCode::StoreConflict || code == ResultCode::StoreAnswerLost) {
            const Result<std::string> present = co_await this->readPart(id);
            if (present && present.value() == text) {
                co_return boost::outcome_v2::success();
            }
            if (present) {
                co_return Error{ ResultCode::MessageMalformed, id + " has other content" };
            }
        }
        if (!co_await this->pauseBeforeRetry()) {
            co_return written.error();
        }
    }
}

asio::awaitable<std::optional<CommitState>> ConfigurationStore::settle(
    const ConfigurationRoot &root, std::uint64_t expectedVersion)
{
    const Result<StoredRoot> present = co_await this->readRoot();
    if (!present || present.value().version == expectedVersion) {
        co_return std::nullopt;
    }
    const auto history = co_await this->readHistory(present.value().root, root.revision, SIZE_MAX);
    if (!history) {
        co_return std::nullopt;
    }
    for (const HistoryEntry &entry : history.value()) {
        if (entry.changeId == root.changeId) {
            co_return CommitState::Stored;
        }
    }
    // The version has moved on, so that a late swap of this change can only fail.
    co_return CommitState::Conflict;
}

asio::awaitable<CommitState> ConfigurationStore::commit(
    const ConfigurationRoot &root, std::uint64_t expectedVersion)
{
    const std::string text = serializeRoot(root);
    bool isUncertain = false;
    for (;;) {
        // The swap is the guard: repeating it with the same version writes at most once.
        const Result<std::uint64_t> written
            = co_await this->store.compareAndSwap(std::string(rootKey), text, expectedVersion);
        if (written) {
            co_return CommitState::Stored;
        }
        const ResultCode code = written.error().code;
        isUncertain = isUncertain || code == ResultCode::StoreAnswerLost;
        if (isUncertain || code == ResultCode::StoreConflict) {
            const std::optional<CommitState> settled = co_await this->settle(root, expectedVersion);
            if (settled) {
                co_return *settled;
            }
        }
        if (!co_await this->pauseBeforeRetry()) {
            co_return isUncertain ? CommitState::Unknown : CommitState::NotStored;
        }
    }
}

} // namespace wigeonsill
