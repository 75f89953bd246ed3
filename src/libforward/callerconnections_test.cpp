/// \file callerconnections_test.cpp
/// Tests of connections from callers that pipeline, leave early, read slowly or use HTTP/1.0.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

class PipelinedCall : public SentRequest
{
protected:
    PipelinedCall()
        : SentRequest({ .routeType = RouteType::Idempotent })
    {
        const std::string next
            = "GET /x HTTP/1.1\r\nHost: h\r\nX-Fill: " + std::string(7'000, 'f') + "\r\n\r\n";
        for (int i = 0; i < 12; ++i) {
            boost::system::error_code error;
            asio::write(this->caller, asio::buffer(next), error);
            EXPECT_FALSE(error) << error.message();
            this->runFor(milliseconds(20));
        }
    }
    /// Grants what is reserved until the next request is sent, for at most 2 s.
    bool acceptNext()
    {
        for (int i = 0; i < 200; ++i) {
            for (const auto &agent : this->agents) {
                while (const auto reservation = agent->receive(GrantKind::Reserve)) {
                    agent->reply(GrantKind::Granted, *reservation);
                }
                boost::system::error_code error;
                agent->target.non_blocking(true);
                asio::ip::tcp::socket next = agent->target.accept(error);
                if (!error) {
                    this->connection = std::move(next);
                    return true;
                }
            }
            this->runFor(milliseconds(10));
        }
        return false;
    }
    /// Whether the entry has closed the connection to the target.
    bool isCancelled()
    {
        std::array<char, 8'192> buffer{};
        boost::system::error_code error;
        this->connection.non_blocking(true);
        while (!error) {
            this->connection.read_some(asio::buffer(buffer), error);
        }
        return error != asio::error::would_block;
    }
};

/// The connection is destroyed while its request is at a target.
TEST_F(PipelinedCall, callerThatPipelinesMuchGetsItsAnswers)
{
    this->received();
    ASSERT_FALSE(this->closed) << "the connection ends while its request is at a target";
    for (const std::string part : { "one", "two", "six" }) {
        this->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\n" + part);
        EXPECT_TRUE(this->received().ends_with(part)) << this->receivedBytes;
        ASSERT_TRUE(this->acceptNext()) << "the next request is sent";
    }
}

/// No read is pending that would end with the connection.
TEST_F(PipelinedCall, callerThatLeavesWithAFullPipelineIsNoticed)
{
    EXPECT_FALSE(this->isCancelled());
    this->caller.close();
    this->runFor(milliseconds(300));
    EXPECT_TRUE(this->isCancelled());
}

/// As above, with a reset.
TEST_F(PipelinedCall, callerThatResetsWithAFullPipelineIsNoticed)
{
    EXPECT_FALSE(this->isCancelled());
    this->caller.set_option(asio::socket_base::linger(true, 0));
    this->caller.close();
    this->runFor(milliseconds(300));
    EXPECT_TRUE(this->isCancelled());
}

/// A large answer to a caller whose answers end with the connection. It is relayed as it arrives.
class OldCall : public SentRequest
{
protected:
    OldCall()
        : SentRequest({ .routeType = RouteType::Idempotent, .callerVersion = "HTTP/1.0" })
    {
        this->write(
            "HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + std::string(300'000, 'a'));
    }
};

/// Closing the sending side counts as leaving; the answer must not end cleanly.
TEST_F(OldCall, callerThatClosesHalfDoesNotTakeAPartForTheWhole)
{
    this->caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->runFor(milliseconds(100));
    this->received();
    EXPECT_TRUE(this->closed);
    EXPECT_NE(this->readError, asio::error::eof)
        << "a clean end after " << this->receivedBytes.size() << " bytes";
}

/// The whole answer has come from the target, but the caller does not read it.
class SlowCaller : public Reservations
{
protected:
    explicit SlowCaller(const Options &options = { .routeType = RouteType::Idempotent })
        : Reservations(options)
        , caller(this->io)
    {
        this->caller.open(asio::ip::tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(4'096));
        this->caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        asio::write(this->caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
        this->caller.non_blocking(true);
        const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
        agent->reply(GrantKind::Granted, reservation);
        this->runFor(milliseconds(50));
        asio::ip::tcp::socket connection = agent->target.accept();
        connection.non_blocking(true);
        std::array<char, 4'096> request{}; // Left unread, it would make closing a reset.
        connection.read_some(asio::buffer(request));
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodySize)
            + "\r\n\r\n" + std::string(bodySize, 'a');
        boost::system::error_code error;
        for (std::size_t sent = 0; sent < answer.size();) {
            sent += connection.write_some(
                asio::buffer(answer.data() + sent, answer.size() - sent), error);
            this->runFor(milliseconds(2));
        }
        this->runFor(seconds(1)); // The entry reads at a paced rate.
    }
    /// Reads until nothing more comes for 200 ms, and returns how much of the body came.
    std::size_t readBody()
    {
        std::string bytes;
        for (int idle = 0; idle < 20;) {
            std::array<char, 65'536> buffer{};
            boost::system::error_code error;
            const std::size_t size = this->caller.read_some(asio::buffer(buffer), error);
            bytes.append(buffer.data(), size);
            idle = error ? idle + 1 : 0;
            this->runFor(error ? milliseconds(10) : Duration::zero());
        }
        AnswerReader reader(65'536, 2 * bodySize);
        boost::system::error_code error;
        reader.consume(bytes, error);
        EXPECT_FALSE(error) << error.message();
        EXPECT_TRUE(reader.isComplete());
        return reader.body().size();
    }

    /// More than socket buffers hold, and less than the entry buffers for a caller.
    static constexpr std::size_t bodySize = 3'900'000;
    asio::ip::tcp::socket caller;
};

/// The request has ended; most of its answer is only buffered.
TEST_F(SlowCaller, processIsNotDrainedBeforeAnswersAreWritten)
{
    this->entry->drain();
    this->runFor(seconds(5));
    EXPECT_FALSE(this->entry->isDrained()) << "drained before the answer was written";
    EXPECT_EQ(this->readBody(), bodySize);
    this->caller.close();
    this->runFor(milliseconds(300));
    EXPECT_TRUE(this->entry->isDrained());
}

class SlowCallerOfShortGrace : public SlowCaller
{
protected:
    SlowCallerOfShortGrace()
        : SlowCaller({ .routeType = RouteType::Idempotent, .gracePeriod = seconds(1) })
    {
    }
};

TEST_F(SlowCallerOfShortGrace, isNotWaitedForBeyondIt)
{
    this->entry->drain();
    this->runFor(seconds(1));
    EXPECT_TRUE(this->entry->isDrained());
}

/// An answer that is larger than what the entry buffers for a caller.
class LargeAnswer : public SentRequest
{
protected:
    LargeAnswer()
        : SentRequest({ .routeType = RouteType::Idempotent })
        , answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n"
              + std::string(bodySize, 'a'))
    {
        this->connection.non_blocking(true);
    }
    /// The target sends as much as the entry takes; runs for a time.
    void sendFor(Duration time)
    {
        for (const TimePoint end = currentTime() + time; currentTime() < end;) {
            boost::system::error_code error; // The entry takes no more for now.
            this->sent += this->connection.write_some(
                asio::buffer(this->answer.data() + this->sent, this->answer.size() - this->sent),
                error);
            this->runFor(milliseconds(1));
        }
    }
    /// The caller reads some bytes every millisecond until its answer is whole or broken off, for
    /// at most 10 s. Returns how much of the body came.
    std::size_t readSlowly()
    {
        AnswerReader reader(65'536, 2 * bodySize);
        std::string bytes;
        boost::system::error_code error;
        const TimePoint end = currentTime() + seconds(10);
        while (!reader.isComplete() && currentTime() < end
            && (!error || error == asio::error::would_block)) {
            std::array<char, 32'768> buffer{};
            bytes.append(buffer.data(), this->caller.read_some(asio::buffer(buffer), error));
            boost::system::error_code parseError;
            bytes.erase(0, reader.consume(bytes, parseError));
            EXPECT_FALSE(parseError) << parseError.message();
            this->sendFor(milliseconds(1));
        }
        return reader.body().size();
    }

    static constexpr std::size_t bodySize = 24'000'000;
    std::string answer;
    std::size_t sent = 0;
};

TEST_F(LargeAnswer, callerThatReadsSlowlyGetsItWhole)
{
    EXPECT_EQ(this->readSlowly(), bodySize);
}

/// The target waits for the caller, which is no silence of the target.
TEST_F(LargeAnswer, callerThatPausesGetsItWholeFromTheSameTarget)
{
    this->sendFor(seconds(2));
    EXPECT_LT(this->sent, bodySize) << "more is taken than the entry buffers";
    for (const auto &agent : this->agents) {
        EXPECT_FALSE(agent->receive(GrantKind::Reserve)) << "another target is searched";
    }
    EXPECT_EQ(this->readSlowly(), bodySize);
}

/// A caller that sends and receives text on one connection.
class TextCaller : public Reservations
{
protected:
    TextCaller()
        : caller(this->io)
    {
        this->caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        this->caller.non_blocking(true);
    }
    /// Sends bytes and returns what comes within 100 ms.
    std::string exchange(const std::string &bytes)
    {
        asio::write(this->caller, asio::buffer(bytes));
        return this->receive();
    }
    std::string receive()
    {
        this->runFor(milliseconds(100));
        std::array<char, 8'192> buffer{};
        boost::system::error_code error;
        return { buffer.data(), this->caller.read_some(asio::buffer(buffer), error) };
    }

    asio::ip::tcp::socket caller;
};

TEST_F(TextCaller, rejectionAfterHeadRequestHasItsBody)
{
    this->exchange("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
    agent->reply(GrantKind::Granted, reservation);
    this->runFor(milliseconds(50));
    asio::ip::tcp::socket connection = agent->target.accept();
    asio::write(
        connection, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n")));
    EXPECT_TRUE(this->receive().starts_with("HTTP/1.1 200 "));
    const std::string answer = this->exchange("GET /x HTTP/1.1\r\nfolded:\r\n line\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
    AnswerReader reader(65'536, 65'536);
    boost::system::error_code error;
    reader.consume(answer, error);
    EXPECT_TRUE(reader.isComplete()) << answer;
}

TEST_F(TextCaller, oldCallerGetsNoInformationalAnswer)
{
    EXPECT_EQ(this->exchange("POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\n"
                             "Expect: 100-continue\r\n\r\n"),
        "");
}

TEST_F(TextCaller, isToldToContinue)
{
    EXPECT_EQ(this->exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                             "Expect: 100-continue\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n");
}

} // namespace
} // namespace wigeonsill
