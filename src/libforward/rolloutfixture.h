/// \file rolloutfixture.h
/// Test fixture: an entry that follows rollouts, targets of two versions, and a store whose answers
/// the test decides.
#pragma once

#include "entryfixture.h"

namespace wigeonsill {

inline constexpr std::string_view oldVersion = "v1";
inline constexpr std::string_view newVersion = "v2";

/// A store that records the calls; the test decides their results.
class FakeStore : public RolloutStore
{
public:
    void acquire(
        const std::string &ownerAddress, std::function<void(Result<Acquired>)> handler) override
    {
        ++this->acquisitions;
        this->address = ownerAddress;
        if (this->acquirable) {
            handler(Acquired{ 7, "lease-1" });
        } else {
            handler(Error{ ResultCode::StoreConflict, {} });
        }
    }
    void renew(const std::string & /*leaseId*/, std::function<void(Result<bool>)> handler) override
    {
        ++this->renewals;
        if (this->leaseEnded) {
            handler(Error{ ResultCode::StoreConflict, {} });
        } else {
            handler(true);
        }
    }
    void write(const RolloutRecord &record, std::uint64_t ownerRevision,
        std::function<void(Result<std::uint64_t>)> handler) override
    {
        EXPECT_EQ(ownerRevision, 7U);
        EXPECT_FALSE(this->pendingWrite) << "only one write is in progress";
        this->writes.push_back(record);
        this->pendingWrite = std::move(handler);
    }
    void refresh() override { ++this->refreshes; }

    void finishWrite(const Result<std::uint64_t> &result)
    {
        std::exchange(this->pendingWrite, nullptr)(result);
    }

    bool acquirable = true;
    bool leaseEnded = false;
    int acquisitions = 0;
    int renewals = 0;
    int refreshes = 0;
    std::string address;
    std::vector<RolloutRecord> writes;
    std::function<void(Result<std::uint64_t>)> pendingWrite;
};

/// Targets of a plain service with two versions, and an entry that follows rollouts. The test
/// writes the snapshots that a store would give.
class Rollouts : public testing::Test
{
protected:
    struct PlainTarget
    {
        PlainTarget(asio::io_context &io, std::string_view targetVersion)
            : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
            , version(targetVersion)
        {
            this->acceptor.non_blocking(true);
        }
        asio::ip::tcp::acceptor acceptor;
        std::string version;
        std::vector<asio::ip::tcp::socket> connections;
        int requests = 0;
    };

    Rollouts()
        : port(freeUdpPort(this->io))
        , log(this->io, this->metrics, 0)
        , owner(this->io, { asio::ip::make_address("127.0.3.1"), 0 })
    {
        this->owner.non_blocking(true);
        ForwardEntrySettings settings;
        settings.listen = { asio::ip::make_address("127.0.0.1"), 0 };
        settings.grantAddress = "127.0.0.1";
        settings.grantPort = this->port;
        settings.rollouts = RolloutLimits();
        this->entry = std::make_unique<ForwardEntry>(
            this->io, this->metrics, this->log, this->dialect, settings);
        this->entry->setRolloutStore(this->store);
        this->entry->start();
        Route route;
        route.name = "route-1";
        route.host = "h";
        route.prefix = "/";
        route.services = { { "bookings", 1 } };
        route.anonymous = true;
        route.maximumAttempts = 1;
        route.timeout = seconds(2);
        ServiceProfile service;
        service.name = "bookings";
        ServingConfiguration::Builder builder;
        this->entry->setConfiguration(
            builder.version(1).addRoute(route).addService(service).build().value());
        this->entry->confirmConfiguration(timeSinceBoot());
        for (int i = 0; i < 2; ++i) {
            this->addTarget(oldVersion);
        }
        this->listTargets();
    }

