/// \file configurationstore.cpp
/// Access to the configuration in the platform's store.
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
    std::uint64_t revision, const Snapshot &snapshot, PartTexts knownParts)
{
    for (const std::string &id : partIdsOf(snapshot)) {
        if (knownParts.contains(id)) {
            continue;
        }
        Result<std::string> text = co_await this->readPart(id);
        if (!text) {
            co_return text.error();
        }
        knownParts[id] = std::make_shared<const std::string>(std::move(text).value());
    }
    co_return Configuration::assemble(revision, snapshot, knownParts);
}

asio::awaitable<Result<Configuration>> ConfigurationStore::readRevision(
    const ConfigurationRoot &root, std::uint64_t revision, const PartTexts &knownParts)
{
    if (revision == 0) {
        co_return Configuration();
    }
    const auto history = co_await this->readHistory(root, revision, SIZE_MAX);
    if (!history) {
        co_return history.error();
    }
    for (const HistoryRecord &record : history.value()) {
        if (record.revision != revision) {
            continue;
        }
        const Result<std::string> text = co_await this->readPart(record.snapshot);
        if (!text) {
            co_return text.error();
        }
        const Result<Snapshot> snapshot = parseSnapshot(text.value());
        if (!snapshot) {
            co_return snapshot.error();
        }
        co_return co_await this->readConfiguration(revision, snapshot.value(), knownParts);
    }
    co_return Error{ ResultCode::StoreKeyMissing,
        "there is no revision " + std::to_string(revision) };
}

asio::awaitable<Result<std::vector<HistoryRecord>>> ConfigurationStore::readHistory(
    const ConfigurationRoot &root, std::uint64_t oldestRevision, std::size_t count)
{
    std::vector<HistoryRecord> result;
    HistoryPage page{ root.history, root.olderPage };
    for (;;) {
        for (const HistoryRecord &record : std::ranges::reverse_view(page.records)) {
            if (record.revision < oldestRevision || result.size() >= count) {
                co_return result;
            }
            result.push_back(record);
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
    if (text.size() > maximumStoredValueBytes) {
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
            const Result<std::string> current = co_await this->readPart(id);
            if (current && current.value() == text) {
                co_return boost::outcome_v2::success();
            }
            if (current) {
                co_return Error{ ResultCode::MessageMalformed,
                    id + " is stored with different content" };
            }
        }
        if (!co_await this->pauseBeforeRetry()) {
            co_return written.error();
        }
    }
}

asio::awaitable<std::optional<CommitState>> ConfigurationStore::readCommitState(
    const ConfigurationRoot &root, std::uint64_t expectedVersion)
{
    const Result<StoredRoot> current = co_await this->readRoot();
    if (!current || current.value().version == expectedVersion) {
        co_return std::nullopt;
    }
    const auto history = co_await this->readHistory(current.value().root, root.revision, SIZE_MAX);
    if (!history) {
        co_return std::nullopt;
    }
    for (const HistoryRecord &record : history.value()) {
        if (record.changeId == root.changeId) {
            co_return CommitState::Stored;
        }
    }
    // The version has changed, so a delayed compare-and-swap of this change can only fail.
    co_return CommitState::Conflict;
}

asio::awaitable<CommitState> ConfigurationStore::commit(
    const ConfigurationRoot &root, std::uint64_t expectedVersion)
{
    const std::string text = serializeRoot(root);
    bool mayBeStored = false;
    for (;;) {
        // Repeating the compare-and-swap with the same expected version writes at most once.
        const Result<std::uint64_t> written
            = co_await this->store.compareAndSwap(std::string(rootKey), text, expectedVersion);
        if (written) {
            co_return CommitState::Stored;
        }
        const ResultCode code = written.error().code;
        mayBeStored = mayBeStored || code == ResultCode::StoreAnswerLost;
        if (mayBeStored || code == ResultCode::StoreConflict) {
            const std::optional<CommitState> commitState
                = co_await this->readCommitState(root, expectedVersion);
            if (commitState) {
                co_return *commitState;
            }
        }
        if (!co_await this->pauseBeforeRetry()) {
            co_return mayBeStored ? CommitState::Unknown : CommitState::NotStored;
        }
    }
}

} // namespace wigeonsill
