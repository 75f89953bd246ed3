/// \file grantmessage_fuzz.cpp
/// Fuzz target: datagrams between entries and agents.
#include "grantmessage.h"

#include "fuzz/fuzztarget.h"

namespace wigeonsill {

namespace {

RolloutReportPart exampleReport()
{
    RolloutReportPart part;
    part.report.service = "engines";
    part.report.order = { 1, 5 };
    part.report.sequence = 3;
    part.parts = 2;
    RolloutEvidence &evidence = part.report.evidence;
    evidence.sentToOld = 40;
    evidence.sentToTarget = 2;
    evidence.oldByRoute["route-1"] = { 38, 1, {}, {} };
    evidence.oldByRoute["route-1"].bySize.record(1.5);
    evidence.targetByRoute["route-1"] = { 2, 1, {}, {} };
    evidence.byTarget["engine-2.1"] = { 2, 1, 0 };
    return part;
}

} // namespace

std::vector<std::string> fuzzSeeds()
{
    std::vector<std::string> seeds;
    for (int kind = 0; kind <= static_cast<int>(GrantKind::RolloutDirective); ++kind) {
        GrantMessage message;
        message.kind = static_cast<GrantKind>(kind);
        message.sender = 7;
        message.profile.reservationId.number = 11;
        message.load.startedMs = 1'000;
        message.ownUsage["hot"] = { 100, 5'100, 20 };
        message.usage.othersUsage["hot"] = 300;
        message.usage.othersDemand["hot"] = 30;
        message.usage.sharingEntries = 3;
        message.targetId = "engine-1.1";
        if (message.kind == GrantKind::RolloutReport) {
            message.rolloutReport = exampleReport();
        } else if (message.kind == GrantKind::RolloutDirective) {
            message.rolloutDirective
                = { "engines", { 1, 5 }, RolloutStage::Trial, milliseconds(900) };
        }
        seeds.push_back(encode(message));
    }
    return seeds;
}

} // namespace wigeonsill

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wigeonsill;
    if (size > largestDatagram) {
        return 0;
    }
    const auto message = decodeGrantMessage(fuzzText(data, size));
    if (message) {
        const auto again = decodeGrantMessage(encode(*message));
        fuzzRequire(again.has_value(), "what was decoded can't be sent");
        fuzzRequire(again->kind == message->kind && again->sender == message->sender
                && again->profile.reservationId == message->profile.reservationId,
            "what was decoded is sent as something else");
        fuzzRequire(again->rolloutReport.has_value() == message->rolloutReport.has_value()
                && again->rolloutDirective.has_value() == message->rolloutDirective.has_value(),
            "a rollout's message is sent as something else");
        if (message->rolloutReport) {
            const RolloutReport &report = message->rolloutReport->report;
            fuzzRequire(report.evidence.oldByRoute.size()
                        == again->rolloutReport->report.evidence.oldByRoute.size()
                    && report.evidence.byTarget.size()
                        == again->rolloutReport->report.evidence.byTarget.size()
                    && report.order == again->rolloutReport->report.order
                    && report.stage <= RolloutStage::RolledBack,
                "a report is sent as another one");
            RolloutReportAssembly assembly;
            fuzzRequire(assembly.add(1, *message->rolloutReport).has_value()
                    == (message->rolloutReport->parts == 1),
                "a part is taken for the whole report");
        }
    }
    return 0;
}
