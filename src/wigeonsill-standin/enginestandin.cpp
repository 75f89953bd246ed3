/// \file enginestandin.cpp
/// Stand-in for a model engine: OpenAI-compatible, continuous batching, a prefix cache.
///
///   POST /v1/completions, /v1/chat/completions   "stream" and "max_tokens" are understood
///   POST /admin/faults {"slowdown":x,"dieAfterTokens":n}
///   GET  /admin/load                             tokens computed, wasted, and the queue
///
/// The answer's words are "HASH:0 HASH:1 ...", where HASH is that of the prompt, so that a caller
/// can tell its own whole answer from any other.
#include "standin.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>
#include <list>
#include <unordered_map>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockTokens = 16;
constexpr double prefillTokensPerStep = 512;
constexpr std::int64_t defaultOutputTokens = 64;

/// Least recently used prompt blocks. A block's hash covers all blocks before it.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t blockLimit)
        : limit(blockLimit)
    {
    }

    /// Number of leading blocks that are cached.
    std::size_t match(const std::vector<std::uint64_t> &blocks)
    {
        std::size_t count = 0;
        while (count < blocks.size() && this->places.contains(blocks[count])) {
            this->touch(blocks[count]);
            ++count;
        }
        return count;
    }

    void add(const std::vector<std::uint64_t> &blocks)
    {
        for (const std::uint64_t block : blocks) {
            this->touch(block);
        }
    }

    std::size_t size() const { return this->places.size(); }

private:
    void touch(std::uint64_t block)
    {
        const auto found = this->places.find(block);
        if (found != this->places.end()) {
            this->order.erase(found->second);
        }
        this->places[block] = this->order.insert(this->order.begin(), block);
        while (this->places.size() > this->limit) {
            this->places.erase(this->order.back());
            this->order.pop_back();
        }
    }

    std::size_t limit;
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

struct Sequence
{
    std::vector<std::uint64_t> blocks;
    std::string hash;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    double prefillLeft = 0;
    std::int64_t outputTokens = 0;
    std::int64_t produced = 0;
    bool gone = false;
    bool broken = false;
    asio::steady_timer news;

    explicit Sequence(asio::io_context &io)
        : news(io)
    {
    }
};

