/// \file callerfrontend.cpp
/// HTTP front end of the entry that serves callers.
#include "callerfrontend.h"

#include "requestreader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// An answer with a known length of at most this many bytes is sent only once it is complete.
constexpr std::uint64_t maximumBufferedAnswerBytes = 1'048'576;

HttpFields toHttpFields(const Headers &headers)
{
    HttpFields fields;
    fields.reserve(headers.size());
    for (const Header &header : headers) {
        fields.push_back({ header.name, header.value });
    }
    return fields;
}

void eraseField(HttpFields &fields, std::string_view name)
{
    std::erase_if(
        fields, [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); });
}

/// Whether an answer is buffered until it is complete: its Content-Length is small, or it has no
/// body.
bool mustBuffer(const HttpFields &fields, int status, bool headOnly)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (headOnly || status == noContent || status == notModified) {
        return true;
    }
    const std::string text(fieldValue(fields, "Content-Length"));
    return !text.empty() && std::strtoull(text.c_str(), nullptr, 10) <= maximumBufferedAnswerBytes;
}

} // namespace

/// A request in progress and the part of its answer that has not been sent to the caller yet.
struct CallerFrontEnd::PendingAnswer
{
    explicit PendingAnswer(asio::io_context &io)
        : changeSignal(io)
    {
        this->changeSignal.expires_at(asio::steady_timer::time_point::max());
    }

    RequestId id;
    Tier tier = Tier::Normal;
    TimePoint arrivedAt;
    std::optional<DeliverHead> head;
    std::string bytes; ///< Body bytes that were received but not yet written to the caller.
    std::optional<DeliverEnd> end;
    bool headSent = false; ///< The answer is streamed and its head was sent.
    bool buffered = false; ///< The answer is sent only once it is complete.
    bool headOnly = false; ///< The request method is HEAD.
    bool callerDisconnected = false;
    std::uint64_t consumedBytes = 0; ///< Body bytes that the agent need not retain.
    asio::steady_timer changeSignal; ///< Never expires; cancelled when any of the above changes.
};

CallerFrontEnd::CallerFrontEnd(
    DaemonContext daemonContext, EntryCore &entryCore, std::function<void()> performCoreActions)
    : context(daemonContext)
    , core(entryCore)
    , performActions(std::move(performCoreActions))
{
}

void CallerFrontEnd::setConfiguration(std::shared_ptr<const Configuration> value)
{
    this->currentConfiguration = std::move(value);
}

CallerFrontEnd::PendingAnswerPointer CallerFrontEnd::find(const RequestId &id)
{
    const auto found = this->pendingAnswers.find(id.sequence);
    return found == this->pendingAnswers.end() ? nullptr : found->second;
}

void CallerFrontEnd::deliver(DeliverHead action)
{
    if (const PendingAnswerPointer pending = this->find(action.id)) {
        pending->head = std::move(action);
        pending->changeSignal.cancel();
    }
}

void CallerFrontEnd::deliver(const DeliverBytes &action)
{
    if (const PendingAnswerPointer pending = this->find(action.id)) {
        pending->bytes += action.bytes;
        pending->changeSignal.cancel();
    }
}

void CallerFrontEnd::deliver(const DeliverEnd &action)
{
    if (const PendingAnswerPointer pending = this->find(action.id)) {
        pending->end = action;
        pending->changeSignal.cancel();
    }
}

asio::awaitable<void> CallerFrontEnd::handle(HttpRequest &request, HttpResponder &responder)
{
    if (!this->currentConfiguration) {
        co_await responder.respond(problemResponse(ResultCode::NoConfiguration, {}, seconds(1)));
        co_return;
    }
    Result<CallerRequest> callerRequest = readCallerRequest(*this->currentConfiguration, request);
    if (!callerRequest) {
        this->context.metrics.count("wigeonsill_entry_rejected_total",
            "code=\"" + std::string(resultInfo(callerRequest.error().code).name) + "\"");
        co_await responder.respond(
            problemResponse(callerRequest.error().code, callerRequest.error().detail));
        co_return;
    }
    const auto pending = std::make_shared<PendingAnswer>(this->context.io);
    pending->tier = callerRequest.value().profile.tier;
    pending->arrivedAt = currentTime();
    pending->headOnly = request.method == "HEAD";
    // The core keeps its own copy for the target; a waiting request must not be held in memory
    // twice.
    request = {};
    pending->id = this->core.submitRequest(pending->arrivedAt, std::move(callerRequest).value());
    LOG4CPLUS_DEBUG(logger("entry.front"), "Accepted request " << toString(pending->id) << ".");
    this->pendingAnswers.emplace(pending->id.sequence, pending);
    responder.setDisconnectHandler([this, pending] {
        pending->callerDisconnected = true;
        this->core.callerDisconnected(currentTime(), pending->id);
        pending->changeSignal.cancel();
        this->performActions();
    });
    this->performActions();
    co_await this->sendAnswer(pending, responder);
    this->pendingAnswers.erase(pending->id.sequence);
    this->reportEnd(*pending);
}

