/// \file rolloutmessage.cpp
/// Reports of rollouts in parts that each fit into a datagram.
#include "rolloutmessage.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Bytes of evidence in one part. Below the largest datagram, for the totals and the framing.
constexpr std::size_t partBytes = 7'000;
/// Upper bounds for the encoded size of a route and of a target without its name: two histograms of
/// 24 counts, and three numbers, with the overhead of the packed encoding.
constexpr std::size_t routeBytes = 280;
constexpr std::size_t targetBytes = 48;
/// Reports in several parts that are put together at one time; more than entries send.
constexpr std::size_t maximumPending = 1'024;

} // namespace

std::vector<RolloutReportPart> splitReport(const RolloutReport &report)
{
    RolloutReportPart empty;
    empty.report = report;
    RolloutEvidence &totals = empty.report.evidence;
    totals.oldByRoute.clear();
    totals.targetByRoute.clear();
    totals.byTarget.clear();
    std::vector<RolloutReportPart> parts = { empty };
    std::size_t used = 0;
    const auto makeRoom = [&parts, &empty, &used](std::size_t bytes) -> RolloutEvidence & {
        if (used + bytes > partBytes) {
            parts.push_back(empty);
            used = 0;
        }
        used += bytes;
        return parts.back().report.evidence;
    };
    // The new version first, which is what the owner judges.
    for (const auto &[name, route] : report.evidence.targetByRoute) {
        makeRoom(routeBytes + name.size()).targetByRoute[name] = route;
    }
    for (const auto &[name, route] : report.evidence.oldByRoute) {
        makeRoom(routeBytes + name.size()).oldByRoute[name] = route;
    }
    for (const auto &[id, target] : report.evidence.byTarget) {
        makeRoom(targetBytes + id.size()).byTarget[id] = target;
    }
    parts.resize(std::min<std::size_t>(parts.size(), maximumReportParts));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint16_t>(i);
        parts[i].parts = static_cast<std::uint16_t>(parts.size());
    }
    return parts;
}

std::optional<RolloutReport> RolloutReportAssembly::add(
    std::uint64_t entry, const RolloutReportPart &part)
{
    const auto key = std::pair(entry, part.report.service);
    const auto known = this->pending.find(key);
    const bool isOfOther = known != this->pending.end()
        && (known->second.report.order != part.report.order
            || known->second.report.sequence != part.report.sequence
            || known->second.parts != part.parts);
    if (isOfOther && known->second.report.order == part.report.order
        && known->second.report.sequence > part.report.sequence) {
        return std::nullopt; // Older than the one that is put together.
    }
    if (isOfOther) {
        this->pending.erase(known);
    }
    if (part.parts == 1) {
        return part.report;
    }
    if (this->pending.size() >= maximumPending && !this->pending.contains(key)) {
        this->pending.clear(); // Senders that have ended; those that live report again.
    }
    Pending &record = this->pending[key];
    if (record.received.empty()) {
        record.report = part.report;
        record.parts = part.parts;
    } else {
        RolloutEvidence &sum = record.report.evidence;
        const RolloutEvidence &more = part.report.evidence;
        sum.oldByRoute.insert(more.oldByRoute.begin(), more.oldByRoute.end());
        sum.targetByRoute.insert(more.targetByRoute.begin(), more.targetByRoute.end());
        sum.byTarget.insert(more.byTarget.begin(), more.byTarget.end());
    }
    record.received.insert(part.part);
    if (record.received.size() < record.parts) {
        return std::nullopt;
    }
    RolloutReport whole = std::move(record.report);
    this->pending.erase(key);
    return whole;
}

} // namespace wigeonsill
