/// \file orderfence.cpp
/// Gate for orders to a target.
#include "orderfence.h"

namespace wigeonsill {

void OrderFence::learn(std::uint64_t fencing)
{
    this->ready = true;
    if (fencing > this->last.fencing) {
        this->last = { fencing, 0 };
    }
}

OrderVerdict OrderFence::admit(const OrderNumber &order)
{
    if (!this->ready) {
        return OrderVerdict::NotReady;
    }
    if (order.fencing < this->last.fencing) {
        return OrderVerdict::Fenced;
    }
    if (order <= this->last) {
        return OrderVerdict::Repeated;
    }
    this->last = order;
    return OrderVerdict::Pass;
}

} // namespace wigeonsill
