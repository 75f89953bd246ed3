/// \file callerconnection.cpp
/// HTTP/1.1 connections from callers: reading requests within the limits and writing answers.
#include "callerconnection.h"

#include "requestflow.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <poll.h>

namespace wigeonsill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Maximum bytes of pipelined requests that are read while a request is answered.
constexpr std::size_t pipelineLimit = 65'536;
/// Interval between checks whether a caller whose pipeline is full has left.
constexpr Duration leaveCheckInterval = milliseconds(100);
/// How long the caller may take to read the last answer and close, before the connection is closed.
constexpr Duration lingerTime = seconds(1);

bool expectsContinue(const MessageHead &head)
{
    // HTTP/1.0 has no informational answers.
    return head.httpVersion == 11
        && equalsIgnoringCase(fieldValue(head.fields, "Expect"), "100-continue");
}

} // namespace

CallerConnection::CallerConnection(EntryState &entryState, asio::ip::tcp::socket accepted)
    : stateOwner(entryState.shared_from_this())
    , state(entryState)
    , socket(std::move(accepted))
    , timer(entryState.io)
{
}

CallerConnection::~CallerConnection()
{
    // The socket's destructor would end the connection without a reset.
    if (this->resetAtEnd) {
        error_code ignored;
        this->socket.close(ignored);
    }
}

void CallerConnection::start()
{
    setTcpOptions(this->socket);
    const CallerLimits limits
        = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
    this->startTimer(limits.idleTimeout);
    this->read();
}

void CallerConnection::startTimer(Duration time)
{
    const std::uint64_t generation = ++this->timerGeneration;
    const auto self = this->shared_from_this();
    this->timer.expires_after(time);
    this->timer.async_wait([self, generation](const error_code &error) {
        if (!error && generation == self->timerGeneration) {
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
        if (this->isPipelineFull() && this->hasCallerLeft()) {
            this->onDisconnected();
        } else {
            this->continueReading();
        }
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
        asio::buffer(this->readBuffer), [self](const error_code &error, std::size_t bytes) {
            self->readPending = false;
            self->onRead(error, bytes);
        });
}

bool CallerConnection::isPipelineFull() const
{
    return this->phase == Phase::Answering && this->receiveBuffer.size() >= pipelineLimit;
}

void CallerConnection::continueReading()
{
    if (!this->isPipelineFull()) {
        this->read();
    } else if (!this->readPending && this->socket.is_open()) {
        // Without a pending read, the timer keeps the connection alive.
        this->startTimer(leaveCheckInterval);
    }
}

bool CallerConnection::hasCallerLeft()
{
    // Behind unread bytes, asio does not report the end of the caller's sending.
    pollfd entry{ this->socket.native_handle(), POLLRDHUP, 0 };
    return poll(&entry, 1, 0) > 0;
}

void CallerConnection::onDisconnected()
{
    if (this->flow) {
        const std::shared_ptr<RequestFlow> endedFlow = std::move(this->flow);
        endedFlow->onCallerDisconnected();
    }
    this->close();
}

void CallerConnection::onRead(const error_code &error, std::size_t bytes)
{
    if (error) {
        this->onDisconnected();
        return;
    }
    if (this->phase == Phase::Closing) {
        this->read();
        return;
    }
    this->receiveBuffer.append(this->readBuffer.data(), bytes);
    if (this->phase != Phase::Answering) {
        this->parse();
    }
    this->continueReading();
}

void CallerConnection::parse()
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Idle && !this->receiveBuffer.empty()) {
        const CallerLimits limits
            = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
        this->reader = std::make_unique<RequestReader>(limits.headerBytes, limits.bodyBytes);
        this->answer = {};
        this->phase = Phase::Head;
        this->startTimer(limits.headerTimeout);
    }
    if (this->phase == Phase::Head && !this->parseHead()) {
        return;
    }
    if (this->phase != Phase::Body) {
        return;
    }
    error_code error;
    const std::size_t consumed = this->reader->consume(this->receiveBuffer, error);
    this->receiveBuffer.erase(0, consumed);
    if (error) {
        this->rejectParseError(error);
    } else if (this->reader->isComplete()) {
        this->onRequestComplete();
    }
}

bool CallerConnection::parseHead()
{
    // Empty lines before a request line are skipped.
    std::size_t skipped = 0;
    while (this->receiveBuffer.compare(skipped, 2, "\r\n") == 0) {
        skipped += 2;
    }
    this->receiveBuffer.erase(0, skipped);
    const std::size_t end = this->receiveBuffer.find("\r\n\r\n");
    const CallerLimits limits
        = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
    const std::size_t size = end == std::string::npos ? this->receiveBuffer.size() : end + 4;
    if (size > limits.headerBytes) {
        this->rejectAndClose(ResultCode::HeaderTooLarge, "the head is larger than the limit");
        return false;
    }
    if (isAmbiguousHead(std::string_view(this->receiveBuffer).substr(0, size))) {
        this->rejectAndClose(ResultCode::MalformedRequest,
            "the head has a folded line, a bare line feed or a zero byte");
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    error_code error;
    const std::size_t consumed = this->reader->consume(this->receiveBuffer, error);
    this->receiveBuffer.erase(0, consumed);
    if (error) {
        this->rejectParseError(error);
        return false;
    }
    if (!this->reader->isHeadComplete()) {
        this->rejectAndClose(ResultCode::MalformedRequest, "the head is malformed");
        return false;
    }
    if (this->reader->isComplete()) {
        this->onRequestComplete();
        return false;
    }
    this->phase = Phase::Body;
    if (expectsContinue(this->reader->head()) && this->receiveBuffer.empty()
        && this->reader->body().empty()) {
        this->enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        this->flush();
    }
    this->startTimer(limits.idleTimeout);
    return true;
}

void CallerConnection::rejectParseError(const error_code &error)
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
    this->answer.keepAlive = false;
    this->phase = Phase::Answering;
    const HttpResponse response = problemResponse(code, detail);
    this->state.metrics.count("wigeonsill_requests_total",
        "outcome=\"rejected\",status=\"" + std::to_string(response.status) + "\"");
    this->state.log.decision(
        DecisionLine("entry", "rejected").number("status", response.status).text("why", detail));
    this->respond(response.status, {}, response.fields, response.body);
}

