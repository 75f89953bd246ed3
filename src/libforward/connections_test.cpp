/// \file connections_test.cpp
/// Tests of connections to targets and from callers, with peers that send bytes at any time.
#include "entryfixture.h"
#include "targetpool.h"

#include <deque>

namespace wigeonsill {
namespace {

/// A dialect whose answers carry the request's id.
class IdDialect : public FixedDialect
{
public:
    AnswerFacts decodeAnswer(const MessageHead &head) const override
    {
        AnswerFacts facts;
        facts.requestId = fieldValue(head.fields, "Id");
        facts.idIsRepeated = std::count_if(head.fields.begin(), head.fields.end(),
                                 [](const HttpField &field) { return field.name == "Id"; })
            > 1;
        facts.lacksSignature = !fieldValue(head.fields, "Unsigned").empty();
        return facts;
    }
};

/// One request sent through the pool, and what it was given.
struct Exchange : public AnswerHandler
{
    void onSent() override { }
    void onAnswerHead(const MessageHead &head) override { this->status = head.status; }
    void onAnswerBody(std::string_view bytes) override { this->body += bytes; }
    void onAnswerEnd() override { this->complete = true; }
    void onForeignAnswer(std::string_view answerId, std::uint64_t /*earlierRequests*/) override
    {
        this->foreignAnswers.emplace_back(answerId);
    }
    void onBoundExceeded(AnswerBound bound) override { this->exceeded = bound; }
    void onAnswerFailed(TargetFailure why) override { this->failure = why; }

    int status = 0;
    std::string body;
    bool complete = false;
    std::vector<std::string> foreignAnswers;
    std::optional<AnswerBound> exceeded;
    std::optional<TargetFailure> failure;
    std::shared_ptr<TargetConnection> connection;
};

class TargetConnections : public testing::Test
{
protected:
    TargetConnections()
        : acceptor(this->io, { asio::ip::make_address("127.0.0.1"), 0 })
        , connection(this->io)
        , pool(this->io, this->metrics, this->dialect)
    {
        this->acceptor.non_blocking(true);
        this->target.address = toString(this->acceptor.local_endpoint());
        this->target.id = this->target.address;
    }
    void runFor(Duration time)
    {
        this->io.restart();
        this->io.run_for(time);
    }
    Exchange &send(const std::string &id, bool isHead = false)
    {
        OutgoingRequest request;
        request.bytes = std::string(isHead ? "HEAD" : "GET") + " / HTTP/1.1\r\n\r\n";
        request.id = id;
        request.isHead = isHead;
        Exchange &exchange = this->exchanges.emplace_back();
        exchange.connection = this->pool.send(this->target, std::move(request), exchange);
        this->runFor(milliseconds(30));
        return exchange;
    }
    /// Whether a new connection was made; then it is the one that write() writes to.
    bool acceptNew()
    {
        boost::system::error_code error;
        asio::ip::tcp::socket accepted = this->acceptor.accept(error);
        if (!error) {
            this->connection = std::move(accepted);
        }
        return !error;
    }
    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(this->connection, asio::buffer(bytes), ignored);
        this->runFor(milliseconds(30));
    }
    /// Writes pieces until the entry closes the connection or 8 MiB were written.
    void writeEndless(const std::string &begin, const std::string &piece)
    {
        this->write(begin);
        std::string block;
        while (block.size() < 65'536) {
            block += piece;
        }
        boost::system::error_code error;
        for (std::size_t written = 0; written < 8'388'608 && !error;) {
            this->connection.non_blocking(true);
            written += this->connection.write_some(asio::buffer(block), error);
            if (error == asio::error::would_block) {
                error = {};
            }
            this->io.restart();
            this->io.poll();
        }
        this->runFor(milliseconds(30));
    }
    static std::string answer(const std::string &id, const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "Id: " + id + "\r\n")
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    /// Sends a request on a new connection and answers it whole.
    void carryOneRequest()
    {
        const Exchange &first = this->send("first");
        ASSERT_TRUE(this->acceptNew());
        this->write(answer("first", "one"));
        ASSERT_TRUE(first.complete);
    }

    asio::io_context io{ 1 };
    Metrics metrics;
    IdDialect dialect;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket connection; ///< The target's end of the newest connection.
    Target target;
    std::deque<Exchange> exchanges;
    TargetPool pool;
};

/// The target's late second answer to an earlier request bears no id.
TEST_F(TargetConnections, answerWithoutIdIsNotTakenForTheOneWaitedFor)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    const Exchange &second = this->send("second");
    ASSERT_FALSE(this->acceptNew()) << "the connection is used again";
    this->write(answer("", "of another request"));
    EXPECT_EQ(second.status, 0) << "neither its status nor its claims are believed";
    EXPECT_EQ(second.body, "");
    EXPECT_EQ(second.failure, TargetFailure::Unattributed);
    EXPECT_EQ(second.foreignAnswers, std::vector<std::string>{ "" });
    this->send("third");
    EXPECT_TRUE(this->acceptNew()) << "the connection is closed";
}

