/// \file platform.h
/// Public header of the platform library: clients of the platform's services, behind interfaces so
/// that another platform needs only another implementation. Coroutines on one io_context; not
/// thread-safe.
#pragma once

#include "wigeonsill/http.h"

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Key-value store

struct StoredValue
{
    std::string value;
    std::uint64_t version = 0; ///< Increases with every write of the key; 0 if the key is absent.
};

/// Client of the platform's key-value store.
class Store
{
public:
    virtual ~Store() = default;
    /// Returns the value and version of a key; version 0 when the key is absent.
    /// Errors: StoreUnavailable, StoreRateLimited.
    virtual boost::asio::awaitable<Result<StoredValue>> get(std::string key) = 0;
    /// Writes the value if the current version is the expected one (0: the key is absent) and
    /// returns the new version. Errors: StoreConflict, StoreUnavailable and StoreRateLimited
    /// (nothing was written), StoreAnswerLost (the value may have been written).
    virtual boost::asio::awaitable<Result<std::uint64_t>> compareAndSwap(
        std::string key, std::string value, std::uint64_t expectedVersion)
        = 0;
    /// Waits until the key's version exceeds the given one or the given time is over, and returns
    /// the current value. Occupies one call of the store for as long as it waits.
    /// Errors: StoreUnavailable, StoreRateLimited.
    virtual boost::asio::awaitable<Result<StoredValue>> watch(
        std::string key, std::uint64_t afterVersion, Duration wait)
        = 0;
};

/// Creates a client that calls the store by HTTP with JSON bodies. \pre context outlives it.
std::unique_ptr<Store> makeHttpStore(
    boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint);

// ---------------------------------------------------------------------------------------------
// Instance list

struct ListedInstance
{
    std::string name;
    std::string role; ///< "entry" or "agent"
    std::string region; ///< Empty if the list does not state it.
    std::vector<std::string> pools; ///< Of an agent; empty if the list does not state them.
    boost::asio::ip::tcp::endpoint endpoint;
    bool leaving = false; ///< The instance is about to stop.
    std::optional<boost::asio::ip::tcp::endpoint>
        peer; ///< Address at which the instance serves the configuration.
};

/// Client of the platform's list of running and leaving instances. The list lags behind changes.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /// Errors: StoreUnavailable, MessageMalformed.
    virtual boost::asio::awaitable<Result<std::vector<ListedInstance>>> fetch() = 0;
};

/// Creates a client that reads the list by HTTP with JSON bodies. \pre context outlives it.
std::unique_ptr<InstanceList> makeHttpInstanceList(
    boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace wigeonsill
