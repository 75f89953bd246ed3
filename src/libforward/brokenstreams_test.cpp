/// \file brokenstreams_test.cpp
/// Regression tests of ORDER: streams that are broken off must not look complete, and whole ones
/// must arrive, however their lines and their end are written.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

class StreamOfOneRun : public SentRequest
{
protected:
    explicit StreamOfOneRun(const Options &options = {})
        : SentRequest(options)
    {
    }
    /// The target's process ends. Its system closes the connection in order and refuses new ones.
    void endTarget()
    {
        this->firstAgent->target.close();
        this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    /// The target ends its answer by closing the connection, without a reset.
    void closeInOrder()
    {
        this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
        this->runFor(milliseconds(50));
    }
};

class ResumableStream : public StreamOfOneRun
{
protected:
    ResumableStream()
        : StreamOfOneRun({ .resumable = true })
    {
    }
    /// Another target grants room and gives the second event.
    void resumeElsewhere(const std::string &typeField = {})
    {
        this->queueReservations(milliseconds(100));
        ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation()) << "the stream is resumed elsewhere";
        this->write("HTTP/1.1 200 OK\r\n" + typeField + "Transfer-Encoding: chunked\r\n\r\n");
        this->writeEvent(2);
        this->write("0\r\n\r\n");
    }
};

constexpr auto halfEvent = "id: 2\ndata: half";

TEST_F(ResumableStream, thatEndsItsChunksWithinAnEventIsResumed)
{
    this->writeStreamHead();
    this->writeChunk(event(1) + halfEvent);
    this->write("0\r\n\r\n");
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

TEST_F(ResumableStream, thatEndsItsLengthWithinAnEventIsResumed)
{
    const std::string typeField = "Content-Type: text/event-stream; charset=utf-8\r\n";
    const std::string body = event(1) + halfEvent;
    this->write("HTTP/1.1 200 OK\r\n" + typeField + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body);
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere(typeField));
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

TEST_F(StreamOfOneRun, thatEndsItsChunksWithinAnEventIsNotComplete)
{
    this->writeStreamHead();
    this->writeChunk(event(1) + halfEvent);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
    EXPECT_TRUE(this->closed);
}

TEST_F(StreamOfOneRun, thatEndsWithinItsFirstEventFails)
{
    this->writeStreamHead();
    this->writeChunk("id: 1\ndata: half\n");
    this->write("0\r\n\r\n");
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 502")) << this->receivedBytes;
}

/// A stream without length, of a process that was killed behind an event.
TEST_F(ResumableStream, ofATargetThatEndedBehindAnEventIsResumed)
{
    this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1));
    this->endTarget();
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

TEST_F(StreamOfOneRun, ofATargetThatEndedBehindAnEventIsNotComplete)
{
    this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1));
    this->endTarget();
    this->runFor(milliseconds(100));
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
    EXPECT_TRUE(this->closed);
}

/// ORDER, review case 12: a target that leaves ends at its time, whether it has answered or not.
TEST_F(StreamOfOneRun, ofATargetThatLeavesAndEndsIsBrokenOff)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\n\r\n" + event(1));
    this->endTarget();
    this->runFor(milliseconds(100));
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
    EXPECT_TRUE(this->closed);
}

TEST_F(StreamOfOneRun, ofATargetThatLeavesAndRunsIsWhole)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\n\r\n" + event(1));
    this->closeInOrder();
    this->runFor(milliseconds(100));
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_TRUE(this->complete);
}

/// ORDER, review case 7: the process of a target that leaves is killed behind an event.
TEST_F(ResumableStream, ofATargetThatLeavesAndIsKilledIsResumed)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\n\r\n" + event(1));
    this->endTarget();
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

/// ORDER, review case 7: the system of a killed process closes its listening socket last, and
/// accepts the probe before that.
TEST_F(ResumableStream, ofATargetWhoseSystemStillAcceptsTheProbeIsResumed)
{
    this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1));
    this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->runFor(milliseconds(20));
    this->firstAgent->target.close();
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

/// A target that takes no more connections resets them, and lives.
TEST_F(ResumableStream, ofATargetThatResetsConnectionsIsWhole)
{
    this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1));
    this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->firstAgent->target.non_blocking(true);
    for (int i = 0; i < 40; ++i) {
        this->runFor(milliseconds(5));
        boost::system::error_code error;
        asio::ip::tcp::socket accepted = this->firstAgent->target.accept(error);
        if (!error) {
            accepted.set_option(asio::socket_base::linger(true, 0));
        }
    }
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_TRUE(this->complete);
}

/// Where the stream was whole, the next target has nothing to add.
TEST_F(ResumableStream, ofATargetThatLeavesAndEndsIsWholeIfNothingIsMissing)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\n\r\n" + event(1));
    this->endTarget();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->writeStreamHead();
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_TRUE(this->complete);
}

