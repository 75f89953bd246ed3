/// \file targetstate_test.cpp
/// Tests of what an entry does about targets that state in their answers that they are leaving or
/// want no requests for a time.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

/// Three agents that answer only when the test calls them; a request was granted by the first one.
class StatedState : public SentRequest
{
protected:
    StatedState()
        : SentRequest({ .agentCount = 3 })
    {
    }

    /// Whether a connection to the target of an agent was made since the last call.
    bool wasConnected(ManualAgent &agent)
    {
        boost::system::error_code error;
        agent.target.non_blocking(true);
        this->connections.push_back(agent.target.accept(error));
        return !error;
    }
    bool wasAnyConnected()
    {
        bool result = false;
        for (const auto &agent : this->agents) {
            result = this->wasConnected(*agent) || result;
        }
        return result;
    }
    /// All agents queue what is reserved during a time; returns the last reservation at each.
    std::map<ManualAgent *, GrantMessage> queueAll(Duration time)
    {
        std::map<ManualAgent *, GrantMessage> result;
        for (const TimePoint end = currentTime() + time; currentTime() < end;) {
            this->runFor(milliseconds(5));
            for (const auto &agent : this->agents) {
                while (const auto message = agent->receive(GrantKind::Reserve)) {
                    result[agent.get()] = *message;
                    agent->reply(GrantKind::Queued, *message);
                }
            }
        }
        return result;
    }

    std::vector<asio::ip::tcp::socket> connections;
};

TEST_F(StatedState, grantOfTargetThatStatedItsDepartureMeanwhileIsNotUsed)
{
    asio::ip::tcp::socket second(this->io);
    this->sendRequest(second);
    const auto reserved = this->queueAll(milliseconds(100));
    ASSERT_EQ(reserved.size(), 3U);
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(this->received().ends_with("ok")) << "what it still runs is answered";

    this->firstAgent->reply(GrantKind::Granted, reserved.at(this->firstAgent));
    this->runFor(milliseconds(100));
    EXPECT_FALSE(this->wasConnected(*this->firstAgent)) << "a request was sent to it";
    const auto again = this->queueAll(milliseconds(100));
    EXPECT_FALSE(again.contains(this->firstAgent)) << "room was reserved at it";
    ASSERT_FALSE(again.empty()) << "the request that waited is placed anew";
    again.begin()->first->reply(GrantKind::Granted, again.begin()->second);
    this->runFor(milliseconds(100));
    EXPECT_TRUE(this->wasConnected(*again.begin()->first));
}

/// The agents do not answer, so that the entry chooses targets itself.
TEST_F(StatedState, entryDoesNotChooseTargetThatStatedItsDeparture)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok");
    bool anySent = false;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(std::make_unique<asio::ip::tcp::socket>(this->io));
        this->sendRequest(*callers.back());
        this->runFor(milliseconds(100));
        EXPECT_FALSE(this->wasConnected(*this->firstAgent)) << "request " << i;
        anySent = this->wasAnyConnected() || anySent;
    }
    EXPECT_TRUE(anySent) << "the others are sent to";
    EXPECT_FALSE(this->firstAgent->receive(GrantKind::Reserve));
}

/// A refusal that also states that the target is leaving: the request that was on its way to it
/// runs elsewhere.
TEST_F(StatedState, requestThatALeavingTargetRefusesRunsElsewhere)
{
    this->write(
        "HTTP/1.1 503 X\r\nTest-Leaving: 1\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
    EXPECT_NE(agent, this->firstAgent);
    agent->reply(GrantKind::Granted, reservation);
    this->runFor(milliseconds(100));
    EXPECT_TRUE(this->wasConnected(*agent));
    EXPECT_NE(
        this->metrics.prometheusText().find("wigeonsill_targets_leaving_total{by=\"answer\"} 1"),
        std::string::npos);
}

TEST_F(StatedState, connectionToLeavingTargetIsClosedOnceIdle)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\n");
    std::array<char, 4'096> buffer{};
    boost::system::error_code error;
    this->connection.non_blocking(true);
    while (!error) {
        this->connection.read_some(asio::buffer(buffer), error); // The request.
    }
    EXPECT_EQ(error, asio::error::would_block) << "it still answers on this connection";
    this->write("ok");
    EXPECT_TRUE(this->received().ends_with("ok"));
    this->connection.read_some(asio::buffer(buffer), error);
    EXPECT_EQ(error, asio::error::eof);
}

/// A target wants no requests while one is reserved there and its agent grants room.
TEST_F(StatedState, grantOfTargetThatWantsNoRequestsIsNotUsedAndItsReservationGivenBack)
{
    asio::ip::tcp::socket second(this->io);
    this->sendRequest(second);
    const auto reserved = this->queueAll(milliseconds(100));
    ASSERT_EQ(reserved.size(), 3U);
    this->write("HTTP/1.1 503 X\r\nTest-Quiet-S: 0.6\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 503"))
        << "it may have run: passed on as it is";
    EXPECT_TRUE(this->firstAgent->receive(GrantKind::Release));
    this->firstAgent->reply(GrantKind::Granted, reserved.at(this->firstAgent));
    this->runFor(milliseconds(50));
    EXPECT_FALSE(this->wasConnected(*this->firstAgent)) << "a request was sent to it";
    const auto [agent, message] = *std::find_if(reserved.begin(), reserved.end(),
        [this](const auto &element) { return element.first != this->firstAgent; });
    agent->reply(GrantKind::Granted, message);
    this->runFor(milliseconds(50));
    EXPECT_TRUE(this->wasConnected(*agent)) << "the others take its load";
}

