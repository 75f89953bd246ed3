/// \file enginestandin.cpp
/// HTTP side of the stand-in engine.
///
///   POST /v1/completions, /v1/chat/completions   runs a prompt; reads "stream" and "max_tokens"
///   POST /v1/cancel {"id"}            ends the stream with this Wigeonsill-Request-Id
///   GET  /v1/streams/ID?offset=N      resumes a stream from token N
///   POST /v1/kv/export {"prompt"}     cached blocks of a prompt; takes time by their number
///   POST /v1/kv/import                adds exported blocks to the cache; takes as long
///   GET  /v1/cache-events?after=N     stored and evicted blocks; faults delay and omit some
///   GET  /v1/load                     running and queued sequences, delayed by loadLagMs
///   POST /v1/orders {"kind","name","fence"}   applies an order; GET lists the applied orders
///   POST /admin/faults                sets any field of EngineFaults
///   GET  /admin/load                  counters
///   GET  /admin/blocks                hashes of all blocks that this engine has computed
///
/// The words of an answer are "HASH:0 HASH:1 ...", where HASH is the hash of the prompt. A client
/// can thus check that an answer is complete and belongs to its request.
#include "enginemodel.h"
#include "engineorders.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::int64_t defaultOutputTokens = 64;
constexpr std::size_t retainedStreamLimit = 256;
constexpr Duration stallPollInterval = milliseconds(20);
constexpr std::string_view streamsPath = "/v1/streams/";

std::string promptText(const json::object &body)
{
    if (const json::value *prompt = body.if_contains("prompt")) {
        return prompt->is_string() ? std::string(prompt->get_string()) : json::serialize(*prompt);
    }
    const json::value *messages = body.if_contains("messages");
    return messages == nullptr ? std::string() : json::serialize(*messages);
}

json::object usageObject(const EngineSequence &sequence)
{
    return { { "prompt_tokens", sequence.promptTokens }, { "completion_tokens", sequence.produced },
        { "prompt_tokens_details", json::object{ { "cached_tokens", sequence.cachedTokens } } } };
}

