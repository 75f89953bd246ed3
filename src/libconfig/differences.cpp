/// \file differences.cpp
/// Differences between two configurations and their three-way merge.
#include "configurationreader.h"

namespace wigeonsill {

namespace json = boost::json;

namespace {

using FlatObject = std::map<std::string, std::string>;

/// Maps the dotted path of every leaf of a JSON value to the JSON text of that leaf.
void flatten(const json::value &value, const std::string &path, FlatObject &result)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        result[path] = json::serialize(value);
        return;
    }
    for (const auto &member : *object) {
        std::string inner = path;
        if (!path.empty()) {
            inner += '.';
        }
        inner.append(member.key().data(), member.key().size());
        flatten(member.value(), inner, result);
    }
}

json::object organisationToJson(const Organisation &organisation)
{
    json::object object = organisationFieldsToJson(organisation);
    object["services"] = servicesToJson(*organisation.services);
    return object;
}

/// JSON forms of the pools or of the organisations, by name.
using NamedObjects = std::map<std::string, json::object>;

NamedObjects poolObjects(const Configuration &configuration)
{
    NamedObjects result;
    for (const auto &member : poolsToJson(configuration.pools())) {
        result[std::string(member.key().data(), member.key().size())] = member.value().as_object();
    }
    return result;
}

/// Returns the organisations whose bundle differs from that of the other configuration. Equal
/// bundles hold equal organisations, so these need no comparison.
NamedObjects changedOrganisations(const Configuration &own, const Configuration &other)
{
    const auto &ownBundles = own.snapshot().bundles;
    const auto &otherBundles = other.snapshot().bundles;
    NamedObjects result;
    own.forEachOrganisation([&](const Organisation &organisation) {
        const std::size_t bundle = bundleIndex(organisation.name);
        const auto found = otherBundles.find(bundle);
        if (found == otherBundles.end() || found->second != ownBundles.at(bundle)) {
            result[organisation.name] = organisationToJson(organisation);
        }
    });
    return result;
}

/// Appends the differences between objects of one kind.
void appendDifferences(const std::string &kind, const NamedObjects &before,
    const NamedObjects &after, std::vector<ConfigurationDifference> &result)
{
    std::map<std::string, std::pair<FlatObject, FlatObject>> sides;
    for (const auto &[name, object] : before) {
        flatten(object, {}, sides[name].first);
    }
    for (const auto &[name, object] : after) {
        flatten(object, {}, sides[name].second);
    }
    for (auto &[name, pair] : sides) {
        auto &[oldValues, newValues] = pair;
        for (const auto &[parameter, value] : oldValues) {
            const auto found = newValues.find(parameter);
            const std::string newValue = found == newValues.end() ? std::string() : found->second;
            if (newValue != value) {
                result.push_back({ kind, name, parameter, value, newValue });
            }
        }
        for (const auto &[parameter, value] : newValues) {
            if (!oldValues.contains(parameter)) {
                result.push_back({ kind, name, parameter, {}, value });
            }
        }
    }
}

/// Three-way merge of two maps. On a conflict the value of "mine" is used and the kind and name are
/// appended to the conflicts. \param equal Compares two values.
template <class Map, class Equal>
Map mergeMaps(const Map &base, const Map &theirs, const Map &mine, const Equal &equal,
    const std::string &kind, std::vector<std::string> &conflicts)
{
    const auto find = [](const Map &map, const std::string &name) {
        const auto found = map.find(name);
        return found == map.end() ? nullptr : &found->second;
    };
    const auto same = [&equal](const auto *left, const auto *right) {
        const bool bothPresent = left != nullptr && right != nullptr;
        return bothPresent ? equal(*left, *right) : left == right;
    };
    std::map<std::string, bool> names;
    for (const Map *side : { &base, &theirs, &mine }) {
        for (const auto &item : *side) {
            names[item.first] = true;
        }
    }
    Map result;
    for (const auto &[name, unused] : names) {
        const auto *baseValue = find(base, name);
        const auto *theirValue = find(theirs, name);
        const auto *myValue = find(mine, name);
        if (!same(baseValue, myValue) && !same(baseValue, theirValue)
            && !same(myValue, theirValue)) {
            std::string conflict = kind;
            conflict.append(" ").append(name);
            conflicts.push_back(std::move(conflict));
        }
        const auto *chosen = same(baseValue, myValue) ? theirValue : myValue;
        if (chosen != nullptr) {
            result.emplace(name, *chosen);
        }
    }
    return result;
}

} // namespace

std::vector<ConfigurationDifference> differences(
    const Configuration &before, const Configuration &after)
{
    std::vector<ConfigurationDifference> result;
    appendDifferences("pool", poolObjects(before), poolObjects(after), result);
    appendDifferences("organisation", changedOrganisations(before, after),
        changedOrganisations(after, before), result);
    return result;
}

std::string toString(const ConfigurationDifference &difference)
{
    const std::string before = difference.before.empty() ? "(absent)" : difference.before;
    const std::string after = difference.after.empty() ? "(absent)" : difference.after;
    return difference.kind + " " + difference.name + ": " + difference.parameter + ": " + before
        + " -> " + after;
}

MergedConfiguration mergeConfigurations(
    const Configuration &base, const Configuration &theirs, const Configuration &mine)
{
    MergedConfiguration merged;
    const auto samePool = [](const PoolDefinition &left, const PoolDefinition &right) {
        return poolsToJson({ { left.name, left } }) == poolsToJson({ { right.name, right } });
    };
    const auto sameOrganisation = [](const Organisation &left, const Organisation &right) {
        return organisationToJson(left) == organisationToJson(right);
    };
    PoolMap pools
        = mergeMaps(base.pools(), theirs.pools(), mine.pools(), samePool, "pool", merged.conflicts);
    OrganisationMap organisations = mergeMaps(base.organisations(), theirs.organisations(),
        mine.organisations(), sameOrganisation, "organisation", merged.conflicts);
    merged.configuration = Configuration(std::move(pools), std::move(organisations));
    return merged;
}

} // namespace wigeonsill
