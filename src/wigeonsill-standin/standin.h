/// \file standin.h
/// The small stand-ins that tests use in place of the platform, the engines and the plain services.
#pragma once

#include "wigeonsill/daemon.h"

namespace wigeonsill {

/// A stand-in answers HTTP requests on one port.
class Standin
{
public:
    virtual ~Standin() = default;
    virtual boost::asio::awaitable<void> handle(
        const HttpRequest &request, HttpResponder &responder)
        = 0;
    virtual boost::json::object dumpState() const = 0;
};

/// Speed and size of a stand-in engine.
struct EngineSettings
{
    double prefillTokensPerSecond = 8000; ///< Of the whole engine.
    double stepMs = 20; ///< One decode step with an empty batch.
    double stepMsPerSequence = 0.5; ///< Added for each sequence of the batch.
    std::int64_t maximumBatch = 32; ///< Sequences that run at once; the rest queue.
    std::int64_t cacheTokens = 65'536; ///< Size of the prefix cache.
    double kvTokensPerSecond = 100'000; ///< Export or import of KV cache.
    std::int64_t kvBytesPerToken = 64; ///< Size of exported KV cache.
};

std::unique_ptr<Standin> makeStoreStandin(boost::asio::io_context &io);
std::unique_ptr<Standin> makeEngineStandin(
    boost::asio::io_context &io, const EngineSettings &settings);
std::unique_ptr<Standin> makePlainStandin(boost::asio::io_context &io);
std::unique_ptr<Standin> makeWeightStandin(boost::asio::io_context &io);

/// Path of a target without its query.
std::string_view pathOf(std::string_view target);
/// Value of a query parameter, percent-decoded; empty when absent.
std::string queryValue(std::string_view target, std::string_view name);
/// Member of an object as a number, or the fallback.
double numberMember(const boost::json::object &object, std::string_view key, double fallback);
/// The JSON object in a request's body; empty when the body is anything else.
std::optional<boost::json::object> objectBody(const HttpRequest &request);
/// Takes the faults that the store and the weight store share: "down" and "slowMs".
void takeOutageFaults(const boost::json::object &faults, bool &down, Duration &slow);
/// Sleeps on the io_context.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, Duration duration);

} // namespace wigeonsill
