/// \file mixedanswers_test.cpp
/// Regression tests of answers that were joined from two targets or lost a part on a move.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

/// A second target is to resume the stream.
class StreamAtSecondTarget : public BegunStream
{
protected:
    void SetUp() override
    {
        this->connection.close();
        this->queueReservations(milliseconds(100));
        ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    }
    /// The second target's answer is not used, and a third target gives the rest.
    void expectRestOfThirdTarget()
    {
        this->queueReservations(milliseconds(100));
        ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation()) << "the stream is resumed elsewhere";
        this->writeStreamHead();
        this->writeEvent(2);
        this->write("0\r\n\r\n");
        EXPECT_EQ(this->receivedBody(), event(1) + event(2));
        EXPECT_TRUE(this->complete);
    }
};

/// The target that was to resume a stream begins it anew.
TEST_F(StreamAtSecondTarget, eventsThatTheCallerHasAreNotRelayedAgain)
{
    this->writeStreamHead();
    this->writeChunk(event(1) + event(2));
    this->expectRestOfThirdTarget();
}

/// The same, in an answer that states a length and no type.
TEST_F(StreamAtSecondTarget, eventsThatTheCallerHasAreNotRelayedAgainAsADocument)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(event(1).size()) + "\r\n\r\n"
        + event(1));
    this->expectRestOfThirdTarget();
}

/// The target that was to resume a stream has nothing more to say.
TEST_F(BegunStream, resumptionWithoutContentDoesNotLookComplete)
{
    this->connection.close();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->write("HTTP/1.1 204 No Content\r\n\r\n");
    this->receivedBody();
    EXPECT_FALSE(this->complete);
}

/// The target that was to resume a stream sends something else than events.
TEST_F(BegunStream, resumptionOfAnotherTypeIsNotAppended)
{
    this->connection.close();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n"
                "{\"error\":\"x\"}");
    EXPECT_EQ(this->receivedBody(), event(1));
    EXPECT_FALSE(this->complete);
}

/// The last event that the caller has bears no id, so no target can be asked for what follows it.
TEST_F(BegunStream, isNotResumedAfterAnOlderEventThanTheLast)
{
    this->writeChunk("data: untagged\n\n");
    this->connection.close();
    this->queueReservations(milliseconds(200));
    EXPECT_EQ(this->lastReservation.first, nullptr);
    EXPECT_EQ(this->receivedBody(), event(1) + "data: untagged\n\n");
    EXPECT_FALSE(this->complete);
}

/// Comments that targets send to keep a connection open are no events.
TEST_F(BegunStream, isResumedAfterAComment)
{
    this->writeChunk(": still here\n\n");
    this->connection.close();
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
    this->writeStreamHead();
    this->writeEvent(2);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1) + ": still here\n\n" + event(2));
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

TEST_F(UnbegunStream, emptyIdCannotBeResumedAfter)
{
    this->writeChunk("id:\ndata: t\n\n");
    this->connection.close();
    this->queueReservations(milliseconds(200));
    EXPECT_EQ(this->lastReservation.first, nullptr);
    EXPECT_EQ(this->receivedBody(), "id:\ndata: t\n\n");
    EXPECT_FALSE(this->complete);
}

/// An event without end is an answer that was broken off.
TEST_F(UnbegunStream, oversizedEventEndsTheAttempt)
{
    this->writeEvent(1);
    for (std::size_t size = 0; size <= EventSplitter::maximumEventSize; size += 65'535) {
        this->writeChunk(std::string(65'535, 'x'));
    }
    this->queueReservations(milliseconds(100));
    ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation()) << "the stream goes on elsewhere";
    this->writeStreamHead();
    this->writeEvent(2);
    this->write("0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
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

class CallOfOneRun : public SentRequest
{
protected:
    CallOfOneRun()
        : SentRequest({ .routeType = RouteType::NonIdempotent })
    {
    }
};

/// REFUSED: an earlier refusal was written once more, broken off, before the answer of the run. Its
/// status must not be taken for the answer's: the request has run.
TEST_F(CallOfOneRun, brokenOffRefusalBeforeTheAnswerIsNoPromise)
{
    this->write("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nRetry-After: 0."
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 502")) << this->receivedBytes;
}

/// MIXED: an answer is broken off within its body, and a second answer follows on the connection:
/// its beginning must not be taken for the rest of the body, wherever the first one was cut.
class CutBody : public CallOfOneRun, public testing::WithParamInterface<std::size_t>
{
protected:
    static constexpr std::size_t bodySize = 200;
    static std::string answer(const std::string &id, char letter)
    {
        return "HTTP/1.1 200 OK\r\nTest-Answer-Id: " + id + "\r\nContent-Length: "
            + std::to_string(bodySize) + "\r\n\r\n" + std::string(bodySize, letter);
    }
};

TEST_P(CutBody, isNotFilledWithAnotherAnswer)
{
    const std::string first = answer("request-1", 'a');
    this->write(first.substr(0, first.size() - this->GetParam()));
    this->write(answer("request-0", 'b'));
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 502")) << this->receivedBytes;
}

INSTANTIATE_TEST_SUITE_P(BytesThatAreMissing, CutBody, testing::Values(1, 5, 12, 40, 90, 150, 199));

/// A whole answer is passed on although another one follows it, and although it quotes one.
TEST_F(CallOfOneRun, wholeBodyBeforeAnotherAnswerIsPassedOn)
{
    const std::string body = "HTTP/1.1 500 X\r\nType: quoted\r\n\r\n";
    this->write("HTTP/1.1 200 OK\r\nTest-Answer-Id: request-1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body
        + "HTTP/1.1 200 OK\r\nTest-Answer-Id: request-0\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(this->receivedBody(), body);
    EXPECT_TRUE(this->complete);
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

/// Another target was asked for room before the relay of a large body began.
TEST_F(IdempotentCall, searchEndsWhenTheRelayBegins)
{
    const std::string third(200'000, 'a');
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + third);
    this->queueReservations(milliseconds(1'700));
    ASSERT_NE(this->lastReservation.first, nullptr);
    this->write(third);
    this->lastReservation.first->reply(GrantKind::Granted, this->lastReservation.second);
    this->runFor(milliseconds(100));
    boost::system::error_code error;
    this->lastReservation.first->target.non_blocking(true);
    this->lastReservation.first->target.accept(error);
    EXPECT_TRUE(error) << "sent to another target though the caller has a part";
    this->write(third);
    EXPECT_TRUE(this->receivedBody() == third + third + third);
    EXPECT_TRUE(this->complete);
}

/// As above, where the agents that were asked do not answer.
TEST_F(IdempotentCall, searchPastUnresponsiveAgentsEndsWhenTheRelayBegins)
{
    const std::string third(200'000, 'a');
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + third);
    this->runFor(milliseconds(1'450));
    this->write(third);
    this->runFor(milliseconds(600));
    for (const auto &agent : this->agents) {
        boost::system::error_code error;
        agent->target.non_blocking(true);
        agent->target.accept(error);
        EXPECT_TRUE(error) << "sent to another target though the caller has a part";
    }
}

/// A body that comes slowly but steadily comes from a target that works.
TEST_F(IdempotentCall, bodyInSmallPiecesIsNoSilence)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n");
    for (int i = 0; i < 12; ++i) {
        this->queueReservations(milliseconds(150));
        this->write("x");
    }
    EXPECT_EQ(this->lastReservation.first, nullptr) << "no other target is asked";
    EXPECT_EQ(this->receivedBody(), "xxxxxxxxxxxx");
    EXPECT_TRUE(this->complete);
}

} // namespace
} // namespace wigeonsill
