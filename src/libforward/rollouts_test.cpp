/// \file rollouts_test.cpp
/// Tests of an entry during rollouts: choice of targets, reports, directives and the owner's writes.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

constexpr std::string_view oldVersion = "v1";
constexpr std::string_view newVersion = "v2";

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
        this->snapshot.ownerAddress = "127.0.3.1:"
            + std::to_string(this->owner.local_endpoint().port());
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

/// Guards against more than the share of the requests at a version that is not judged yet.
TEST_F(Rollouts, newVersionGetsSmallShareAtFirst)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    auto got = this->send(200);
    EXPECT_LE(got["v2"], 7) << "at most 0.03 of the requests and one";
    EXPECT_GE(got["v2"], 1);
}

TEST_F(Rollouts, versionsAreUsedAlikeWithoutAnOrder)
{
    this->addTarget(newVersion);
    this->listTargets();
    auto got = this->send(60);
    EXPECT_GT(got["v2"], 5);
    EXPECT_EQ(this->store.acquisitions + this->store.refreshes, 0) << "calls cost money";
}

TEST_F(Rollouts, stageOfTheRecordDecides)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->record(RolloutStage::Moving);
    EXPECT_EQ(this->send(20)["v1"], 0) << "all go to the new version";
    this->record(RolloutStage::RolledBack);
    EXPECT_EQ(this->send(20)["v2"], 0) << "none go to the version that was rolled back";
}

/// Guards against requests at a rejected version because no other target is left.
TEST_F(Rollouts, rolledBackVersionIsNotUsedWithoutOthers)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->record(RolloutStage::RolledBack);
    this->targets.erase(this->targets.begin(), this->targets.begin() + 2);
    this->listTargets();
    EXPECT_EQ(this->send(3)["v2"], 0);
    EXPECT_NE(this->lastAnswer.find("HTTP/1.1 503"), std::string::npos) << this->lastAnswer;
}

TEST_F(Rollouts, oldVersionIsNotUsedAfterCompletion)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->send(5);
    this->record(RolloutStage::Completed);
    EXPECT_EQ(this->send(20)["v1"], 0);
    this->runFor(milliseconds(20));
    for (const auto &target : this->targets) {
        for (auto &connection : target->connections) {
            std::array<char, 16> buffer{};
            boost::system::error_code error;
            connection.read_some(asio::buffer(buffer), error);
            EXPECT_TRUE(target->version == newVersion || error == asio::error::eof
                || error == asio::error::connection_reset)
                << "idle connections to old targets are closed";
        }
    }
}

/// Guards against callers that are refused while targets of the other side could answer.
TEST_F(Rollouts, otherSideIsUsedWhereOneHasNoTarget)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->record(RolloutStage::Moving);
    this->targets.pop_back();
    this->listTargets();
    EXPECT_EQ(this->send(10)["v1"], 10);
}

/// Guards against an entry that goes on sending to a version whose failures it has seen itself.
TEST_F(Rollouts, ownEvidenceStopsRequests)
{
    for (int i = 0; i < 3; ++i) {
        this->addTarget(newVersion);
    }
    this->give(seconds(30));
    this->record(RolloutStage::Canary);
    this->send(60);
    this->record(RolloutStage::Moving);
    this->send(60, 500);
    EXPECT_EQ(this->send(20, 500)["v2"], 0);
    EXPECT_TRUE(this->state().at("stopped").as_bool());
}

TEST_F(Rollouts, reportsGoToTheOwnerAndItsDirectiveIsFollowed)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->nameOwner();
    this->send(10);
    std::optional<GrantMessage> report;
    for (int i = 0; i < 200; ++i) {
        this->runFor(milliseconds(5));
        while (auto message = this->receiveAtOwner()) {
            report = message;
        }
    }
    ASSERT_TRUE(report && report->rolloutReport);
    const RolloutEvidence &evidence = report->rolloutReport->report.evidence;
    EXPECT_EQ(evidence.sentToOld + evidence.sentToTarget, 10U);
    EXPECT_EQ(evidence.oldByRoute.at("route-1").answers, evidence.sentToOld);

    asio::ip::udp::socket stranger(this->io, { asio::ip::make_address("127.0.3.2"), 0 });
    this->direct(stranger, RolloutStage::RolledBack);
    EXPECT_EQ(this->state().at("stage").as_string(), "canary")
        << "only the owner that the store names is believed";
    this->direct(this->owner, RolloutStage::Moving);
    EXPECT_EQ(this->state().at("stage").as_string(), "moving");
    EXPECT_EQ(this->send(10)["v1"], 0);
}

