/// \file exchange_test.cpp
/// Tests of the HTTP client with servers that send interim heads.
#include "wigeonsill/http.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// An exchange with a server that sends the given bytes.
class Exchange : public testing::Test
{
protected:
    Result<HttpResponse> fetchFrom(const std::string &bytes, const std::string &method = "GET")
    {
        tcp::acceptor acceptor(this->io, { asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket served(this->io);
        acceptor.async_accept(served, [&](const boost::system::error_code &) {
            boost::system::error_code ignored;
            asio::write(served, asio::buffer(bytes), ignored);
        });
        Result<HttpResponse> result = Error{ ResultCode::ConnectionClosed, "not ended" };
        spawn(this->io, this->run(acceptor.local_endpoint(), method, result));
        this->io.restart();
        this->io.run_for(seconds(3));
        return result;
    }
    asio::awaitable<void> run(
        tcp::endpoint endpoint, std::string method, Result<HttpResponse> &result)
    {
        HttpRequest request;
        request.method = method;
        result = co_await fetch(this->io, endpoint, std::move(request), seconds(1));
    }

    asio::io_context io{ 1 };
};

const std::string interimHead = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string finalAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

TEST_F(Exchange, interimHeadsAreNotTheAnswer)
{
    const Result<HttpResponse> response = this->fetchFrom(
        interimHead + "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + finalAnswer);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response.value().status, 200);
    EXPECT_EQ(response.value().body, "abc");
    EXPECT_EQ(fieldValue(response.value().fields, "Link"), "");
}

TEST_F(Exchange, answerToHeadBehindInterimHeadHasNoBody)
{
    const Result<HttpResponse> response
        = this->fetchFrom(interimHead + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD");
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response.value().status, 200);
}

TEST_F(Exchange, endlessInterimHeadsAreAnError)
{
    std::string bytes;
    for (int i = 0; i < 1'000; ++i) {
        bytes += interimHead;
    }
    EXPECT_FALSE(this->fetchFrom(bytes + finalAnswer));
}

/// No protocol was offered to switch to.
TEST_F(Exchange, switchOfProtocolsIsAnError)
{
    EXPECT_FALSE(this->fetchFrom("HTTP/1.1 101 Switching Protocols\r\n\r\n" + finalAnswer));
}

/// An answer of status 000 was skipped as an interim head, and what followed was taken for its own.
TEST_F(Exchange, statusBelow100IsAnError)
{
    const std::string anotherAnswer = "\r\n" + finalAnswer;
    for (const char *status : { "000", "042", "099" }) {
        std::string line = "HTTP/1.1 ";
        line.append(status).append(" Trouble\r\n");
        const std::string beforeAnother = line + anotherAnswer;
        for (const std::string &bytes :
            { line + "Content-Length: 3\r\n\r\nabc", beforeAnother, interimHead + beforeAnother }) {
            const Result<HttpResponse> response = this->fetchFrom(bytes);
            ASSERT_FALSE(response) << bytes;
            EXPECT_EQ(response.error().code, ResultCode::MessageMalformed);
        }
    }
}

/// A server that answers an upload before it has read it.
class EarlyAnsweredUpload : public Exchange
{
public:
    static constexpr std::size_t uploadSize = 4'000'000;
    using ServerEnd = void (EarlyAnsweredUpload::*)();

    EarlyAnsweredUpload()
        : acceptor(this->io, { asio::ip::make_address("127.0.0.1"), 0 })
        , served(this->io)
    {
    }
    Result<HttpResponse> upload(const std::string &answer, ServerEnd end)
    {
        this->acceptor.async_accept(
            this->served, [&answer, end, this](const boost::system::error_code &) {
                asio::write(this->served, asio::buffer(answer));
                (this->*end)();
            });
        Result<HttpResponse> result = Error{ ResultCode::ConnectionClosed, "not ended" };
        spawn(this->io, this->runUpload(result));
        this->io.run_for(seconds(3));
        return result;
    }
    asio::awaitable<void> runUpload(Result<HttpResponse> &result)
    {
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(uploadSize, 'u');
        result = co_await fetch(
            this->io, this->acceptor.local_endpoint(), std::move(request), seconds(1));
    }
    void reset()
    {
        this->served.set_option(asio::socket_base::linger(true, 0));
        this->served.close();
    }
    void readAndClose()
    {
        this->served.async_read_some(asio::buffer(this->buffer),
            [this](const boost::system::error_code &error, std::size_t size) {
                this->received.append(this->buffer.data(), size);
                const std::size_t bodyAt = this->received.find("\r\n\r\n") + 4;
                if (error || this->received.size() == bodyAt + uploadSize) {
                    this->served.close();
                } else {
                    this->readAndClose();
                }
            });
    }

    tcp::acceptor acceptor;
    tcp::socket served;
    std::array<char, 65'536> buffer = {};
    std::string received;
};

const std::string unframedAnswer = "HTTP/1.1 200 OK\r\n\r\nabc";

TEST_F(EarlyAnsweredUpload, isNotCompleteWhenTheConnectionIsReset)
{
    EXPECT_FALSE(this->upload(unframedAnswer, &EarlyAnsweredUpload::reset));
}

TEST_F(EarlyAnsweredUpload, isCompleteWhenItsUploadIsReadAndTheConnectionClosed)
{
    const Result<HttpResponse> response
        = this->upload(unframedAnswer, &EarlyAnsweredUpload::readAndClose);
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response.value().body, "abc");
}

} // namespace
} // namespace wigeonsill
