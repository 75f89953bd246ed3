/// \file orderfence_test.cpp
/// Tests that the orders of a replaced planner are never admitted, also when the planner was paused
/// and sends them after its successor, or when the agent was restarted.
#include "orderfence.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace wigeonsill {
namespace {

TEST(OrderFence, admitsNothingBeforeLearningAFencingNumber)
{
    OrderFence fence;
    EXPECT_EQ(fence.admit({ 7, 1 }), OrderVerdict::NotReady);
    fence.learn(8);
    EXPECT_EQ(fence.admit({ 7, 1 }), OrderVerdict::Fenced);
    EXPECT_EQ(fence.admit({ 8, 1 }), OrderVerdict::Admit);
}

TEST(OrderFence, rejectsOrdersOfAReplacedPlanner)
{
    OrderFence fence;
    fence.learn(1);
    EXPECT_EQ(fence.admit({ 1, 1 }), OrderVerdict::Admit);
    EXPECT_EQ(fence.admit({ 2, 1 }), OrderVerdict::Admit);
    EXPECT_EQ(fence.admit({ 1, 2 }), OrderVerdict::Fenced);
    EXPECT_EQ(fence.admit({ 2, 1 }), OrderVerdict::Repeated);
    EXPECT_EQ(fence.highestFencingNumber(), 2U);
}

TEST(OrderFence, admitsAscendingOrdersFromTheHighestKnownFencingNumberOn)
{
    const bool holds = rc::check("order fence", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<bool, OrderNumber>>>(60,
            rc::gen::pair(rc::gen::arbitrary<bool>(),
                rc::gen::construct<OrderNumber>(
                    rc::gen::inRange<std::uint64_t>(1, 6), rc::gen::inRange<std::uint64_t>(1, 6))));
        OrderFence fence;
        bool hasLearned = false;
        std::uint64_t highestKnown = 0;
        OrderNumber lastAdmitted;
        for (const auto &[isLearnStep, order] : steps) {
            if (isLearnStep) {
                fence.learn(order.fencingNumber);
                hasLearned = true;
                highestKnown = std::max(highestKnown, order.fencingNumber);
                continue;
            }
            const bool admitted = fence.admit(order) == OrderVerdict::Admit;
            const bool expected
                = hasLearned && order.fencingNumber >= highestKnown && order > lastAdmitted;
            RC_ASSERT(admitted == expected);
            if (admitted) {
                lastAdmitted = order;
                highestKnown = std::max(highestKnown, order.fencingNumber);
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace wigeonsill
