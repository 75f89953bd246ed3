/// \file core_test.cpp
/// Tests of an EntryCore and an AgentCore together, driven event by event.
#include "wigeonsill/core.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const Incarnation entryIncarnation{ 1, 1 };
const Incarnation agentIncarnation{ 2, 2 };
const std::string agentName = "agent-1";

CallerRequest makeRequest()
{
    CallerRequest request;
    request.profile.organisation = "org";
    request.profile.pool = "pool";
    request.profile.promptTokens = 10;
    request.profile.outputTokens = 20;
    request.profile.timeLeft = seconds(30);
    request.request.method = "POST";
    return request;
}

/// One entry and one agent. The test decides when messages are exchanged.
class CoreTest : public testing::Test
{
protected:
    CoreTest()
    {
        EntryCoreBuilder entryBuilder;
        this->entry
            = entryBuilder.incarnation(entryIncarnation).location({ "entry-1", "r", "d" }).build();
        AgentCoreBuilder agentBuilder;
        this->agent = agentBuilder.incarnation(agentIncarnation)
                          .location({ agentName, "r", "d" })
                          .pools({ "pool" })
                          .build();
        this->connect();
    }

    void connect()
    {
        this->agent->entryConnected(this->now, entryIncarnation);
        this->entry->agentConnected(this->now, this->agent->hello());
    }

    void disconnect()
    {
        this->agent->entryDisconnected(this->now, entryIncarnation);
        this->entry->agentDisconnected(this->now, agentName);
    }

    /// Exchanges messages until neither side has any; keeps the other actions.
    void exchange()
    {
        for (bool busy = true; busy;) {
            busy = false;
            for (EntryAction &action : this->entry->takeActions()) {
                if (const auto *send = std::get_if<SendToAgent>(&action)) {
                    busy = true;
                    this->agent->receive(this->now, entryIncarnation, send->message);
                } else {
                    this->entryActions.push_back(std::move(action));
                }
            }
            for (AgentAction &action : this->agent->takeActions()) {
                if (const auto *send = std::get_if<SendToEntry>(&action)) {
                    busy = true;
                    this->entry->receive(this->now, agentName, agentIncarnation, send->message);
                } else {
                    this->agentActions.push_back(std::move(action));
                }
            }
        }
    }

    /// Exchanges the reservation and the pull, so that the entry's next action is to send the Bind.
    void exchangeReservationAndPull()
    {
        for (const EntryAction &action : this->entry->takeActions()) {
            this->agent->receive(
                this->now, entryIncarnation, std::get<SendToAgent>(action).message);
        }
        for (const AgentAction &action : this->agent->takeActions()) {
            this->entry->receive(
                this->now, agentName, agentIncarnation, std::get<SendToEntry>(action).message);
        }
    }

    /// Discards the pending actions of both sides.
    void loseMessages()
    {
        this->entry->takeActions();
        this->agent->takeActions();
    }

