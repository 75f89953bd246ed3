/// \file rollouts_test.cpp
/// Tests of an entry during rollouts: choice of targets, reports, directives and the owner's
/// writes.
#include "rolloutfixture.h"

namespace wigeonsill {
namespace {

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

/// Engines of two versions, the first one old, whose agents act only when the test calls them.
class EngineRollout : public Reservations
{
protected:
    EngineRollout()
        : Reservations({ .agentCount = 2, .rollouts = RolloutLimits() })
    {
        RolloutOrder order;
        order.id = { 1, 5 };
        order.service = "engines";
        order.targetVersion = newVersion;
        order.duration = seconds(30);
        this->snapshot.orders["engines"] = order;
        std::vector<Target> list;
        for (const auto &agent : this->agents) {
            Target target;
            target.address = toString(agent->target.local_endpoint());
            target.id = target.address;
            target.service = "engines";
            target.version = list.empty() ? oldVersion : newVersion;
            list.push_back(target);
        }
        this->set(RolloutStage::Moving);
        this->entry->setTargets(list, false);
    }

    void set(RolloutStage stage)
    {
        RolloutRecord record;
        record.service = "engines";
        record.order = { 1, 5 };
        record.targetVersion = newVersion;
        record.stage = stage;
        record.oldVersions = { std::string(oldVersion) };
        this->snapshot.records["engines"] = record;
        this->snapshot.readAt = currentTime();
        this->entry->setRollouts(this->snapshot);
    }

    RolloutSnapshot snapshot;
};

/// Guards against requests that reach a version after its end because room was reserved before it.
TEST_F(EngineRollout, reservationsAtAVersionEndWithItsRollout)
{
    ManualAgent &oldAgent = *this->agents[0];
    ManualAgent &newAgent = *this->agents[1];
    asio::ip::tcp::socket caller(this->io);
    this->sendRequest(caller);
    this->runFor(milliseconds(50));
    const auto atNew = newAgent.receive(GrantKind::Reserve);
    ASSERT_TRUE(atNew) << "in Moving, room is reserved at the new version";
    EXPECT_FALSE(oldAgent.receive(GrantKind::Reserve));
    newAgent.reply(GrantKind::Queued, *atNew);
    this->runFor(milliseconds(50));
    EXPECT_FALSE(oldAgent.receive(GrantKind::Reserve));

    this->set(RolloutStage::RolledBack);
    newAgent.reply(GrantKind::Granted, *atNew);
    this->runFor(milliseconds(100));
    boost::system::error_code error;
    newAgent.target.non_blocking(true);
    newAgent.target.accept(error);
    EXPECT_EQ(error, asio::error::would_block) << "the request was sent to the rejected version";
    EXPECT_TRUE(newAgent.receive(GrantKind::Release)) << "the grant is given back";
    const auto atOld = oldAgent.receive(GrantKind::Reserve);
    ASSERT_TRUE(atOld) << "the request is placed anew";
    oldAgent.reply(GrantKind::Granted, *atOld);
    this->runFor(milliseconds(50));
    oldAgent.target.non_blocking(true);
    oldAgent.target.accept(error);
    EXPECT_FALSE(error) << "it is sent to the old version";
}

} // namespace
} // namespace wigeonsill