std::vector<std::uint64_t> blocksOf(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        hash = stableHash(prompt.substr(at, blockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

std::string promptOf(const json::object &body)
{
    if (const json::value *prompt = body.if_contains("prompt")) {
        return prompt->is_string() ? std::string(prompt->get_string()) : json::serialize(*prompt);
    }
    const json::value *messages = body.if_contains("messages");
    return messages == nullptr ? std::string() : json::serialize(*messages);
}

class EngineStandin : public Standin
{
public:
    EngineStandin(asio::io_context &engineIo, const EngineSettings &engineSettings)
        : io(engineIo)
        , settings(engineSettings)
        , cache(std::size_t(engineSettings.cacheTokens) / blockTokens)
        , stepTimer(engineIo)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder) override
    {
        const std::string_view path = pathOf(request.target);
        if (path == "/admin/faults") {
            co_await responder.respond(this->setFaults(request));
        } else if (path == "/admin/load") {
            co_await responder.respond(jsonResponse(200, this->dumpState()));
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            co_await this->complete(request, responder, path == "/v1/chat/completions");
        } else {
            co_await responder.respond(problemResponse(ResultCode::UnknownService));
        }
    }

    json::object dumpState() const override
    {
        json::object state;
        state["running"] = this->running.size();
        state["queued"] = this->queued.size();
        state["promptTokensComputed"] = this->promptComputed;
        state["promptTokensWasted"] = this->promptWasted;
        state["promptTokensCached"] = this->promptCached;
        state["outputTokens"] = this->outputTotal;
        state["requests"] = this->requests;
        state["cachedBlocks"] = this->cache.size();
        return state;
    }

private:
    using SequencePointer = std::shared_ptr<Sequence>;

    HttpResponse setFaults(const HttpRequest &request)
    {
        json::error_code error;
        const json::value body = json::parse(request.body, error);
        if (error || !body.is_object()) {
            return problemResponse(ResultCode::MalformedRequest);
        }
        this->slowdown = numberMember(body.get_object(), "slowdown", this->slowdown);
        this->dieAfterTokens = std::int64_t(
            numberMember(body.get_object(), "dieAfterTokens", double(this->dieAfterTokens)));
        return jsonResponse(200, this->dumpState());
    }

    asio::awaitable<void> complete(const HttpRequest &request, HttpResponder &responder, bool chat)
    {
        json::error_code error;
        const json::value body = json::parse(request.body, error);
        if (error || !body.is_object()) {
            co_await responder.respond(problemResponse(ResultCode::MalformedRequest));
            co_return;
        }
        const json::object &object = body.get_object();
        const SequencePointer sequence = this->admit(object);
        responder.whenCallerGone([sequence] {
            sequence->gone = true;
            sequence->news.cancel();
        });
        const json::value *stream = object.if_contains("stream");
        if (stream != nullptr && stream->is_bool() && stream->get_bool()) {
            co_await this->streamAnswer(sequence, responder, chat);
        } else {
            co_await this->wholeAnswer(sequence, responder, chat);
        }
        sequence->gone = true;
    }

    SequencePointer admit(const json::object &object)
    {
        const std::string prompt = promptOf(object);
        auto sequence = std::make_shared<Sequence>(this->io);
        sequence->blocks = blocksOf(prompt);
        std::array<char, 17> hex{};
        std::snprintf(hex.data(), hex.size(), "%08llx",
            static_cast<unsigned long long>(stableHash(prompt) & 0xFFFFFFFFULL));
        sequence->hash = hex.data();
        sequence->promptTokens = std::int64_t(prompt.size() / bytesPerToken) + 1;
        sequence->outputTokens = std::max<std::int64_t>(
            1, std::int64_t(numberMember(object, "max_tokens", defaultOutputTokens)));
        this->queued.push_back(sequence);
        ++this->requests;
        if (!this->stepping) {
            this->stepping = true;
            spawn(this->io, this->stepLoop());
        }
        return sequence;
    }

    static std::string word(const Sequence &sequence, std::int64_t index)
    {
        return sequence.hash + ":" + std::to_string(index) + " ";
    }

    static json::object usageOf(const Sequence &sequence)
    {
        return {
            { "prompt_tokens", sequence.promptTokens }, { "completion_tokens", sequence.produced },
            { "prompt_tokens_details", json::object{ { "cached_tokens", sequence.cachedTokens } } }
        };
    }

    asio::awaitable<bool> waitFor(const SequencePointer &sequence, std::int64_t produced)
    {
        while (sequence->produced <= produced && !sequence->gone && !sequence->broken) {
            sequence->news.expires_after(seconds(3600));
            boost::system::error_code ignored;
            co_await sequence->news.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return sequence->produced > produced;
    }

    asio::awaitable<void> streamAnswer(
        SequencePointer sequence, HttpResponder &responder, bool chat)
    {
        std::int64_t sent = 0;
        while (sent < sequence->outputTokens) {
            const bool more = co_await this->waitFor(sequence, sent);
            if (!more) {
                responder.abort();
                co_return;
            }
            if (sent == 0) {
                HttpFields fields{ { "Content-Type", "text/event-stream" } };
                co_await responder.begin(200, std::move(fields));
            }
            std::string events;
            for (; sent < sequence->produced; ++sent) {
                json::object choice{ { "index", 0 } };
                if (chat) {
                    choice["delta"] = json::object{ { "content", word(*sequence, sent) } };
                } else {
                    choice["text"] = word(*sequence, sent);
                }
                events += "data: "
                    + json::serialize(json::object{ { "choices", json::array{ choice } } })
                    + "\n\n";
            }
            if (sent == sequence->outputTokens) {
                events += "data: "
                    + json::serialize(json::object{
                        { "choices", json::array{} }, { "usage", usageOf(*sequence) } })
                    + "\n\ndata: [DONE]\n\n";
            }
            const bool written = co_await responder.write(events);
            if (!written) {
                co_return;
            }
        }
        co_await responder.finish();
    }

    asio::awaitable<void> wholeAnswer(SequencePointer sequence, HttpResponder &responder, bool chat)
    {
        const bool done = co_await this->waitFor(sequence, sequence->outputTokens - 1);
        if (!done) {
            responder.abort();
            co_return;
        }
        std::string text;
        for (std::int64_t i = 0; i < sequence->outputTokens; ++i) {
            text += word(*sequence, i);
        }
        json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
        if (chat) {
            choice["message"] = json::object{ { "role", "assistant" }, { "content", text } };
        } else {
            choice["text"] = text;
        }
        const json::object body{ { "choices", json::array{ choice } },
            { "usage", usageOf(*sequence) } };
        co_await responder.respond(jsonResponse(200, body));
    }

    /// One pass of the batch after the other, for as long as there is work.
    asio::awaitable<void> stepLoop()
    {
        while (!this->running.empty() || !this->queued.empty()) {
            this->admitToBatch();
            const double prefill = this->prefillStep();
            const double ms = (this->settings.stepMs
                                  + this->settings.stepMsPerSequence * double(this->running.size()))
                * this->slowdown;
            const double prefillMs
                = prefill / this->settings.prefillTokensPerSecond * 1000 * this->slowdown;
            co_await sleepFor(this->io, Duration(std::int64_t((ms + prefillMs) * 1000)));
            this->decodeStep();
        }
        this->stepping = false;
    }

    void admitToBatch()
    {
        std::erase_if(this->queued, [](const SequencePointer &sequence) { return sequence->gone; });
        while (!this->queued.empty()
            && std::int64_t(this->running.size()) < this->settings.maximumBatch) {
            const SequencePointer sequence = this->queued.front();
            this->queued.pop_front();
            const std::size_t hits = this->cache.match(sequence->blocks);
            sequence->cachedTokens = std::int64_t(hits * blockTokens);
            sequence->prefillLeft = double(sequence->promptTokens - sequence->cachedTokens);
            this->promptCached += sequence->cachedTokens;
            this->running.push_back(sequence);
        }
    }

    double prefillStep()
    {
        double budget = prefillTokensPerStep;
        for (const SequencePointer &sequence : this->running) {
            const double part = std::min(budget, sequence->prefillLeft);
            if (part <= 0) {
                continue;
            }
            sequence->prefillLeft -= part;
            budget -= part;
            this->promptComputed += std::int64_t(part);
            if (sequence->prefillLeft <= 0) {
                this->cache.add(sequence->blocks);
            }
        }
        return prefillTokensPerStep - budget;
    }

    void decodeStep()
    {
        for (const SequencePointer &sequence : this->running) {
            if (sequence->prefillLeft > 0 || sequence->gone) {
                continue;
            }
            ++sequence->produced;
            ++this->outputTotal;
            if (this->dieAfterTokens > 0 && sequence->produced >= this->dieAfterTokens) {
                sequence->broken = true;
                this->dieAfterTokens = 0;
            }
            sequence->news.cancel();
        }
        std::erase_if(this->running, [this](const SequencePointer &sequence) {
            const bool done = sequence->produced >= sequence->outputTokens;
            if (!done && (sequence->gone || sequence->broken)) {
                this->promptWasted += sequence->promptTokens - sequence->cachedTokens
                    - std::int64_t(sequence->prefillLeft);
            }
            return done || sequence->gone || sequence->broken;
        });
    }

    asio::io_context &io;
    EngineSettings settings;
    PrefixCache cache;
    asio::steady_timer stepTimer;
    std::list<SequencePointer> queued;
    std::list<SequencePointer> running;
    bool stepping = false;
    double slowdown = 1;
    std::int64_t dieAfterTokens = 0;
    std::int64_t promptComputed = 0;
    std::int64_t promptWasted = 0;
    std::int64_t promptCached = 0;
    std::int64_t outputTotal = 0;
    std::int64_t requests = 0;
};

} // namespace

std::unique_ptr<Standin> makeEngineStandin(asio::io_context &io, const EngineSettings &settings)
{
    return std::make_unique<EngineStandin>(io, settings);
}

} // namespace wigeonsill
