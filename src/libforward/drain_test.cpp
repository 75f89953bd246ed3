/// \file drain_test.cpp
/// Tests of an entry that was asked to stop.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

/// A caller with a connection from before the stop, which it still uses near the end.
class KeptConnection : public Reservations
{
protected:
    KeptConnection()
        : Reservations({ .gracePeriod = milliseconds(3'600) })
        , caller(this->io)
    {
        this->caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        this->caller.non_blocking(true);
        this->runFor(milliseconds(20));
        this->entry->drain();
        this->runFor(milliseconds(2'800)); // Long requests are not accepted any more.
    }
    void send(Duration deadline)
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(deadline).count();
        asio::write(this->caller,
            asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nTest-Deadline-Ms: " + std::to_string(ms)
                + "\r\n\r\n"));
        this->runFor(milliseconds(50));
    }
    std::string received()
    {
        std::array<char, 8'192> buffer{};
        boost::system::error_code error;
        const std::size_t size = this->caller.read_some(asio::buffer(buffer), error);
        return { buffer.data(), size };
    }

    asio::ip::tcp::socket caller;
};

/// LOST: a stream that was accepted with a deadline shortly before the end of the grace period was
/// cut off before both.
TEST_F(KeptConnection, requestThatWouldBeCutOffIsRefusedAtOnce)
{
    this->send(milliseconds(600)); // Until 3.45 s; requests are ended at 3.2 s.
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 503"));
}

TEST_F(KeptConnection, requestWhoseTimeIsOverBeforeIsServed)
{
    this->send(milliseconds(300));
    const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
    agent->reply(GrantKind::Granted, reservation);
    this->runFor(milliseconds(30));
    asio::ip::tcp::socket connection = agent->target.accept();
    asio::write(
        connection, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    this->runFor(milliseconds(30));
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 200"));
}

} // namespace
} // namespace wigeonsill
