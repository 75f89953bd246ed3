/// \file callclient.cpp
/// Small calls on persistent connections.
#include "targetpool.h"

#include <algorithm>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// Maximum size of an answer's body in bytes; several of the largest values that a store holds.
constexpr std::size_t bodyLimit = 16'777'216;

/// Passes fields through unchanged; such calls carry no request id.
class PlainDialect : public WireDialect
{
public:
    Result<RequestMetadata> decodeRequest(const MessageHead & /*head*/) const override
    {
        return RequestMetadata{};
    }
    HttpFields encodeRequest(
        const MessageHead &head, const ForwardContext & /*context*/) const override
    {
        return head.fields;
    }
    AnswerFacts decodeAnswer(const MessageHead & /*head*/) const override { return {}; }
};

/// One call. Keeps itself alive until it completes.
class Call : public AnswerHandler, public std::enable_shared_from_this<Call>
{
public:
    Call(asio::io_context &io, CallClient::Handler completionHandler,
        CallClient::ProgressHandler progressHandler)
        : handler(std::move(completionHandler))
        , onProgress(std::move(progressHandler))
        , timer(io)
    {
    }

    void start(TargetPool &pool, const Target &server, OutgoingRequest request,
        const CallTimeout &callTimeout)
    {
        this->selfReference = this->shared_from_this();
        this->timeout = callTimeout;
        this->progressAt = currentTime();
        this->endsAt = this->progressAt + callTimeout.total;
        this->startTimer();
        this->connection = pool.send(server, std::move(request), *this);
    }

private:
    void startTimer()
    {
        this->timer.expires_at(std::min(this->progressAt + this->timeout.silence, this->endsAt));
        this->timer.async_wait(
            [call = this->shared_from_this()](const boost::system::error_code &error) {
                if (!error && call->selfReference) {
                    call->onTimer();
                }
            });
    }
    void onTimer()
    {
        const TimePoint now = currentTime();
        if (now < this->progressAt + this->timeout.silence && now < this->endsAt) {
            this->startTimer();
            return;
        }
        this->connection->cancel();
        this->finish(Error{ ResultCode::ConnectionClosed,
            "the call timed out; " + std::to_string(this->response.body.size())
                + " bytes of the answer were received" });
    }

    void onSent() override { }
    void onAnswerHead(const MessageHead &head) override
    {
        this->progressAt = currentTime();
        this->response.status = head.status;
        this->response.fields = head.fields;
    }
    void onAnswerBody(std::string_view bytes) override
    {
        const auto self = this->shared_from_this();
        this->progressAt = currentTime();
        this->response.body += bytes;
        if (this->response.body.size() > bodyLimit) {
            this->connection->endAtBound(AnswerBound::Body);
            return;
        }
        if (this->onProgress) {
            this->onProgress(this->response.status, bytes.size());
        }
    }
    void onForeignAnswer(std::string_view /*answerId*/, std::uint64_t /*earlierRequests*/) override
    {
        // Calls carry no request id, so no answer is told from theirs.
    }
    void onAnswerEnd() override { this->finish(std::move(this->response)); }
    void onAnswerFailed(TargetFailure failure) override
    {
        const ResultCode code = failure == TargetFailure::NotConnected
            ? ResultCode::ConnectionFailed
            : ResultCode::ConnectionClosed;
        this->finish(Error{ code, std::string(enumName(targetFailureNames, failure)) });
    }

    void finish(Result<HttpResponse> result)
    {
        const auto callGuard = std::move(this->selfReference);
        this->selfReference.reset();
        this->timer.cancel();
        this->handler(std::move(result));
    }

    CallClient::Handler handler;
    CallClient::ProgressHandler onProgress;
    asio::steady_timer timer;
    CallTimeout timeout;
    TimePoint progressAt; ///< When bytes of the answer were received last, or the call began.
    TimePoint endsAt;
    std::shared_ptr<TargetConnection> connection;
    HttpResponse response;
    std::shared_ptr<Call> selfReference; ///< Set while the call is pending.
};

} // namespace

struct CallClient::Private
{
    Private(asio::io_context &context, Metrics &metrics)
        : io(context)
        , pool(context, metrics, this->dialect)
    {
    }

    asio::io_context &io;
    PlainDialect dialect;
    TargetPool pool;
    Target server;
};

CallClient::CallClient(
    asio::io_context &io, Metrics &metrics, const asio::ip::tcp::endpoint &server)
    : d(std::make_unique<Private>(io, metrics))
{
    this->d->server.id = toString(server);
    this->d->server.address = this->d->server.id;
}

CallClient::~CallClient() = default;

void CallClient::get(const std::string &target, Duration timeout, Handler handler)
{
    this->get(target, CallTimeout{ timeout, timeout }, std::move(handler));
}

void CallClient::get(const std::string &target, const CallTimeout &timeout, Handler handler,
    ProgressHandler onProgress)
{
    this->call("GET " + target, {}, timeout, std::move(handler), std::move(onProgress));
}

void CallClient::post(
    const std::string &target, const std::string &body, Duration timeout, Handler handler)
{
    this->call("POST " + target, body, { timeout, timeout }, std::move(handler));
}

void CallClient::remove(
    const std::string &target, const std::string &body, Duration timeout, Handler handler)
{
    this->call("DELETE " + target, body, { timeout, timeout }, std::move(handler));
}

void CallClient::call(std::string head, std::string_view body, const CallTimeout &timeout,
    Handler handler, ProgressHandler onProgress)
{
    head += " HTTP/1.1\r\nHost: " + this->d->server.address + "\r\n";
    if (!body.empty()) {
        head += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n";
    }
    OutgoingRequest request;
    request.bytes = std::move(head) + "\r\n";
    request.bytes += body;
    std::make_shared<Call>(this->d->io, std::move(handler), std::move(onProgress))
        ->start(this->d->pool, this->d->server, std::move(request), timeout);
}

} // namespace wigeonsill
