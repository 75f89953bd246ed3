/// \file rolloutcodec.h
/// Encoding and decoding of the messages about rollouts with Cap'n Proto.
#pragma once

#include "grant.capnp.h"
#include "rolloutmessage.h"

namespace wigeonsill {

void encodeRollout(const RolloutReportPart &part, schema::Rollout::Builder target);
void encodeRollout(const RolloutDirective &directive, schema::Rollout::Builder target);
/// Empty when a value is out of bounds.
std::optional<RolloutReportPart> decodeReportPart(schema::Rollout::Reader source);
/// Empty when a value is out of bounds.
std::optional<RolloutDirective> decodeDirective(schema::Rollout::Reader source);

} // namespace wigeonsill
