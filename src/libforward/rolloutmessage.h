/// \file rolloutmessage.h
/// Messages between the entries and the owner of the rollouts.
#pragma once

#include "wigeonsill/rollout.h"

namespace wigeonsill {

/// Largest datagram that a process sends or receives, in bytes.
constexpr std::size_t largestDatagram = 8'192;
/// Parts that one report may have. A part holds some 20 routes or 100 targets at least.
constexpr std::uint16_t maximumReportParts = 64;

/// A part of a report. Each part has the report's totals; the evidence of routes and targets is
/// divided among the parts.
struct RolloutReportPart
{
    RolloutReport report;
    std::uint16_t part = 0; ///< From 0.
    std::uint16_t parts = 1;
};

/// Divides a report into parts that each fit into a datagram. Evidence beyond maximumReportParts is
/// left out.
std::vector<RolloutReportPart> splitReport(const RolloutReport &report);

/// Puts the parts of reports together. A report of which a part is lost is dropped: the sender's
/// next one has everything. Bounded in memory. Not thread-safe.
class RolloutReportAssembly
{
public:
    /// \param entry Random id of the sender's incarnation.
    /// \returns The whole report when this was its last missing part.
    std::optional<RolloutReport> add(std::uint64_t entry, const RolloutReportPart &part);

private:
    struct Pending
    {
        RolloutReport report;
        std::set<std::uint16_t> received;
        std::uint16_t parts = 0;
    };
    /// By entry and service; only reports of several parts.
    std::map<std::pair<std::uint64_t, std::string>, Pending> pending;
};

} // namespace wigeonsill
