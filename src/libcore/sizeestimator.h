/// \file sizeestimator.h
/// Estimates of the number of tokens in an answer.
#pragma once

#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// Estimates answer sizes from the earlier answers of each organisation's service. Sizes differ by
/// a factor of a hundred, so it keeps the mean and the variance of their logarithms, which a single
/// long answer changes little. The estimate of a service with few answers is weighted towards the
/// mean of all services. Memory is bounded: the service whose last answer is oldest is evicted
/// first. Not thread-safe.
class SizeEstimator
{
public:
    /// \param maximumServices Number of services to track.
    explicit SizeEstimator(std::size_t maximumServices);

    /// Returns the estimate for a new request, at least 1.
    /// \param limit Maximum number of output tokens of the request.
    std::uint32_t estimate(
        const std::string &organisation, const std::string &service, std::uint32_t limit) const;
    /// Adds a complete answer.
    /// \param tokens Output tokens as reported by the target; 0 is ignored.
    void learn(const std::string &organisation, const std::string &service, std::uint32_t tokens);

    std::size_t size() const { return this->byKey.size(); }

private:
    /// Mean and variance of the logarithms of sizes, with exponential decay of older ones.
    struct Statistics
    {
        double count = 0; ///< Answers, up to the length of the moving average.
        double mean = 0;
        double variance = 0;

        void add(double value);
    };
    struct Service
    {
        std::uint64_t key = 0;
        Statistics statistics;
    };

    static std::uint64_t keyOf(const std::string &organisation, const std::string &service);

    std::size_t maximumServices;
    std::list<Service> services; ///< Most recently answered first.
    std::unordered_map<std::uint64_t, std::list<Service>::iterator> byKey;
    Statistics overall;
};

} // namespace wigeonsill