/// An engine's HTTP layer may answer before it knows the id.
TEST_F(TargetConnections, answerWithoutIdToTheFirstRequestIsIts)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("", "one"));
    EXPECT_TRUE(first.complete);
    EXPECT_EQ(first.body, "one");
}

TEST_F(TargetConnections, requestsWithoutIdGetAnswersWithoutId)
{
    const Exchange &first = this->send("");
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("", "one"));
    EXPECT_TRUE(first.complete);
    const Exchange &second = this->send("");
    ASSERT_FALSE(this->acceptNew()) << "the connection is used again";
    this->write(answer("", "two"));
    EXPECT_EQ(second.body, "two");
}

TEST_F(TargetConnections, connectionThatBoreForeignBytesIsNotReused)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("other", "of another request") + answer("first", "one"));
    EXPECT_EQ(first.body, "one");
    this->send("second");
    EXPECT_TRUE(this->acceptNew()) << "nothing that follows on it can be trusted";
}

TEST_F(TargetConnections, answerWithoutIdBehindForeignOneIsNotTaken)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("other", "of another request") + answer("", "of a third"));
    EXPECT_EQ(first.failure, TargetFailure::Unattributed);
}

/// MIXED: the head of the own answer was broken off and a second answer to an earlier request
/// followed, whose body was taken for the own one.
TEST_F(TargetConnections, answerBehindABrokenOffHeadIsNotTaken)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    const Exchange &second = this->send("second");
    this->write("HTTP/1.1 200 OK\r\nId: second\r\nServer-St" + std::string("amp: 1.")
        + answer("first", "of another request"));
    EXPECT_EQ(second.status, 0);
    EXPECT_EQ(second.body, "");
    EXPECT_EQ(second.failure, TargetFailure::Malformed);
}

/// MIXED, ORDER: a target closes in the middle of its answer's head. Read as the end of the head,
/// it would leave a success with an empty body.
TEST_F(TargetConnections, headCutAtAnyByteIsNoAnswer)
{
    for (const std::string framing :
        { "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\n" + framing + "\r\n";
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const Exchange &exchange = this->send("r");
            ASSERT_TRUE(this->acceptNew());
            asio::write(this->connection, asio::buffer(head, cut));
            this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
            this->runFor(milliseconds(10));
            EXPECT_EQ(exchange.status, 0) << head.substr(0, cut);
            EXPECT_FALSE(exchange.complete) << head.substr(0, cut);
            EXPECT_EQ(exchange.failure, TargetFailure::ClosedWithoutAnswer) << head.substr(0, cut);
        }
    }
}

/// As above, where the status line of the second answer is lost as well.
TEST_F(TargetConnections, headThatNamesTwoRequestsIsNotTaken)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    const Exchange &second = this->send("second");
    this->write("HTTP/1.1 200 OK\r\nId: second\r\nX: 1\r\nId: first\r\nContent-Length: 5\r\n"
                "\r\nother");
    EXPECT_EQ(second.body, "");
    EXPECT_EQ(second.failure, TargetFailure::Malformed);
    this->send("third");
    EXPECT_TRUE(this->acceptNew()) << "the connection is closed";
}

/// REFUSED: an earlier refusal is written once more, cut at any byte, before the answer of a run.
/// The refusal's status must not be taken for that of the request that has run.
TEST_F(TargetConnections, earlierRefusalOnAReusedConnectionIsNotTaken)
{
    const std::string refusal
        = "HTTP/1.1 503 Busy\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno";
    for (std::size_t cut = 1; cut <= refusal.size(); ++cut) {
        ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
        const Exchange &second = this->send("second");
        ASSERT_FALSE(this->acceptNew()) << "the connection is used again";
        this->write(refusal.substr(0, cut) + answer("second", "two"));
        EXPECT_TRUE(second.status == 0 || second.status == 200) << "cut at " << cut;
        EXPECT_TRUE(second.failure || second.body == "two") << "cut at " << cut;
        EXPECT_TRUE(cut < refusal.size() || second.complete) << "a whole refusal is skipped";
        this->pool.closeIdle(this->target.id);
    }
}

/// MIXED: a server that has nothing to do with the deployment answers whatever it is asked.
TEST_F(TargetConnections, successWithoutSignatureIsNotTaken)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 200 OK\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(first.status, 0);
    EXPECT_EQ(first.failure, TargetFailure::Unsigned);
}

