/// \file mixedanswers_test.cpp
/// Regression tests of answers that were joined from two targets or lost a part on a move.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

/// The target that was to resume a stream begins it anew.
TEST_F(BegunStream, eventsThatTheCallerHasAreNotRelayedAgain)
{
    this->connection.close();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->writeStreamHead();
    this->writeChunk(event(1) + event(2));
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation()) << "the stream is resumed elsewhere";
    this->writeStreamHead();
    this->writeEvent(2);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

class UnbegunStream : public SentRequest
{
protected:
    UnbegunStream()
        : SentRequest({ .resumable = true })
    {
        this->writeStreamHead();
    }
};

/// MIXED on tendopoli-nord: a target crashed in the middle of the first event of a stream.
TEST_F(UnbegunStream, halfFirstEventOfCrashedTargetIsNotJoinedWithItsSuccessor)
{
    this->writeChunk("id: 1\ndata: half");
    this->connection.close();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->writeStreamHead();
    this->writeEvent(1);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_TRUE(this->complete);
}

/// A target pauses within an event and goes on while no other has room.
TEST_F(BegunStream, halfEventOfTargetThatGoesOnIsKept)
{
    const std::string second = event(2);
    this->writeChunk(second.substr(0, 9));
    this->queueReservations(milliseconds(1'700));
    this->writeChunk(second.substr(9));
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1) + second);
    EXPECT_TRUE(this->complete);
}

/// A stream whose answer has no length ends with its connection, here in the middle of an event.
class UnframedStream : public SentRequest
{
protected:
    explicit UnframedStream(bool resumable = true)
        : SentRequest({ .resumable = resumable })
    {
        this->write("HTTP/1.1 200 OK\r\n\r\n" + event(1) + "id: 2\ndata: half");
        // Without a reset, although the request was not read here.
        this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
        this->queueReservations(milliseconds(100));
    }
};

TEST_F(UnframedStream, thatEndsWithinAnEventIsResumed)
{
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->writeStreamHead();
    this->writeEvent(2);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
    EXPECT_TRUE(this->complete);
}

class UnframedStreamOfOneRun : public UnframedStream
{
protected:
    UnframedStreamOfOneRun()
        : UnframedStream(false)
    {
    }
};

TEST_F(UnframedStreamOfOneRun, thatEndsWithinAnEventIsNotComplete)
{
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
    EXPECT_TRUE(this->closed);
}

class IdempotentCall : public SentRequest
{
protected:
    IdempotentCall()
        : SentRequest({ .routeType = RouteType::Idempotent })
    {
    }
};

/// A target pauses within a body; the request moves to another target, which sends all of it.
TEST_F(IdempotentCall, halfBodyOfSilentTargetIsNotJoinedWithItsSuccessor)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole ");
    this->queueReservations(milliseconds(1'700));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer");
    EXPECT_EQ(this->receivedBody(), "whole answer");
    EXPECT_TRUE(this->complete);
}

/// A target pauses within a body of which the caller already has a part.
TEST_F(IdempotentCall, bodyThatTheCallerHasInPartIsNotBegunAnew)
{
    const std::string half(300'000, 'a');
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + half);
    this->queueReservations(milliseconds(1'700));
    EXPECT_EQ(this->lastReservation.first, nullptr)
        << "no other target can continue a body that was relayed in part";
    this->write(half);
    EXPECT_EQ(this->receivedBody().size(), 600000U);
    EXPECT_TRUE(this->receivedBody() == half + half);
    EXPECT_TRUE(this->complete);
}

} // namespace
} // namespace wigeonsill
