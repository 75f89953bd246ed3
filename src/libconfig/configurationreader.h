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
void readPools(Configuration &configuration, SettingsReader reader);
/// Fills the index from bearer token to organisation.
void indexTokens(Configuration &configuration);

} // namespace wigeonsill
