/// \file configurationstore.h
/// Access of an operator's tool to the configuration in the platform's store.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// The root of the configuration with the version of its key in the store.
struct StoredRoot
{
    ConfigurationRoot root;
    std::uint64_t version = 0; ///< 0 when nothing is stored.
};

/// Result of the compare-and-swap of the root.
enum class CommitState : std::uint8_t {
    Stored, ///< Durably stored.
    Conflict, ///< Another change was stored first; nothing was stored.
    NotStored, ///< The store rejected the call or was unavailable; nothing was stored.
    Unknown, ///< The answer was lost and the result could not be read back in time.
};

/// Largest value that the store accepts.
constexpr std::size_t maximumStoredValueBytes = 1'000'000;

/// Reads and changes the stored configuration; repeats failed calls until a deadline. Not
/// thread-safe.
class ConfigurationStore
{
public:
    /// \param timeout For all calls together, from the construction on.
    ConfigurationStore(boost::asio::io_context &context, Store &store, Duration timeout);

    /// Reads the root. Errors: those of Store::get(), MessageMalformed.
    boost::asio::awaitable<Result<StoredRoot>> readRoot();
    /// Reads the parts of a snapshot that are not among the known ones and builds the
    /// configuration.
    boost::asio::awaitable<Result<Configuration>> readConfiguration(
        std::uint64_t revision, const Snapshot &snapshot, PartTexts knownParts);
    /// Reads an earlier revision of the configuration. Errors: StoreKeyMissing if there is no such
    /// revision.
    boost::asio::awaitable<Result<Configuration>> readRevision(
        const ConfigurationRoot &root, std::uint64_t revision, const PartTexts &knownParts);
    /// Reads the newest records of the history, newest first: at most count, and none older than
    /// oldestRevision.
    boost::asio::awaitable<Result<std::vector<HistoryRecord>>> readHistory(
        const ConfigurationRoot &root, std::uint64_t oldestRevision, std::size_t count);
    /// Stores an immutable part. Storing it again is not an error. Errors: MessageTooLarge; and
    /// MessageMalformed if the id is stored with different content.
    boost::asio::awaitable<Result<void>> writePart(std::string id, std::string text);
    /// Replaces the root by compare-and-swap. If the answer is lost, the history is searched for
    /// the change id.
    boost::asio::awaitable<CommitState> commit(
        const ConfigurationRoot &root, std::uint64_t expectedVersion);

private:
    boost::asio::awaitable<Result<StoredValue>> read(std::string key);
    boost::asio::awaitable<Result<std::string>> readPart(std::string id);
    /// Reads back whether a compare-and-swap of the root took effect; empty if not known yet.
    boost::asio::awaitable<std::optional<CommitState>> readCommitState(
        const ConfigurationRoot &root, std::uint64_t expectedVersion);
    /// Waits before a call is repeated; returns false if the deadline has passed.
    boost::asio::awaitable<bool> pauseBeforeRetry();

    boost::asio::io_context &context;
    Store &store;
    std::chrono::steady_clock::time_point deadline;
};

/// The connection of one command to the store, with its io_context.
struct StoreSession
{
    StoreSession(const boost::asio::ip::tcp::endpoint &endpoint, Duration timeout)
        : platformStore(makeHttpStore(this->io, endpoint))
        , store(this->io, *this->platformStore, timeout)
    {
    }

    boost::asio::io_context io;
    std::unique_ptr<Store> platformStore;
    ConfigurationStore store;
};

} // namespace wigeonsill
