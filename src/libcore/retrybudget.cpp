/// \file retrybudget.cpp
/// How many requests of an organisation may be dispatched again in a pool.
#include "retrybudget.h"

#include <algorithm>

namespace wigeonsill {

double &RetryBudget::tokensOf(const std::string &organisation, const std::string &pool)
{
    return this->tokens.try_emplace(organisation + "/" + pool, maximumTokens).first->second;
}

void RetryBudget::earn(const std::string &organisation, const std::string &pool)
{
    double &present = this->tokensOf(organisation, pool);
    present = std::min(maximumTokens, present + tokensPerArrival);
}

bool RetryBudget::take(const std::string &organisation, const std::string &pool)
{
    double &present = this->tokensOf(organisation, pool);
    if (present < 1) {
        return false;
    }
    present -= 1;
    return true;
}

} // namespace wigeonsill