TEST_F(TargetConnections, informationalHeadsLeaveTheConnectionInUse)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 100 Continue\r\n\r\n" + answer("first", "one"));
    EXPECT_EQ(first.body, "one");
    this->send("second");
    EXPECT_FALSE(this->acceptNew());
}

/// The foreign answer has a body, since it answers another request; that to HEAD has none.
TEST_F(TargetConnections, headRequestGetsItsAnswerBehindForeignOne)
{
    const Exchange &first = this->send("first", true);
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("other", "of another request"));
    this->write("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 12\r\n\r\n");
    EXPECT_EQ(first.status, 200);
    EXPECT_TRUE(first.complete);
}

TEST_F(TargetConnections, headRequestGetsItsAnswerBehindForeignOneInPieces)
{
    const Exchange &first = this->send("first", true);
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 200 OK\r\nId: other\r\nX: ");
    this->write("y\r\nContent-Le");
    this->write("ngth: 18\r\n\r\nof another ");
    this->write("request");
    this->write("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 12\r\n\r\n");
    EXPECT_EQ(first.status, 200);
    EXPECT_TRUE(first.complete);
}

TEST_F(TargetConnections, headRequestGetsItsAnswerBehindInformationalHead)
{
    const Exchange &first = this->send("first", true);
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 12\r\n\r\n");
    EXPECT_TRUE(first.complete);
}

/// The bytes are there, but the entry has not read them when the connection is taken up again.
TEST_F(TargetConnections, bytesOnIdleConnectionBelongToNoRequest)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    asio::write(this->connection, asio::buffer(answer("second", "not asked for")));
    const Exchange &second = this->send("second");
    ASSERT_TRUE(this->acceptNew()) << "another connection is taken";
    this->write(answer("second", "two"));
    EXPECT_EQ(second.body, "two");
}

TEST_F(TargetConnections, idleConnectionThatEndedIsNotTakenUp)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    this->connection.close();
    const Exchange &second = this->send("second");
    ASSERT_TRUE(this->acceptNew()) << "another connection is taken";
    this->write(answer("second", "two"));
    EXPECT_EQ(second.body, "two");
}

TEST_F(TargetConnections, idleConnectionThatWasResetIsNotTakenUp)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    this->connection.set_option(asio::socket_base::linger(true, 0));
    this->connection.close();
    const Exchange &second = this->send("second");
    ASSERT_TRUE(this->acceptNew()) << "another connection is taken";
    this->write(answer("second", "two"));
    EXPECT_EQ(second.body, "two");
}

TEST_F(TargetConnections, connectionIsTakenUpAgainAndAgain)
{
    ASSERT_NO_FATAL_FAILURE(this->carryOneRequest());
    for (const std::string id : { "second", "third", "fourth" }) {
        const Exchange &next = this->send(id);
        ASSERT_FALSE(this->acceptNew());
        this->write(answer(id, id));
        EXPECT_EQ(next.body, id);
    }
}

/// A target sends bytes without end. What is read before is given up at a bound.
struct EndlessAnswer
{
    const char *name;
    std::string begin;
    std::string piece;
    AnswerBound bound;
    TargetFailure failure;
};

class EndlessAnswers : public TargetConnections, public testing::WithParamInterface<EndlessAnswer>
{
};

TEST_P(EndlessAnswers, areEndedAtTheirBound)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->writeEndless(this->GetParam().begin, this->GetParam().piece);
    EXPECT_EQ(first.exceeded, this->GetParam().bound);
    EXPECT_EQ(first.failure, this->GetParam().failure);
    this->send("second");
    EXPECT_TRUE(this->acceptNew()) << "the connection is closed";
}

const std::string ownChunkedHead
    = "HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string foreignChunkedHead
    = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(Kinds, EndlessAnswers,
    testing::Values(EndlessAnswer{ "head", "HTTP/1.1 200 OK\r\n", "X: abcdef\r\n",
                        AnswerBound::Head, TargetFailure::Malformed },
        EndlessAnswer{ "chunkHeader", ownChunkedHead + "5\r\nwhole\r\n5", "0",
            AnswerBound::ChunkFraming, TargetFailure::Truncated },
        EndlessAnswer{ "trailers", ownChunkedHead + "0\r\n", "X: abcdef\r\n",
            AnswerBound::ChunkFraming, TargetFailure::Truncated },
        EndlessAnswer{ "informationalHeads", "", "HTTP/1.1 100 Continue\r\n\r\n",
            AnswerBound::SkippedBytes, TargetFailure::Malformed },
        EndlessAnswer{ "foreignAnswers", "",
            "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", AnswerBound::SkippedBytes,
            TargetFailure::Malformed },
        EndlessAnswer{ "foreignBody", foreignChunkedHead, "5\r\nwhole\r\n",
            AnswerBound::SkippedBytes, TargetFailure::Malformed },
        EndlessAnswer{ "foreignChunkHeader", foreignChunkedHead, "0", AnswerBound::ChunkFraming,
            TargetFailure::Malformed }),
    [](const auto &instance) { return std::string(instance.param.name); });

