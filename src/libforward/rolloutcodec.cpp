/// \file rolloutcodec.cpp
/// Encoding and decoding of the messages about rollouts, with bounds on all that is decoded.
#include "rolloutcodec.h"

#include "grant.capnp.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Bounds on what a datagram may state.
constexpr std::size_t maximumNameBytes = 1'024;
constexpr std::uint64_t maximumCount = std::uint64_t{ 1 } << 48; // Sums of many cannot overflow.
constexpr std::uint64_t maximumAgeUs = 30ULL * 24 * 3'600 * 1'000'000;

using Routes = std::map<std::string, RouteEvidence, std::less<>>;

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumNameBytes;
}

void encodeHistogram(const LatencyHistogram &histogram, capnp::List<std::uint32_t>::Builder target)
{
    for (unsigned i = 0; i < LatencyHistogram::bucketCount; ++i) {
        target.set(i, histogram.counts[i]);
    }
}

bool decodeHistogram(capnp::List<std::uint32_t>::Reader source, LatencyHistogram &histogram)
{
    if (source.size() > LatencyHistogram::bucketCount) {
        return false;
    }
    for (unsigned i = 0; i < source.size(); ++i) {
        histogram.counts[i] = source[i];
    }
    return true;
}

void encodeRoutes(const Routes &routes, bool ofTarget, unsigned first,
    capnp::List<schema::RolloutRoute>::Builder target)
{
    unsigned index = first;
    for (const auto &[name, evidence] : routes) {
        auto record = target[index++];
        record.setName(name.c_str());
        record.setOfTarget(ofTarget);
        record.setAnswers(evidence.answers);
        record.setFailures(evidence.failures);
        encodeHistogram(evidence.byTarget, record.initByTarget(LatencyHistogram::bucketCount));
        encodeHistogram(evidence.bySize, record.initBySize(LatencyHistogram::bucketCount));
    }
}

bool decodeRoute(schema::RolloutRoute::Reader source, RolloutEvidence &evidence)
{
    RouteEvidence route;
    route.answers = source.getAnswers();
    route.failures = source.getFailures();
    const std::string name = source.getName().cStr();
    if (!isName(name) || route.answers > maximumCount || route.failures > route.answers
        || !decodeHistogram(source.getByTarget(), route.byTarget)
        || !decodeHistogram(source.getBySize(), route.bySize)) {
        return false;
    }
    (source.getOfTarget() ? evidence.targetByRoute : evidence.oldByRoute)[name] = route;
    return true;
}

bool decodeTarget(schema::RolloutTarget::Reader source, RolloutEvidence &evidence)
{
    TargetEvidence target;
    target.answers = source.getAnswers();
    target.failures = source.getFailures();
    target.slowAnswers = source.getSlowAnswers();
    const std::string id = source.getId().cStr();
    if (!isName(id) || target.answers > maximumCount || target.failures > target.answers
        || target.slowAnswers > target.answers) {
        return false;
    }
    evidence.byTarget[id] = target;
    return true;
}

/// The fields that a report and a directive have in common. Returns whether they are in bounds.
template <typename Message>
bool decodeCommon(schema::Rollout::Reader source, Message &message)
{
    message.service = source.getService().cStr();
    message.order = { source.getHistory(), source.getRevision() };
    if (!isName(message.service) || source.getOrderAgeUs() > maximumAgeUs
        || source.getStage() > static_cast<std::uint8_t>(RolloutStage::RolledBack)) {
        return false;
    }
    message.stage = static_cast<RolloutStage>(source.getStage());
    message.orderAge = Duration(source.getOrderAgeUs());
    return true;
}

template <typename Message>
void encodeCommon(const Message &message, schema::Rollout::Builder target)
{
    target.setService(message.service.c_str());
    target.setHistory(message.order.history);
    target.setRevision(message.order.revision);
    target.setStage(static_cast<std::uint8_t>(message.stage));
    target.setOrderAgeUs(
        static_cast<std::uint64_t>(std::max<Duration>(message.orderAge, Duration::zero()).count()));
}

} // namespace

void encodeRollout(const RolloutReportPart &part, schema::Rollout::Builder target)
{
    const RolloutReport &report = part.report;
    encodeCommon(report, target);
    target.setInProgressAtOld(report.inProgressAtOld);
    target.setSequence(report.sequence);
    target.setPart(part.part);
    target.setParts(part.parts);
    const RolloutEvidence &evidence = report.evidence;
    target.setSentToOld(evidence.sentToOld);
    target.setSentToTarget(evidence.sentToTarget);
    const auto oldCount = static_cast<unsigned>(evidence.oldByRoute.size());
    const auto targetCount = static_cast<unsigned>(evidence.targetByRoute.size());
    auto routes = target.initRoutes(oldCount + targetCount);
    encodeRoutes(evidence.oldByRoute, false, 0, routes);
    encodeRoutes(evidence.targetByRoute, true, oldCount, routes);
    auto targets = target.initTargets(static_cast<unsigned>(evidence.byTarget.size()));
    unsigned index = 0;
    for (const auto &[id, count] : evidence.byTarget) {
        auto record = targets[index++];
        record.setId(id.c_str());
        record.setAnswers(count.answers);
        record.setFailures(count.failures);
        record.setSlowAnswers(count.slowAnswers);
    }
}

void encodeRollout(const RolloutDirective &directive, schema::Rollout::Builder target)
{
    encodeCommon(directive, target);
}

std::optional<RolloutReportPart> decodeReportPart(schema::Rollout::Reader source)
{
    RolloutReportPart result;
    RolloutReport &report = result.report;
    report.inProgressAtOld = source.getInProgressAtOld();
    report.sequence = source.getSequence();
    result.part = source.getPart();
    result.parts = source.getParts();
    RolloutEvidence &evidence = report.evidence;
    evidence.sentToOld = source.getSentToOld();
    evidence.sentToTarget = source.getSentToTarget();
    // An element takes a byte at least; elements without content could be of any number.
    const bool isInBounds = decodeCommon(source, report) && result.parts >= 1
        && result.parts <= maximumReportParts && result.part < result.parts
        && report.inProgressAtOld <= maximumCount && evidence.sentToOld <= maximumCount
        && evidence.sentToTarget <= maximumCount && source.getRoutes().size() <= largestDatagram
        && source.getTargets().size() <= largestDatagram;
    if (!isInBounds) {
        return std::nullopt;
    }
    for (const auto &route : source.getRoutes()) {
        if (!decodeRoute(route, evidence)) {
            return std::nullopt;
        }
    }
    for (const auto &target : source.getTargets()) {
        if (!decodeTarget(target, evidence)) {
            return std::nullopt;
        }
    }
    return result;
}

std::optional<RolloutDirective> decodeDirective(schema::Rollout::Reader source)
{
    RolloutDirective result;
    return decodeCommon(source, result) ? std::optional(result) : std::nullopt;
}

} // namespace wigeonsill