    void advance(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            this->now += milliseconds(100);
            this->entry->tick(this->now);
            this->agent->tick(this->now);
            this->exchange();
        }
    }

    template <class T>
    std::vector<T> entryActionsOf() const
    {
        std::vector<T> found;
        for (const EntryAction &action : this->entryActions) {
            if (const T *typed = std::get_if<T>(&action)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    template <class T>
    std::vector<T> agentActionsOf() const
    {
        std::vector<T> found;
        for (const AgentAction &action : this->agentActions) {
            if (const T *typed = std::get_if<T>(&action)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    std::string deliveredBytes() const
    {
        std::string bytes;
        for (const DeliverBytes &delivery : this->entryActionsOf<DeliverBytes>()) {
            bytes += delivery.bytes;
        }
        return bytes;
    }

    TimePoint now{ seconds(1000) };
    std::unique_ptr<EntryCore> entry;
    std::unique_ptr<AgentCore> agent;
    std::vector<EntryAction> entryActions;
    std::vector<AgentAction> agentActions;
};

TEST_F(CoreTest, requestIsServedEndToEnd)
{
    const RequestId id = this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    ASSERT_EQ(this->agentActionsOf<StartAtTarget>().size(), 1U);
    this->agent->targetHead(this->now, id, 200, {});
    this->agent->targetBytes(this->now, id, "hello ");
    this->agent->targetBytes(this->now, id, "world");
    this->agent->targetEnded(this->now, id, TargetEnd::Complete, {});
    this->exchange();
    EXPECT_EQ(this->deliveredBytes(), "hello world");
    const auto ends = this->entryActionsOf<DeliverEnd>();
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends.front().result, ResultCode::Ok);
    EXPECT_EQ(this->entry->requestsInProgress(), 0U);
    EXPECT_EQ(this->agent->requestsInProgress(), 0U);
}

TEST_F(CoreTest, answerIsResumedAfterTheConnectionIsLost)
{
    const RequestId id = this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    this->agent->targetHead(this->now, id, 200, {});
    this->agent->targetBytes(this->now, id, "hello ");
    this->exchange();
    this->agent->targetBytes(this->now, id, "lost ");
    this->loseMessages();
    this->disconnect();
    this->agent->targetBytes(this->now, id, "world");
    this->agent->targetEnded(this->now, id, TargetEnd::Complete, {});
    this->loseMessages();
    this->connect();
    this->exchange();
    EXPECT_EQ(this->deliveredBytes(), "hello lost world");
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::Ok);
    EXPECT_EQ(this->agentActionsOf<StartAtTarget>().size(), 1U);
}

TEST_F(CoreTest, lostBindIsConfirmedNotRunAndRefused)
{
    this->entry->submitRequest(this->now, makeRequest());
    // The reservation and the pull arrive; the Bind is lost.
    this->exchangeReservationAndPull();
    const std::vector<EntryAction> lost = this->entry->takeActions();
    ASSERT_EQ(lost.size(), 1U);
    this->disconnect();
    this->connect();
    this->exchange();
    // The delayed Bind must not start a request that was reported as not run.
    this->agent->receive(this->now, entryIncarnation, std::get<SendToAgent>(lost.front()).message);
    this->exchange();
    EXPECT_TRUE(this->agentActionsOf<StartAtTarget>().empty());
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(
        resultInfo(this->entryActionsOf<DeliverEnd>().front().result).outcome, Outcome::NotRun);
}

TEST_F(CoreTest, requestOfALostAgentEndsWithAgentLost)
{
    this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    this->entry->agentDisconnected(this->now, agentName);
    this->advance(seconds(15));
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::AgentLost);
}

/// An entry was silent for so long that the agent forgot it, on a connection that stayed open. Its
/// next request was cut at the agent's next tick, and a booking's answer was lost.
TEST_F(CoreTest, requestOfAnEntryThatWasSilentOnAnOpenConnectionIsNotCut)
{
    for (int i = 0; i < 300; ++i) {
        this->now += milliseconds(100);
        this->agent->tick(this->now);
        this->agent->takeActions();
    }
    const RequestId id = this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    this->now += milliseconds(1);
    this->agent->tick(this->now);
    this->exchange();
    EXPECT_TRUE(this->agentActionsOf<CancelAtTarget>().empty());
    this->agent->targetHead(this->now, id, 200, {});
    this->agent->targetBytes(this->now, id, "whole");
    this->agent->targetEnded(this->now, id, TargetEnd::Complete, {});
    this->exchange();
    EXPECT_EQ(this->deliveredBytes(), "whole");
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::Ok);
}

TEST_F(CoreTest, callerDisconnectCancelsItsRun)
{
    const RequestId id = this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    this->entry->callerDisconnected(this->now, id);
    this->exchange();
    ASSERT_EQ(this->agentActionsOf<CancelAtTarget>().size(), 1U);
    this->agent->targetEnded(this->now, id, TargetEnd::Truncated, {});
    EXPECT_EQ(this->agent->requestsInProgress(), 0U);
    EXPECT_EQ(this->entry->requestsInProgress(), 0U);
}

TEST_F(CoreTest, drainingAgentGetsNoNewRequest)
{
    this->agent->drain(this->now);
    this->exchange();
    this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    EXPECT_TRUE(this->agentActionsOf<StartAtTarget>().empty());
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::NoTargetAvailable);
}

