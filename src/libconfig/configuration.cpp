/// \file configuration.cpp
/// The configuration in force: look-ups, and the form kept in the store.
#include "configurationreader.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

const Organisation *Configuration::findByName(std::string_view name) const
{
    const auto found = this->organisations.find(name);
    return found == this->organisations.end() ? nullptr : &found->second;
}

const Organisation *Configuration::findByToken(std::string_view token) const
{
    const auto found = this->organisationOfToken.find(token);
    return found == this->organisationOfToken.end() ? nullptr : this->findByName(found->second);
}

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

json::value organisationToJson(const Organisation &organisation)
{
    json::object object;
    object["template"] = organisation.templateName;
    object["tokens"] = json::value_from(organisation.tokens);
    object["weight"] = static_cast<std::int64_t>(organisation.weight);
    object["quotaTokensPerSecond"] = organisation.quotaTokensPerSecond;
    object["preemption"] = enumName(preemptionNames, organisation.preemption);
    object["weighting"] = enumName(weightingNames, organisation.weighting);
    json::object services;
    for (const auto &[name, service] : organisation.services) {
        services[name] = serviceToJson(service);
    }
    object["services"] = std::move(services);
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

void readOrganisationBody(Organisation &organisation, SettingsReader &reader)
{
    organisation.weight = static_cast<std::uint32_t>(reader.number("weight", 1, maximumWeight, 1));
    organisation.quotaTokensPerSecond
        = reader.real("quotaTokensPerSecond", 0, maximumTokensPerSecond, 0);
    organisation.preemption
        = reader.choice<Preemption>("preemption", preemptionNames, Preemption::Never);
    organisation.weighting
        = reader.choice<Weighting>("weighting", weightingNames, Weighting::Goodput);
    SettingsReader services = reader.object("services", true);
    for (auto &[name, serviceReader] : services.members()) {
        organisation.services.emplace(name, readService(name, serviceReader));
    }
}

void readPools(Configuration &configuration, SettingsReader reader)
{
    for (auto &[name, poolReader] : reader.members()) {
        PoolDefinition pool;
        pool.name = name;
        pool.kind = poolReader.choice<PoolKind>("kind", poolKindNames);
        pool.model = poolReader.text("model", std::string());
        pool.capacityTokensPerSecond
            = poolReader.real("capacityTokensPerSecond", 0, maximumTokensPerSecond, 0);
        poolReader.finish();
        configuration.pools.emplace(name, std::move(pool));
    }
}

void indexTokens(Configuration &configuration)
{
    for (const auto &[name, organisation] : configuration.organisations) {
        for (const std::string &token : organisation.tokens) {
            configuration.organisationOfToken.emplace(token, name);
        }
    }
}

std::string serializeConfiguration(const Configuration &configuration)
{
    json::object pools;
    for (const auto &[name, pool] : configuration.pools) {
        pools[name] = poolToJson(pool);
    }
    json::object organisations;
    for (const auto &[name, organisation] : configuration.organisations) {
        organisations[name] = organisationToJson(organisation);
    }
    json::object root;
    root["revision"] = configuration.revision;
    root["pools"] = std::move(pools);
    root["organisations"] = std::move(organisations);
    return json::serialize(root);
}

Result<Configuration> parseConfiguration(std::string_view text)
{
    BOOST_OUTCOME_TRY(JsonDocument document, JsonDocument::parse(text, "stored configuration"));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, problems);
    Configuration configuration;
    configuration.revision = static_cast<std::uint64_t>(
        reader.number("revision", 0, std::numeric_limits<std::int64_t>::max()));
    readPools(configuration, reader.object("pools", true));
    SettingsReader organisations = reader.object("organisations", true);
    for (auto &[name, organisationReader] : organisations.members()) {
        Organisation organisation;
        organisation.name = name;
        organisation.templateName = organisationReader.text("template");
        organisation.tokens = organisationReader.textList("tokens");
        readOrganisationBody(organisation, organisationReader);
        organisationReader.finish();
        configuration.organisations.emplace(name, std::move(organisation));
    }
    reader.finish();
    if (!problems.empty()) {
        return Error{ ResultCode::MessageMalformed, toString(problems.front()) };
    }
    indexTokens(configuration);
    return configuration;
}

} // namespace wigeonsill
