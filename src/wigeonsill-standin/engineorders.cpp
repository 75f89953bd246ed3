/// \file engineorders.cpp
/// Parsing of orders and the check of their fencing numbers.
#include "engineorders.h"

namespace wigeonsill {

namespace json = boost::json;

Result<EngineOrder> parseOrder(std::string_view body)
{
    json::error_code error;
    const json::value value = json::parse({ body.data(), body.size() }, error);
    if (error || !value.is_object()) {
        return Error{ ResultCode::MalformedRequest, "an order is a JSON object" };
    }
    const json::object &object = value.get_object();
    const json::value *kind = object.if_contains("kind");
    const json::value *name = object.if_contains("name");
    const json::value *fence = object.if_contains("fence");
    const auto parsedKind = kind != nullptr && kind->is_string()
        ? enumFromName(orderKindNames, std::string_view(kind->get_string()))
        : std::nullopt;
    const bool hasName = name != nullptr && name->is_string();
    const bool hasFence = fence != nullptr && fence->is_int64() && fence->get_int64() >= 0;
    if (!parsedKind || !hasName || !hasFence) {
        return Error{ ResultCode::MalformedRequest, "an order needs kind, name and fence" };
    }
    return EngineOrder{ *parsedKind, std::string(name->get_string()),
        std::uint64_t(fence->get_int64()) };
}

bool EngineOrders::tryApply(const EngineOrder &order, bool checkFencing)
{
    if (checkFencing && order.fence < this->highestFence) {
        ++this->refused;
        return false;
    }
    this->highestFence = std::max(this->highestFence, order.fence);
    this->applied.push_back(order);
    return true;
}

json::object EngineOrders::toJson() const
{
    json::array orders;
    for (const EngineOrder &order : this->applied) {
        orders.push_back({ { "kind", enumName(orderKindNames, order.kind) }, { "name", order.name },
            { "fence", order.fence } });
    }
    return { { "orders", orders }, { "highestFence", this->highestFence },
        { "refused", this->refused } };
}

} // namespace wigeonsill