/// When the time is over, the requests that waited do not all reach the target at once.
TEST_F(StatedState, targetIsProbedWhenItsTimeIsOver)
{
    this->write("HTTP/1.1 503 X\r\nTest-Quiet-S: 0.3\r\nContent-Length: 0\r\n\r\n");
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> callers;
    const auto send = [this, &callers] {
        callers.push_back(std::make_unique<asio::ip::tcp::socket>(this->io));
        this->sendRequest(*callers.back());
    };
    const auto reservationsAtFirst = [this] {
        int count = 0;
        this->runFor(milliseconds(30));
        for (const auto &agent : this->agents) {
            while (const auto message = agent->receive(GrantKind::Reserve)) {
                count += agent.get() == this->firstAgent ? 1 : 0;
                agent->reply(GrantKind::Queued, *message);
            }
        }
        return count;
    };
    for (int i = 0; i < 4; ++i) {
        send();
        EXPECT_EQ(reservationsAtFirst(), 0);
    }
    this->runFor(milliseconds(400));
    int probes = 0;
    for (int i = 0; i < 6; ++i) {
        send();
        probes += reservationsAtFirst();
        probes += reservationsAtFirst();
    }
    EXPECT_EQ(probes, 1);
}

TEST_F(StatedState, callersAreToldWhenToReturnWhenNoTargetWantsRequests)
{
    const std::string answer = "HTTP/1.1 503 X\r\nTest-Quiet-S: 3\r\nTest-Not-Run: 1\r\n"
                               "Content-Length: 0\r\n\r\n";
    this->write(answer);
    for (int i = 0; i < 2; ++i) {
        bool sent = false;
        for (int attempt = 0; attempt < 100 && !sent; ++attempt) {
            for (const auto &agent : this->agents) {
                while (const auto message = agent->receive(GrantKind::Reserve)) {
                    agent->reply(GrantKind::Granted, *message);
                }
            }
            this->runFor(milliseconds(5));
            for (std::size_t j = 0; j < this->agents.size() && !sent; ++j) {
                sent = this->wasConnected(*this->agents[j]);
            }
        }
        ASSERT_TRUE(sent) << i;
        this->connection = std::move(this->connections.back());
        this->write(answer);
    }
    EXPECT_TRUE(this->received().starts_with("HTTP/1.1 503"));
    asio::ip::tcp::socket second(this->io);
    this->sendRequest(second);
    this->runFor(milliseconds(100));
    this->caller = std::move(second);
    this->receivedBytes.clear();
    const std::string reply = this->received();
    ASSERT_TRUE(reply.starts_with("HTTP/1.1 503")) << "refused at once: " << reply;
    const std::size_t field = reply.find("Retry-After: ");
    ASSERT_NE(field, std::string::npos);
    const double seconds = std::stod(reply.substr(field + 13));
    EXPECT_GE(seconds, 2.5);
    EXPECT_LE(seconds, 3 * 1.25);
}

/// A list that is read later still says that the target is ready.
TEST_F(StatedState, listThatSaysReadyDoesNotBringTargetBack)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Leaving: 1\r\nContent-Length: 2\r\n\r\nok");
    std::vector<Target> list;
    for (const auto &agent : this->agents) {
        Target target;
        target.address = toString(agent->target.local_endpoint());
        target.id = target.address;
        target.service = "engines";
        target.startedMs = agent.get() == this->firstAgent ? 1'000 : 0;
        list.push_back(target);
    }
    this->entry->setTargets(list, false);
    asio::ip::tcp::socket second(this->io);
    this->sendRequest(second);
    EXPECT_FALSE(this->queueAll(milliseconds(200)).contains(this->firstAgent));
    for (Target &target : list) {
        target.startedMs = 2'000;
    }
    this->entry->setTargets(list, false);
    EXPECT_TRUE(this->queueAll(milliseconds(200)).contains(this->firstAgent))
        << "an incarnation that started later is used at once";
}

/// An agent that was started anew learns the rate from the reservation that it has to decide on.
TEST_F(StatedState, reservationTellsTheRateThatTheTargetStated)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Rate: 2.5\r\nContent-Length: 2\r\n\r\nok");
    asio::ip::tcp::socket second(this->io);
    this->sendRequest(second);
    const auto reserved = this->queueAll(milliseconds(100));
    ASSERT_TRUE(reserved.contains(this->firstAgent));
    const std::vector<RateStatement> &rates = reserved.at(this->firstAgent).rates;
    ASSERT_EQ(rates.size(), 1U);
    EXPECT_EQ(rates.front().perSecond, 2.5);
    EXPECT_EQ(rates.front().startedMs, 1'000);
    for (const auto &[agent, message] : reserved) {
        EXPECT_EQ(message.rates.empty(), agent != this->firstAgent);
    }
}

/// The agents do not answer. Only a share of the rate is used, as other entries may send as well.
TEST_F(StatedState, entrySendsPastSilentAgentNoMoreThanItsShareOfTheRate)
{
    this->write("HTTP/1.1 200 OK\r\nTest-Rate: 2\r\nContent-Length: 2\r\n\r\nok");
    int sentToFirst = 0;
    int sentToOthers = 0;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<asio::ip::tcp::socket>(this->io));
        this->sendRequest(*callers.back());
        this->runFor(milliseconds(100));
        for (const auto &agent : this->agents) {
            if (this->wasConnected(*agent)) {
                ++(agent.get() == this->firstAgent ? sentToFirst : sentToOthers);
            }
        }
    }
    EXPECT_LE(sentToFirst, 1) << "one of up to 300 entries";
    EXPECT_GE(sentToOthers, 2);
}

} // namespace
} // namespace wigeonsill
