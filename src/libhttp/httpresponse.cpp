/// \file httpresponse.cpp
/// Writing of responses by HttpSession: message framing, and the minimum rate at which a caller
/// must receive them.
#include "httpsession.h"

#include <sstream>

namespace wigeonsill {

namespace {

constexpr int firstStatusWithBody = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

bool statusHasBody(int status)
{
    return status >= firstStatusWithBody && status != statusNoContent
        && status != statusNotModified;
}

template <class Message>
void setFields(Message &message, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        message.insert(field.name, field.value);
    }
}

std::string serializeHead(const http::response_header<> &head)
{
    std::ostringstream text;
    text << head;
    return text.str();
}

} // namespace

template <class Buffers>
asio::awaitable<bool> HttpSession::writeAll(Buffers buffers)
{
    beast::buffers_suffix<Buffers> remaining(buffers);
    while (!this->closed && beast::buffer_bytes(remaining) > 0) {
        const TimePoint start = currentTime();
        this->stream.expires_after(this->writeTimeBudget);
        auto [error, size] = co_await this->stream.async_write_some(remaining, useTuple);
        if (error) {
            this->handleDisconnect();
            co_return false;
        }
        remaining.consume(size);
        const Duration timeRegained(
            static_cast<std::int64_t>(size) * 1'000'000 / this->limits.minimumWriteRate);
        this->writeTimeBudget -= currentTime() - start;
        this->writeTimeBudget
            = std::min(this->writeTimeBudget + timeRegained, this->limits.writeTimeout);
    }
    if (!this->closed) {
        this->stream.expires_never();
    }
    co_return !this->closed;
}

asio::awaitable<bool> HttpSession::writeText(std::string_view text)
{
    co_return co_await this->writeAll(asio::const_buffer(text.data(), text.size()));
}

http::response_header<> HttpSession::makeHead(int status, const HttpFields &fields) const
{
    http::response<http::empty_body> message(static_cast<http::status>(status), http11);
    setFields(message, fields);
    message.keep_alive(this->keepAlive && !this->draining);
    return std::move(message.base());
}

asio::awaitable<bool> HttpSession::respond(HttpResponse response)
{
    if (this->closed || this->responseStarted) {
        co_return false;
    }
    this->responseStarted = true;
    http::response_header<> head = this->makeHead(response.status, response.fields);
    if (!this->isHeadRequest) {
        head.erase(http::field::content_length);
    }
    if (!statusHasBody(response.status)) {
        response.body.clear();
    } else if (head.find(http::field::content_length) == head.end()) {
        head.set(http::field::content_length, std::to_string(response.body.size()));
    }
    if (this->isHeadRequest) {
        response.body.clear();
    }
    const std::string headText = serializeHead(head);
    const std::array<asio::const_buffer, 2> buffers
        = { asio::buffer(headText), asio::buffer(response.body) };
    co_return co_await this->writeAll(buffers);
}

asio::awaitable<bool> HttpSession::begin(int status, HttpFields fields)
{
    if (this->closed || this->responseStarted) {
        co_return false;
    }
    this->responseStarted = true;
    this->bodyless = this->isHeadRequest || !statusHasBody(status);
    const bool hasLength = !fieldValue(fields, "Content-Length").empty();
    this->chunked = !this->bodyless && !hasLength && this->version >= http11;
    if (!this->bodyless && !hasLength && !this->chunked) {
        this->keepAlive = false;
        this->setCloseDelimited(true);
    }
    http::response_header<> head = this->makeHead(status, fields);
    if (this->chunked) {
        head.set(http::field::transfer_encoding, "chunked");
    } else {
        head.erase(http::field::trailer);
    }
    const std::string headText = serializeHead(head);
    co_return co_await this->writeText(headText);
}

asio::awaitable<bool> HttpSession::write(std::string_view bytes)
{
    if (bytes.empty() || this->bodyless) {
        co_return !this->closed;
    }
    if (!this->chunked) {
        co_return co_await this->writeText(bytes);
    }
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    co_return co_await this->writeAll(chunk);
}

asio::awaitable<bool> HttpSession::finish(HttpFields trailers)
{
    if (this->closeDelimited && !this->closed) {
        this->setCloseDelimited(false);
    }
    if (!this->chunked) {
        co_return !this->closed;
    }
    std::string lastChunk = "0\r\n";
    for (const HttpField &field : trailers) {
        lastChunk += field.name + ": " + field.value + "\r\n";
    }
    lastChunk += "\r\n";
    co_return co_await this->writeText(lastChunk);
}

} // namespace wigeonsill
