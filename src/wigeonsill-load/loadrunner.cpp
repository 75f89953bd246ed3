/// \file loadrunner.cpp
/// Simulated callers of a load run.
#include "loadrunner.h"

#include "completionparser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration ioTimeout = seconds(120);

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

asio::awaitable<void> sleepUntil(asio::io_context &io, TimePoint wakeTime)
{
    asio::steady_timer timer(io, wakeTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Duration parseRetryAfter(const HttpFields &fields)
{
    const std::string text(fieldValue(fields, "Retry-After"));
    return seconds(std::strtoll(text.c_str(), nullptr, 10));
}

/// Result code of a problem document, or the HTTP status if the body has none.
int resultCodeFrom(int status, const std::string &body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return status;
    }
    const json::value *code = value.get_object().if_contains("code");
    return code != nullptr && code->is_int64() ? int(code->get_int64()) : status;
}

} // namespace

/// One request that is in flight, with the result of its attempts so far.
struct LoadRunner::ActiveRequest
{
    PlannedRequest planned;
    TimePoint arrivedAt;
    RequestRecord record;
};

LoadRunner::LoadRunner(asio::io_context &context, const LoadPlan &loadPlan, LoadReport &loadReport)
    : io(context)
    , plan(loadPlan)
    , report(loadReport)
{
}

void LoadRunner::start(std::function<void()> onDone)
{
    this->doneHandler = std::move(onDone);
    this->startedAt = steadyNow();
    spawn(this->io, this->sendArrivals());
}

Duration LoadRunner::elapsed() const
{
    return steadyNow() - this->startedAt;
}

asio::ip::tcp::endpoint LoadRunner::nextEntry()
{
    return this->plan.entries[this->attemptCount++ % this->plan.entries.size()];
}

asio::awaitable<void> LoadRunner::sendArrivals()
{
    Workload workload(this->plan.scenario, this->plan.rateFactor);
    while (std::optional<PlannedRequest> planned = workload.next()) {
        co_await sleepUntil(this->io, this->startedAt + planned->arrivalTime);
        this->report.recordArrival(this->plan.scenario.kinds[planned->kind].tier);
        ++this->inFlight;
        spawn(this->io, this->runRequest(std::move(*planned)));
    }
    co_await sleepUntil(this->io, this->startedAt + this->plan.scenario.length());
    this->allSent = true;
    if (this->inFlight > 0) {
        co_await sleepUntil(this->io, steadyNow() + this->plan.scenario.settleTime);
    }
    this->doneHandler();
}

HttpRequest LoadRunner::buildRequest(const PlannedRequest &planned) const
{
    const RequestKind &kind = this->plan.scenario.kinds[planned.kind];
    const json::object body{ { "model", kind.service }, { "prompt", planned.prompt },
        { "max_tokens", planned.outputTokens }, { "stream", kind.stream } };
    HttpRequest request{ "POST", "/v1/completions", {}, json::serialize(body) };
    request.fields.push_back({ "Authorization", "Bearer " + kind.token });
    request.fields.push_back({ "Content-Type", "application/json" });
    return request;
}

asio::awaitable<void> LoadRunner::runRequest(PlannedRequest planned)
{
    ActiveRequest activeRequest;
    activeRequest.planned = std::move(planned);
    activeRequest.arrivedAt = steadyNow();
    activeRequest.record.tier = this->plan.scenario.kinds[activeRequest.planned.kind].tier;
    for (;;) {
        const Duration retryAfter = co_await this->sendAttempt(activeRequest);
        const bool mayRetry = this->plan.scenario.retry.obeyRetryAfter
            && activeRequest.record.retries < this->plan.scenario.retry.maximumRetries;
        if (activeRequest.record.outcome != RequestOutcome::Refused
            || retryAfter == Duration::zero() || !mayRetry) {
            break;
        }
        ++activeRequest.record.retries;
        co_await sleepUntil(this->io, steadyNow() + retryAfter);
    }
    activeRequest.record.total = steadyNow() - activeRequest.arrivedAt;
    activeRequest.record.finishedAt = this->elapsed();
    const Duration usefulWithin
        = this->plan.scenario.kinds[activeRequest.planned.kind].usefulWithin;
    if (activeRequest.record.outcome == RequestOutcome::InTime
        && activeRequest.record.total > usefulWithin) {
        activeRequest.record.outcome = RequestOutcome::Late;
    }
    this->report.addRecord(activeRequest.record);
    --this->inFlight;
    if (this->allSent && this->inFlight == 0) {
        this->doneHandler();
    }
}

/// Sends the request once and records its outcome. Returns a refusal's Retry-After delay, or 0.
asio::awaitable<Duration> LoadRunner::sendAttempt(ActiveRequest &activeRequest)
{
    HttpExchange exchange(this->io);
    activeRequest.record.outcome = RequestOutcome::Failed;
    const Result<void> connected = co_await exchange.connect(this->nextEntry(), ioTimeout);
    if (!connected) {
        co_return Duration::zero();
    }
    HttpRequest request = this->buildRequest(activeRequest.planned);
    const Result<void> sent = co_await exchange.send(std::move(request), ioTimeout);
    if (!sent) {
        co_return Duration::zero();
    }
    const Result<HttpHead> head = co_await exchange.readHead(ioTimeout);
    if (!head) {
        co_return Duration::zero();
    }
    if (head.value().status == 200) {
        co_await this->readAnswer(activeRequest, exchange);
        co_return Duration::zero();
    }
    activeRequest.record.outcome = RequestOutcome::Refused;
    std::string body;
    for (;;) {
        const Result<std::string> chunk = co_await exchange.readSome(ioTimeout);
        if (!chunk || chunk.value().empty()) {
            break;
        }
        body += chunk.value();
    }
    activeRequest.record.code = resultCodeFrom(head.value().status, body);
    co_return parseRetryAfter(head.value().fields);
}

asio::awaitable<void> LoadRunner::readAnswer(ActiveRequest &activeRequest, HttpExchange &exchange)
{
    const bool stream = this->plan.scenario.kinds[activeRequest.planned.kind].stream;
    CompletionParser answer(stream);
    TimePoint lastToken;
    bool bodyComplete = false;
    for (;;) {
        const Result<std::string> chunk = co_await exchange.readSome(ioTimeout);
        if (!chunk) {
            break;
        }
        if (chunk.value().empty()) {
            bodyComplete = true;
            break;
        }
        const std::size_t tokens = answer.append(chunk.value());
        const TimePoint now = steadyNow();
        if (tokens > 0 && activeRequest.record.firstToken) {
            activeRequest.record.tokenGaps.push_back((now - lastToken) / std::int64_t(tokens));
        } else if (tokens > 0) {
            activeRequest.record.firstToken = now - activeRequest.arrivedAt;
        }
        lastToken = tokens > 0 ? now : lastToken;
    }
    const AnswerCheck check = checkAnswer(
        activeRequest.planned.prompt, activeRequest.planned.outputTokens, answer.text());
    const bool answerComplete = check == AnswerCheck::Complete && answer.isFinished();
    if (check == AnswerCheck::Wrong || (bodyComplete && !answerComplete)) {
        activeRequest.record.outcome = RequestOutcome::Wrong;
    } else {
        activeRequest.record.outcome
            = bodyComplete ? RequestOutcome::InTime : RequestOutcome::Partial;
    }
}

} // namespace wigeonsill