/// A stream of another writer, whose lines end with CRLF.
TEST_F(ResumableStream, withoutLengthAndWithCarriageReturnsIsWhole)
{
    const std::string events = "id: 1\r\ndata: t\r\n\r\nid: 2\r\ndata: t\r\n\r\n";
    this->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events);
    this->closeInOrder();
    EXPECT_EQ(this->receivedBody(), events);
    EXPECT_TRUE(this->complete);
}

TEST_F(ResumableStream, withCarriageReturnsIsRelayedAsItArrives)
{
    this->writeStreamHead();
    const std::string first = "id: 1\r\ndata: t\r\n\r\n";
    this->writeChunk(first);
    EXPECT_EQ(this->receivedBody(), first);
    EXPECT_FALSE(this->complete);
    this->connection.close();
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere()) << "the id of the event is known";
    EXPECT_EQ(this->receivedBody(), first + event(2));
}

/// Comments are no events, so nothing of the answer is missing.
TEST_F(ResumableStream, thatEndsWithinACommentIsWhole)
{
    this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1) + ": still he");
    this->closeInOrder();
    EXPECT_EQ(this->receivedBody(), event(1) + ": still he");
    EXPECT_TRUE(this->complete);
}

/// An engine may answer a request for a stream with one document.
TEST_F(ResumableStream, answeredByAnotherTypeEndsAsItsTargetStates)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n"
                "{\"a\":\"b\"}");
    EXPECT_EQ(this->receivedBody(), "{\"a\":\"b\"}");
    EXPECT_TRUE(this->complete);
}

constexpr auto errorAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
                             "Content-Length: 14\r\n\r\nupstream error";

/// ORDER: a stream without length breaks off and its target writes an error on the same connection.
TEST_F(StreamOfOneRun, errorBehindABrokenOffEventIsNoEvent)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event(1));
    this->write(halfEvent + std::string(errorAnswer));
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

TEST_F(StreamOfOneRun, errorBehindAWholeEventIsNoEvent)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event(1));
    const std::string head = std::string(errorAnswer).substr(0, 36);
    for (std::size_t at = 0; at < head.size(); at += 11) {
        this->write(head.substr(at, 11));
    }
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

TEST_F(ResumableStream, thatEndsInAnErrorIsResumed)
{
    this->writeStreamHead();
    const std::string content = event(1) + "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n";
    // Agents that answer late are passed over, so the entry reads this once they answer at once.
    asio::write(this->connection, asio::buffer("34\r\n" + content + "\r\n"));
    EXPECT_EQ(content.size(), 0x34U);
    ASSERT_NO_FATAL_FAILURE(this->resumeElsewhere());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

/// What a model writes about the protocol is text of an event.
TEST_F(StreamOfOneRun, withTextAboutTheProtocolIsWhole)
{
    const std::string text
        = "id: 2\ndata: HTTP/1.1 500 Internal Server Error\ndata: x HTTP/1.1 200 OK\n\n";
    this->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event(1) + text);
    this->closeInOrder();
    EXPECT_EQ(this->receivedBody(), event(1) + text);
    EXPECT_TRUE(this->complete);
}

/// A stream of which the caller has the first event breaks off; the next target answers.
class ResumedStream : public ResumableStream
{
protected:
    ResumedStream()
    {
        this->writeStreamHead();
        this->writeEvent(1);
        this->connection.close();
        this->queueReservations(milliseconds(100));
        this->moveToLastReservation();
    }
    /// The next target writes bytes in pieces and ends the connection.
    void answer(const std::string &bytes, std::size_t piece)
    {
        boost::system::error_code error; // The entry may have closed the connection.
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            asio::write(this->connection, asio::buffer(bytes.substr(at, piece)), error);
            this->runFor(milliseconds(30));
        }
        this->connection.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        this->runFor(milliseconds(200));
    }
};

/// ORDER, MIXED: callers found the text or the head of the next target's error in their stream, or
/// the stream ended as if it were complete.
TEST_F(ResumedStream, errorOfTheNextTargetIsNoPartOfIt)
{
    this->answer(errorAnswer, 23);
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

TEST_F(ResumedStream, errorWithinTheEventsOfTheNextTargetIsNoPartOfIt)
{
    this->answer("HTTP/1.1 200 OK\r\n\r\n" + event(2) + "id: 3\ndata: ha" + errorAnswer, 4'096);
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_FALSE(this->complete);
}

TEST_F(ResumedStream, errorOfTheNextTargetThatBreaksOffIsNoPartOfIt)
{
    this->answer(std::string(errorAnswer).substr(0, 100), 50);
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

TEST_F(ResumedStream, errorAsEventWithoutIdIsNoPartOfIt)
{
    this->answer("HTTP/1.1 200 OK\r\n\r\nevent: error\ndata: upstream error\n\n", 4'096);
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

TEST_F(ResumedStream, refusalOfTheNextTargetIsNoPartOfIt)
{
    this->answer("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", 4'096);
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

} // namespace
} // namespace wigeonsill
