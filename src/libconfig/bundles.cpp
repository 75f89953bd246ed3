/// \file bundles.cpp
/// Content-addressed parts of a configuration: the pools and the bundles of organisations.
#include "configurationreader.h"

#include <algorithm>
#include <set>

namespace wigeonsill {

namespace json = boost::json;

namespace {

// The seeds belong to the stored format: another seed gives other bundle indexes or part IDs.
constexpr std::uint64_t bundleSeed = 0xB0;
constexpr std::uint64_t partSeedHigh = 1;
constexpr std::uint64_t partSeedLow = 2;

std::string serializePools(const PoolMap &pools)
{
    return json::serialize(poolsToJson(pools));
}

/// Serializes a bundle. Organisations with equal services refer to one service map.
std::string serializeBundle(const OrganisationBundle &bundle)
{
    json::object services;
    json::object organisations;
    for (const auto &[name, organisation] : bundle.organisations) {
        json::object serviceMap = servicesToJson(*organisation.services);
        const std::string serviceMapId = partId(json::serialize(serviceMap));
        services.emplace(serviceMapId, std::move(serviceMap));
        json::object item = organisationFieldsToJson(organisation);
        item["services"] = serviceMapId;
        organisations[name] = std::move(item);
    }
    json::object root;
    root["services"] = std::move(services);
    root["organisations"] = std::move(organisations);
    return json::serialize(root);
}

using SharedServices = std::map<std::string, std::shared_ptr<const ServiceMap>>;

Result<PoolMap> parsePools(std::string_view text)
{
    BOOST_OUTCOME_TRY(JsonDocument document, JsonDocument::parse(text, "stored pools"));
    std::vector<SettingsProblem> problems;
    PoolMap pools;
    readPools(pools, SettingsReader(document, problems));
    if (!problems.empty()) {
        return Error{ ResultCode::MessageMalformed, toString(problems.front()) };
    }
    return pools;
}

Organisation readStoredOrganisation(
    const std::string &name, SettingsReader &reader, const SharedServices &services)
{
    Organisation organisation;
    organisation.name = name;
    organisation.templateName = reader.text("template");
    organisation.tokens = reader.textList("tokens");
    readOrganisationFields(organisation, reader);
    const auto serviceMap = services.find(reader.text("services"));
    if (serviceMap == services.end()) {
        reader.report(
            "services", ResultCode::MessageMalformed, "expected the ID of a known service map");
    } else {
        organisation.services = serviceMap->second;
    }
    reader.finish();
    return organisation;
}

/// Adds the service maps of the bundle to the shared ones and reuses those already there.
Result<OrganisationBundle> parseBundle(std::string_view text, SharedServices &shared)
{
    BOOST_OUTCOME_TRY(JsonDocument document, JsonDocument::parse(text, "stored bundle"));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, problems);
    for (auto &[id, serviceMap] : reader.object("services", true).members()) {
        if (!shared.contains(id)) {
            shared[id] = readServices(serviceMap);
        }
    }
    OrganisationBundle bundle;
    SettingsReader organisations = reader.object("organisations", true);
    for (auto &[name, item] : organisations.members()) {
        bundle.organisations.emplace(name, readStoredOrganisation(name, item, shared));
    }
    reader.finish();
    if (!problems.empty()) {
        return Error{ ResultCode::MessageMalformed, toString(problems.front()) };
    }
    return bundle;
}

/// Looks a part up in the given parts, then in the previous configuration. Only given parts are
/// checked against their IDs; those of the previous configuration already were.
Result<std::shared_ptr<const std::string>> findPart(
    const PartTexts &parts, const std::string &id, const Configuration *previous)
{
    auto found = parts.find(id);
    if (found == parts.end() && previous != nullptr) {
        found = previous->partTexts().find(id);
        if (found != previous->partTexts().end()) {
            return found->second;
        }
    }
    if (found == parts.end() || found->second == nullptr) {
        return Error{ ResultCode::MessageMalformed, "part " + id + " is missing" };
    }
    if (partId(*found->second) != id) {
        return Error{ ResultCode::MessageMalformed,
            "part " + id + ": the content does not match the ID" };
    }
    return found->second;
}

} // namespace

std::size_t bundleIndex(std::string_view organisation)
{
    return stableHash(organisation, bundleSeed) % bundleCount;
}

std::string partId(std::string_view text)
{
    return toString(Incarnation{ stableHash(text, partSeedHigh), stableHash(text, partSeedLow) });
}

std::string partKey(const std::string &id)
{
    return "config/bundle/" + id;
}

