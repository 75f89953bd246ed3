/// \file reservations_test.cpp
/// An entry's reservations at agents, with agents that answer late.
#include "grantmessage.h"
#include "wigeonsill/forward.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;

class PlainNames : public WireDialect
{
public:
    Result<RequestFacts> decodeRequest(const MessageHead & /*head*/) const override
    {
        RequestFacts request;
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

/// Plays an agent and its target by hand.
class ManualAgent
{
public:
    ManualAgent(asio::io_context &io, const std::string &address, std::uint16_t grantPort)
        : socket(io, { asio::ip::make_address(address), grantPort })
        , target(io, { asio::ip::make_address(address), 0 })
    {
        this->socket.non_blocking(true);
    }

    /// The next datagram of a kind; others are passed over.
    std::optional<GrantMessage> take(GrantKind kind)
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
    void answer(GrantKind kind, const GrantMessage &to, std::int64_t startedMs = 0)
    {
        GrantMessage message;
        message.load.startedMs = startedMs;
        message.kind = kind;
        message.profile.ticket = to.profile.ticket;
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
    Reservations()
        : port(freeUdpPort(this->io))
        , log(this->io, this->metrics, 0)
    {
        ForwardEntrySettings settings;
        settings.listen = { asio::ip::make_address("127.0.0.1"), 0 };
        settings.grantAddress = "127.0.0.1";
        settings.grantPort = this->port;
        settings.wait.objectiveShare = 10;
        this->entry = std::make_unique<ForwardEntry>(
            this->io, this->metrics, this->log, this->names, settings);
        for (int i = 1; i <= 5; ++i) {
            this->agents.push_back(std::make_unique<ManualAgent>(
                this->io, "127.0.2." + std::to_string(i), this->port));
        }
        this->entry->start();
        this->configure();
    }

    void configure()
    {
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.repeatability = Repeatability::Stream;
        route.services = { { "engines", 1 } };
        route.anonymous = true;
        ServiceProfile service;
        service.name = "engines";
        service.isEngine = true;
        ServingConfiguration::Builder builder;
        this->entry->setConfiguration(
            builder.version(1).addRoute(route).addService(service).build().value());
        this->entry->confirmConfiguration(bootTime());
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

    void run(Duration time)
    {
        this->io.restart();
        this->io.run_for(time);
    }

    /// Runs until one of the agents gets a datagram of a kind; at most for half a minute.
    std::pair<ManualAgent *, GrantMessage> next(GrantKind kind)
    {
        for (int i = 0; i < 6'000; ++i) {
            for (const auto &agent : this->agents) {
                if (auto message = agent->take(kind)) {
                    return { agent.get(), *message };
                }
            }
            this->run(milliseconds(5));
        }
        ADD_FAILURE() << "no agent was asked";
        return { this->agents.front().get(), {} };
    }

    asio::io_context io{ 1 };
    Metrics metrics;
    std::uint16_t port;
    DecisionLog log;
    PlainNames names;
    std::unique_ptr<ForwardEntry> entry;
    std::vector<std::unique_ptr<ManualAgent>> agents;
};

TEST_F(Reservations, areNotExtendedNorKeptOnceTheRequestIsSent)
{
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    const auto [first, toFirst] = this->next(GrantKind::Reserve);
    first->answer(GrantKind::Queued, toFirst);
    const auto [second, toSecond] = this->next(GrantKind::Reserve);
    const auto [third, toThird] = this->next(GrantKind::Reserve);
    ASSERT_NE(second, third);
    second->answer(GrantKind::Granted, toSecond);
    this->next(GrantKind::Release); // The others are withdrawn.
    this->run(milliseconds(100));
    for (const auto &agent : this->agents) {
        while (agent->take(GrantKind::Release)) { } // Empties its socket of what came until now.
    }

    third->answer(GrantKind::Queued, toThird);
    this->run(milliseconds(200));
    for (const auto &agent : this->agents) {
        EXPECT_FALSE(agent->take(GrantKind::Reserve)) << "asked for a request that was sent";
    }
    third->answer(GrantKind::Granted, toThird);
    EXPECT_EQ(this->next(GrantKind::Release).first, third) << "a late grant is given back";
}

/// All slots are taken and every agent lets the request wait. With a few agents only, the cheapest
/// requests were refused beside queues in which they would have been the best.
TEST_F(Reservations, areMadeAtEveryAgentOfAFullPoolOfFive)
{
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    std::set<ManualAgent *> asked;
    for (int i = 0; i < 5; ++i) {
        const auto [agent, message] = this->next(GrantKind::Reserve);
        asked.insert(agent);
        agent->answer(GrantKind::Queued, message);
    }
    EXPECT_EQ(asked.size(), 5U);
}

/// A target lost power and another incarnation took its address over; the list does not show it.
TEST_F(Reservations, grantOfAnotherIncarnationIsGivenBack)
{
    int refreshes = 0;
    this->entry->whenTargetsOutdated([&refreshes] { ++refreshes; });
    asio::ip::tcp::socket caller(this->io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));

    const auto [first, toFirst] = this->next(GrantKind::Reserve);
    first->answer(GrantKind::Granted, toFirst, 2'000);
    EXPECT_EQ(this->next(GrantKind::Release).first, first) << "nothing is sent there";
    EXPECT_EQ(refreshes, 1) << "the list is read anew";
    const auto [second, toSecond] = this->next(GrantKind::Reserve);
    EXPECT_NE(second, first);
    second->answer(GrantKind::Granted, toSecond, 1'000);
    this->run(milliseconds(50));
    boost::system::error_code error;
    second->target.non_blocking(true);
    second->target.accept(error);
    EXPECT_FALSE(error) << "the request goes to the next target";
}

} // namespace
} // namespace wigeonsill
