/// \file bundles.cpp
/// Configurations made of immutable parts: bundles of organisations and the pools.
#include "configurationreader.h"

#include <algorithm>
#include <set>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::uint64_t bundleSeed = 0xB0;
constexpr std::uint64_t partSeedHigh = 1;
constexpr std::uint64_t partSeedLow = 2;

std::string partOfPools(const PoolMap &pools)
{
    return json::serialize(poolsToJson(pools));
}

/// Equal service maps are written once.
std::string partOfBundle(const OrganisationBundle &bundle)
{
    json::object services;
    json::object organisations;
    for (const auto &[name, organisation] : bundle.organisations) {
        json::object shape = servicesToJson(*organisation.services);
        const std::string shapeId = partId(json::serialize(shape));
        services.emplace(shapeId, std::move(shape));
        json::object row = organisationScalarsToJson(organisation);
        row["services"] = shapeId;
        organisations[name] = std::move(row);
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
    readOrganisationScalars(organisation, reader);
    const auto shape = services.find(reader.text("services"));
    if (shape == services.end()) {
        reader.report("services", ResultCode::MessageMalformed, "expected a known name");
    } else {
        organisation.services = shape->second;
    }
    reader.finish();
    return organisation;
}

Result<OrganisationBundle> parseBundle(std::string_view text, SharedServices &shared)
{
    BOOST_OUTCOME_TRY(JsonDocument document, JsonDocument::parse(text, "stored bundle"));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, problems);
    for (auto &[id, shape] : reader.object("services", true).members()) {
        if (!shared.contains(id)) {
            shared[id] = readServices(shape);
        }
    }
    OrganisationBundle bundle;
    SettingsReader organisations = reader.object("organisations", true);
    for (auto &[name, row] : organisations.members()) {
        bundle.organisations.emplace(name, readStoredOrganisation(name, row, shared));
    }
    reader.finish();
    if (!problems.empty()) {
        return Error{ ResultCode::MessageMalformed, toString(problems.front()) };
    }
    return bundle;
}

Result<std::shared_ptr<const std::string>> findPart(
    const PartTexts &parts, const std::string &id, const Configuration *earlier)
{
    auto found = parts.find(id);
    if (found == parts.end() && earlier != nullptr) {
        found = earlier->partTexts().find(id);
        if (found != earlier->partTexts().end()) {
            return found->second;
        }
    }
    if (found == parts.end() || found->second == nullptr) {
        return Error{ ResultCode::MessageMalformed, "part " + id + " is missing" };
    }
    if (partId(*found->second) != id) {
        return Error{ ResultCode::MessageMalformed, "part " + id + " has another content" };
    }
    return found->second;
}

} // namespace

std::size_t bundleOf(std::string_view organisation)
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

std::vector<std::string> partsOf(const Snapshot &snapshot)
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
    const auto keep = [this](std::string text) {
        std::string id = partId(text);
        this->texts[id] = std::make_shared<const std::string>(std::move(text));
        return id;
    };
    std::map<std::size_t, OrganisationBundle> grouped;
    while (!organisations.empty()) {
        auto node = organisations.extract(organisations.begin());
        grouped[bundleOf(node.key())].organisations.insert(std::move(node));
    }
    this->parts.pools = keep(partOfPools(this->poolMap));
    for (auto &[bundle, content] : grouped) {
        this->parts.bundles[bundle] = keep(partOfBundle(content));
        this->bundles[bundle] = std::make_shared<const OrganisationBundle>(std::move(content));
    }
    this->index();
}

Result<Configuration> Configuration::assemble(std::uint64_t revision, const Snapshot &snapshot,
    const PartTexts &parts, const Configuration *earlier)
{
    Configuration result;
    result.revision = revision;
    result.parts = snapshot;
    SharedServices shared = earlier == nullptr ? SharedServices{} : earlier->serviceMaps;
    BOOST_OUTCOME_TRY(const auto poolText, findPart(parts, snapshot.pools, earlier));
    result.texts[snapshot.pools] = poolText;
    BOOST_OUTCOME_TRY(result.poolMap, parsePools(*poolText));
    for (const auto &[bundle, id] : snapshot.bundles) {
        BOOST_OUTCOME_TRY(const auto text, findPart(parts, id, earlier));
        result.texts[id] = text;
        const bool unchanged = earlier != nullptr && earlier->parts.bundles.contains(bundle)
            && earlier->parts.bundles.at(bundle) == id;
        if (unchanged) {
            result.bundles[bundle] = earlier->bundles.at(bundle);
            continue;
        }
        BOOST_OUTCOME_TRY(OrganisationBundle content, parseBundle(*text, shared));
        result.bundles[bundle] = std::make_shared<const OrganisationBundle>(std::move(content));
    }
    result.serviceMaps = std::move(shared);
    result.index();
    result.dropUnusedServices();
    return result;
}

void Configuration::index()
{
    this->forEachOrganisation([this](const Organisation &organisation) {
        ++this->organisationTotal;
        for (const std::string &token : organisation.tokens) {
            this->tokens.push_back({ stableHash(token), &organisation });
        }
    });
    std::sort(this->tokens.begin(), this->tokens.end(),
        [](const TokenEntry &left, const TokenEntry &right) { return left.hash < right.hash; });
}

void Configuration::dropUnusedServices()
{
    std::set<const ServiceMap *> used;
    this->forEachOrganisation(
        [&used](const Organisation &organisation) { used.insert(organisation.services.get()); });
    std::erase_if(this->serviceMaps,
        [&used](const auto &entry) { return !used.contains(entry.second.get()); });
}

const Organisation *Configuration::findByName(std::string_view name) const
{
    const auto bundle = this->bundles.find(bundleOf(name));
    if (bundle == this->bundles.end()) {
        return nullptr;
    }
    const auto found = bundle->second->organisations.find(name);
    return found == bundle->second->organisations.end() ? nullptr : &found->second;
}

const Organisation *Configuration::findByToken(std::string_view token) const
{
    const std::uint64_t hash = stableHash(token);
    auto entry = std::lower_bound(this->tokens.begin(), this->tokens.end(), hash,
        [](const TokenEntry &left, std::uint64_t wanted) { return left.hash < wanted; });
    for (; entry != this->tokens.end() && entry->hash == hash; ++entry) {
        const std::vector<std::string> &own = entry->organisation->tokens;
        if (std::find(own.begin(), own.end(), token) != own.end()) {
            return entry->organisation;
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
