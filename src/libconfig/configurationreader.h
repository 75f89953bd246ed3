/// \file configurationreader.h
/// Reading of the parts that declarations and the stored form have in common.
#pragma once

#include "wigeonsill/config.h"

namespace wigeonsill {

/// Reads one service and reports unknown keys.
ServiceDefinition readService(const std::string &name, SettingsReader &reader);
/// Reads what a template gives an organisation: weight, quota, preemption, weighting, services.
void readOrganisationBody(Organisation &organisation, SettingsReader &reader);
/// Reads the object that maps pool names to pools.
void readPools(PoolMap &pools, SettingsReader reader);
/// Reads what a bundle or a template says of an organisation, but for its services.
void readOrganisationScalars(Organisation &organisation, SettingsReader &reader);
/// Reads an object that maps service names to services.
std::shared_ptr<const ServiceMap> readServices(SettingsReader reader);

/// The stored forms.
boost::json::object poolsToJson(const PoolMap &pools);
boost::json::object servicesToJson(const ServiceMap &services);
/// Everything but the services.
boost::json::object organisationScalarsToJson(const Organisation &organisation);

} // namespace wigeonsill
