/// \file messagereader.h
/// Incremental reading of HTTP/1.1 messages with Beast's parser.
#pragma once

#include "wigeonsill/forward.h"

#include <boost/beast/http/basic_parser.hpp>

namespace wigeonsill {

/// Reads one message. Body bytes accumulate in body() until the owner removes them. Not
/// thread-safe.
template <bool isRequest>
class MessageReader : private boost::beast::http::basic_parser<isRequest>
{
    using Base = boost::beast::http::basic_parser<isRequest>;
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;

public:
    /// Largest chunk header with its extensions, and largest trailers, in bytes. Both are waited
    /// for whole; targets send a few hundred bytes at most.
    static constexpr std::size_t chunkFramingLimit = 16'384;

    /// \param headerLimit Largest head. \param bodyLimit Largest body. Both in bytes.
    MessageReader(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    {
        this->eager(true);
        this->header_limit(headerLimit);
        this->body_limit(bodyLimit);
    }

    /// Parses as much as possible and returns the number of bytes consumed. Those of an incomplete
    /// line of a head, or chunk header, are not consumed and have to be passed again together with
    /// further bytes. Errors: those of Beast's http::error; header_limit and body_limit are those
    /// of the constructor, buffer_overflow that of chunkFramingLimit.
    std::size_t consume(std::string_view bytes, ErrorCode &error)
    {
        error = {};
        std::size_t consumed = 0;
        while (consumed < bytes.size() && !this->is_done()) {
            const boost::asio::const_buffer remaining(
                bytes.data() + consumed, bytes.size() - consumed);
            const std::size_t step = this->put(remaining, error);
            consumed += step;
            if (error == boost::beast::http::error::need_more) {
                error = {};
                if (step == 0) {
                    break;
                }
                continue;
            }
            if (error || step == 0) {
                break;
            }
        }
        // The parser waits for chunk headers and trailers of any size.
        if (!error && this->is_header_done() && !this->is_done()
            && bytes.size() - consumed > chunkFramingLimit) {
            error = boost::beast::http::error::buffer_overflow;
        }
        return consumed;
    }

    /// Reports that the peer closed the connection. Errors: the message is not complete.
    void consumeEnd(ErrorCode &error)
    {
        error = {};
        this->put_eof(error);
    }

    /// States that the answer has no body whatever its fields say. \pre nothing was consumed.
    void expectNoBody() { this->skip(true); }
    bool isHeadComplete() const { return this->is_header_done(); }
    bool isComplete() const { return this->is_done(); }
    bool hasStarted() const { return this->got_some(); }
    const MessageHead &head() const { return this->message; }
    std::string &body() { return this->content; }

private:
    void on_request_impl(boost::beast::http::verb /*verb*/, View method, View target, int version,
        ErrorCode & /*error*/) override
    {
        this->message.method.assign(method.data(), method.size());
        this->message.target.assign(target.data(), target.size());
        this->message.httpVersion = version;
    }
    void on_response_impl(int status, View reason, int version, ErrorCode &error) override
    {
        // The rest of a status line that was broken off, with another head behind it.
        if (reason.find("HTTP/1.") != View::npos) {
            error = boost::beast::http::error::bad_reason;
            return;
        }
        this->message.status = status;
        this->message.reason.assign(reason.data(), reason.size());
        this->message.httpVersion = version;
    }
    void on_field_impl(
        boost::beast::http::field /*field*/, View name, View value, ErrorCode &error) override
    {
        if (this->headEnded) {
            return; // A trailer, which is not forwarded.
        }
        // A head that was broken off within a field's value, with another head behind it.
        if (!isRequest
            && findStatusLine({ value.data(), value.size() }) != std::string_view::npos) {
            error = boost::beast::http::error::bad_value;
            return;
        }
        this->message.fields.push_back(
            { { name.data(), name.size() }, { value.data(), value.size() } });
    }
    void on_header_impl(ErrorCode & /*error*/) override
    {
        this->headEnded = true;
        this->message.chunked = this->chunked();
        if (const auto length = this->content_length()) {
            this->message.length = *length;
        }
        this->message.keepAlive = this->keep_alive();
        this->message.endsAtClose = !isRequest && this->need_eof();
    }
    void on_body_init_impl(
        const boost::optional<std::uint64_t> & /*length*/, ErrorCode & /*error*/) override
    {
    }
    std::size_t on_body_impl(View bytes, ErrorCode & /*error*/) override
    {
        this->content.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(
        std::uint64_t /*size*/, View /*extensions*/, ErrorCode & /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(
        std::uint64_t /*remain*/, View bytes, ErrorCode & /*error*/) override
    {
        this->content.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(ErrorCode & /*error*/) override { }

    MessageHead message;
    std::string content;
    bool headEnded = false;
};

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

} // namespace wigeonsill
