/// \file earlyanswers_test.cpp
/// Regression tests of MIXED: answers that a target gives before it has read the whole upload.
#include "onetargetfixture.h"

namespace wigeonsill {
namespace {

constexpr std::size_t shortUpload = 50'000;
/// More than what the system's buffers hold of an upload that the target does not read.
constexpr std::size_t longUpload = 4'000'000;
const std::string events = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

enum class Framing : std::uint8_t { UntilClose, Sized, Chunked };
constexpr std::array framingNames = {
    EnumName<Framing>{ Framing::UntilClose, "UntilClose" },
    EnumName<Framing>{ Framing::Sized, "Sized" },
    EnumName<Framing>{ Framing::Chunked, "Chunked" },
};

/// An answer with the two events as its body, of which the first is sent first.
struct EarlyAnswer
{
    explicit EarlyAnswer(Framing framing)
    {
        const std::size_t half = events.size() / 2;
        const std::string head = "HTTP/1.1 200 OK\r\n";
        switch (framing) {
        case Framing::UntilClose:
            this->begin = head + "\r\n" + events.substr(0, half);
            this->rest = events.substr(half);
            break;
        case Framing::Sized:
            this->begin = head + "Content-Type: text/event-stream\r\nContent-Length: "
                + std::to_string(events.size()) + "\r\n\r\n" + events.substr(0, half);
            this->rest = events.substr(half);
            break;
        case Framing::Chunked:
            this->begin = head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + events.substr(0, half)
                + "\r\n";
            this->rest = "f\r\n" + events.substr(half) + "\r\n0\r\n\r\n";
            break;
        }
    }
    std::string begin;
    std::string rest;
};

class EarlyAnswers : public OneTarget,
                     public testing::WithParamInterface<std::tuple<RouteToTarget, Framing>>
{
public:
    EarlyAnswers()
        : OneTarget(std::get<0>(GetParam()))
        , framing(std::get<1>(GetParam()))
        , answer(this->framing)
    {
    }
    static std::string nameOf(const testing::TestParamInfo<ParamType> &info)
    {
        return std::get<0>(info.param).name
            + std::string(enumName(framingNames, std::get<1>(info.param)));
    }
    /// The caller gets an error, or the begin of an answer that does not look complete.
    void expectFailed()
    {
        const CallerOutcome outcome = this->outcome();
        EXPECT_FALSE(outcome.malformed);
        if (outcome.status == 502 || outcome.status == 504) {
            EXPECT_EQ(outcome.body, "");
        } else {
            EXPECT_FALSE(outcome.complete) << outcome.status << " with " << outcome.body.size()
                                           << " bytes of " << events.size() << " looks complete";
        }
    }
    void expectWhole()
    {
        const CallerOutcome outcome = this->outcome();
        EXPECT_EQ(outcome.status, 200);
        EXPECT_TRUE(outcome.complete);
        EXPECT_EQ(outcome.body, events);
    }

    Framing framing;
    EarlyAnswer answer;
};

TEST_P(EarlyAnswers, resetBehindAnUnreadUploadIsNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin);
    this->reset();
    this->expectFailed();
}

TEST_P(EarlyAnswers, resetAfterItsPartWasReadIsNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin);
    this->runFor(milliseconds(50));
    this->reset();
    this->expectFailed();
}

/// The whole upload is in the system's buffers.
TEST_P(EarlyAnswers, resetBehindAWrittenUploadIsNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(shortUpload));
    this->write(this->answer.begin);
    this->reset();
    this->expectFailed();
}

/// The system resets a connection that is closed while bytes are unread.
TEST_P(EarlyAnswers, closedBehindAnUnreadUploadIsNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin);
    this->runFor(milliseconds(20));
    this->connection.close();
    this->expectFailed();
}

/// The target ends its answer in order, but what it has not read resets the connection behind that.
TEST_P(EarlyAnswers, endedAndThenResetBehindAnUnreadUploadIsNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin);
    this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->runFor(milliseconds(50));
    this->reset();
    this->expectFailed();
}

INSTANTIATE_TEST_SUITE_P(Routes, EarlyAnswers,
    testing::Combine(testing::ValuesIn(allRoutesToTargets),
        testing::Values(Framing::UntilClose, Framing::Sized, Framing::Chunked)),
    EarlyAnswers::nameOf);

class EarlyAnswersUntilClose : public EarlyAnswers
{
};

/// The target ends its answer in order, and neither reads nor closes.
TEST_P(EarlyAnswersUntilClose, whoseUploadIsNeverReadAreNotComplete)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload, "Test-Deadline-Ms: 400\r\n"));
    this->write(this->answer.begin);
    this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->expectFailed();
}

/// The target reads on after its answer and then closes.
TEST_P(EarlyAnswersUntilClose, withTheirUploadReadAreWhole)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin + this->answer.rest);
    this->runFor(milliseconds(20));
    this->readUpload();
    this->connection.close();
    this->expectWhole();
}

/// The target ends its answer in order, reads on and then closes.
TEST_P(EarlyAnswersUntilClose, endedBeforeTheirUploadIsReadAreWhole)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin + this->answer.rest);
    this->connection.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->runFor(milliseconds(20));
    this->readUpload();
    this->connection.close();
    this->expectWhole();
}

INSTANTIATE_TEST_SUITE_P(Routes, EarlyAnswersUntilClose,
    testing::Combine(testing::ValuesIn(allRoutesToTargets), testing::Values(Framing::UntilClose)),
    EarlyAnswers::nameOf);

class EarlyAnswersWithOwnEnd : public EarlyAnswers
{
};

TEST_P(EarlyAnswersWithOwnEnd, areWholeAlsoIfTheConnectionIsResetBehindThem)
{
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(longUpload));
    this->write(this->answer.begin + this->answer.rest);
    this->runFor(milliseconds(20));
    this->reset();
    this->expectWhole();
}

INSTANTIATE_TEST_SUITE_P(Routes, EarlyAnswersWithOwnEnd,
    testing::Combine(
        testing::ValuesIn(allRoutesToTargets), testing::Values(Framing::Sized, Framing::Chunked)),
    EarlyAnswers::nameOf);

} // namespace
} // namespace wigeonsill
