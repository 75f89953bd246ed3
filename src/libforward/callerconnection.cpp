/// \file callerconnection.cpp
/// Callers' HTTP/1.1: reading of requests within the limits, writing of answers.
#include "callerconnection.h"

#include "requestflow.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Bytes of later requests that are read while one is answered; beyond them reading stops.
constexpr std::size_t pipelineLimit = 65'536;
/// Bytes of answers that may wait for a caller that does not read.
constexpr std::size_t outboxLimit = 4'194'304;
/// Time for a caller to read the last answer before the connection is closed.
constexpr Duration lingerTime = seconds(1);

bool wantsContinue(const MessageHead &head)
{
    return equalsIgnoringCase(fieldValue(head.fields, "Expect"), "100-continue");
}

} // namespace

CallerConnection::CallerConnection(EntryState &shared, asio::ip::tcp::socket accepted)
    : keepState(shared.shared_from_this())
    , state(shared)
    , socket(std::move(accepted))
    , timer(shared.io)
{
}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start()
{
    tuneSocket(this->socket);
    const CallerLimits limits
        = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
    this->arm(limits.idleTime);
    this->read();
}

void CallerConnection::arm(Duration time)
{
    const std::uint64_t number = ++this->armed;
    const auto self = this->shared_from_this();
    this->timer.expires_after(time);
    this->timer.async_wait([self, number](const error_code &error) {
        if (!error && number == self->armed) {
            self->onTimeout();
        }
    });
}

void CallerConnection::onTimeout()
{
    switch (this->phase) {
    case Phase::Idle:
        this->closeGracefully();
        break;
    case Phase::Head:
    case Phase::Body:
        this->rejectAndClose(ResultCode::RequestTimeout, "the request did not arrive in time");
        break;
    case Phase::Closing:
        this->close();
        break;
    case Phase::Answering:
        break;
    }
}

void CallerConnection::read()
{
    if (this->readPending || !this->socket.is_open()) {
        return;
    }
    this->readPending = true;
    const auto self = this->shared_from_this();
    this->socket.async_read_some(
        asio::buffer(this->chunk), [self](const error_code &error, std::size_t bytes) {
            self->readPending = false;
            self->onRead(error, bytes);
        });
}

void CallerConnection::onRead(const error_code &error, std::size_t bytes)
{
    if (error) {
        if (this->flow) {
            const std::shared_ptr<RequestFlow> ended = std::move(this->flow);
            ended->callerGone();
        }
        this->close();
        return;
    }
    if (this->phase == Phase::Closing) {
        this->read();
        return;
    }
    this->inbox.append(this->chunk.data(), bytes);
    if (this->phase != Phase::Answering) {
        this->parse();
    }
    if (this->phase != Phase::Answering || this->inbox.size() < pipelineLimit) {
        this->read();
    }
}

void CallerConnection::parse()
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Idle && !this->inbox.empty()) {
        const CallerLimits limits
            = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
        this->reader = std::make_unique<RequestReader>(limits.headerBytes, limits.bodyBytes);
        this->phase = Phase::Head;
        this->arm(limits.headerTime);
    }
    if (this->phase == Phase::Head && !this->parseHead()) {
        return;
    }
    if (this->phase != Phase::Body) {
        return;
    }
    error_code error;
    const std::size_t taken = this->reader->consume(this->inbox, error);
    this->inbox.erase(0, taken);
    if (error) {
        this->rejectMessage(error);
    } else if (this->reader->isComplete()) {
        this->requestComplete();
    }
}

