/// \file targetconnection.cpp
/// One connection to a target: connecting, sending, and reading of answers.
#include "targetpoolstate.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>

#include <sys/socket.h>

namespace wigeonsill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Timeout for connecting to a target; the platform sets the same limit for callers.
constexpr Duration connectTimeout = milliseconds(1'000);
/// Longest idle time after which a connection is reused, also where the target states a longer one.
/// Targets may close earlier than they state, and a request lost on a closing connection cannot
/// always be sent again.
constexpr Duration defaultIdleTime = seconds(3);
/// Subtracted from the idle time that a target states in whole seconds.
constexpr Duration idleTimeMargin = milliseconds(1'000);
/// Limits on the size of an answer in bytes. A larger one is treated as malformed, or as truncated
/// once its head was received.
constexpr std::uint32_t answerHeadLimit = 65'536;
constexpr std::uint64_t answerBodyLimit = 268'435'456;
/// Bytes of informational and other requests' answers that are read for one request before the
/// connection is closed. A new connection costs less than reading more.
constexpr std::size_t skippedBytesLimit = 262'144;
/// Time within which another request's answer has to end. It is late already, so what is left of it
/// is due at once.
constexpr Duration skippedTimeLimit = seconds(2);
/// The bounds that the reader checks.
constexpr std::array readerBounds = {
    std::pair{ http::error::header_limit, AnswerBound::Head },
    std::pair{ http::error::body_limit, AnswerBound::Body },
    std::pair{ http::error::buffer_overflow, AnswerBound::ChunkFraming },
};
/// Maximum number of idle connections kept for each target.
constexpr std::size_t maximumIdlePerTarget = 16;

} // namespace

TargetConnection::TargetConnection(
    TargetPool::Private &targetPool, std::string id, const asio::ip::tcp::endpoint &address)
    : pool(targetPool)
    , targetId(std::move(id))
    , endpoint(address)
    , socket(targetPool.io)
    , timer(targetPool.io)
{
}

void TargetConnection::begin(OutgoingRequest outgoing, AnswerHandler &answerHandler)
{
    this->request = std::move(outgoing);
    this->handler = &answerHandler;
    this->startReader();
    this->skippedBytes = 0;
    this->headReceived = false;
    this->bodyEnd = BodyEnd::Open;
    this->bytesFollow = false;
    this->sent = false;
    this->writeError = {};
    this->endedWhileWriting = false;
    this->readingPaused = false;
    if (this->connected) {
        this->write();
    } else {
        this->connect();
    }
}

void TargetConnection::connect()
{
    const auto self = this->shared_from_this();
    this->timer.expires_after(connectTimeout);
    this->timer.async_wait([self](const error_code &error) {
        if (!error && !self->connected) {
            self->fail(TargetFailure::NotConnected);
        }
    });
    this->socket.async_connect(this->endpoint, [self](const error_code &error) {
        self->timer.cancel();
        if (self->handler == nullptr) {
            return;
        }
        if (error) {
            self->fail(TargetFailure::NotConnected);
            return;
        }
        self->connected = true;
        setTcpOptions(self->socket);
        self->write();
    });
}

void TargetConnection::write()
{
    const auto self = this->shared_from_this();
    this->handler->onSent();
    if (this->handler == nullptr) {
        return;
    }
    this->sent = true;
    ++this->requestsCarried;
    this->writing = true;
    asio::async_write(this->socket, asio::buffer(this->request.bytes),
        [self](const error_code &error, std::size_t) { self->onWritten(error); });
    this->read();
}

void TargetConnection::onWritten(const error_code &error)
{
    this->writing = false;
    this->request.bytes.clear();
    this->writeError = error; // A read may still receive an early answer, and then its end.
    if (this->endedWhileWriting && this->handler != nullptr) {
        this->onEnd(asio::error::eof);
    }
}

void TargetConnection::read()
{
    if (this->reading || this->readingPaused || !this->socket.is_open()) {
        return;
    }
    this->reading = true;
    const auto self = this->shared_from_this();
    this->socket.async_read_some(
        asio::buffer(this->readBuffer), [self](const error_code &error, std::size_t bytes) {
            self->reading = false;
            self->onReadable(error, bytes);
        });
}

void TargetConnection::resumeReading()
{
    this->readingPaused = false;
    this->read();
}

void TargetConnection::awaitIdleInput()
{
    const auto self = this->shared_from_this();
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self](const error_code &) {
        if (self->handler == nullptr) {
            self->closeIdle();
        }
    });
}

