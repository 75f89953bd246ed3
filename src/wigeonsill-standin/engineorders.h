/// \file engineorders.h
/// Orders to the stand-in engine: load a model, an adapter or a model version, or change its role.
#pragma once

#include "wigeonsill/util.h"

namespace wigeonsill {

enum class OrderKind : std::uint8_t { LoadModel, LoadAdapter, LoadVersion, ChangeRole };
inline constexpr std::array orderKindNames = {
    EnumName<OrderKind>{ OrderKind::LoadModel, "load-model" },
    EnumName<OrderKind>{ OrderKind::LoadAdapter, "load-adapter" },
    EnumName<OrderKind>{ OrderKind::LoadVersion, "load-version" },
    EnumName<OrderKind>{ OrderKind::ChangeRole, "change-role" },
};

struct EngineOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string name;
    std::uint64_t fence = 0; ///< Fencing number of the sender.
};

/// Parses an order. Errors: MalformedRequest.
Result<EngineOrder> parseOrder(std::string_view body);

/// The applied orders. Not thread-safe.
class EngineOrders
{
public:
    /// Applies an order. Returns false if fencing is checked and the order's fencing number is
    /// below the highest one applied so far.
    bool tryApply(const EngineOrder &order, bool checkFencing);
    boost::json::object toJson() const;

private:
    std::vector<EngineOrder> applied;
    std::uint64_t highestFence = 0;
    std::uint64_t refused = 0;
};

} // namespace wigeonsill
