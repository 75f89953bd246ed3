/// \file entryfixture.h
/// Test fixtures: an entry with agents and targets that act only when the test calls them.
#pragma once

#include "grantmessage.h"
#include "wigeonsill/forward.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

class FixedDialect : public WireDialect
{
public:
    Result<RequestMetadata> decodeRequest(const MessageHead &head) const override
    {
        RequestMetadata request;
        const std::string_view id = fieldValue(head.fields, "Test-Id");
        request.id = id.empty() ? "request-1" : id;
        request.promptTokens = 100;
        const std::string output(fieldValue(head.fields, "Test-Output-Tokens"));
        request.outputTokens = output.empty() ? 0 : std::stoul(output);
        request.hasCondition = !fieldValue(head.fields, "Test-Condition").empty();
        request.lastEventId = fieldValue(head.fields, "Test-Last-Event");
        request.resumedRequest = fieldValue(head.fields, "Test-Resumes");
        const std::string deadline(fieldValue(head.fields, "Test-Deadline-Ms"));
        if (!deadline.empty()) {
            request.deadline = milliseconds(std::stoi(deadline));
        }
        for (const char part : fieldValue(head.fields, "Test-Parts")) {
            request.parts.push_back({ static_cast<std::uint64_t>(part), 100 });
        }
        return request;
    }
    HttpFields encodeRequest(
        const MessageHead &head, const ForwardContext & /*context*/) const override
    {
        return head.fields;
    }
    AnswerFacts decodeAnswer(const MessageHead &head) const override
    {
        AnswerFacts facts;
        facts.requestId = fieldValue(head.fields, "Test-Answer-Id");
        facts.isMisdirected = head.status == 421;
        facts.notRun = facts.isMisdirected || !fieldValue(head.fields, "Test-Not-Run").empty();
        facts.targetId = fieldValue(head.fields, "Test-Target-Id");
        facts.quietFor = parseRetryAfter(fieldValue(head.fields, "Test-Quiet-S"));
        const std::string_view rate = fieldValue(head.fields, "Test-Rate");
        facts.rate = { parseStatedRate(rate), rate.empty() };
        facts.targetLeaving = !fieldValue(head.fields, "Test-Leaving").empty();
        return facts;
    }
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

inline std::uint16_t freeUdpPort(asio::io_context &io)
{
    asio::ip::udp::socket probe(io, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

class Reservations : public testing::Test
{
protected:
    struct Options
    {
        double waitShare = 10; ///< Of the latency objective of 1 s; how long to wait for room.
        int agentCount = 5;
        RouteType routeType = RouteType::Stream;
        bool resumable = false;
        std::string callerVersion = "HTTP/1.1";
        Duration gracePeriod = seconds(8);
        std::optional<RolloutLimits> rollouts = {};
        std::string callerFields = {}; ///< Further header lines of the request, each with its end.
        bool isEngine = true; ///< Otherwise the targets are plain servers, without agents.
    };
    Reservations()
        : Reservations(Options{})
    {
    }
    explicit Reservations(const Options &options)
        : port(freeUdpPort(this->io))
        , log(this->io, this->metrics, 0)
    {
        ForwardEntrySettings settings;
        settings.listen = { asio::ip::make_address("127.0.0.1"), 0 };
        settings.grantAddress = "127.0.0.1";
        settings.grantPort = this->port;
        settings.wait.objectiveShare = options.waitShare;
        settings.gracePeriod = options.gracePeriod;
        settings.rollouts = options.rollouts;
        // Before any report, the entry has the smallest share of the slack; it covers five retries.
        settings.retryBudget.retrySlack = 5.0 * QuotaLimiter::largestDeploymentEntries;
        this->entry = std::make_unique<ForwardEntry>(
            this->io, this->metrics, this->log, this->dialect, settings);
        for (int i = 1; i <= options.agentCount; ++i) {
            this->agents.push_back(std::make_unique<ManualAgent>(
                this->io, "127.0.2." + std::to_string(i), this->port));
        }
        this->entry->start();
        this->configure(options);
    }

    void configure(const Options &options)
    {
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.routeType = options.routeType;
        route.services = { { "engines", 1 } };
        route.anonymous = true;
        route.resumable = options.resumable;
        route.maximumAttempts = 3;
        ServiceProfile service;
        service.name = "engines";
        service.isEngine = options.isEngine;
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
    void sendRequest(asio::ip::tcp::socket &caller, const std::string &version = "HTTP/1.1",
        const std::string &fields = {})
    {
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        asio::write(
            caller, asio::buffer("GET /x " + version + "\r\nHost: h\r\n" + fields + "\r\n"));
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

/// One request that was sent to the first target with room, and its caller.
class SentRequest : public Reservations
{
protected:
    explicit SentRequest(const Options &options)
        : Reservations(options)
        , caller(this->io)
        , connection(this->io)
    {
        this->sendRequest(this->caller, options.callerVersion, options.callerFields);
        const auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
        this->firstAgent = agent;
        agent->reply(GrantKind::Queued, reservation);
        std::tie(this->secondAgent, this->secondReservation)
            = this->nextMessage(GrantKind::Reserve);
        agent->reply(GrantKind::Granted, reservation);
        this->runFor(milliseconds(50));
        for (const auto &other : this->agents) {
            while (other->receive(GrantKind::Reserve)) { } // Discards what was asked before.
        }
        this->connection = agent->target.accept();
    }

    /// Sends bytes as the current target and lets the entry read them.
    void write(const std::string &bytes)
    {
        asio::write(this->connection, asio::buffer(bytes));
        this->runFor(milliseconds(50));
    }
    void writeStreamHead() { this->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
    void writeChunk(const std::string &bytes)
    {
        std::array<char, 8> size{};
        std::snprintf(size.data(), size.size(), "%zx", bytes.size());
        this->write(std::string(size.data()) + "\r\n" + bytes + "\r\n");
    }
    static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
    void writeEvent(int id) { this->writeChunk(event(id)); }
    /// Everything that the caller has received; notes whether the connection was closed.
    const std::string &received()
    {
        while (true) {
            std::array<char, 8'192> buffer{};
            boost::system::error_code error;
            const std::size_t size = this->caller.read_some(asio::buffer(buffer), error);
            if (error) {
                this->closed = this->closed || error != asio::error::would_block;
                this->readError = error;
                return this->receivedBytes;
            }
            this->receivedBytes.append(buffer.data(), size);
        }
    }
    /// The content of the chunked or sized answer that the caller has received so far.
    std::string receivedBody()
    {
        // The entry may still hold bytes that did not fit into the socket buffers.
        for (std::size_t size = 0; size < this->received().size();) {
            size = this->receivedBytes.size();
            this->runFor(milliseconds(50));
        }
        AnswerReader reader(65'536, 1'048'576);
        boost::system::error_code error;
        reader.consume(this->receivedBytes, error);
        EXPECT_FALSE(error) << error.message();
        this->complete = reader.isComplete();
        return reader.body();
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
    /// The agent that was asked last grants room, and the request is sent to its target.
    void moveToLastReservation()
    {
        ASSERT_NE(this->lastReservation.first, nullptr);
        this->lastReservation.first->reply(GrantKind::Granted, this->lastReservation.second);
        this->runFor(milliseconds(100));
        boost::system::error_code error;
        this->lastReservation.first->target.non_blocking(true);
        this->connection = this->lastReservation.first->target.accept(error);
        ASSERT_FALSE(error) << "the request is sent to the target that granted room";
    }

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket connection; ///< Of the current target.
    ManualAgent *firstAgent = nullptr;
    ManualAgent *secondAgent = nullptr; ///< Asked as well before the first granted.
    GrantMessage secondReservation;
    std::pair<ManualAgent *, GrantMessage> lastReservation;
    std::string receivedBytes;
    bool closed = false;
    boost::system::error_code readError; ///< Of the caller's last read.
    bool complete = false; ///< The answer, when receivedBody() was called last.
};

/// A stream of a resumable route that has begun. Requests wait for room for at most 200 ms.
class BegunStream : public SentRequest
{
protected:
    BegunStream()
        : SentRequest({ .waitShare = 0.2, .resumable = true })
    {
        this->writeStreamHead();
        this->writeEvent(1);
        EXPECT_NE(this->received().find("id: 1\n"), std::string::npos);
    }

    /// The agent that was asked last grants room, and its target gives the rest of the answer.
    void continueAtLastReservation()
    {
        ASSERT_NO_FATAL_FAILURE(this->moveToLastReservation());
        this->writeStreamHead();
        this->writeEvent(2);
        this->write("0\r\n\r\n");
        this->runFor(milliseconds(100));
        EXPECT_TRUE(this->received().ends_with("0\r\n\r\n")) << "the answer is complete";
    }
};

} // namespace wigeonsill