bool TargetConnection::hasUnexpectedInput()
{
    char peeked = 0;
    return ::recv(this->socket.native_handle(), &peeked, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
        || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void TargetConnection::closeIdle()
{
    if (this->socket.is_open()) {
        this->pool.metrics.count("wigeonsill_idle_connections_ended_total");
    }
    this->close();
}

void TargetConnection::onReadable(const error_code &error, std::size_t bytes)
{
    if (this->handler == nullptr) {
        this->close();
        return;
    }
    this->readBufferFilled = bytes == this->readBuffer.size();
    if (!error && this->bodyEnd != BodyEnd::Open) {
        this->bytesFollow = true;
        this->scanner->feedFollowing({ this->readBuffer.data(), bytes });
        if (this->endBody()) {
            this->read();
        }
        return;
    }
    if (!error) {
        this->receiveBuffer.append(this->readBuffer.data(), bytes);
        if (this->parse()) {
            this->read();
        }
        return;
    }
    this->onEnd(error);
}

void TargetConnection::onEnd(const error_code &error)
{
    if (this->isAwaitingRest()) {
        if (error == asio::error::eof) {
            this->finishBody();
        } else {
            this->discardBody(TargetFailure::Doubtful, "reset behind a body that may be cut");
        }
        return;
    }
    if (this->bodyEnd == BodyEnd::MoreAtHand) {
        this->reusable = false;
        this->endBody();
        return;
    }
    const bool isAnswer = this->headReceived && !this->skippingAnswer;
    if (isAnswer && this->reader->head().endsAtClose && error == asio::error::eof
        && this->writing) {
        // A reset behind the upload shows in the write, and a target that reads on lets it end.
        this->endedWhileWriting = true;
        return;
    }
    error_code endError;
    this->reader->consumeEnd(classifyEnd(error, this->writeError), endError);
    if (isAnswer && !endError) {
        this->reusable = false;
        this->endBody();
        return;
    }
    this->fail(this->headReceived ? TargetFailure::Truncated : TargetFailure::ClosedWithoutAnswer);
}

bool TargetConnection::parse()
{
    const auto self = this->shared_from_this();
    std::string received = std::move(this->receiveBuffer);
    this->receiveBuffer.clear();
    std::string_view pending(received);
    while (!pending.empty()) {
        error_code error;
        const std::size_t sizeBefore = pending.size();
        if (!this->parseOnce(pending, error)) {
            return false;
        }
        if (error) {
            this->failParsing(error);
            return false;
        }
        if (pending.size() == sizeBefore) {
            break;
        }
    }
    received.erase(0, received.size() - pending.size());
    this->receiveBuffer = std::move(received);
    return true;
}

void TargetConnection::failParsing(const error_code &error)
{
    for (const auto &[limitError, bound] : readerBounds) {
        if (error == limitError) {
            this->endAtBound(bound);
            return;
        }
    }
    this->handler->onUnreadable(error.message());
    if (this->handler != nullptr) {
        this->fail(this->headReceived ? TargetFailure::Truncated : TargetFailure::Malformed);
    }
}

bool TargetConnection::parseOnce(std::string_view &pending, error_code &error)
{
    const std::size_t consumed = this->reader->consume(pending, error);
    if (this->request.isHead && !this->headReceived && !this->skippingAnswer) {
        this->headBytes.append(pending.substr(0, consumed));
    }
    pending.remove_prefix(consumed);
    if (this->reader->isHeadComplete() && !this->headReceived && !this->skippingAnswer
        && !this->onHeadRead()) {
        return false;
    }
    if (!this->headReceived) {
        this->skippedBytes += consumed;
        if (this->skippedBytes > skippedBytesLimit) {
            this->endAtBound(AnswerBound::SkippedBytes);
            return false;
        }
    }
    if (!this->reader->body().empty()) {
        const std::string bytes = std::move(this->reader->body());
        this->reader->body().clear();
        if (!this->skippingAnswer) {
            this->passOnBody(bytes);
            if (this->handler == nullptr) {
                return false;
            }
        }
    }
    if (!this->reader->isComplete() || error) {
        return true;
    }
    if (this->skippingAnswer) {
        this->timer.cancel();
        this->startReader();
        return true;
    }
    this->bytesFollow = !pending.empty();
    if (this->scanner) {
        this->scanner->feedFollowing(pending);
    }
    pending = {};
    if (!this->bytesFollow && this->readBufferFilled && this->hasUnexpectedInput()) {
        this->bodyEnd = BodyEnd::MoreAtHand;
        this->readingPaused = false; // The handler has the whole body.
        return true;
    }
    return this->endBody();
}

void TargetConnection::onSkippedTimeOver()
{
    // A later answer may be skipped by now.
    if (this->skippingAnswer && this->timer.expiry() <= asio::steady_timer::clock_type::now()) {
        this->endAtBound(AnswerBound::SkippedTime);
    }
}

void TargetConnection::startReader()
{
    this->reader = std::make_unique<AnswerReader>(answerHeadLimit, answerBodyLimit);
    if (this->request.isHead) {
        this->reader->expectNoBody();
    }
    this->scanner.reset();
    this->heldBody.clear();
    this->headBytes.clear();
    this->skippingAnswer = false;
}

void TargetConnection::skipForeignAnswer()
{
    this->skippingAnswer = true;
    this->boreForeignAnswer = true;
    const auto self = this->shared_from_this();
    this->timer.expires_after(skippedTimeLimit);
    this->timer.async_wait([self](const error_code &error) {
        if (!error) {
            self->onSkippedTimeOver();
        }
    });
    if (this->request.isHead) {
        // Only this request's answer is known to have no body.
        this->reader = std::make_unique<AnswerReader>(answerHeadLimit, answerBodyLimit);
        error_code ignored;
        this->reader->consume(this->headBytes, ignored);
    }
}

bool TargetConnection::onHeadRead()
{
    const auto self = this->shared_from_this();
    const MessageHead &head = this->reader->head();
    if (head.status >= 100 && head.status < 200) {
        this->skippingAnswer = true;
        return true;
    }
    const AnswerFacts facts = this->pool.dialect.decodeAnswer(head);
    if (facts.idIsRepeated) {
        this->pool.metrics.count("wigeonsill_joined_answers_total");
        this->fail(TargetFailure::Malformed);
        return false;
    }
    if (!this->isAttributable(facts)) {
        this->pool.metrics.count("wigeonsill_unattributed_answers_total");
        this->handler->onForeignAnswer({}, this->requestsCarried - 1);
        if (this->handler != nullptr) {
            this->fail(TargetFailure::Unattributed);
        }
        return false;
    }
    if (!facts.requestId.empty() && facts.requestId != this->request.id) {
        this->skipForeignAnswer();
        this->pool.metrics.count("wigeonsill_foreign_answers_total");
        this->handler->onForeignAnswer(facts.requestId, this->requestsCarried - 1);
    } else if (facts.lacksSignature) {
        this->fail(TargetFailure::Unsigned);
    } else {
        this->headReceived = true;
        this->updateIdleTime(head);
        this->startScanner(head);
        this->handler->onAnswerHead(head);
    }
    return this->handler != nullptr;
}

bool TargetConnection::isAttributable(const AnswerFacts &facts) const
{
    return this->request.id.empty() || !facts.requestId.empty()
        || (this->requestsCarried == 1 && !this->boreForeignAnswer);
}

void TargetConnection::updateIdleTime(const MessageHead &head)
{
    Duration idleTimeout = defaultIdleTime;
    const std::string_view keepAlive = fieldValue(head.fields, "Keep-Alive");
    constexpr std::string_view marker = "timeout=";
    const std::size_t at = keepAlive.find(marker);
    if (at != std::string_view::npos) {
        int statedSeconds = 0;
        const std::string_view digits = keepAlive.substr(at + marker.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), statedSeconds);
        idleTimeout = std::min<Duration>(idleTimeout, seconds(statedSeconds) - idleTimeMargin);
    }
    this->idleUntil = currentTime() + idleTimeout;
    this->reusable = this->reusable && head.keepAlive && idleTimeout > Duration::zero();
}

void TargetConnection::finish()
{
    const auto self = this->shared_from_this();
    AnswerHandler *finishedHandler = this->handler;
    this->handler = nullptr;
    // Bytes after a complete answer belong to no request, and a target that answered before it had
    // read the complete body would read the next request as the rest of that body.
    if (!this->reusable || this->boreForeignAnswer || this->bytesFollow || this->writing
        || this->writeError) {
        this->close();
    } else {
        auto &idleConnections = this->pool.idle[this->targetId];
        if (idleConnections.size() < maximumIdlePerTarget) {
            idleConnections.push_back(self);
            this->awaitIdleInput();
        } else {
            this->close();
        }
    }
    finishedHandler->onAnswerEnd();
}

void TargetConnection::fail(TargetFailure failure)
{
    const auto self = this->shared_from_this();
    AnswerHandler *finishedHandler = this->handler;
    this->handler = nullptr;
    this->reset();
    if (finishedHandler != nullptr) {
        finishedHandler->onAnswerFailed(failure);
    }
}

void TargetConnection::endAtBound(AnswerBound bound)
{
    const auto self = this->shared_from_this();
    if (this->handler == nullptr) {
        return;
    }
    this->pool.metrics.count("wigeonsill_answer_bounds_total",
        "bound=\"" + std::string(enumName(answerBoundNames, bound)) + "\"");
    this->handler->onBoundExceeded(bound);
    if (this->handler != nullptr) {
        this->fail(this->headReceived ? TargetFailure::Truncated : TargetFailure::Malformed);
    }
}

void TargetConnection::cancel()
{
    this->handler = nullptr;
    this->reset();
}

void TargetConnection::reset()
{
    error_code ignored; // The connection has ended already.
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void TargetConnection::close()
{
    this->timer.cancel();
    if (this->socket.is_open()) {
        error_code ignored;
        this->socket.close(ignored);
    }
}

} // namespace wigeonsill
