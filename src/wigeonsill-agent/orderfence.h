/// \file orderfence.h
/// Gate for orders to a target. Some engines ignore fencing numbers, so the agent refuses in their
/// place what a replaced planner still sends. Pure; not thread-safe.
#pragma once

#include <compare>
#include <cstdint>

namespace wigeonsill {

/// Place of an order among all orders to a target.
struct OrderNumber
{
    std::uint64_t fencing = 0; ///< Of the planner's lease; the store hands out each one once.
    std::uint64_t sequence = 0; ///< Counts the planner's orders from 1.
    auto operator<=>(const OrderNumber &) const = default;
};

/// What becomes of an order.
enum class OrderVerdict : std::uint8_t {
    Pass, ///< It may go to the target.
    NotReady, ///< The store's highest fencing number is not known yet; try again later.
    Fenced, ///< A planner with a higher number exists; the sender must stop.
    Repeated, ///< It, or a later one of the same planner, has passed already.
};

/// Lets each order pass at most once, in ascending order, and none below the highest number known.
class OrderFence
{
public:
    /// The highest fencing number that the store has handed out. A lower one changes nothing.
    void learn(std::uint64_t fencing);
    /// Decides on an order; one that passes counts as sent.
    OrderVerdict admit(const OrderNumber &order);
    /// Whether learn() was called: without it a restarted agent would trust any planner.
    bool isReady() const { return this->ready; }
    std::uint64_t highest() const { return this->last.fencing; }

private:
    bool ready = false;
    OrderNumber last; ///< Highest number known, and the last sequence that passed under it.
};

} // namespace wigeonsill
