/// \file onetargetfixture.h
/// Test fixture: one target of each kind, on routes of each kind, that sends any bytes for a
/// request.
#pragma once

#include "entryfixture.h"

namespace wigeonsill {

/// Kind of the target and of the route that leads to it.
struct RouteToTarget
{
    const char *name;
    bool isEngine;
    RouteType routeType;
    bool resumable;
};
inline constexpr std::array allRoutesToTargets = {
    RouteToTarget{ "EngineIdempotent", true, RouteType::Idempotent, false },
    RouteToTarget{ "EngineNonIdempotent", true, RouteType::NonIdempotent, false },
    RouteToTarget{ "EngineStream", true, RouteType::Stream, false },
    RouteToTarget{ "EngineResumable", true, RouteType::Stream, true },
    RouteToTarget{ "PlainIdempotent", false, RouteType::Idempotent, false },
    RouteToTarget{ "PlainNonIdempotent", false, RouteType::NonIdempotent, false },
    RouteToTarget{ "PlainStream", false, RouteType::Stream, false },
};

/// What the caller of a request received.
struct CallerOutcome
{
    int status = 0; ///< 0 when its connection ended before the head of an answer.
    bool complete = false;
    bool malformed = false;
    std::string body;
};

/// An entry with one target, and one caller.
class OneTarget : public Reservations
{
protected:
    explicit OneTarget(const RouteToTarget &route)
        : Reservations({ .waitShare = 0.2,
            .agentCount = 1,
            .routeType = route.routeType,
            .resumable = route.resumable,
            .isEngine = route.isEngine })
        , isEngine(route.isEngine)
        , caller(this->io)
        , connection(this->io)
    {
    }

    /// Sends a request with a body of this size, which reaches the target. The target has read
    /// nothing of it. \param fields Further header lines, each with its end.
    void sendUpload(std::size_t size, const std::string &fields = {})
    {
        this->outgoing = "POST /x HTTP/1.1\r\nHost: h\r\n" + fields
            + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
        this->caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
        this->caller.non_blocking(true);
        asio::async_write(this->caller, asio::buffer(this->outgoing),
            [](const boost::system::error_code & /*error*/, std::size_t) {});
        bool accepted = false;
        this->agents.front()->target.async_accept(this->connection,
            [&accepted](const boost::system::error_code &error) { accepted = !error; });
        if (this->isEngine) {
            auto [agent, reservation] = this->nextMessage(GrantKind::Reserve);
            agent->reply(GrantKind::Granted, reservation);
        }
        for (int i = 0; i < 400 && !accepted; ++i) {
            this->runFor(milliseconds(5));
        }
        ASSERT_TRUE(accepted);
        this->runFor(milliseconds(5));
    }
    /// Sends bytes as the target, in pieces of a size; 0 for one piece.
    void write(const std::string &bytes, std::size_t pieceSize = 0)
    {
        const std::size_t step = pieceSize == 0 ? bytes.size() : pieceSize;
        boost::system::error_code error; // The entry may have closed the connection.
        this->connection.set_option(asio::ip::tcp::no_delay(true), error);
        for (std::size_t at = 0; at < bytes.size() && !error; at += step) {
            asio::write(this->connection, asio::buffer(bytes.substr(at, step)), error);
            this->io.restart();
            this->io.poll();
        }
    }
    /// Resets the target's connection.
    void reset()
    {
        boost::system::error_code ignored; // The entry may have closed the connection.
        this->connection.set_option(asio::socket_base::linger(true, 0), ignored);
        this->connection.close(ignored);
    }
    /// Reads the whole request as the target, unless the entry ends the connection before.
    void readUpload()
    {
        const std::string body = this->outgoing.substr(this->outgoing.find("\r\n\r\n"));
        std::string received;
        this->connection.non_blocking(true);
        for (int i = 0; i < 2'000 && !received.ends_with(body); ++i) {
            std::array<char, 65'536> buffer{};
            boost::system::error_code error;
            received.append(buffer.data(), this->connection.read_some(asio::buffer(buffer), error));
            if (error == asio::error::would_block) {
                this->runFor(milliseconds(1));
            }
        }
        EXPECT_TRUE(received.ends_with(body)) << "the target got only " << received.size();
    }
    /// Runs until the caller has an answer or its connection has ended, for at most 6 s.
    CallerOutcome outcome()
    {
        AnswerReader reader(65'536, 16'777'216);
        CallerOutcome result;
        std::string pending;
        for (int i = 0; i < 1'200 && !reader.isComplete() && !result.malformed; ++i) {
            this->runFor(milliseconds(5));
            std::array<char, 65'536> buffer{};
            boost::system::error_code error;
            pending.append(buffer.data(), this->caller.read_some(asio::buffer(buffer), error));
            if (error && error != asio::error::would_block) {
                break;
            }
            pending.erase(0, reader.consume(pending, error));
            result.malformed = error.failed();
        }
        result.status = reader.isHeadComplete() ? reader.head().status : 0;
        result.complete = reader.isComplete();
        result.body = reader.body();
        return result;
    }

    bool isEngine;
    std::string outgoing;
    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket connection; ///< The target's end.
};

} // namespace wigeonsill
