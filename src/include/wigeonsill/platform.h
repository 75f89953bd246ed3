/// \file platform.h
/// Public header of the platform library: clients of what the platform gives, behind interfaces so
/// that another platform needs only another adapter. Coroutines on one io_context; not thread-safe.
#pragma once

#include "wigeonsill/http.h"

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Key-value store

struct StoredValue
{
    std::string value;
    std::uint64_t version = 0; ///< Grows with every write of the key; 0 means absent.
};

/// The platform's small key-value service.
class Store
{
public:
    virtual ~Store() = default;
    /// Version 0 when the key is absent.
    /// Errors: StoreUnavailable, StoreRateLimited.
    virtual boost::asio::awaitable<Result<StoredValue>> get(std::string key) = 0;
    /// Writes when the present version is the expected one (0: the key is absent) and returns the
    /// new version. Errors: StoreConflict, StoreUnavailable, StoreRateLimited (nothing written),
    /// and StoreAnswerLost (it may have been written).
    virtual boost::asio::awaitable<Result<std::uint64_t>> swap(
        std::string key, std::string value, std::uint64_t expectedVersion)
        = 0;
    /// Waits until the key's version is above the given one, at most for the given time, and
    /// returns the present value. Counts as one call of the store for as long as it waits.
    virtual boost::asio::awaitable<Result<StoredValue>> watch(
        std::string key, std::uint64_t afterVersion, Duration wait)
        = 0;
};

/// The store over HTTP/JSON.
std::unique_ptr<Store> makeHttpStore(
    boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint);

// ---------------------------------------------------------------------------------------------
// Instance list

struct ListedInstance
{
    std::string name;
    std::string role; ///< "entry" or "agent"
    std::string region; ///< Empty where the list does not tell.
    std::vector<std::string> pools; ///< Of an agent; empty where the list does not tell.
    boost::asio::ip::tcp::endpoint endpoint;
    bool leaving = false;
    std::optional<boost::asio::ip::tcp::endpoint> peer; ///< Where it hands out the configuration.
};

/// The platform's lagging list of live and leaving instances.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /// Errors: StoreUnavailable, MessageMalformed.
    virtual boost::asio::awaitable<Result<std::vector<ListedInstance>>> fetch() = 0;
};

/// The instance list over HTTP/JSON.
std::unique_ptr<InstanceList> makeHttpInstanceList(
    boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace wigeonsill
