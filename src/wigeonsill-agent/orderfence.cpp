/// \file orderfence.cpp
/// Gate that checks the fencing numbers of orders to a target.
#include "orderfence.h"

namespace wigeonsill {

void OrderFence::learn(std::uint64_t fencingNumber)
{
    this->ready = true;
    if (fencingNumber > this->threshold.fencingNumber) {
        this->threshold = { fencingNumber, 0 };
    }
}

OrderVerdict OrderFence::admit(const OrderNumber &order)
{
    if (!this->ready) {
        return OrderVerdict::NotReady;
    }
    if (order.fencingNumber < this->threshold.fencingNumber) {
        return OrderVerdict::Fenced;
    }
    if (order <= this->threshold) {
        return OrderVerdict::Repeated;
    }
    this->threshold = order;
    return OrderVerdict::Admit;
}

} // namespace wigeonsill
