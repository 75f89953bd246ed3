/// \file configuration.cpp
/// Conversion of pools, services and organisations to and from JSON.
#include "configurationreader.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::int64_t maximumDeadlineMs = 3'600'000;
constexpr std::int64_t maximumOutputTokens = 1'000'000;
constexpr std::int64_t maximumWeight = 1000;
constexpr double maximumTokensPerSecond = 1e9;

json::value serviceToJson(const ServiceDefinition &service)
{
    json::object object;
    object["tier"] = enumName(tierNames, service.tier);
    object["pool"] = service.pool;
    object["nonIdempotent"] = service.nonIdempotent;
    object["deadlineMs"] = std::chrono::duration_cast<milliseconds>(service.deadline).count();
    object["maximumOutputTokens"] = static_cast<std::int64_t>(service.maximumOutputTokens);
    return object;
}

json::value poolToJson(const PoolDefinition &pool)
{
    json::object object;
    object["kind"] = enumName(poolKindNames, pool.kind);
    object["model"] = pool.model;
    object["capacityTokensPerSecond"] = pool.capacityTokensPerSecond;
    return object;
}

} // namespace

json::object poolsToJson(const PoolMap &pools)
{
    json::object object;
    for (const auto &[name, pool] : pools) {
        object[name] = poolToJson(pool);
    }
    return object;
}

json::object servicesToJson(const ServiceMap &services)
{
    json::object object;
    for (const auto &[name, service] : services) {
        object[name] = serviceToJson(service);
    }
    return object;
}

json::object organisationFieldsToJson(const Organisation &organisation)
{
    json::object object;
    object["template"] = organisation.templateName;
    object["tokens"] = json::value_from(organisation.tokens);
    object["weight"] = static_cast<std::int64_t>(organisation.weight);
    object["quotaTokensPerSecond"] = organisation.quotaTokensPerSecond;
    object["preemption"] = enumName(preemptionNames, organisation.preemption);
    object["weighting"] = enumName(weightingNames, organisation.weighting);
    return object;
}

ServiceDefinition readService(const std::string &name, SettingsReader &reader)
{
    ServiceDefinition service;
    service.name = name;
    service.tier = reader.choice<Tier>("tier", tierNames, std::nullopt, ResultCode::TierUnknown);
    service.pool = reader.text("pool");
    service.nonIdempotent = reader.flag("nonIdempotent", false);
    service.deadline = milliseconds(reader.number("deadlineMs", 1, maximumDeadlineMs, 30'000));
    service.maximumOutputTokens = static_cast<std::uint32_t>(
        reader.number("maximumOutputTokens", 1, maximumOutputTokens, 1024));
    reader.finish();
    return service;
}

void readOrganisationFields(Organisation &organisation, SettingsReader &reader)
{
    organisation.weight = static_cast<std::uint32_t>(reader.number("weight", 1, maximumWeight, 1));
    organisation.quotaTokensPerSecond
        = reader.real("quotaTokensPerSecond", 0, maximumTokensPerSecond, 0);
    organisation.preemption
        = reader.choice<Preemption>("preemption", preemptionNames, Preemption::Never);
    organisation.weighting
        = reader.choice<Weighting>("weighting", weightingNames, Weighting::Goodput);
}

std::shared_ptr<const ServiceMap> readServices(SettingsReader reader)
{
    ServiceMap services;
    for (auto &[name, serviceReader] : reader.members()) {
        services.emplace(name, readService(name, serviceReader));
    }
    return std::make_shared<const ServiceMap>(std::move(services));
}

void readOrganisationBody(Organisation &organisation, SettingsReader &reader)
{
    readOrganisationFields(organisation, reader);
    organisation.services = readServices(reader.object("services", true));
}

void readPools(PoolMap &pools, SettingsReader reader)
{
    for (auto &[name, poolReader] : reader.members()) {
        PoolDefinition pool;
        pool.name = name;
        pool.kind = poolReader.choice<PoolKind>("kind", poolKindNames);
        pool.model = poolReader.text("model", std::string());
        pool.capacityTokensPerSecond
            = poolReader.real("capacityTokensPerSecond", 0, maximumTokensPerSecond, 0);
        poolReader.finish();
        pools.emplace(name, std::move(pool));
    }
}

} // namespace wigeonsill