bool CallerConnection::parseHead()
{
    // Empty lines before a request line are passed over.
    std::size_t skipped = 0;
    while (this->inbox.compare(skipped, 2, "\r\n") == 0) {
        skipped += 2;
    }
    this->inbox.erase(0, skipped);
    const std::size_t end = this->inbox.find("\r\n\r\n");
    const CallerLimits limits
        = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
    const std::size_t size = end == std::string::npos ? this->inbox.size() : end + 4;
    if (size > limits.headerBytes) {
        this->rejectAndClose(ResultCode::HeaderTooLarge, "the head is larger than the limit");
        return false;
    }
    if (isAmbiguousHead(std::string_view(this->inbox).substr(0, size))) {
        this->rejectAndClose(ResultCode::MalformedRequest,
            "the head has a folded line, a bare line feed or a zero byte");
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    error_code error;
    const std::size_t taken = this->reader->consume(this->inbox, error);
    this->inbox.erase(0, taken);
    if (error) {
        this->rejectMessage(error);
        return false;
    }
    if (!this->reader->isHeadComplete()) {
        this->rejectAndClose(ResultCode::MalformedRequest, "the head cannot be read");
        return false;
    }
    if (this->reader->isComplete()) {
        this->requestComplete();
        return false;
    }
    this->phase = Phase::Body;
    if (wantsContinue(this->reader->head()) && this->inbox.empty()
        && this->reader->body().empty()) {
        this->queue("HTTP/1.1 100 Continue\r\n\r\n");
        this->flush();
    }
    this->arm(limits.idleTime);
    return true;
}

void CallerConnection::rejectMessage(const error_code &error)
{
    if (error == http::error::body_limit) {
        this->rejectAndClose(ResultCode::BodyTooLarge, "the body is larger than the limit");
    } else if (error == http::error::header_limit) {
        this->rejectAndClose(ResultCode::HeaderTooLarge, "the head is larger than the limit");
    } else {
        this->rejectAndClose(ResultCode::MalformedRequest, error.message());
    }
}

void CallerConnection::rejectAndClose(ResultCode code, std::string_view detail)
{
    this->keepAlive = false;
    this->phase = Phase::Answering;
    const HttpResponse response = problemResponse(code, detail);
    this->state.metrics.count("wigeonsill_requests_total",
        "outcome=\"rejected\",status=\"" + std::to_string(response.status) + "\"");
    this->state.log.decision(
        DecisionLine("entry", "rejected").number("status", response.status).text("why", detail));
    this->respond(response.status, {}, response.fields, response.body);
}

void CallerConnection::requestComplete()
{
    this->phase = Phase::Answering;
    ++this->armed;
    this->timer.cancel();
    MessageHead head = this->reader->head();
    this->keepAlive = head.keepAlive;
    this->headOnly = head.method == "HEAD";
    this->chunkedAnswer = head.httpVersion == 11;
    this->answerOver = false;
    std::string body = std::move(this->reader->body());
    this->reader.reset();
    this->flow
        = std::make_shared<RequestFlow>(this->state, *this, std::move(head), std::move(body));
    const std::shared_ptr<RequestFlow> running = this->flow;
    running->start();
}

std::string CallerConnection::headOf(
    int status, std::string_view reason, const HttpFields &fields) const
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason;
    head += "\r\n";
    for (const HttpField &field : fields) {
        head += field.name;
        head += ": ";
        head += field.value;
        head += "\r\n";
    }
    if (!this->keepAlive || this->state.draining) {
        head += "Connection: close\r\n";
    }
    return head;
}

void CallerConnection::respond(
    int status, std::string_view reason, const HttpFields &fields, std::string_view body)
{
    std::string head = this->headOf(status, reason, fields);
    const bool bodyless = status == 204 || status == 304;
    if (!bodyless && fieldValue(fields, "Content-Length").empty()) {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    this->queue(head);
    if (!bodyless && !this->headOnly) {
        this->queue(body);
    }
    this->answerDone();
}

void CallerConnection::beginAnswer(int status, std::string_view reason, const HttpFields &fields)
{
    if (!this->chunkedAnswer) {
        this->keepAlive = false;
    }
    std::string head = this->headOf(status, reason, fields);
    if (this->chunkedAnswer) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    head += "\r\n";
    this->queue(head);
}

void CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty() || this->headOnly) {
        return;
    }
    if (this->chunkedAnswer) {
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        this->queue({ size.data(), static_cast<std::size_t>(length) });
        this->queue(bytes);
        this->queue("\r\n");
    } else {
        this->queue(bytes);
    }
    this->flush();
}

void CallerConnection::endAnswer()
{
    if (this->chunkedAnswer && !this->headOnly) {
        this->queue("0\r\n\r\n");
    }
    this->answerDone();
}

void CallerConnection::answerDone()
{
    this->flow.reset();
    this->answerOver = true;
    this->flush();
}

void CallerConnection::queue(std::string_view bytes)
{
    this->outbox += bytes;
    if (this->outbox.size() > outboxLimit) {
        this->state.metrics.count("wigeonsill_slow_callers_total");
        this->abort();
    }
}

void CallerConnection::flush()
{
    if (this->writePending || !this->socket.is_open()) {
        return;
    }
    const auto self = this->shared_from_this();
    if (this->outbox.empty()) {
        if (!this->answerOver) {
            return;
        }
        this->answerOver = false;
        if (!this->keepAlive || this->state.draining) {
            this->closeGracefully();
            return;
        }
        this->phase = Phase::Idle;
        const CallerLimits limits
            = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
        this->arm(limits.idleTime);
        // The next request may already be here; it is parsed outside the present call chain.
        asio::post(this->state.io, [self] {
            if (self->phase == Phase::Idle) {
                self->parse();
            }
            self->read();
        });
        return;
    }
    this->writing.swap(this->outbox);
    this->outbox.clear();
    this->writePending = true;
    asio::async_write(
        this->socket, asio::buffer(this->writing), [self](const error_code &error, std::size_t) {
            self->writePending = false;
            self->writing.clear();
            if (!error) {
                self->flush();
            }
        });
}

void CallerConnection::abort()
{
    if (this->flow) {
        const std::shared_ptr<RequestFlow> ended = std::move(this->flow);
        ended->callerGone();
    }
    this->close();
}

void CallerConnection::closeIfIdle()
{
    if (this->phase == Phase::Idle && this->inbox.empty()) {
        this->closeGracefully();
    }
}

void CallerConnection::closeGracefully()
{
    if (this->phase == Phase::Closing) {
        return;
    }
    this->phase = Phase::Closing;
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Unread bytes would turn the close into a reset that may overtake the answer.
    this->inbox.clear();
    this->arm(lingerTime);
    this->read();
}

void CallerConnection::close()
{
    ++this->armed;
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
}

} // namespace wigeonsill
