/// \file reservations_test.cpp
/// Tests of an entry's reservations at agents, with agents that answer late.
#include "grantmessage.h"
#include "wigeonsill/forward.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;

class FixedDialect : public WireDialect
{
public:
    Result<RequestMetadata> decodeRequest(const MessageHead & /*head*/) const override
    {
        RequestMetadata request;
        request.id = "request-1";
        request.promptTokens = 100;
        return request;
    }
    HttpFields encodeRequest(
        const MessageHead &head, const ForwardContext & /*context*/) const override
    {
        return head.fields;
    }
    AnswerFacts decodeAnswer(const MessageHead & /*head*/) const override { return {}; }
};

/// An agent and its target that act only when the test calls them.
class ManualAgent
{
public:
    ManualAgent(asio::io_context &io, const std::string &address, std::uint16_t grantPort)
        : socket(io, { asio::ip::make_address(address), grantPort })
        , target(io, { asio::ip::make_address(address), 0 })
    {
        this->socket.non_blocking(true);
    }

    /// Returns the next datagram of a kind, skipping others; empty when none has arrived.
    std::optional<GrantMessage> receive(GrantKind kind)
    {
        while (true) {
            std::array<char, 8'192> buffer{};
            boost::system::error_code error;
            const std::size_t size
                = this->socket.receive_from(asio::buffer(buffer), this->entry, 0, error);
            if (error) {
                return std::nullopt;
            }
            auto message = decodeGrantMessage({ buffer.data(), size });
            if (message && message->kind == kind) {
                return message;
            }
        }
    }
    void reply(GrantKind kind, const GrantMessage &reservation, std::int64_t startedMs = 0)
    {
        GrantMessage message;
        message.load.startedMs = startedMs;
        message.kind = kind;
        message.profile.reservationId = reservation.profile.reservationId;
        this->socket.send_to(asio::buffer(encode(message)), this->entry);
    }

    asio::ip::udp::socket socket;
    asio::ip::tcp::acceptor target;
    asio::ip::udp::endpoint entry;
};

