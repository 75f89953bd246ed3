/// \file oldcallers_test.cpp
/// Tests of the HTTP server with callers that use HTTP/1.0.
#include "wigeonsill/http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server of one large answer without a length, and a caller with HTTP/1.0.
class OldCaller : public testing::Test
{
protected:
    static constexpr std::size_t partSize = 65'536;
    static constexpr std::size_t answerSize = 256 * partSize;

    OldCaller()
        : caller(this->io)
    {
    }
    void serve(const HttpServerLimits &limits)
    {
        this->server = std::make_unique<HttpServer>(
            this->io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
            [this](HttpRequest &, HttpResponder &responder) { return this->answer(responder); },
            limits);
        this->server->start();
        this->caller.open(tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(4'096));
        this->caller.connect(this->server->endpoint());
        this->caller.non_blocking(true);
        this->send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    }
    asio::awaitable<void> answer(HttpResponder &responder)
    {
        const std::string part(partSize, 'a');
        bool written = co_await responder.begin(200, {});
        for (std::size_t sent = 0; sent < answerSize && written; sent += partSize) {
            written = co_await responder.write(part);
            asio::steady_timer pause(this->io, milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (written && this->finishes) {
            co_await responder.finish();
        }
        if (this->staysOpen) {
            asio::steady_timer pause(this->io, seconds(60));
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
    void runFor(Duration time)
    {
        this->io.restart();
        this->io.run_for(time);
    }
    void send(const std::string &bytes)
    {
        asio::write(this->caller, asio::buffer(bytes));
        this->runFor(milliseconds(50));
    }
    /// Reads until the connection ends, for at most 10 s.
    void readAll()
    {
        for (const TimePoint end = currentTime() + seconds(10); currentTime() < end;) {
            std::array<char, partSize> buffer{};
            this->received += this->caller.read_some(asio::buffer(buffer), this->readError);
            if (this->readError == asio::error::would_block) {
                this->runFor(milliseconds(2));
            } else if (this->readError) {
                return;
            }
        }
    }

    asio::io_context io{ 1 };
    tcp::socket caller;
    std::unique_ptr<HttpServer> server;
    bool finishes = true; ///< The handler says that the answer is complete.
    bool staysOpen = false; ///< The handler goes on after the answer.
    std::size_t received = 0;
    boost::system::error_code readError;
};

TEST_F(OldCaller, wholeAnswerEndsCleanly)
{
    this->serve({});
    this->readAll();
    EXPECT_EQ(this->readError, asio::error::eof);
    EXPECT_GT(this->received, answerSize);
}

/// Bytes of the answer are still on their way when the caller's end is seen.
TEST_F(OldCaller, wholeAnswerEndsCleanlyThoughTheCallerClosesHalf)
{
    this->staysOpen = true;
    this->serve({});
    while (this->received < answerSize && this->readError != asio::error::eof) {
        std::array<char, partSize> buffer{};
        this->received += this->caller.read_some(asio::buffer(buffer), this->readError);
        this->runFor(milliseconds(1));
    }
    this->caller.shutdown(tcp::socket::shutdown_send);
    this->readAll();
    EXPECT_EQ(this->readError, asio::error::eof);
    EXPECT_GT(this->received, answerSize);
}

TEST_F(OldCaller, tooSlowDoesNotTakeAPartForTheWhole)
{
    HttpServerLimits limits;
    limits.writeTimeout = milliseconds(300);
    this->serve(limits);
    this->runFor(seconds(1));
    this->readAll();
    EXPECT_LT(this->received, answerSize);
    EXPECT_EQ(this->readError, asio::error::connection_reset);
}

TEST_F(OldCaller, thatClosesHalfDoesNotTakeAPartForTheWhole)
{
    this->serve({});
    this->caller.shutdown(tcp::socket::shutdown_send);
    this->readAll();
    EXPECT_LT(this->received, answerSize);
    EXPECT_EQ(this->readError, asio::error::connection_reset);
}

/// The handler ended without a word about the answer's end.
TEST_F(OldCaller, unfinishedAnswerDoesNotEndCleanly)
{
    this->finishes = false;
    this->serve({});
    this->readAll();
    EXPECT_EQ(this->readError, asio::error::connection_reset);
}

TEST_F(OldCaller, getsNoInformationalAnswer)
{
    this->serve({});
    tcp::socket other(this->io);
    other.connect(this->server->endpoint());
    asio::write(other,
        asio::buffer(std::string("POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\n"
                                 "Expect: 100-continue\r\n\r\n")));
    this->runFor(milliseconds(50));
    EXPECT_EQ(other.available(), 0U);
}

} // namespace
} // namespace wigeonsill
