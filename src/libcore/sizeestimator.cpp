/// \file sizeestimator.cpp
/// Estimates how many tokens an answer will have.
#include "sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

constexpr double longestMemory = 64; ///< Answers that a service's statistics reach back over.
constexpr double priorAnswers = 4; ///< Weight of what all services answer.
constexpr double priorLogarithm = 5.0; ///< Of the tokens of an answer, before any is known.
constexpr double largestVariance = 2.0; ///< Beyond it the mean would follow the longest answers.

} // namespace

void SizeEstimator::Statistics::add(double value)
{
    this->count = std::min(this->count + 1, longestMemory);
    const double share = 1 / this->count;
    const double difference = value - this->mean;
    this->mean += share * difference;
    this->variance = (1 - share) * (this->variance + share * difference * difference);
}

SizeEstimator::SizeEstimator(std::size_t servicesKept)
    : maximumServices(servicesKept)
{
}

std::uint64_t SizeEstimator::keyOf(const std::string &organisation, const std::string &service)
{
    return stableHash(service, stableHash(organisation));
}

std::uint32_t SizeEstimator::estimate(
    const std::string &organisation, const std::string &service, std::uint32_t limit) const
{
    const double prior = this->overall.count > 0 ? this->overall.mean : priorLogarithm;
    Statistics own;
    const auto found = this->byKey.find(keyOf(organisation, service));
    if (found != this->byKey.end()) {
        own = found->second->statistics;
    }
    const double mean = (own.mean * own.count + prior * priorAnswers) / (own.count + priorAnswers);
    // Half the variance turns the mean of logarithms into the mean of sizes.
    const double tokens = std::exp(mean + std::min(own.variance, largestVariance) / 2);
    const double most = std::max<double>(1, limit);
    return static_cast<std::uint32_t>(std::clamp(std::round(tokens), 1.0, most));
}

void SizeEstimator::learn(
    const std::string &organisation, const std::string &service, std::uint32_t tokens)
{
    if (tokens == 0) {
        return;
    }
    const double logarithm = std::log(double(tokens));
    this->overall.add(logarithm);
    const std::uint64_t key = keyOf(organisation, service);
    const auto found = this->byKey.find(key);
    if (found != this->byKey.end()) {
        this->services.splice(this->services.begin(), this->services, found->second);
    } else {
        this->services.push_front({ key, {} });
        this->byKey[key] = this->services.begin();
    }
    this->services.front().statistics.add(logarithm);
    if (this->services.size() > this->maximumServices) {
        this->byKey.erase(this->services.back().key);
        this->services.pop_back();
    }
}

} // namespace wigeonsill
