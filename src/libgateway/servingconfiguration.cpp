/// \file servingconfiguration.cpp
/// Routes, services and organisations of one revision of the configuration, and the requests'
/// costs.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (char &letter : result) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return result;
}

} // namespace

const Route *ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    for (const Route &route : found->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

const OrganisationAccount *ServingConfiguration::findOrganisation(std::string_view key) const
{
    const auto found = this->accountIndexByKey.find(key);
    return found == this->accountIndexByKey.end() ? nullptr
                                                  : &this->organisationAccounts[found->second];
}

const ServiceProfile *ServingConfiguration::findService(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

std::size_t ServingConfiguration::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, routes] : this->routesByHost) {
        count += routes.size();
    }
    return count;
}

ServingConfiguration::Builder &ServingConfiguration::Builder::version(std::uint64_t value)
{
    this->result->revision = value;
    return *this;
}

ServingConfiguration::Builder &ServingConfiguration::Builder::limits(const CallerLimits &value)
{
    this->result->callerLimits = value;
    return *this;
}

ServingConfiguration::Builder &ServingConfiguration::Builder::addRoute(Route route)
{
    if (route.services.empty()) {
        this->lastProblem = "route " + route.name + " has no service";
        return *this;
    }
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
        this->lastProblem
            = "prefix of route " + route.name + " does not begin and end with a slash";
        return *this;
    }
    this->result->routesByHost[lowerCase(route.host)].push_back(std::move(route));
    return *this;
}

ServingConfiguration::Builder &ServingConfiguration::Builder::addService(ServiceProfile service)
{
    std::string name = service.name;
    this->result->services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

ServingConfiguration::Builder &ServingConfiguration::Builder::addOrganisation(
    OrganisationAccount organisation)
{
    const std::size_t index = this->result->organisationAccounts.size();
    for (const std::string &key : organisation.keys) {
        this->result->accountIndexByKey.insert_or_assign(key, index);
    }
    this->result->organisationAccounts.push_back(std::move(organisation));
    return *this;
}

Result<std::shared_ptr<const ServingConfiguration>> ServingConfiguration::Builder::build()
{
    if (!this->lastProblem.empty()) {
        return Error{ ResultCode::SettingsOutOfRange, this->lastProblem };
    }
    for (auto &[host, routes] : this->result->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route &left, const Route &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    return std::shared_ptr<const ServingConfiguration>(std::move(this->result));
}

const std::string &selectService(const Route &route, double uniformRandom)
{
    double total = 0;
    for (const WeightedService &choice : route.services) {
        total += std::max(choice.weight, 0.0);
    }
    double left = uniformRandom * total;
    for (const WeightedService &choice : route.services) {
        left -= std::max(choice.weight, 0.0);
        if (left < 0) {
            return choice.service;
        }
    }
    return route.services.front().service;
}

std::uint32_t RequestMetadata::estimatedOutputTokens() const
{
    if (this->callerOutputEstimate) {
        return std::min(*this->callerOutputEstimate, std::max(this->outputTokens, 1U));
    }
    return this->outputTokens;
}

Duration estimateTimeAlreadySpent(Duration longestDeadline, Duration statedDeadline)
{
    // Deadlines of first attempts vary by 15%. A refused caller is told a retry delay of up to a
    // third of its remaining time.
    constexpr double minimumFirstAttemptShare = 0.82;
    constexpr double meanFirstAttemptShare = 0.93;
    if (statedDeadline >= longestDeadline * minimumFirstAttemptShare) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(longestDeadline * meanFirstAttemptShare)
        - statedDeadline;
}

double quotaCost(const OrganisationAccount &organisation, const RequestMetadata &request)
{
    if (!organisation.countsTokens) {
        return 1;
    }
    if (!request.hasTokenCounts()) {
        return organisation.defaultTokenCost;
    }
    return static_cast<double>(request.promptTokens) + request.outputTokens;
}

} // namespace wigeonsill
