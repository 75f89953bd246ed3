/// \file rolloutmessage_test.cpp
/// Tests of reports in parts, and of bounds on what is decoded.
#include "grantmessage.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

RolloutReport largeReport(std::uint32_t sequence)
{
    RolloutReport report;
    report.service = "bookings";
    report.sequence = sequence;
    report.evidence.sentToOld = 10;
    for (int i = 0; i < 200; ++i) {
        RouteEvidence &route = report.evidence.oldByRoute["route-" + std::to_string(i)];
        route.answers = std::uint64_t{ 1 } << 40;
        route.byTarget.counts.fill(0xABABABAB);
        route.bySize.counts.fill(0xABABABAB);
        report.evidence.byTarget["engine-" + std::to_string(i)].answers = 0xABABABABAB;
    }
    return report;
}

/// Guards against reports that do not fit into a datagram, and parts of different reports that are
/// put together.
TEST(RolloutReports, partsAreWholeOnlyTogether)
{
    RolloutReportAssembly assembly;
    const auto parts = splitReport(largeReport(1));
    const auto newer = splitReport(largeReport(2));
    ASSERT_GT(parts.size(), 2U);
    EXPECT_FALSE(assembly.add(1, parts.front()));
    std::optional<RolloutReport> whole;
    for (const RolloutReportPart &part : newer) {
        EXPECT_FALSE(whole);
        GrantMessage message;
        message.kind = GrantKind::RolloutReport;
        message.rolloutReport = part;
        const std::string bytes = encode(message);
        EXPECT_LE(bytes.size(), largestDatagram);
        const auto decoded = decodeGrantMessage(bytes);
        ASSERT_TRUE(decoded);
        whole = assembly.add(1, *decoded->rolloutReport);
        if (!whole) {
            EXPECT_FALSE(assembly.add(1, part)) << "a repeated datagram";
            EXPECT_FALSE(assembly.add(1, parts.back())) << "a part of an older report";
            EXPECT_FALSE(assembly.add(2, newer.back())) << "a part of another entry's report";
        }
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->sequence, 2U);
    EXPECT_EQ(whole->evidence.oldByRoute.size(), 200U);
    EXPECT_EQ(whole->evidence.oldByRoute.at("route-7").bySize.counts[3], 0xABABABABU);
    EXPECT_EQ(whole->evidence.byTarget.size(), 200U);
}

/// Guards against counts that overflow or histograms of another size, from a malformed datagram.
TEST(RolloutReports, valuesOutOfBoundsAreMalformed)
{
    GrantMessage message;
    message.kind = GrantKind::RolloutReport;
    RolloutReportPart part;
    part.report.service = "bookings";
    const auto isAccepted = [&message](const RolloutReportPart &sent) {
        message.rolloutReport = sent;
        return decodeGrantMessage(encode(message)).has_value();
    };
    EXPECT_TRUE(isAccepted(part));
    RolloutReportPart changed = part;
    changed.report.evidence.oldByRoute["r"] = { 1, 2, {}, {} };
    EXPECT_FALSE(isAccepted(changed)) << "more failures than answers";
    changed = part;
    changed.report.evidence.sentToOld = ~std::uint64_t{ 0 };
    EXPECT_FALSE(isAccepted(changed));
    changed = part;
    changed.part = 1;
    EXPECT_FALSE(isAccepted(changed)) << "there are fewer parts";
    changed = part;
    changed.report.service.clear();
    EXPECT_FALSE(isAccepted(changed));
}

} // namespace
} // namespace wigeonsill
