/// \file sizeestimator.cpp
/// Estimates of the number of tokens in an answer.
#include "sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace wigeonsill {

namespace {

constexpr double maximumSampleCount = 64; ///< Length of the moving average, in answers.
constexpr double priorWeight = 4; ///< Weight of the mean of all services, in answers.
constexpr double priorLogarithm = 5.0; ///< Assumed log(tokens) before the first answer.
constexpr double maximumVariance = 2.0; ///< Beyond it the longest answers would dominate the mean.

} // namespace

void SizeEstimator::Statistics::add(double value)
{
    this->count = std::min(this->count + 1, maximumSampleCount);
    const double sampleWeight = 1 / this->count;
    const double difference = value - this->mean;
    this->mean += sampleWeight * difference;
    this->variance = (1 - sampleWeight) * (this->variance + sampleWeight * difference * difference);
}

SizeEstimator::SizeEstimator(std::size_t serviceLimit)
    : maximumServices(serviceLimit)
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
    Statistics serviceStatistics;
    const auto found = this->byKey.find(keyOf(organisation, service));
    if (found != this->byKey.end()) {
        serviceStatistics = found->second->statistics;
    }
    const double mean = (serviceStatistics.mean * serviceStatistics.count + prior * priorWeight)
        / (serviceStatistics.count + priorWeight);
    // The mean of a log-normal distribution is exp(mean + variance / 2).
    const double tokens
        = std::exp(mean + std::min(serviceStatistics.variance, maximumVariance) / 2);
    const double maximum = std::max<double>(1, limit);
    return static_cast<std::uint32_t>(std::clamp(std::round(tokens), 1.0, maximum));
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
