/// \file loadrunner.cpp
/// The callers of a load run.
#include "loadrunner.h"

#include "answertext.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration stepTimeout = seconds(120);

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

asio::awaitable<void> sleepUntil(asio::io_context &io, TimePoint point)
{
    asio::steady_timer timer(io, point);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Duration retryAfterOf(const HttpFields &fields)
{
    const std::string text(fieldValue(fields, "Retry-After"));
    return seconds(std::strtoll(text.c_str(), nullptr, 10));
}

/// The numbered code of a problem document, or the HTTP status.
int codeOf(int status, const std::string &body)
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

/// One caller's request with all its attempts.
struct LoadRunner::Call
{
    PlannedRequest planned;
    TimePoint arrivedAt;
    CallRecord record;
};

LoadRunner::LoadRunner(asio::io_context &context, const LoadPlan &loadPlan, LoadReport &loadReport)
    : io(context)
    , plan(loadPlan)
    , report(loadReport)
{
}

void LoadRunner::start(std::function<void()> whenDone)
{
    this->done = std::move(whenDone);
    this->startedAt = present();
    spawn(this->io, this->sendArrivals());
}

Duration LoadRunner::elapsed() const
{
    return present() - this->startedAt;
}

asio::ip::tcp::endpoint LoadRunner::nextEntry()
{
    return this->plan.entries[this->attempts++ % this->plan.entries.size()];
}

asio::awaitable<void> LoadRunner::sendArrivals()
{
    Workload workload(this->plan.scenario, this->plan.rateFactor);
    while (std::optional<PlannedRequest> planned = workload.next()) {
        co_await sleepUntil(this->io, this->startedAt + planned->at);
        this->report.arrived(this->plan.scenario.kinds[planned->kind].tier);
        ++this->inFlight;
        spawn(this->io, this->follow(std::move(*planned)));
    }
    co_await sleepUntil(this->io, this->startedAt + this->plan.scenario.length());
    this->allSent = true;
    if (this->inFlight > 0) {
        co_await sleepUntil(this->io, present() + this->plan.scenario.settleTime);
    }
    this->done();
}

HttpRequest LoadRunner::requestOf(const PlannedRequest &planned) const
{
    const RequestKind &kind = this->plan.scenario.kinds[planned.kind];
    const json::object body{ { "model", kind.service }, { "prompt", planned.prompt },
        { "max_tokens", planned.outputTokens }, { "stream", kind.stream } };
    HttpRequest request{ "POST", "/v1/completions", {}, json::serialize(body) };
    request.fields.push_back({ "Authorization", "Bearer " + kind.token });
    request.fields.push_back({ "Content-Type", "application/json" });
    return request;
}

asio::awaitable<void> LoadRunner::follow(PlannedRequest planned)
{
    Call call;
    call.planned = std::move(planned);
    call.arrivedAt = present();
    call.record.tier = this->plan.scenario.kinds[call.planned.kind].tier;
    for (;;) {
        const Duration retryAfter = co_await this->attempt(call);
        const bool mayRetry = this->plan.scenario.retry.obeyRetryAfter
            && call.record.retries < this->plan.scenario.retry.maximumRetries;
        if (call.record.end != CallEnd::Refused || retryAfter == Duration::zero() || !mayRetry) {
            break;
        }
        ++call.record.retries;
        co_await sleepUntil(this->io, present() + retryAfter);
    }
    call.record.total = present() - call.arrivedAt;
    call.record.endedAt = this->elapsed();
    const Duration usefulWithin = this->plan.scenario.kinds[call.planned.kind].usefulWithin;
    if (call.record.end == CallEnd::InTime && call.record.total > usefulWithin) {
        call.record.end = CallEnd::Late;
    }
    this->report.add(call.record);
    --this->inFlight;
    if (this->allSent && this->inFlight == 0) {
        this->done();
    }
}

/// Sends the request once. Returns the refusal's Retry-After, or 0.
asio::awaitable<Duration> LoadRunner::attempt(Call &call)
{
    HttpExchange exchange(this->io);
    call.record.end = CallEnd::Failed;
    const Result<void> connected = co_await exchange.connect(this->nextEntry(), stepTimeout);
    if (!connected) {
        co_return Duration::zero();
    }
    HttpRequest request = this->requestOf(call.planned);
    const Result<void> sent = co_await exchange.send(std::move(request), stepTimeout);
    if (!sent) {
        co_return Duration::zero();
    }
    const Result<HttpHead> head = co_await exchange.readHead(stepTimeout);
    if (!head) {
        co_return Duration::zero();
    }
    if (head.value().status == 200) {
        co_await this->readAnswer(call, exchange);
        co_return Duration::zero();
    }
    call.record.end = CallEnd::Refused;
    std::string body;
    for (;;) {
        const Result<std::string> piece = co_await exchange.readSome(stepTimeout);
        if (!piece || piece.value().empty()) {
            break;
        }
        body += piece.value();
    }
    call.record.code = codeOf(head.value().status, body);
    co_return retryAfterOf(head.value().fields);
}

asio::awaitable<void> LoadRunner::readAnswer(Call &call, HttpExchange &exchange)
{
    const bool stream = this->plan.scenario.kinds[call.planned.kind].stream;
    AnswerText answer(stream);
    TimePoint lastToken;
    bool closedWhole = false;
    for (;;) {
        const Result<std::string> piece = co_await exchange.readSome(stepTimeout);
        if (!piece) {
            break;
        }
        if (piece.value().empty()) {
            closedWhole = true;
            break;
        }
        const std::size_t tokens = answer.take(piece.value());
        const TimePoint now = present();
        if (tokens > 0 && call.record.firstToken) {
            call.record.tokenGaps.push_back((now - lastToken) / std::int64_t(tokens));
        } else if (tokens > 0) {
            call.record.firstToken = now - call.arrivedAt;
        }
        lastToken = tokens > 0 ? now : lastToken;
    }
    const AnswerCheck check
        = checkAnswer(call.planned.prompt, call.planned.outputTokens, answer.text());
    const bool whole = check == AnswerCheck::Whole && answer.isFinished();
    if (check == AnswerCheck::Wrong || (closedWhole && !whole)) {
        call.record.end = CallEnd::Wrong;
    } else {
        call.record.end = closedWhole ? CallEnd::InTime : CallEnd::Partial;
    }
}

} // namespace wigeonsill
