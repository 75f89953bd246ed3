/// \file reservations_test.cpp
/// Tests of an entry's reservations at agents, with agents that answer late.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

TEST_F(Reservations, areNeitherAddedNorKeptAfterTheRequestWasSent)
{
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    const auto [firstAgent, firstReservation] = this->nextMessage(GrantKind::Reserve);
    firstAgent->reply(GrantKind::Queued, firstReservation);
    const auto [secondAgent, secondReservation] = this->nextMessage(GrantKind::Reserve);
    const auto [thirdAgent, thirdReservation] = this->nextMessage(GrantKind::Reserve);
    ASSERT_NE(secondAgent, thirdAgent);
    secondAgent->reply(GrantKind::Granted, secondReservation);
    this->nextMessage(GrantKind::Release); // The other reservations are withdrawn.
    this->runFor(milliseconds(100));
    for (const auto &agent : this->agents) {
        while (agent->receive(GrantKind::Release)) { } // Discards what has arrived so far.
    }

    thirdAgent->reply(GrantKind::Queued, thirdReservation);
    this->runFor(milliseconds(200));
    for (const auto &agent : this->agents) {
        EXPECT_FALSE(agent->receive(GrantKind::Reserve))
            << "a reservation for a request that was already sent";
    }
    thirdAgent->reply(GrantKind::Granted, thirdReservation);
    EXPECT_EQ(this->nextMessage(GrantKind::Release).first, thirdAgent)
        << "the late grant is released";
}

/// All slots are taken and every agent queues the request. When a request reserved at only a few
/// agents, the cheapest requests were refused although they would have come first in other queues.
TEST_F(Reservations, areMadeAtEveryAgentOfAFullPoolOfFive)
{
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    std::set<ManualAgent *> reservedAgents;
    for (int i = 0; i < 5; ++i) {
        const auto [agent, message] = this->nextMessage(GrantKind::Reserve);
        reservedAgents.insert(agent);
        agent->reply(GrantKind::Queued, message);
    }
    EXPECT_EQ(reservedAgents.size(), 5U);
}

/// A target lost power and another incarnation took over its address before the list of targets
/// showed it.
TEST_F(Reservations, grantOfAnotherIncarnationIsReleased)
{
    int refreshes = 0;
    this->entry->setTargetsOutdatedHandler([&refreshes] { ++refreshes; });
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    const auto [firstAgent, firstReservation] = this->nextMessage(GrantKind::Reserve);
    firstAgent->reply(GrantKind::Granted, firstReservation, 2'000);
    EXPECT_EQ(this->nextMessage(GrantKind::Release).first, firstAgent)
        << "the request must not be sent to the new incarnation";
    EXPECT_EQ(refreshes, 1) << "the list of targets must be read again";
    const auto [secondAgent, secondReservation] = this->nextMessage(GrantKind::Reserve);
    EXPECT_NE(secondAgent, firstAgent);
    secondAgent->reply(GrantKind::Granted, secondReservation, 1'000);
    this->runFor(milliseconds(50));
    boost::system::error_code error;
    secondAgent->target.non_blocking(true);
    secondAgent->target.accept(error);
    EXPECT_FALSE(error) << "the request must be sent to the next target";
}

/// Twenty targets whose agents are all lost.
class LostAgents : public Reservations
{
protected:
    LostAgents()
        : Reservations({ .agentCount = 20 })
    {
    }

    /// Runs until a target is connected to, and returns the time that it took.
    Duration timeUntilSent()
    {
        const TimePoint begin = currentTime();
        while (currentTime() - begin < seconds(5)) {
            this->runFor(milliseconds(5));
            for (const auto &agent : this->agents) {
                boost::system::error_code error;
                agent->target.non_blocking(true);
                this->connections.push_back(agent->target.accept(error));
                if (!error) {
                    return currentTime() - begin;
                }
            }
        }
        ADD_FAILURE() << "no target was connected to";
        return {};
    }

    std::vector<asio::ip::tcp::socket> connections;
};

/// Each request used to wait 150 ms for another agent that had not been asked before.
TEST_F(LostAgents, costOnlyTheFirstRequestTheirTimeout)
{
    asio::ip::tcp::socket first(this->io);
    this->sendRequest(first);
    this->timeUntilSent();
    for (int i = 0; i < 5; ++i) {
        asio::ip::tcp::socket next(this->io);
        this->sendRequest(next);
        EXPECT_LT(this->timeUntilSent(), milliseconds(100));
    }
}

/// An engine falls silent in the middle of a stream while all the others are full.
TEST_F(BegunStream, staysWithSilentTargetUntilAnotherGrants)
{
    this->queueReservations(milliseconds(2'500));
    this->received();
    EXPECT_FALSE(this->closed) << "no other target has granted room, and the first may go on";
    ASSERT_NE(this->lastReservation.first, nullptr) << "another target is looked for";
    EXPECT_NE(this->lastReservation.first, this->firstAgent);

    this->writeEvent(2);
    this->write("0\r\n\r\n");
    this->runFor(milliseconds(100));
    EXPECT_NE(this->received().find("id: 2\n"), std::string::npos);
    EXPECT_TRUE(this->receivedBytes.ends_with("0\r\n\r\n")) << "the answer is complete";
}

TEST_F(BegunStream, movesWhenAnotherTargetGrants)
{
    this->queueReservations(milliseconds(2'500));
    ASSERT_NO_FATAL_FAILURE(this->continueAtLastReservation());
    EXPECT_EQ(this->receivedBytes.find("HTTP/1.1", 1), std::string::npos) << "a single head";
}

/// An engine crashes in the middle of a stream while all the others are full.
TEST_F(BegunStream, waitsForRoomAfterItsTargetCrashed)
{
    this->connection.close();
    this->queueReservations(milliseconds(1'000));
    this->received();
    EXPECT_FALSE(this->closed) << "the caller has time left and another target may grant room";
    ASSERT_NO_FATAL_FAILURE(this->continueAtLastReservation());
}

/// The release of a reservation was lost, and its grant comes while others are asked anew.
TEST_F(BegunStream, grantUnderAnEarlierReservationIsGivenBack)
{
    ASSERT_TRUE(this->secondAgent);
    this->queueReservations(milliseconds(1'700));
    while (this->secondAgent->receive(GrantKind::Release)) { }
    this->secondAgent->reply(GrantKind::Granted, this->secondReservation);
    this->runFor(milliseconds(100));
    const auto release = this->secondAgent->receive(GrantKind::Release);
    ASSERT_TRUE(release) << "neither used nor given back";
    EXPECT_EQ(release->profile.reservationId.number,
        this->secondReservation.profile.reservationId.number);
}

} // namespace
} // namespace wigeonsill