/// Guards against rollouts that end with their owner, and against calls while an owner answers.
TEST_F(Rollouts, silentOwnerIsReplaced)
{
    this->addTarget(newVersion);
    this->give(seconds(30));
    this->nameOwner();
    for (int i = 0; i < 15; ++i) {
        this->runFor(milliseconds(100));
        while (this->receiveAtOwner()) {
            this->direct(this->owner, RolloutStage::Canary);
        }
    }
    EXPECT_EQ(this->store.acquisitions, 0) << "the owner answers";
    for (int i = 0; i < 40 && this->store.acquisitions == 0; ++i) {
        this->runFor(milliseconds(100));
    }
    EXPECT_GE(this->store.acquisitions, 1);
    EXPECT_EQ(this->store.address, "127.0.0.1:" + std::to_string(this->port));
    EXPECT_GE(this->store.refreshes, 1);
}

class OwnedRollout : public Rollouts
{
protected:
    OwnedRollout()
    {
        for (int i = 0; i < 3; ++i) {
            this->addTarget(newVersion);
        }
        this->give(seconds(30));
        for (int i = 0; i < 40 && !this->store.pendingWrite; ++i) {
            this->runFor(milliseconds(100));
        }
        EXPECT_TRUE(this->store.pendingWrite) << "the first record is written";
    }
    /// What the store holds is read again.
    void readAgain(std::uint64_t ownerRevision)
    {
        this->snapshot.ownerRevision = ownerRevision;
        this->snapshot.ownerAddress = this->store.address;
        this->listTargets();
    }
};

/// Guards against a write that is made twice because its answer was lost.
TEST_F(OwnedRollout, lostAnswerIsReadBeforeTheNextWrite)
{
    ASSERT_EQ(this->store.writes.size(), 1U);
    EXPECT_EQ(this->store.writes[0].stage, RolloutStage::Canary);
    EXPECT_EQ(this->store.writes[0].oldVersions, std::set<std::string>{ "v1" });
    this->store.finishWrite(Error{ ResultCode::StoreUnavailable, {} });
    const int refreshesBefore = this->store.refreshes;
    this->runFor(milliseconds(700));
    EXPECT_EQ(this->store.writes.size(), 1U) << "its outcome is not known";
    EXPECT_GT(this->store.refreshes, refreshesBefore);
    this->readAgain(7);
    this->runFor(milliseconds(300));
    EXPECT_EQ(this->store.writes.size(), 2U) << "the snapshot shows that nothing was written";
}

TEST_F(OwnedRollout, conflictWithAnotherOwnerEndsTheOwnership)
{
    this->store.finishWrite(Error{ ResultCode::StoreConflict, {} });
    EXPECT_TRUE(this->state().at("owner").as_bool());
    this->readAgain(9);
    EXPECT_FALSE(this->state().at("owner").as_bool());
    this->runFor(milliseconds(400));
    EXPECT_EQ(this->store.writes.size(), 1U);
}

TEST_F(OwnedRollout, endedLeaseEndsTheOwnership)
{
    this->store.acquirable = false;
    this->store.leaseEnded = true;
    this->runFor(milliseconds(800));
    EXPECT_GE(this->store.renewals, 1);
    EXPECT_FALSE(this->state().at("owner").as_bool());
}