std::vector<std::string> partIdsOf(const Snapshot &snapshot)
{
    std::vector<std::string> ids{ snapshot.pools };
    for (const auto &[index, id] : snapshot.bundles) {
        ids.push_back(id);
    }
    return ids;
}

Configuration::Configuration(PoolMap pools, OrganisationMap organisations)
    : poolMap(std::move(pools))
{
    const auto addPart = [this](std::string text) {
        std::string id = partId(text);
        this->texts[id] = std::make_shared<const std::string>(std::move(text));
        return id;
    };
    std::map<std::size_t, OrganisationBundle> organisationsByBundle;
    while (!organisations.empty()) {
        auto node = organisations.extract(organisations.begin());
        organisationsByBundle[bundleIndex(node.key())].organisations.insert(std::move(node));
    }
    this->partIds.pools = addPart(serializePools(this->poolMap));
    for (auto &[bundle, content] : organisationsByBundle) {
        this->partIds.bundles[bundle] = addPart(serializeBundle(content));
        this->bundles[bundle] = std::make_shared<const OrganisationBundle>(std::move(content));
    }
    this->buildIndex();
}

Result<Configuration> Configuration::assemble(std::uint64_t revision, const Snapshot &snapshot,
    const PartTexts &parts, const Configuration *previous)
{
    Configuration result;
    result.revision = revision;
    result.partIds = snapshot;
    SharedServices shared = previous == nullptr ? SharedServices{} : previous->serviceMaps;
    BOOST_OUTCOME_TRY(const auto poolText, findPart(parts, snapshot.pools, previous));
    result.texts[snapshot.pools] = poolText;
    BOOST_OUTCOME_TRY(result.poolMap, parsePools(*poolText));
    for (const auto &[bundle, id] : snapshot.bundles) {
        BOOST_OUTCOME_TRY(const auto text, findPart(parts, id, previous));
        result.texts[id] = text;
        const bool unchanged = previous != nullptr && previous->partIds.bundles.contains(bundle)
            && previous->partIds.bundles.at(bundle) == id;
        if (unchanged) {
            result.bundles[bundle] = previous->bundles.at(bundle);
            continue;
        }
        BOOST_OUTCOME_TRY(OrganisationBundle content, parseBundle(*text, shared));
        result.bundles[bundle] = std::make_shared<const OrganisationBundle>(std::move(content));
    }
    result.serviceMaps = std::move(shared);
    result.buildIndex();
    result.removeUnusedServiceMaps();
    return result;
}

void Configuration::buildIndex()
{
    this->forEachOrganisation([this](const Organisation &organisation) {
        ++this->organisationTotal;
        for (const std::string &token : organisation.tokens) {
            this->tokens.push_back({ stableHash(token), &organisation });
        }
    });
    std::sort(this->tokens.begin(), this->tokens.end(),
        [](const TokenRecord &left, const TokenRecord &right) { return left.hash < right.hash; });
}

void Configuration::removeUnusedServiceMaps()
{
    std::set<const ServiceMap *> used;
    this->forEachOrganisation(
        [&used](const Organisation &organisation) { used.insert(organisation.services.get()); });
    std::erase_if(this->serviceMaps,
        [&used](const auto &record) { return !used.contains(record.second.get()); });
}

const Organisation *Configuration::findByName(std::string_view name) const
{
    const auto bundle = this->bundles.find(bundleIndex(name));
    if (bundle == this->bundles.end()) {
        return nullptr;
    }
    const auto found = bundle->second->organisations.find(name);
    return found == bundle->second->organisations.end() ? nullptr : &found->second;
}

const Organisation *Configuration::findByToken(std::string_view token) const
{
    const std::uint64_t hash = stableHash(token);
    auto record = std::lower_bound(this->tokens.begin(), this->tokens.end(), hash,
        [](const TokenRecord &left, std::uint64_t wantedHash) { return left.hash < wantedHash; });
    for (; record != this->tokens.end() && record->hash == hash; ++record) {
        const std::vector<std::string> &ownerTokens = record->organisation->tokens;
        if (std::find(ownerTokens.begin(), ownerTokens.end(), token) != ownerTokens.end()) {
            return record->organisation;
        }
    }
    return nullptr;
}

void Configuration::forEachOrganisation(
    const std::function<void(const Organisation &)> &function) const
{
    for (const auto &[bundle, content] : this->bundles) {
        for (const auto &[name, organisation] : content->organisations) {
            function(organisation);
        }
    }
}

OrganisationMap Configuration::organisations() const
{
    OrganisationMap result;
    this->forEachOrganisation([&result](const Organisation &organisation) {
        result.emplace(organisation.name, organisation);
    });
    return result;
}

} // namespace wigeonsill