std::uint16_t freeUdpPort(asio::io_context &io)
{
    asio::ip::udp::socket probe(io, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

class Reservations : public testing::Test
{
protected:
    /// \param waitShare Share of the latency objective of 1 s for which a request waits for room.
    explicit Reservations(double waitShare = 10, bool resumable = false, int agentCount = 5)
        : port(freeUdpPort(this->io))
        , log(this->io, this->metrics, 0)
    {
        ForwardEntrySettings settings;
        settings.listen = { asio::ip::make_address("127.0.0.1"), 0 };
        settings.grantAddress = "127.0.0.1";
        settings.grantPort = this->port;
        settings.wait.objectiveShare = waitShare;
        // Before any report, the entry has the smallest share of the slack; it covers five retries.
        settings.retryBudget.retrySlack = 5.0 * QuotaLimiter::largestDeploymentEntries;
        this->entry = std::make_unique<ForwardEntry>(
            this->io, this->metrics, this->log, this->dialect, settings);
        for (int i = 1; i <= agentCount; ++i) {
            this->agents.push_back(std::make_unique<ManualAgent>(
                this->io, "127.0.2." + std::to_string(i), this->port));
        }
        this->entry->start();
        this->configure(resumable);
    }

    void configure(bool resumable)
    {
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.routeType = RouteType::Stream;
        route.services = { { "engines", 1 } };
        route.anonymous = true;
        route.resumable = resumable;
        route.maximumAttempts = 3;
        ServiceProfile service;
        service.name = "engines";
        service.isEngine = true;
        ServingConfiguration::Builder builder;
        this->entry->setConfiguration(
            builder.version(1).addRoute(route).addService(service).build().value());
        this->entry->confirmConfiguration(timeSinceBoot());
        std::vector<Target> targets;
        for (const auto &agent : this->agents) {
            Target target;
            target.address = toString(agent->target.local_endpoint());
            target.id = target.address;
            target.service = "engines";
            target.startedMs = 1'000;
            targets.push_back(target);
        }
        this->entry->setTargets(targets, false);
    }

    void runFor(Duration time)
    {
        this->io.restart();
        this->io.run_for(time);
    }

    /// Runs until one of the agents receives a datagram of a kind, for at most 30 s.
    std::pair<ManualAgent *, GrantMessage> nextMessage(GrantKind kind)
    {
        for (int i = 0; i < 6'000; ++i) {
            for (const auto &agent : this->agents) {
                if (auto message = agent->receive(kind)) {
                    return { agent.get(), *message };
                }
            }
            this->runFor(milliseconds(5));
        }
        ADD_FAILURE() << "no agent received the expected datagram";
        return { this->agents.front().get(), {} };
    }

    /// Sends a request as a caller.
    void sendRequest(asio::ip::tcp::socket &caller)
    {
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
        caller.non_blocking(true);
    }

    asio::io_context io{ 1 };
    Metrics metrics;
    std::uint16_t port;
    DecisionLog log;
    FixedDialect dialect;
    std::unique_ptr<ForwardEntry> entry;
    std::vector<std::unique_ptr<ManualAgent>> agents;
};

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
        : Reservations(10, false, 20)
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

/// A stream of a resumable route that has begun. Requests wait for room for at most 200 ms.
class BegunStream : public Reservations
{
protected:
    BegunStream()
        : Reservations(0.2, true)
        , caller(this->io)
        , connection(this->io)
    {
        this->sendRequest(this->caller);
        const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
        this->firstAgent = agent;
        agent->reply(GrantKind::Granted, reservation);
        this->runFor(milliseconds(50));
        this->connection = agent->target.accept();
        this->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        this->writeEvent(1);
        this->runFor(milliseconds(50));
        EXPECT_NE(this->received().find("id: 1\n"), std::string::npos);
    }

    void write(const std::string &bytes) { asio::write(this->connection, asio::buffer(bytes)); }
    void writeEvent(int id)
    {
        const std::string event = "id: " + std::to_string(id) + "\ndata: t\n\n";
        std::array<char, 8> size{};
        std::snprintf(size.data(), size.size(), "%zx", event.size());
        this->write(std::string(size.data()) + "\r\n" + event + "\r\n");
    }
    /// Everything that the caller has received; notes whether the connection was closed.
    const std::string &received()
    {
        while (true) {
            std::array<char, 8'192> buffer{};
            boost::system::error_code error;
            const std::size_t size = this->caller.read_some(asio::buffer(buffer), error);
            if (error) {
                this->closed = this->closed || error != asio::error::would_block;
                return this->receivedBytes;
            }
            this->receivedBytes.append(buffer.data(), size);
        }
    }
    /// All other agents have no room: they queue what is reserved during this time.
    void queueReservations(Duration time)
    {
        for (const TimePoint end = currentTime() + time; currentTime() < end;) {
            this->runFor(milliseconds(10));
            for (const auto &agent : this->agents) {
                while (const auto message = agent->receive(GrantKind::Reserve)) {
                    this->lastReservation = { agent.get(), *message };
                    agent->reply(GrantKind::Queued, *message);
                }
            }
        }
    }

    /// The agent that was asked last grants room, and its target gives the rest of the answer.
    void continueAtLastReservation()
    {
        ASSERT_NE(this->lastReservation.first, nullptr);
        this->lastReservation.first->reply(GrantKind::Granted, this->lastReservation.second);
        this->runFor(milliseconds(100));
        boost::system::error_code error;
        this->lastReservation.first->target.non_blocking(true);
        this->connection = this->lastReservation.first->target.accept(error);
        ASSERT_FALSE(error) << "the stream is continued at the target that granted room";
        this->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        this->writeEvent(2);
        this->write("0\r\n\r\n");
        this->runFor(milliseconds(100));
        EXPECT_TRUE(this->received().ends_with("0\r\n\r\n")) << "the answer is complete";
    }

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket connection;
    ManualAgent *firstAgent = nullptr;
    std::pair<ManualAgent *, GrantMessage> lastReservation;
    std::string receivedBytes;
    bool closed = false;
};

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

} // namespace
} // namespace wigeonsill