/// Guards against lost evidence of other entries, and against entries that get no answer.
TEST_F(OwnedRollout, reportsOfOthersDecide)
{
    this->store.finishWrite(std::uint64_t{ 11 });
    RolloutReport report;
    report.service = "bookings";
    report.order = { 1, 5 };
    report.sequence = 1;
    RolloutEvidence &evidence = report.evidence;
    evidence.sentToOld = 5'000;
    evidence.sentToTarget = 150;
    evidence.oldByRoute["route-1"].answers = 5'000;
    evidence.targetByRoute["route-1"] = { 150, 90, {}, {} };
    for (const char *id : { "a", "b", "c" }) {
        evidence.byTarget[id] = { 50, 30, 0 };
    }
    for (int i = 0; i < 60; ++i) {
        evidence.oldByRoute["further-route-" + std::to_string(i)].answers = 1;
    }
    const std::vector<RolloutReportPart> parts = splitReport(report);
    ASSERT_GT(parts.size(), 1U);
    for (const RolloutReportPart &part : parts) {
        GrantMessage message;
        message.kind = GrantKind::RolloutReport;
        message.sender = 99;
        message.rolloutReport = part;
        const std::string bytes = encode(message);
        EXPECT_LE(bytes.size(), largestDatagram);
        this->owner.send_to(asio::buffer(bytes),
            asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), this->port));
    }
    for (int i = 0; i < 10 && !this->store.pendingWrite; ++i) {
        this->runFor(milliseconds(50));
    }
    const auto answer = this->receiveAtOwner();
    ASSERT_TRUE(answer && answer->rolloutDirective);
    EXPECT_EQ(answer->rolloutDirective->service, "bookings");
    ASSERT_TRUE(this->store.pendingWrite);
    EXPECT_EQ(this->store.writes.back().stage, RolloutStage::RolledBack);
    EXPECT_EQ(this->state().at("stage").as_string(), "rolled-back")
        << "entries stop before the store has the record";
    EXPECT_EQ(this->send(20)["v2"], 0);
}

RolloutReport largeReport(std::uint32_t sequence)
{
    RolloutReport report;
    report.service = "bookings";
    report.sequence = sequence;
    report.evidence.sentToOld = 10;
    for (int i = 0; i < 200; ++i) {
        RouteEvidence &route = report.evidence.oldByRoute["route-" + std::to_string(i)];
        route.answers = std::uint64_t{ 1 } << 40;
        route.byTarget.counts.fill(0xABABABAB);
        route.bySize.counts.fill(0xABABABAB);
        report.evidence.byTarget["engine-" + std::to_string(i)].answers = 0xABABABABAB;
    }
    return report;
}

/// Guards against reports that do not fit into a datagram, and parts of different reports that are
/// put together.
TEST(RolloutReports, partsAreWholeOnlyTogether)
{
    RolloutReportAssembly assembly;
    const auto parts = splitReport(largeReport(1));
    const auto newer = splitReport(largeReport(2));
    ASSERT_GT(parts.size(), 2U);
    EXPECT_FALSE(assembly.add(1, parts.front()));
    std::optional<RolloutReport> whole;
    for (const RolloutReportPart &part : newer) {
        EXPECT_FALSE(whole);
        GrantMessage message;
        message.kind = GrantKind::RolloutReport;
        message.rolloutReport = part;
        const std::string bytes = encode(message);
        EXPECT_LE(bytes.size(), largestDatagram);
        const auto decoded = decodeGrantMessage(bytes);
        ASSERT_TRUE(decoded);
        whole = assembly.add(1, *decoded->rolloutReport);
        if (!whole) {
            EXPECT_FALSE(assembly.add(1, part)) << "a repeated datagram";
            EXPECT_FALSE(assembly.add(1, parts.back())) << "a part of an older report";
            EXPECT_FALSE(assembly.add(2, newer.back())) << "a part of another entry's report";
        }
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->sequence, 2U);
    EXPECT_EQ(whole->evidence.oldByRoute.size(), 200U);
    EXPECT_EQ(whole->evidence.oldByRoute.at("route-7").bySize.counts[3], 0xABABABABU);
    EXPECT_EQ(whole->evidence.byTarget.size(), 200U);
}

/// Guards against counts that overflow or histograms of another size, from a malformed datagram.
TEST(RolloutReports, valuesOutOfBoundsAreMalformed)
{
    GrantMessage message;
    message.kind = GrantKind::RolloutReport;
    RolloutReportPart part;
    part.report.service = "bookings";
    const auto isAccepted = [&message](const RolloutReportPart &sent) {
        message.rolloutReport = sent;
        return decodeGrantMessage(encode(message)).has_value();
    };
    EXPECT_TRUE(isAccepted(part));
    RolloutReportPart changed = part;
    changed.report.evidence.oldByRoute["r"] = { 1, 2, {}, {} };
    EXPECT_FALSE(isAccepted(changed)) << "more failures than answers";
    changed = part;
    changed.report.evidence.sentToOld = ~std::uint64_t{ 0 };
    EXPECT_FALSE(isAccepted(changed));
    changed = part;
    changed.part = 1;
    EXPECT_FALSE(isAccepted(changed)) << "there are fewer parts";
    changed = part;
    changed.report.service.clear();
    EXPECT_FALSE(isAccepted(changed));
}

} // namespace
} // namespace wigeonsill
