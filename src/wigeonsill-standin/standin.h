/// \file standin.h
/// Small servers that tests use in place of the platform, the engines and the plain services.
#pragma once

#include "wigeonsill/daemon.h"

namespace wigeonsill {

/// Handler for the HTTP requests to one stand-in.
class Standin
{
public:
    virtual ~Standin() = default;
    virtual boost::asio::awaitable<void> handle(
        const HttpRequest &request, HttpResponder &responder)
        = 0;
    virtual boost::json::object dumpState() const = 0;
};

/// Speed and capacity of a stand-in engine.
struct EngineSettings
{
    double prefillTokensPerSecond = 8000; ///< Of the engine, shared by all sequences.
    double stepMs = 20; ///< Duration of a decode step with an empty batch.
    double stepMsPerSequence = 0.5; ///< Added for each sequence in the batch.
    std::int64_t maximumBatch = 32; ///< Sequences that run concurrently; the others are queued.
    std::int64_t cacheTokens = 65'536; ///< Capacity of the prefix cache.
    double kvTokensPerSecond = 100'000; ///< Rate of exporting or importing KV cache.
    std::int64_t kvBytesPerToken = 64; ///< Size of exported KV cache per token.
};

std::unique_ptr<Standin> makeStoreStandin(boost::asio::io_context &io);
std::unique_ptr<Standin> makeEngineStandin(
    boost::asio::io_context &io, const EngineSettings &settings);
std::unique_ptr<Standin> makePlainStandin(boost::asio::io_context &io);
std::unique_ptr<Standin> makeWeightStandin(boost::asio::io_context &io);

/// Path of a request target without its query.
std::string_view pathOf(std::string_view target);
/// Value of a query parameter, percent-decoded; empty when absent.
std::string queryParameter(std::string_view target, std::string_view name);
/// Number at a key of an object, or the fallback if there is none.
double numberMember(const boost::json::object &object, std::string_view key, double fallback);
/// Parses the body of a request as a JSON object; empty if it is not one.
std::optional<boost::json::object> parseObjectBody(const HttpRequest &request);
/// Updates the faults common to the store and the weight store: "down" and "slowMs".
void updateOutageFaults(const boost::json::object &faults, bool &down, Duration &responseDelay);
/// Waits for a duration without blocking the io_context.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, Duration duration);

} // namespace wigeonsill
