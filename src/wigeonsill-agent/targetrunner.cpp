/// \file targetrunner.cpp
/// Sends requests to the target and passes its answers to the core.
#include "targetrunner.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::array targetEndNames = {
    EnumName<TargetEnd>{ TargetEnd::Complete, "whole" },
    EnumName<TargetEnd>{ TargetEnd::NeverSent, "never-sent" },
    EnumName<TargetEnd>{ TargetEnd::Truncated, "broke-off" },
    EnumName<TargetEnd>{ TargetEnd::TimedOut, "silent" },
};

constexpr Duration connectTimeout = seconds(1);
constexpr Duration sendTimeout = seconds(10);
constexpr std::size_t answerTailBytes = 1024;

std::uint32_t readTokenCount(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? static_cast<std::uint32_t>(value->get_int64())
                                                 : 0;
}

} // namespace

TokenUsage parseTokenUsage(std::string_view answerTail)
{
    constexpr std::string_view marker = "\"usage\":";
    const std::size_t markerOffset = answerTail.rfind(marker);
    if (markerOffset == std::string_view::npos) {
        return {};
    }
    json::stream_parser parser;
    json::error_code error;
    const std::string_view usageText = answerTail.substr(markerOffset + marker.size());
    parser.write_some(usageText.data(), usageText.size(), error);
    if (error || !parser.done()) {
        return {};
    }
    const json::value value = parser.release();
    if (!value.is_object()) {
        return {};
    }
    TokenUsage usage;
    usage.prompt = readTokenCount(value.get_object(), "prompt_tokens");
    usage.output = readTokenCount(value.get_object(), "completion_tokens");
    const json::value *details = value.get_object().if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        usage.cached = readTokenCount(details->get_object(), "cached_tokens");
    }
    return usage;
}

struct TargetRunner::Run
{
    explicit Run(asio::io_context &io)
        : http(io)
        , wakeTimer(io)
    {
    }

    RequestId id;
    HttpExchange http;
    asio::steady_timer wakeTimer;
    bool paused = false;
    bool cancelled = false;
    std::string tail; ///< Last bytes of the answer, which contain the token counts.
    std::optional<EventSplitter>
        events; ///< Of an answer that states that it is a stream of events.
};

TargetRunner::TargetRunner(DaemonContext daemonContext, AgentCore &agentCore,
    asio::ip::tcp::endpoint targetEndpoint, Duration targetReadTimeout,
    std::function<void()> performCoreActions)
    : context(daemonContext)
    , core(agentCore)
    , target(std::move(targetEndpoint))
    , readTimeout(targetReadTimeout)
    , performActions(std::move(performCoreActions))
{
}

void TargetRunner::start(StartAtTarget action)
{
    const auto run = std::make_shared<Run>(this->context.io);
    run->id = action.id;
    this->runs.emplace(action.id, run);
    HttpRequest request{ action.request.method, action.request.path, {},
        std::move(action.request.body) };
    for (const Header &header : action.request.headers) {
        request.fields.push_back({ header.name, header.value });
    }
    request.fields.push_back({ "Wigeonsill-Request-Id", toString(action.id) });
    spawn(this->context.io, this->executeRun(run, std::move(request)));
}

void TargetRunner::cancel(const CancelAtTarget &action)
{
    const auto found = this->runs.find(action.id);
    if (found == this->runs.end()) {
        return;
    }
    found->second->cancelled = true;
    found->second->http.close();
    found->second->wakeTimer.cancel();
}

void TargetRunner::pause(const PauseTarget &action)
{
    const auto found = this->runs.find(action.id);
    if (found != this->runs.end()) {
        found->second->paused = action.paused;
        found->second->wakeTimer.cancel();
    }
}

asio::awaitable<void> TargetRunner::executeRun(RunPointer run, HttpRequest request)
{
    LOG4CPLUS_DEBUG(
        logger("agent.target"), "Sending request " << toString(run->id) << " to the target.");
    const TargetEnd end = co_await this->exchange(run, std::move(request));
    this->runs.erase(run->id);
    const std::string_view name = run->cancelled ? "cancelled" : enumName(targetEndNames, end);
    this->context.metrics.count("wigeonsill_agent_runs_total", "end=\"" + std::string(name) + "\"");
    LOG4CPLUS_DEBUG(
        logger("agent.target"), "Ended request " << toString(run->id) << ": " << name << ".");
    this->core.targetEnded(currentTime(), run->id, end, parseTokenUsage(run->tail));
    this->performActions();
}

asio::awaitable<TargetEnd> TargetRunner::exchange(RunPointer run, HttpRequest request)
{
    const Result<void> connected = co_await run->http.connect(this->target, connectTimeout);
    if (run->cancelled) {
        // The agent closed the connection itself: NeverSent would count as a refused connection.
        co_return TargetEnd::Truncated;
    }
    if (!connected) {
        co_return TargetEnd::NeverSent;
    }
    const Result<void> sent = co_await run->http.send(std::move(request), sendTimeout);
    if (!sent) {
        co_return TargetEnd::Truncated;
    }
    Result<HttpHead> head = co_await run->http.readHead(this->readTimeout);
    if (!head) {
        co_return TargetEnd::TimedOut;
    }
    if (isEventStream(head.value().fields)) {
        run->events.emplace();
    }
    Headers headers;
    const std::string connection(fieldValue(head.value().fields, "Connection"));
    for (HttpField &field : head.value().fields) {
        if (!isHopByHop(field.name, connection)) {
            headers.push_back({ std::move(field.name), std::move(field.value) });
        }
    }
    this->core.targetHead(currentTime(), run->id, head.value().status, std::move(headers));
    this->performActions();
    co_return co_await this->readBody(run);
}

asio::awaitable<TargetEnd> TargetRunner::readBody(RunPointer run)
{
    for (;;) {
        while (run->paused && !run->cancelled) {
            run->wakeTimer.expires_after(this->readTimeout);
            boost::system::error_code ignored;
            co_await run->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        Result<std::string> chunk = co_await run->http.readSome(this->readTimeout);
        if (!chunk) {
            co_return TargetEnd::Truncated;
        }
        if (chunk.value().empty()) {
            const bool withinAnEvent
                = run->events && !run->events->isOversized() && run->events->isInsideEvent();
            co_return withinAnEvent ? TargetEnd::Truncated : TargetEnd::Complete;
        }
        if (run->events) {
            run->events->feed(chunk.value());
            if (run->events->containsHead()) {
                co_return TargetEnd::Truncated;
            }
        }
        run->tail += chunk.value();
        if (run->tail.size() > answerTailBytes) {
            run->tail.erase(0, run->tail.size() - answerTailBytes);
        }
        this->core.targetBytes(currentTime(), run->id, chunk.value());
        this->performActions();
    }
}

} // namespace wigeonsill