TEST_F(CoreTest, waitingRequestExpiresAtItsDeadline)
{
    CallerRequest large = makeRequest();
    large.profile.promptTokens = 1'000'000;
    this->entry->submitRequest(this->now, large);
    this->exchange();
    this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    EXPECT_EQ(this->agentActionsOf<StartAtTarget>().size(), 1U);
    this->advance(seconds(31));
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::RequestExpired);
}

TEST_F(CoreTest, requestExpiresWhenItsClaimIsGrantedAfterTheDeadline)
{
    CallerRequest request = makeRequest();
    request.idempotencyKey = "key";
    const RequestId id = this->entry->submitRequest(this->now, request);
    this->advance(seconds(31));
    this->entry->claimDecided(this->now, id, {});
    this->exchange();
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::RequestExpired);
    EXPECT_EQ(this->entryActionsOf<RecordClaim>().size(), 1U);
}

TEST_F(CoreTest, claimedRequestCompletesAfterItsCallerDisconnects)
{
    CallerRequest request = makeRequest();
    request.profile.nonIdempotent = true;
    request.idempotencyKey = "key";
    const RequestId id = this->entry->submitRequest(this->now, request);
    this->entry->claimDecided(this->now, id, {});
    this->exchange();
    this->agent->targetHead(this->now, id, 200, {});
    // The caller consumes none of the bytes that fill the send window, and disconnects.
    this->agent->targetBytes(this->now, id, std::string(AgentLimits().sendWindowBytes, 'a'));
    this->exchange();
    this->entry->callerDisconnected(this->now, id);
    this->agent->targetBytes(this->now, id, "rest");
    this->agent->targetEnded(this->now, id, TargetEnd::Complete, {});
    this->exchange();
    EXPECT_EQ(this->entryActionsOf<RecordClaim>().size(), 1U);
    EXPECT_EQ(this->entry->requestsInProgress(), 0U);
    EXPECT_EQ(this->agent->requestsInProgress(), 0U);
}

TEST_F(CoreTest, answerIsKeptForACallerThatReadsSlowly)
{
    const RequestId id = this->entry->submitRequest(this->now, makeRequest());
    this->exchange();
    const std::uint64_t size = AgentLimits().sendWindowBytes + 4;
    this->agent->targetHead(this->now, id, 200, {});
    this->agent->targetBytes(this->now, id, std::string(size, 'a'));
    this->agent->targetEnded(this->now, id, TargetEnd::Complete, {});
    this->exchange();
    this->advance(AgentLimits().answerRetention * 2);
    this->entry->callerConsumed(this->now, id, AgentLimits().sendWindowBytes);
    this->exchange();
    EXPECT_EQ(this->deliveredBytes().size(), size);
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(this->entryActionsOf<DeliverEnd>().front().result, ResultCode::Ok);
}

TEST_F(CoreTest, bindAfterThePullTimeoutIsNotStarted)
{
    this->entry->submitRequest(this->now, makeRequest());
    this->exchangeReservationAndPull();
    // The agent process is paused while the Bind waits in its socket.
    this->now += AgentLimits().pullTimeout + milliseconds(1);
    this->exchange();
    EXPECT_TRUE(this->agentActionsOf<StartAtTarget>().empty());
    ASSERT_EQ(this->entryActionsOf<DeliverEnd>().size(), 1U);
    EXPECT_EQ(
        resultInfo(this->entryActionsOf<DeliverEnd>().front().result).outcome, Outcome::NotRun);
}

} // namespace
} // namespace wigeonsill
