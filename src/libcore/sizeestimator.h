/// \file sizeestimator.h
/// Estimates how many tokens an answer will have.
#pragma once

#include "wigeonsill/core.h"

#include <list>
#include <unordered_map>

namespace wigeonsill {

/// Learns the size of answers from those of each organisation's service so far. Sizes differ a
/// hundredfold, so the mean of their logarithms is kept, which one long answer moves little, and
/// their spread. A service with few answers leans on what all services answer. Memory is bounded:
/// the service that was quiet for longest is forgotten first. Not thread-safe.
class SizeEstimator
{
public:
    /// \param maximumServices Services that are remembered.
    explicit SizeEstimator(std::size_t maximumServices);

    /// Estimate for a new request. \param limit Most tokens that it may answer; at least 1 is
    /// given.
    std::uint32_t estimate(
        const std::string &organisation, const std::string &service, std::uint32_t limit) const;
    /// An answer ended whole. \param tokens As the target counted; 0 is ignored.
    void learn(const std::string &organisation, const std::string &service, std::uint32_t tokens);

    std::size_t size() const { return this->byKey.size(); }

private:
    /// Logarithms of sizes, older ones fading.
    struct Statistics
    {
        double count = 0; ///< Answers, faded.
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
    std::list<Service> services; ///< The last one that answered first.
    std::unordered_map<std::uint64_t, std::list<Service>::iterator> byKey;
    Statistics overall;
};

} // namespace wigeonsill