void CallerConnection::onRequestComplete()
{
    this->phase = Phase::Answering;
    ++this->timerGeneration;
    this->timer.cancel();
    MessageHead head = this->reader->head();
    this->answer.keepAlive = head.keepAlive;
    this->answer.toHeadRequest = head.method == "HEAD";
    this->answer.chunked = head.httpVersion == 11;
    std::string body = std::move(this->reader->body());
    this->reader.reset();
    this->flow
        = std::make_shared<RequestFlow>(this->state, *this, std::move(head), std::move(body));
    const std::shared_ptr<RequestFlow> startedFlow = this->flow;
    startedFlow->start();
}

std::string CallerConnection::formatHead(
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
    if (!this->answer.keepAlive || this->state.draining) {
        head += "Connection: close\r\n";
    }
    return head;
}

void CallerConnection::respond(
    int status, std::string_view reason, const HttpFields &fields, std::string_view body)
{
    std::string head = this->formatHead(status, reason, fields);
    const bool bodyless = status == 204 || status == 304;
    if (!bodyless && fieldValue(fields, "Content-Length").empty()) {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    this->enqueue(head);
    if (!bodyless && !this->answer.toHeadRequest) {
        this->enqueue(body);
    }
    this->onAnswerComplete();
}

void CallerConnection::beginAnswer(int status, std::string_view reason, const HttpFields &fields)
{
    if (!this->answer.chunked) {
        this->answer.keepAlive = false;
        this->setResetAtEnd(true);
    }
    std::string head = this->formatHead(status, reason, fields);
    if (this->answer.chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    head += "\r\n";
    this->enqueue(head);
}

void CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty() || this->answer.toHeadRequest) {
        return;
    }
    if (this->answer.chunked) {
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        this->enqueue({ size.data(), static_cast<std::size_t>(length) });
        this->enqueue(bytes);
        this->enqueue("\r\n");
    } else {
        this->enqueue(bytes);
    }
    this->flush();
}

void CallerConnection::endAnswer()
{
    if (this->answer.chunked && !this->answer.toHeadRequest) {
        this->enqueue("0\r\n\r\n");
    }
    this->onAnswerComplete();
}

void CallerConnection::onAnswerComplete()
{
    this->flow.reset();
    this->answer.complete = true;
    this->flush();
}

void CallerConnection::setResetAtEnd(bool enabled)
{
    this->resetAtEnd = enabled;
    error_code ignored; // The connection has ended already.
    this->socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

void CallerConnection::enqueue(std::string_view bytes)
{
    this->sendBuffer += bytes;
}

void CallerConnection::flush()
{
    if (this->writePending || !this->socket.is_open()) {
        return;
    }
    const auto self = this->shared_from_this();
    if (this->sendBuffer.empty()) {
        if (!this->answer.complete) {
            return;
        }
        this->answer.complete = false;
        if (!this->answer.keepAlive || this->state.draining) {
            this->closeGracefully();
            return;
        }
        this->phase = Phase::Idle;
        const CallerLimits limits
            = this->state.configuration ? this->state.configuration->limits() : CallerLimits{};
        this->startTimer(limits.idleTimeout);
        // The next request may be buffered already. Parsing is posted to avoid recursion.
        asio::post(this->state.io, [self] {
            if (self->phase == Phase::Idle) {
                self->parse();
            }
            self->continueReading();
        });
        return;
    }
    this->writeBuffer.swap(this->sendBuffer);
    this->sendBuffer.clear();
    this->writePending = true;
    asio::async_write(this->socket, asio::buffer(this->writeBuffer),
        [self](const error_code &error, std::size_t) {
            self->writePending = false;
            self->writeBuffer.clear();
            if (!error) {
                self->flush();
                if (self->flow) {
                    self->flow->onCallerWritten();
                }
            }
        });
}

void CallerConnection::abort()
{
    this->onDisconnected();
}

void CallerConnection::closeIfIdle()
{
    if (this->phase == Phase::Idle && this->receiveBuffer.empty()) {
        this->closeGracefully();
    }
}

bool CallerConnection::hasUnfinishedAnswer() const
{
    return this->socket.is_open()
        && (this->phase == Phase::Answering || this->phase == Phase::Closing);
}

void CallerConnection::closeGracefully()
{
    if (this->phase == Phase::Closing) {
        return;
    }
    this->phase = Phase::Closing;
    if (this->resetAtEnd) {
        this->setResetAtEnd(false);
    }
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Closing a socket with unread bytes sends a reset, which may discard the answer before the
    // caller has read it. So input is read until the caller closes or the time is over.
    this->receiveBuffer.clear();
    this->startTimer(lingerTime);
    this->read();
}

void CallerConnection::close()
{
    ++this->timerGeneration;
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
}

} // namespace wigeonsill
