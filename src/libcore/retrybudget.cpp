/// \file retrybudget.cpp
/// Limit of retries by organisation and pool.
#include "retrybudget.h"

#include <algorithm>

namespace wigeonsill {

double &RetryBudget::tokensOf(const std::string &organisation, const std::string &pool)
{
    return this->tokens.try_emplace(organisation + "/" + pool, maximumTokens).first->second;
}

void RetryBudget::recordArrival(const std::string &organisation, const std::string &pool)
{
    double &available = this->tokensOf(organisation, pool);
    available = std::min(maximumTokens, available + tokensPerArrival);
}

bool RetryBudget::take(const std::string &organisation, const std::string &pool)
{
    double &available = this->tokensOf(organisation, pool);
    if (available < 1) {
        return false;
    }
    available -= 1;
    return true;
}

} // namespace wigeonsill