    PlainTarget &addTarget(std::string_view version)
    {
        this->targets.push_back(std::make_unique<PlainTarget>(this->io, version));
        return *this->targets.back();
    }
    void listTargets()
    {
        std::vector<Target> list;
        for (const auto &known : this->targets) {
            Target target;
            target.address = toString(known->acceptor.local_endpoint());
            target.id = target.address;
            target.service = "bookings";
            target.version = known->version;
            target.slots = 4;
            list.push_back(target);
        }
        this->entry->setRollouts(this->read());
        this->entry->setTargets(list, false);
    }
    const RolloutSnapshot &read()
    {
        this->snapshot.readAt = currentTime();
        return this->snapshot;
    }
    void give(Duration duration, std::uint64_t revision = 5)
    {
        RolloutOrder order;
        order.id = { 1, revision };
        order.service = "bookings";
        order.targetVersion = newVersion;
        order.duration = duration;
        this->snapshot.orders["bookings"] = order;
        this->listTargets();
    }
    /// The record of the order in the store.
    void record(RolloutStage stage)
    {
        RolloutRecord record;
        record.service = "bookings";
        record.order = this->snapshot.orders["bookings"].id;
        record.targetVersion = newVersion;
        record.stage = stage;
        record.oldVersions = { std::string(oldVersion) };
        if (stage == RolloutStage::RolledBack) {
            record.rejectedVersions = { std::string(newVersion) };
        }
        this->snapshot.records["bookings"] = record;
        this->entry->setRollouts(this->read());
    }
    /// A process that plays the owner; its address is the one in the store.
    void nameOwner()
    {
        this->snapshot.ownerRevision = 3;
        this->snapshot.ownerAddress
            = "127.0.3.1:" + std::to_string(this->owner.local_endpoint().port());
        this->entry->setRollouts(this->read());
    }
    void runFor(Duration time)
    {
        this->io.restart();
        this->io.run_for(time);
    }
    std::optional<GrantMessage> receiveAtOwner()
    {
        std::array<char, 8'192> buffer{};
        boost::system::error_code error;
        const std::size_t size
            = this->owner.receive_from(asio::buffer(buffer), this->reporter, 0, error);
        return error ? std::nullopt : decodeGrantMessage({ buffer.data(), size });
    }
    void direct(asio::ip::udp::socket &from, RolloutStage stage)
    {
        GrantMessage message;
        message.kind = GrantKind::RolloutDirective;
        message.rolloutDirective
            = { "bookings", this->snapshot.orders["bookings"].id, stage, milliseconds(100) };
        from.send_to(asio::buffer(encode(message)),
            asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), this->port));
        this->runFor(milliseconds(30));
    }
    /// Answers what has arrived at the targets. \param newStatus Of the new version's answers.
    void answerAll(int newStatus)
    {
        for (const auto &target : this->targets) {
            boost::system::error_code error;
            while (true) {
                asio::ip::tcp::socket connection = target->acceptor.accept(error);
                if (error) {
                    break;
                }
                connection.non_blocking(true);
                target->connections.push_back(std::move(connection));
            }
            const int status = target->version == newVersion ? newStatus : 200;
            for (auto &connection : target->connections) {
                std::array<char, 8'192> buffer{};
                if (connection.read_some(asio::buffer(buffer), error) > 0) {
                    ++target->requests;
                    asio::write(connection,
                        asio::buffer("HTTP/1.1 " + std::to_string(status)
                            + " X\r\nContent-Length: 2\r\n\r\nok"),
                        error);
                }
            }
        }
    }
    /// Sends requests one after the other. \returns The number that each version got.
    std::map<std::string, int> send(int count, int newStatus = 200)
    {
        std::map<std::string, int> before = this->requestsByVersion();
        for (int i = 0; i < count; ++i) {
            asio::ip::tcp::socket caller(this->io);
            caller.connect({ asio::ip::make_address("127.0.0.1"), this->entry->port() });
            asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
            caller.non_blocking(true);
            std::array<char, 8'192> buffer{};
            boost::system::error_code error = asio::error::would_block;
            for (int step = 0; step < 2'000 && error == asio::error::would_block; ++step) {
                this->runFor(milliseconds(1));
                this->answerAll(newStatus);
                const std::size_t size = caller.read_some(asio::buffer(buffer), error);
                this->lastAnswer.assign(buffer.data(), size);
            }
        }
        std::map<std::string, int> result = this->requestsByVersion();
        for (auto &[version, requests] : result) {
            requests -= before[version];
        }
        return result;
    }
    std::map<std::string, int> requestsByVersion() const
    {
        std::map<std::string, int> result;
        for (const auto &target : this->targets) {
            result[target->version] += target->requests;
        }
        return result;
    }
    boost::json::object state()
    {
        return this->entry->dumpState().at("rollouts").as_array().at(0).as_object();
    }

    asio::io_context io{ 1 };
    Metrics metrics;
    std::uint16_t port;
    DecisionLog log;
    FixedDialect dialect;
    FakeStore store;
    std::unique_ptr<ForwardEntry> entry;
    std::vector<std::unique_ptr<PlainTarget>> targets;
    RolloutSnapshot snapshot;
    asio::ip::udp::socket owner;
    asio::ip::udp::endpoint reporter;
    std::string lastAnswer;
};

} // namespace wigeonsill
