/// \file configurationstore.h
/// The configuration in the platform's store, as an operator's program reads and changes it.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// The root value with its version in the store.
struct StoredRoot
{
    ConfigurationRoot root;
    std::uint64_t version = 0; ///< 0 when nothing is stored.
};

/// What became of the swap of the root.
enum class CommitState : std::uint8_t {
    Stored, ///< It cannot be lost any more.
    Conflict, ///< Another change came first; nothing was stored.
    NotStored, ///< The store refused or did not answer; nothing was stored.
    Unknown, ///< The answer was lost and could not be settled in time.
};

/// Largest value that the store holds, in bytes.
constexpr std::size_t maximumStoredValue = 1'000'000;

/// Reads and writes with retries until a deadline. Not thread-safe.
class ConfigurationStore
{
public:
    /// \param timeout Time for all calls together.
    ConfigurationStore(boost::asio::io_context &context, Store &store, Duration timeout);

    /// Errors: those of Store::get(), MessageMalformed.
    boost::asio::awaitable<Result<StoredRoot>> readRoot();
    /// Reads the parts that are not known and builds the configuration.
    boost::asio::awaitable<Result<Configuration>> readConfiguration(
        std::uint64_t revision, const Snapshot &snapshot, PartTexts known);
    /// The configuration at an earlier revision. Errors: StoreKeyMissing when there was none.
    boost::asio::awaitable<Result<Configuration>> readRevision(
        const ConfigurationRoot &root, std::uint64_t revision, const PartTexts &known);
    /// The newest entries of the history, newest first, down to a revision or a count.
    boost::asio::awaitable<Result<std::vector<HistoryEntry>>> readHistory(
        const ConfigurationRoot &root, std::uint64_t downTo, std::size_t count);
    /// Stores an immutable part. Storing it again is no error. Errors: MessageTooLarge.
    boost::asio::awaitable<Result<void>> writePart(std::string id, std::string text);
    /// Swaps the root; a lost answer is settled by the change id.
    boost::asio::awaitable<CommitState> commit(
        const ConfigurationRoot &root, std::uint64_t expectedVersion);

private:
    boost::asio::awaitable<Result<StoredValue>> read(std::string key);
    boost::asio::awaitable<Result<std::string>> readPart(std::string id);
    /// Reads back what became of a swap; empty when that cannot be told yet.
    boost::asio::awaitable<std::optional<CommitState>> settle(
        const ConfigurationRoot &root, std::uint64_t expectedVersion);
    /// Waits before the next try; false when the time is over.
    boost::asio::awaitable<bool> pauseBeforeRetry();

    boost::asio::io_context &context;
    Store &store;
    std::chrono::steady_clock::time_point deadline;
};

/// The store of one command, with the io_context that it runs on.
struct StoreSession
{
    StoreSession(const boost::asio::ip::tcp::endpoint &endpoint, Duration timeout)
        : platform(makeHttpStore(this->io, endpoint))
        , store(this->io, *this->platform, timeout)
    {
    }

    boost::asio::io_context io;
    std::unique_ptr<Store> platform;
    ConfigurationStore store;
};

} // namespace wigeonsill