/// The rest of another request's answer never comes.
TEST_F(TargetConnections, foreignAnswerThatDoesNotEndIsNotWaitedFor)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000\r\n\r\n");
    this->runFor(milliseconds(1'500));
    EXPECT_FALSE(first.failure);
    this->runFor(milliseconds(1'000));
    EXPECT_EQ(first.exceeded, AnswerBound::SkippedTime);
    EXPECT_EQ(first.failure, TargetFailure::Malformed);
}

/// Its own answer may take as long as the caller waits.
TEST_F(TargetConnections, timeOfSkippedAnswerIsNotThatOfTheNext)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write(answer("other", "of another request"));
    this->write("HTTP/1.1 100 Continue\r\n\r\n");
    this->runFor(milliseconds(2'500));
    this->write(answer("first", "one"));
    EXPECT_EQ(first.body, "one");
}

/// An answer that is owed may be as large as ever.
TEST_F(TargetConnections, ownBodyIsNotBoundedAsSkippedBytes)
{
    const Exchange &first = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    this->write("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 1000000\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
        this->write(std::string(50'000, 'a'));
    }
    EXPECT_TRUE(first.complete);
    EXPECT_EQ(first.body.size(), 1'000'000U);
}

/// Targets send an event without end: what the caller has is not passed off as whole.
TEST_F(BegunStream, eventWithoutEndEndsTheAttempt)
{
    const auto isExceeded = [this] {
        return this->metrics.prometheusText().find("bound=\"event\"") != std::string::npos;
    };
    for (int i = 0; i < 20 && !isExceeded(); ++i) {
        this->writeChunk(std::string(65'536, 'a'));
    }
    EXPECT_TRUE(isExceeded());
    this->queueReservations(milliseconds(300));
    EXPECT_NE(this->lastReservation.first, nullptr) << "another target is looked for";
    ASSERT_NO_FATAL_FAILURE(this->continueAtLastReservation());
    EXPECT_EQ(this->receivedBody(), event(1) + event(2));
}

/// DRAIN on tendopoli-nord: a request that was held up by a cut link and given up on reached its
/// target seconds later. Only a reset discards what the network still holds.
TEST_F(TargetConnections, requestThatIsGivenUpOnIsDiscarded)
{
    const Exchange &exchange = this->send("first");
    ASSERT_TRUE(this->acceptNew());
    exchange.connection->cancel();
    this->runFor(milliseconds(30));
    boost::system::error_code error;
    std::array<char, 1'024> buffer{};
    while (!error) {
        this->connection.read_some(asio::buffer(buffer), error);
    }
    EXPECT_EQ(error, asio::error::connection_reset);
}

/// A stream to a caller whose answers end with the connection.
class UnsizedStream : public SentRequest
{
protected:
    UnsizedStream()
        : SentRequest({ .callerVersion = "HTTP/1.0" })
    {
        this->writeStreamHead();
        this->writeEvent(1);
        EXPECT_TRUE(this->received().ends_with(event(1)));
    }
};

TEST_F(UnsizedStream, wholeAnswerEndsCleanly)
{
    this->writeEvent(2);
    this->write("0\r\n\r\n");
    EXPECT_TRUE(this->received().ends_with(event(1) + event(2)));
    EXPECT_EQ(this->readError, asio::error::eof);
}

TEST_F(UnsizedStream, brokenOffAnswerEndsWithReset)
{
    this->connection.close();
    this->runFor(milliseconds(100));
    this->received();
    EXPECT_EQ(this->readError, asio::error::connection_reset);
}

class UnsizedCall : public SentRequest
{
protected:
    UnsizedCall()
        : SentRequest({ .routeType = RouteType::Idempotent, .callerVersion = "HTTP/1.0" })
    {
    }
};

/// The caller reads only after the entry has written everything.
TEST_F(UnsizedCall, wholeAnswerIsNotDiscardedAtItsEnd)
{
    const std::string half(300'000, 'a');
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + half);
    this->write(half);
    std::size_t size = 0;
    while (!this->closed && size < 700'000) {
        this->runFor(milliseconds(20));
        size = this->received().size();
    }
    EXPECT_TRUE(this->receivedBytes.ends_with(half + half));
    EXPECT_EQ(this->readError, asio::error::eof);
}

TEST_F(UnsizedCall, brokenOffAnswerEndsWithReset)
{
    this->write("HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n" + std::string(300'000, 'a'));
    this->received();
    this->connection.close();
    this->runFor(milliseconds(100));
    this->received();
    EXPECT_EQ(this->readError, asio::error::connection_reset);
}

} // namespace
} // namespace wigeonsill
