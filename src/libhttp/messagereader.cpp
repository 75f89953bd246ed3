/// \file messagereader.cpp
/// Incremental reading of HTTP/1.1 messages with Beast's parser.
#include "messagehead.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace wigeonsill {

namespace http = boost::beast::http;
using boost::system::error_code;

ConnectionEnd classifyEnd(const error_code &readError, const error_code &writeError)
{
    return readError == boost::asio::error::eof && !writeError ? ConnectionEnd::Orderly
                                                               : ConnectionEnd::Broken;
}

/// What RequestReader and AnswerReader have in common with both kinds of Beast's parser.
struct MessageReader::Parser
{
    virtual ~Parser() = default;
    /// As MessageReader::consume().
    virtual std::size_t consume(std::string_view bytes, error_code &error) = 0;
    virtual void consumeEnd(error_code &error) = 0;
    virtual void expectNoBody() = 0;
    virtual bool isHeadComplete() const = 0;
    virtual bool isComplete() const = 0;

    MessageHead head;
    std::string body;
};

namespace {

using View = boost::beast::string_view;

std::string_view toStd(View text)
{
    return { text.data(), text.size() };
}

template <bool isRequest>
class BeastParser : public MessageReader::Parser, private http::basic_parser<isRequest>
{
public:
    BeastParser(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    {
        this->eager(true);
        this->header_limit(headerLimit);
        this->body_limit(bodyLimit);
    }

    std::size_t consume(std::string_view bytes, error_code &error) override
    {
        error = this->checkNewBytes(bytes);
        std::size_t consumed = 0;
        while (!error && consumed < bytes.size() && !this->is_done()) {
            const boost::asio::const_buffer remaining(
                bytes.data() + consumed, bytes.size() - consumed);
            const std::size_t step = this->put(remaining, error);
            consumed += step;
            if (error == http::error::need_more) {
                error = {};
                if (step == 0) {
                    break;
                }
                continue;
            }
            if (step == 0) {
                break;
            }
        }
        this->checkedBytes = bytes.size() - consumed;
        // The parser waits for chunk headers and trailers of any size.
        if (!error && this->is_header_done() && !this->is_done()
            && bytes.size() - consumed > MessageReader::chunkFramingLimit) {
            error = http::error::buffer_overflow;
        }
        return consumed;
    }
    void consumeEnd(error_code &error) override { this->put_eof(error); }
    void expectNoBody() override { this->skip(true); }
    bool isHeadComplete() const override { return this->headComplete; }
    bool isComplete() const override { return this->is_done(); }

private:
    /// Checks what consume() gets for the first time.
    error_code checkNewBytes(std::string_view bytes)
    {
        if (isRequest || this->headComplete
            || !this->foldedLines.feed(bytes.substr(std::min(this->checkedBytes, bytes.size())))) {
            return {};
        }
        return http::error::bad_obs_fold;
    }
    void on_request_impl(
        http::verb /*verb*/, View method, View target, int version, error_code & /*error*/) override
    {
        this->head.method = toStd(method);
        this->head.target = toStd(target);
        this->head.httpVersion = version;
    }
    void on_response_impl(int status, View reason, int version, error_code & /*error*/) override
    {
        this->head.status = status;
        this->head.reason = toStd(reason);
        this->head.httpVersion = version;
    }
    void on_field_impl(
        http::field /*field*/, View name, View value, error_code & /*error*/) override
    {
        if (this->headComplete) {
            return; // A trailer, which is not forwarded.
        }
        this->head.fields.push_back(
            { { name.data(), name.size() }, { value.data(), value.size() } });
    }
    void on_header_impl(error_code &error) override
    {
        this->head.chunked = this->chunked();
        if (const auto length = this->content_length()) {
            this->head.length = *length;
        }
        this->head.keepAlive = this->keep_alive();
        this->head.endsAtClose = !isRequest && this->need_eof();
        error = isRequest ? checkRequestHead(this->head) : checkAnswerHead(this->head);
        this->headComplete = !error;
    }
    void on_body_init_impl(
        const boost::optional<std::uint64_t> & /*length*/, error_code & /*error*/) override
    {
    }
    std::size_t on_body_impl(View bytes, error_code & /*error*/) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(
        std::uint64_t /*size*/, View /*extensions*/, error_code & /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(
        std::uint64_t /*remain*/, View bytes, error_code & /*error*/) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code & /*error*/) override { }

    FoldedLineFinder foldedLines;
    std::size_t checkedBytes = 0; ///< At the begin of what consume() gets next.
    bool headComplete = false; ///< And sound.
};

} // namespace

MessageReader::MessageReader(std::unique_ptr<Parser> messageParser)
    : parser(std::move(messageParser))
{
}

MessageReader::~MessageReader() = default;

std::size_t MessageReader::consume(std::string_view bytes, error_code &error)
{
    return this->parser->consume(bytes, error);
}

bool MessageReader::isHeadComplete() const
{
    return this->parser->isHeadComplete();
}

bool MessageReader::isComplete() const
{
    return this->parser->isComplete();
}

const MessageHead &MessageReader::head() const
{
    return this->parser->head;
}

std::string &MessageReader::body()
{
    return this->parser->body;
}

RequestReader::RequestReader(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    : MessageReader(std::make_unique<BeastParser<true>>(headerLimit, bodyLimit))
{
}

AnswerReader::AnswerReader(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    : MessageReader(std::make_unique<BeastParser<false>>(headerLimit, bodyLimit))
{
}

void AnswerReader::consumeEnd(ConnectionEnd end, error_code &error)
{
    error = {};
    if (this->isComplete()) {
        return;
    }
    if (end == ConnectionEnd::Broken || !this->isHeadComplete()) {
        error = http::error::partial_message;
    } else {
        this->parser->consumeEnd(error);
    }
}

void AnswerReader::expectNoBody()
{
    this->parser->expectNoBody();
}

} // namespace wigeonsill
