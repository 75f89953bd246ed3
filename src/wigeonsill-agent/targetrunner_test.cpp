/// \file targetrunner_test.cpp
/// Tests of how the agent takes the end of its target's answer.
#include "targetrunner.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class TargetRunnerEnds : public testing::Test
{
protected:
    /// Runs one request at a target that sends the given answer and closes the connection.
    /// \returns The program's counters.
    std::string countersAfter(const std::string &answer)
    {
        Metrics metrics;
        asio::io_context io{ 1 };
        tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket served(io);
        acceptor.async_accept(served, [&](const boost::system::error_code &) {
            asio::write(served, asio::buffer(answer));
            served.shutdown(tcp::socket::shutdown_send); // Not a reset.
        });
        const auto core = AgentCoreBuilder()
                              .incarnation({ 1, 2 })
                              .location({ "agent", "r", "d" })
                              .pools({ "pool" })
                              .build();
        TargetRunner runner({ io, metrics }, *core, acceptor.local_endpoint(), seconds(1), [] {});
        StartAtTarget start;
        start.request.method = "POST";
        start.request.path = "/";
        runner.start(std::move(start));
        io.run_for(seconds(1));
        return metrics.prometheusText();
    }
};

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
constexpr auto whole = "end=\"whole\"";
constexpr auto brokenOff = "end=\"broke-off\"";

TEST_F(TargetRunnerEnds, streamWithoutLengthThatEndsWithinAnEventIsBrokenOff)
{
    EXPECT_NE(this->countersAfter(streamHead + "id: 1\ndata: a\n\nid: 2\nda").find(brokenOff),
        std::string::npos);
}

TEST_F(TargetRunnerEnds, streamThatEndsBehindAnEventIsWhole)
{
    EXPECT_NE(this->countersAfter(streamHead + "id: 1\r\ndata: a\r\n\r\n").find(whole),
        std::string::npos);
}

/// ORDER: a stream breaks off and its target writes an error on the same connection.
TEST_F(TargetRunnerEnds, streamThatEndsInTheHeadOfAnErrorIsBrokenOff)
{
    EXPECT_EQ(this->countersAfter("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                                  "data: a\n\nHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
                  .find(whole),
        std::string::npos);
}

TEST_F(TargetRunnerEnds, documentWithoutLengthIsWhole)
{
    EXPECT_NE(this->countersAfter("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}")
                  .find(whole),
        std::string::npos);
}

} // namespace
} // namespace wigeonsill