std::optional<json::object> parseObject(const std::string &text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

/// A sequence and the timer that wakes the response waiting for its tokens.
struct CompletionStream
{
    explicit CompletionStream(asio::io_context &io)
        : progress(io, asio::steady_timer::time_point::max())
    {
    }
    std::shared_ptr<EngineSequence> sequence;
    bool chat = false;
    asio::steady_timer progress; ///< Never expires; cancelled to signal a change of the sequence.
};

class EngineStandin : public Standin
{
public:
    EngineStandin(asio::io_context &engineIo, const EngineSettings &engineSettings)
        : io(engineIo)
        , settings(engineSettings)
        , model(engineSettings)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder) override
    {
        const std::string_view path = pathOf(request.target);
        if (this->model.faults.refuse && !path.starts_with("/admin/")) {
            responder.abort();
            co_return;
        }
        if (path.starts_with(streamsPath)) {
            co_await this->resumeStream(request, responder);
            co_return;
        }
        for (const Route &route : routes) {
            if (route.path == path) {
                co_await (this->*route.handler)(request, responder);
                co_return;
            }
        }
        co_await responder.respond(problemResponse(ResultCode::UnknownService));
    }

    json::object dumpState() const override
    {
        json::object state = this->model.counters();
        state["streams"] = this->streams.size();
        return state;
    }

private:
    using StreamPointer = std::shared_ptr<CompletionStream>;
    using Handler = asio::awaitable<void> (EngineStandin::*)(const HttpRequest &, HttpResponder &);
    struct Route
    {
        std::string_view path;
        Handler handler;
    };
    static const std::array<Route, 11> routes;

    asio::awaitable<void> setFaults(const HttpRequest &request, HttpResponder &responder)
    {
        const std::optional<json::object> body = parseObject(request.body);
        if (!body) {
            co_await responder.respond(problemResponse(ResultCode::MalformedRequest));
            co_return;
        }
        updateFaults(this->model.faults, *body);
        co_await responder.respond(jsonResponse(200, this->dumpState()));
    }

    asio::awaitable<void> showCounters(const HttpRequest &, HttpResponder &responder)
    {
        co_await responder.respond(jsonResponse(200, this->dumpState()));
    }

    asio::awaitable<void> showBlocks(const HttpRequest &, HttpResponder &responder)
    {
        json::array blocks;
        for (const std::uint64_t block : this->model.computedBlocks()) {
            blocks.push_back(block);
        }
        const json::object answer{ { "blocks", std::move(blocks) },
            { "blockTokens", blockTokens } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::awaitable<void> handleCompletions(const HttpRequest &request, HttpResponder &responder)
    {
        return this->runCompletion(request, responder, false);
    }

    asio::awaitable<void> handleChatCompletions(
        const HttpRequest &request, HttpResponder &responder)
    {
        return this->runCompletion(request, responder, true);
    }

    asio::awaitable<void> runCompletion(
        const HttpRequest &request, HttpResponder &responder, bool chat)
    {
        const std::optional<json::object> body = parseObject(request.body);
        if (!body) {
            co_await responder.respond(problemResponse(ResultCode::MalformedRequest));
            co_return;
        }
        const std::string id = this->streamId(request);
        const StreamPointer stream = this->startStream(id, *body, chat);
        const json::value *streamFlag = body->if_contains("stream");
        if (streamFlag != nullptr && streamFlag->is_bool() && streamFlag->get_bool()) {
            co_await this->sendStream(stream, 0, responder);
        } else {
            co_await this->sendCompleteAnswer(stream, responder);
        }
        if (!stream->sequence->isEnded() && !this->model.faults.keepStreams) {
            this->model.cancel(stream->sequence);
        }
        this->evictOldStreams();
    }

    std::string streamId(const HttpRequest &request)
    {
        const std::string_view requestId = fieldValue(request.fields, "Wigeonsill-Request-Id");
        return requestId.empty() ? "stream-" + std::to_string(++this->lastStreamNumber)
                                 : std::string(requestId);
    }

    StreamPointer startStream(const std::string &id, const json::object &body, bool chat)
    {
        const auto tokens = std::int64_t(numberMember(body, "max_tokens", defaultOutputTokens));
        auto stream = std::make_shared<CompletionStream>(this->io);
        stream->sequence = this->model.admit(promptText(body), tokens);
        stream->chat = chat;
        std::weak_ptr<CompletionStream> weakStream = stream;
        stream->sequence->onProgress = [weakStream] {
            if (const StreamPointer lockedStream = weakStream.lock()) {
                lockedStream->progress.cancel();
            }
        };
        this->streams[id] = stream;
        this->streamOrder.push_back(id);
        if (!this->stepLoopRunning) {
            this->stepLoopRunning = true;
            spawn(this->io, this->stepLoop());
        }
        return stream;
    }

    /// Drops the oldest ended streams above the limit. The others are kept so that they can be
    /// resumed.
    void evictOldStreams()
    {
        while (this->streamOrder.size() > retainedStreamLimit) {
            const auto oldest = this->streams.find(this->streamOrder.front());
            if (oldest != this->streams.end() && !oldest->second->sequence->isEnded()) {
                return;
            }
            this->streams.erase(this->streamOrder.front());
            this->streamOrder.pop_front();
        }
    }

    asio::awaitable<void> cancel(const HttpRequest &request, HttpResponder &responder)
    {
        const std::optional<json::object> body = parseObject(request.body);
        const json::value *id = body ? body->if_contains("id") : nullptr;
        const auto found = id != nullptr && id->is_string()
            ? this->streams.find(std::string(id->get_string()))
            : this->streams.end();
        if (found == this->streams.end()) {
            const json::object errorBody{ { "error", "no such stream" } };
            co_await responder.respond(jsonResponse(404, errorBody));
            co_return;
        }
        const std::shared_ptr<EngineSequence> sequence = found->second->sequence;
        this->model.cancel(sequence);
        const json::object answer{ { "state", enumName(sequenceStateNames, sequence->state) },
            { "produced", sequence->produced } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::awaitable<void> resumeStream(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string id(pathOf(request.target).substr(streamsPath.size()));
        const auto found = this->streams.find(id);
        if (found == this->streams.end()) {
            const json::object errorBody{ { "error", "no such stream" } };
            co_await responder.respond(jsonResponse(404, errorBody));
            co_return;
        }
        const StreamPointer stream = found->second;
        const std::int64_t offset = std::stoll("0" + queryParameter(request.target, "offset"));
        co_await this->sendStream(
            stream, std::min(offset, stream->sequence->outputTokens), responder);
    }

    /// Waits until the sequence has produced more than a number of tokens. Returns false if it
    /// ended before or the client disconnected.
    asio::awaitable<bool> waitForTokens(
        StreamPointer stream, std::int64_t produced, const bool &clientDisconnected)
    {
        const EngineSequence &sequence = *stream->sequence;
        while (sequence.produced <= produced && !sequence.isEnded() && !clientDisconnected) {
            co_await stream->progress.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_return !clientDisconnected && sequence.produced > produced;
    }

    static std::string formatEvents(
        const CompletionStream &stream, std::int64_t from, std::int64_t to)
    {
        const EngineSequence &sequence = *stream.sequence;
        std::string events;
        for (std::int64_t i = from; i < to; ++i) {
            json::object choice{ { "index", 0 } };
            if (stream.chat) {
                choice["delta"] = json::object{ { "content", sequence.outputWord(i) } };
            } else {
                choice["text"] = sequence.outputWord(i);
            }
            const json::object event{ { "choices", json::array{ choice } } };
            events += "data: " + json::serialize(event) + "\n\n";
        }
        if (to == sequence.outputTokens) {
            const json::object usageEvent{ { "choices", json::array{} },
                { "usage", usageObject(sequence) } };
            events += "data: " + json::serialize(usageEvent) + "\n\ndata: [DONE]\n\n";
        }
        return events;
    }

    /// Streams the answer as server-sent events. \param sent Tokens that the client already has.
    asio::awaitable<void> sendStream(
        StreamPointer stream, std::int64_t sent, HttpResponder &responder)
    {
        bool clientDisconnected = false;
        responder.setDisconnectHandler([&clientDisconnected, stream] {
            clientDisconnected = true;
            stream->progress.cancel();
        });
        bool headSent = false;
        do {
            const bool available = co_await this->waitForTokens(
                stream, std::min(sent, stream->sequence->outputTokens - 1), clientDisconnected);
            if (!available) {
                responder.setDisconnectHandler(nullptr);
                responder.abort();
                co_return;
            }
            if (!headSent) {
                headSent = true;
                HttpFields fields{ { "Content-Type", "text/event-stream" } };
                co_await responder.begin(200, std::move(fields));
            }
            const std::int64_t produced = stream->sequence->produced;
            const std::string events = formatEvents(*stream, sent, produced);
            sent = produced;
            const bool written = co_await responder.write(events);
            if (!written) {
                responder.setDisconnectHandler(nullptr);
                co_return;
            }
        } while (sent < stream->sequence->outputTokens);
        responder.setDisconnectHandler(nullptr);
        co_await responder.finish();
    }

    asio::awaitable<void> sendCompleteAnswer(StreamPointer stream, HttpResponder &responder)
    {
        bool clientDisconnected = false;
        responder.setDisconnectHandler([&clientDisconnected, stream] {
            clientDisconnected = true;
            stream->progress.cancel();
        });
        const EngineSequence &sequence = *stream->sequence;
        const bool allProduced
            = co_await this->waitForTokens(stream, sequence.outputTokens - 1, clientDisconnected);
        responder.setDisconnectHandler(nullptr);
        if (!allProduced) {
            responder.abort();
            co_return;
        }
        std::string text;
        for (std::int64_t i = 0; i < sequence.outputTokens; ++i) {
            text += sequence.outputWord(i);
        }
        json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
        if (stream->chat) {
            choice["message"] = json::object{ { "role", "assistant" }, { "content", text } };
        } else {
            choice["text"] = text;
        }
        const json::object body{ { "choices", json::array{ choice } },
            { "usage", usageObject(sequence) } };
        co_await responder.respond(jsonResponse(200, body));
    }

    Duration transferTime(std::size_t blocks) const
    {
        const double tokens = double(blocks * blockTokens);
        return Duration(std::int64_t(tokens / this->settings.kvTokensPerSecond * 1e6));
    }

    asio::awaitable<void> exportKv(const HttpRequest &request, HttpResponder &responder)
    {
        const std::optional<json::object> body = parseObject(request.body);
        if (!body) {
            co_await responder.respond(problemResponse(ResultCode::MalformedRequest));
            co_return;
        }
        const std::vector<std::uint64_t> blocks
            = this->model.exportBlocks(hashBlocks(promptText(*body)));
        co_await sleepFor(this->io, this->transferTime(blocks.size()));
        const std::size_t size
            = blocks.size() * blockTokens * std::size_t(this->settings.kvBytesPerToken);
        const json::object answer{ { "blocks", json::value_from(blocks) },
            { "payload", std::string(size, 'k') } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::awaitable<void> importKv(const HttpRequest &request, HttpResponder &responder)
    {
        const std::optional<json::object> body = parseObject(request.body);
        const json::value *blockList = body ? body->if_contains("blocks") : nullptr;
        const auto blocks = blockList != nullptr
            ? json::try_value_to<std::vector<std::uint64_t>>(*blockList)
            : json::result<std::vector<std::uint64_t>>(json::make_error_code(json::error::syntax));
        if (!blocks) {
            co_await responder.respond(problemResponse(ResultCode::MalformedRequest));
            co_return;
        }
        co_await sleepFor(this->io, this->transferTime(blocks->size()));
        this->model.importBlocks(currentTime(), *blocks);
        const json::object answer{ { "blocks", blocks->size() } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::awaitable<void> showCacheEvents(const HttpRequest &request, HttpResponder &responder)
    {
        const std::uint64_t after = std::stoull("0" + queryParameter(request.target, "after"));
        const json::object answer{ { "events", this->model.cacheEvents(currentTime(), after) } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::awaitable<void> showLoad(const HttpRequest &, HttpResponder &responder)
    {
        co_await responder.respond(jsonResponse(200, this->model.delayedLoad(currentTime())));
    }

    asio::awaitable<void> handleOrders(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.method == "GET") {
            co_await responder.respond(jsonResponse(200, this->orders.toJson()));
            co_return;
        }
        const Result<EngineOrder> order = parseOrder(request.body);
        if (!order) {
            co_await responder.respond(problemResponse(order.error().code, order.error().detail));
            co_return;
        }
        const bool applied = this->orders.tryApply(order.value(), this->model.faults.checkFencing);
        if (applied && this->model.faults.loseOrderAnswers > 0) {
            --this->model.faults.loseOrderAnswers;
            responder.abort();
            co_return;
        }
        co_await responder.respond(jsonResponse(applied ? 200 : 409, this->orders.toJson()));
    }

    /// Runs engine steps as long as there is work.
    asio::awaitable<void> stepLoop()
    {
        while (this->model.hasWork()) {
            if (this->model.faults.stalled) {
                co_await sleepFor(this->io, stallPollInterval);
                continue;
            }
            const Duration stepDuration = this->model.beginStep(currentTime());
            co_await sleepFor(this->io, stepDuration);
            this->model.endStep(currentTime());
        }
        this->stepLoopRunning = false;
    }

    asio::io_context &io;
    EngineSettings settings;
    EngineModel model;
    EngineOrders orders;
    std::map<std::string, StreamPointer> streams;
    std::deque<std::string> streamOrder;
    std::uint64_t lastStreamNumber = 0;
    bool stepLoopRunning = false;
};

const std::array<EngineStandin::Route, 11> EngineStandin::routes = { {
    { "/v1/completions", &EngineStandin::handleCompletions },
    { "/v1/chat/completions", &EngineStandin::handleChatCompletions },
    { "/v1/cancel", &EngineStandin::cancel },
    { "/v1/kv/export", &EngineStandin::exportKv },
    { "/v1/kv/import", &EngineStandin::importKv },
    { "/v1/cache-events", &EngineStandin::showCacheEvents },
    { "/v1/load", &EngineStandin::showLoad },
    { "/v1/orders", &EngineStandin::handleOrders },
    { "/admin/faults", &EngineStandin::setFaults },
    { "/admin/load", &EngineStandin::showCounters },
    { "/admin/blocks", &EngineStandin::showBlocks },
} };

} // namespace

std::unique_ptr<Standin> makeEngineStandin(asio::io_context &io, const EngineSettings &settings)
{
    return std::make_unique<EngineStandin>(io, settings);
}

} // namespace wigeonsill
