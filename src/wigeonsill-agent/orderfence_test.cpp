/// \file orderfence_test.cpp
/// Orders of a planner that was replaced never pass.
#include "orderfence.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace wigeonsill {
namespace {

TEST(OrderFence, nothingPassesBeforeTheStoreWasRead)
{
    OrderFence fence;
    EXPECT_EQ(fence.admit({ 7, 1 }), OrderVerdict::NotReady);
    fence.learn(8);
    EXPECT_EQ(fence.admit({ 7, 1 }), OrderVerdict::Fenced);
    EXPECT_EQ(fence.admit({ 8, 1 }), OrderVerdict::Pass);
}

TEST(OrderFence, aPausedPlannerThatWakesLateChangesNothing)
{
    OrderFence fence;
    fence.learn(1);
    EXPECT_EQ(fence.admit({ 1, 1 }), OrderVerdict::Pass);
    EXPECT_EQ(fence.admit({ 2, 1 }), OrderVerdict::Pass);
    EXPECT_EQ(fence.admit({ 1, 2 }), OrderVerdict::Fenced);
    EXPECT_EQ(fence.admit({ 2, 1 }), OrderVerdict::Repeated);
    EXPECT_EQ(fence.highest(), 2U);
}

TEST(OrderFence, passesInAscendingOrderAndNeverBelowWhatIsKnown)
{
    const bool holds = rc::check("fence", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<bool, OrderNumber>>>(60,
            rc::gen::pair(rc::gen::arbitrary<bool>(),
                rc::gen::construct<OrderNumber>(
                    rc::gen::inRange<std::uint64_t>(1, 6), rc::gen::inRange<std::uint64_t>(1, 6))));
        OrderFence fence;
        bool learned = false;
        std::uint64_t known = 0;
        OrderNumber lastPassed;
        for (const auto &[learns, order] : steps) {
            if (learns) {
                fence.learn(order.fencing);
                learned = true;
                known = std::max(known, order.fencing);
                continue;
            }
            const bool passed = fence.admit(order) == OrderVerdict::Pass;
            const bool mayPass = learned && order.fencing >= known && order > lastPassed;
            RC_ASSERT(passed == mayPass);
            if (passed) {
                lastPassed = order;
                known = std::max(known, order.fencing);
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace wigeonsill
