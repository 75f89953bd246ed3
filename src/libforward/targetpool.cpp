/// \file targetpool.cpp
/// Connections to targets: connecting, reuse, and reading of answers.
#include "targetpool.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace wigeonsill {

namespace asio = boost::asio;
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
/// Maximum number of idle connections kept for each target.
constexpr std::size_t maximumIdlePerTarget = 16;

} // namespace

struct TargetPool::Private
{
    asio::io_context &io;
    Metrics &metrics;
    const WireDialect &dialect;
    std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>, std::less<>> idle = {};
};

TargetPool::TargetPool(asio::io_context &io, Metrics &metrics, const WireDialect &dialect)
    : d(std::make_unique<Private>(io, metrics, dialect))
{
}

TargetPool::~TargetPool() = default;

std::shared_ptr<TargetConnection> TargetPool::send(
    const Target &target, OutgoingRequest request, AnswerHandler &handler)
{
    std::vector<std::shared_ptr<TargetConnection>> &idleConnections = this->d->idle[target.id];
    const TimePoint now = currentTime();
    while (!idleConnections.empty()) {
        std::shared_ptr<TargetConnection> connection = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (connection->idleUntil > now && connection->socket.is_open()) {
            connection->begin(std::move(request), handler);
            return connection;
        }
        connection->close();
    }
    const auto endpoint = parseEndpoint(target.address);
    auto connection = std::make_shared<TargetConnection>(
        *this->d, target.id, endpoint ? endpoint.value() : asio::ip::tcp::endpoint());
    this->d->metrics.count("wigeonsill_target_connections_total");
    connection->begin(std::move(request), handler);
    return connection;
}

void TargetPool::closeIdle(std::string_view targetId)
{
    const auto record = this->d->idle.find(targetId);
    if (record == this->d->idle.end()) {
        return;
    }
    for (const auto &connection : record->second) {
        connection->close();
    }
    this->d->idle.erase(record);
}

void TargetPool::closeUnlisted(const TargetDirectory &directory)
{
    for (auto record = this->d->idle.begin(); record != this->d->idle.end();) {
        if (directory.find(record->first) == nullptr) {
            for (const auto &connection : record->second) {
                connection->close();
            }
            record = this->d->idle.erase(record);
        } else {
            ++record;
        }
    }
}

TargetConnection::TargetConnection(
    TargetPool::Private &targetPool, std::string id, const asio::ip::tcp::endpoint &address)
    : pool(targetPool)
    , targetId(std::move(id))
    , endpoint(address)
    , socket(targetPool.io)
    , connectTimer(targetPool.io)
{
}

void TargetConnection::begin(OutgoingRequest outgoing, AnswerHandler &answerHandler)
{
    this->request = std::move(outgoing);
    this->handler = &answerHandler;
    this->reader = std::make_unique<AnswerReader>(answerHeadLimit, answerBodyLimit);
    if (this->request.isHead) {
        this->reader->expectNoBody();
    }
    this->headReceived = false;
    this->skippingAnswer = false;
    this->sent = false;
    if (this->connected) {
        this->write();
    } else {
        this->connect();
    }
}

void TargetConnection::connect()
{
    const auto self = this->shared_from_this();
    this->connectTimer.expires_after(connectTimeout);
    this->connectTimer.async_wait([self](const error_code &error) {
        if (!error && !self->connected) {
            self->fail(TargetFailure::NotConnected);
        }
    });
    this->socket.async_connect(this->endpoint, [self](const error_code &error) {
        self->connectTimer.cancel();
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
        [self](const error_code &error, std::size_t) {
            self->writing = false;
            // The read reports the failure as well, and may still receive an early answer.
            if (error) {
                self->reusable = false;
            }
            self->request.bytes.clear();
        });
    this->read();
}

void TargetConnection::read()
{
    if (this->reading || !this->socket.is_open()) {
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

void TargetConnection::onReadable(const error_code &error, std::size_t bytes)
{
    if (this->handler == nullptr) {
        // The target closed the idle connection or sent bytes that belong to no request.
        this->close();
        return;
    }
    if (!error) {
        this->receiveBuffer.append(this->readBuffer.data(), bytes);
        if (this->parse()) {
            this->read();
        }
        return;
    }
    error_code endError;
    const bool cleanEnd = error == asio::error::eof;
    if (cleanEnd && this->headReceived && !this->skippingAnswer) {
        this->reader->consumeEnd(endError);
        if (!endError && this->reader->isComplete()) {
            this->reusable = false;
            this->finish();
            return;
        }
    }
    this->fail(this->headReceived ? TargetFailure::Truncated : TargetFailure::ClosedWithoutAnswer);
}

bool TargetConnection::parse()
{
    const auto self = this->shared_from_this();
    while (!this->receiveBuffer.empty()) {
        error_code error;
        const std::size_t sizeBefore = this->receiveBuffer.size();
        if (!this->parseOnce(error)) {
            return false;
        }
        if (error) {
            this->fail(this->headReceived ? TargetFailure::Truncated : TargetFailure::Malformed);
            return false;
        }
        if (this->receiveBuffer.size() == sizeBefore) {
            break;
        }
    }
    return true;
}

bool TargetConnection::parseOnce(error_code &error)
{
    const std::size_t consumed = this->reader->consume(this->receiveBuffer, error);
    this->receiveBuffer.erase(0, consumed);
    if (this->reader->isHeadComplete() && !this->headReceived && !this->skippingAnswer) {
        const MessageHead &head = this->reader->head();
        const AnswerFacts facts = this->pool.dialect.decodeAnswer(head);
        const bool informational = head.status >= 100 && head.status < 200;
        const bool foreign = !facts.requestId.empty() && facts.requestId != this->request.id;
        this->skippingAnswer = informational || foreign;
        if (foreign) {
            this->pool.metrics.count("wigeonsill_foreign_answers_total");
            this->handler->onForeignAnswer(facts.requestId, this->requestsCarried - 1);
        }
        if (!this->skippingAnswer) {
            this->headReceived = true;
            this->updateIdleTime(head);
            this->handler->onAnswerHead(head);
        }
    }
    if (this->handler == nullptr) {
        return false;
    }
    if (!this->reader->body().empty()) {
        const std::string bytes = std::move(this->reader->body());
        this->reader->body().clear();
        if (!this->skippingAnswer) {
            this->handler->onAnswerBody(bytes);
            if (this->handler == nullptr) {
                return false;
            }
        }
    }
    if (!this->reader->isComplete() || error) {
        return true;
    }
    if (this->skippingAnswer) {
        this->reader = std::make_unique<AnswerReader>(answerHeadLimit, answerBodyLimit);
        this->skippingAnswer = false;
        return true;
    }
    this->finish();
    return false;
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
    if (!this->reusable || !this->receiveBuffer.empty() || this->writing) {
        this->close();
    } else {
        auto &idleConnections = this->pool.idle[this->targetId];
        if (idleConnections.size() < maximumIdlePerTarget) {
            idleConnections.push_back(self);
            this->read();
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
    this->close();
    if (finishedHandler != nullptr) {
        finishedHandler->onAnswerFailed(failure);
    }
}

void TargetConnection::cancel()
{
    this->handler = nullptr;
    this->close();
}

void TargetConnection::close()
{
    this->connectTimer.cancel();
    if (this->socket.is_open()) {
        error_code ignored;
        this->socket.close(ignored);
    }
}

} // namespace wigeonsill