asio::awaitable<void> CallerFrontEnd::waitForChange(PendingAnswerPointer pending)
{
    boost::system::error_code ignored;
    co_await pending->changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> CallerFrontEnd::sendAnswer(
    PendingAnswerPointer pending, HttpResponder &responder)
{
    while (!pending->callerDisconnected) {
        if (pending->head && !pending->headSent && !pending->buffered) {
            const bool connected = co_await this->beginAnswer(pending, responder);
            if (!connected) {
                co_return;
            }
        }
        if (pending->buffered && pending->consumedBytes < pending->bytes.size()) {
            // Bytes buffered here count as consumed; otherwise the agent's send window would fill
            // and never reopen.
            pending->consumedBytes = pending->bytes.size();
            this->core.callerConsumed(currentTime(), pending->id, pending->consumedBytes);
            this->performActions();
            continue;
        }
        if (pending->headSent && !pending->bytes.empty()) {
            const std::string chunk = std::exchange(pending->bytes, {});
            const bool written = co_await responder.write(chunk);
            if (!written) {
                co_return;
            }
            pending->consumedBytes += chunk.size();
            this->core.callerConsumed(currentTime(), pending->id, pending->consumedBytes);
            this->performActions();
            continue;
        }
        if (pending->end) {
            co_await this->endAnswer(pending, responder);
            co_return;
        }
        co_await this->waitForChange(pending);
    }
}

asio::awaitable<bool> CallerFrontEnd::beginAnswer(
    PendingAnswerPointer pending, HttpResponder &responder)
{
    HttpFields fields = toHttpFields(pending->head->headers);
    if (mustBuffer(fields, pending->head->status, pending->headOnly)) {
        pending->buffered = true;
        co_return true;
    }
    // Only a chunked answer can state its outcome at the end, in a trailer.
    eraseField(fields, "Content-Length");
    this->context.metrics.sample("wigeonsill_entry_first_byte_seconds", {},
        double((currentTime() - pending->arrivedAt).count()) / 1e6);
    fields.push_back({ "Wigeonsill-Request-Id", toString(pending->id) });
    fields.push_back({ "Wigeonsill-Outcome", "pending" });
    fields.push_back({ "Trailer", "Wigeonsill-Outcome" });
    pending->headSent = true;
    co_return co_await responder.begin(pending->head->status, std::move(fields));
}

asio::awaitable<void> CallerFrontEnd::endAnswer(
    PendingAnswerPointer pending, HttpResponder &responder)
{
    const ResultCode result = pending->end->result;
    if (!pending->headSent) {
        HttpResponse response = problemResponse(result, {}, pending->end->retryAfter);
        if (result == ResultCode::Ok) {
            response = { pending->head->status, toHttpFields(pending->head->headers),
                std::move(pending->bytes) };
            response.fields.push_back(
                { "Wigeonsill-Outcome", std::string(outcomeName(Outcome::Completed)) });
        }
        response.fields.push_back({ "Wigeonsill-Request-Id", toString(pending->id) });
        co_await responder.respond(std::move(response));
        co_return;
    }
    if (result == ResultCode::Ok) {
        HttpFields trailers;
        trailers.push_back({ "Wigeonsill-Outcome", std::string(outcomeName(Outcome::Completed)) });
        co_await responder.finish(std::move(trailers));
        co_return;
    }
    // The head has been sent with its status, so the failure is signalled by closing the connection
    // before the body is complete.
    const HttpResponse problem = problemResponse(result);
    const HttpFields fields = toHttpFields(pending->head->headers);
    const bool isEventStream = fieldValue(fields, "Content-Type").starts_with("text/event-stream");
    if (isEventStream) {
        const std::string event = "event: error\ndata: " + problem.body + "\n";
        co_await responder.write(event);
    }
    responder.abort();
}

void CallerFrontEnd::reportEnd(const PendingAnswer &pending)
{
    const ResultCode result = pending.end ? pending.end->result : ResultCode::CallerGone;
    const ResultInfo &info = resultInfo(result);
    std::string labels = "tier=\"" + std::string(enumName(tierNames, pending.tier)) + "\"";
    labels += ",outcome=\"" + std::string(outcomeName(info.outcome)) + "\"";
    labels += ",code=\"" + std::to_string(static_cast<int>(result)) + "\"";
    this->context.metrics.count("wigeonsill_entry_requests_total", labels);
    this->context.metrics.sample("wigeonsill_entry_request_seconds", {},
        double((currentTime() - pending.arrivedAt).count()) / 1e6);
    // Successful requests are logged only at debug level to keep the log small.
    const log4cplus::LogLevel level
        = result == ResultCode::Ok ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
    const log4cplus::Logger log = logger("entry.front");
    if (log.isEnabledFor(level)) {
        log.log(
            level, "Ended request " + toString(pending.id) + ": " + std::string(info.name) + ".");
    }
}

} // namespace wigeonsill
