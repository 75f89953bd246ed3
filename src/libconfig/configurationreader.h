/// \file configurationreader.h
/// JSON conversion that is shared by declarations and stored parts.
#pragma once

#include "wigeonsill/config.h"

namespace wigeonsill {

/// Reads one service and reports unknown keys.
ServiceDefinition readService(const std::string &name, SettingsReader &reader);
/// Reads the fields that a template sets: weight, quota, preemption, weighting and services.
void readOrganisationBody(Organisation &organisation, SettingsReader &reader);
/// Reads the object that maps pool names to pools.
void readPools(PoolMap &pools, SettingsReader reader);
/// Reads the fields that a bundle and a template have in common, without the services.
void readOrganisationFields(Organisation &organisation, SettingsReader &reader);
/// Reads an object that maps service names to services.
std::shared_ptr<const ServiceMap> readServices(SettingsReader reader);

/// JSON form as it is stored.
boost::json::object poolsToJson(const PoolMap &pools);
/// JSON form as it is stored.
boost::json::object servicesToJson(const ServiceMap &services);
/// JSON form of every field except the name and the services.
boost::json::object organisationFieldsToJson(const Organisation &organisation);

} // namespace wigeonsill
