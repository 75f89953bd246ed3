/// \file orderfence.h
/// Gate that checks the fencing numbers of orders to a target. Some engines ignore fencing numbers,
/// so the agent rejects the orders that a replaced planner still sends. No I/O; not thread-safe.
#pragma once

#include <compare>
#include <cstdint>

namespace wigeonsill {

/// Position of an order among all orders to a target.
struct OrderNumber
{
    std::uint64_t fencingNumber = 0; ///< Of the planner's lease; the store issues each number once.
    std::uint64_t sequence = 0; ///< Counts the planner's orders from 1.
    auto operator<=>(const OrderNumber &) const = default;
};

/// Result of OrderFence::admit().
enum class OrderVerdict : std::uint8_t {
    Admit, ///< The order may be sent to the target.
    NotReady, ///< The store's highest fencing number is not known yet; try again later.
    Fenced, ///< A higher fencing number is known; the sending planner was replaced and must stop.
    Repeated, ///< This order, or a later one of the same planner, was already admitted.
};

/// Admits each order at most once, in ascending order, and none below the highest known fencing
/// number.
class OrderFence
{
public:
    /// Records the highest fencing number that the store has issued. A lower number than the one
    /// already known changes nothing.
    void learn(std::uint64_t fencingNumber);
    /// Checks an order. An admitted order counts as sent.
    OrderVerdict admit(const OrderNumber &order);
    /// Whether learn() was called. Before that, a restarted agent cannot tell a replaced planner
    /// from the current one.
    bool isReady() const { return this->ready; }
    std::uint64_t highestFencingNumber() const { return this->threshold.fencingNumber; }

private:
    bool ready = false;
    OrderNumber threshold; ///< Highest known fencing number and the last sequence admitted with it.
};

} // namespace wigeonsill
