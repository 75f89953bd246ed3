/// \file grantmessage.cpp
/// Encoding and decoding of grant messages with Cap'n Proto.
#include "grantmessage.h"

#include "grant.capnp.h"
#include "rolloutcodec.h"
#include "wigeonsill/http.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

namespace wigeonsill {

namespace {

/// A report has at most 200 bytes, and a datagram 8 KiB.
constexpr std::size_t reportsPerDatagram = 32;
/// Largest unpacked message in words of 8 bytes, 1 MiB. One that fits into a datagram is far
/// smaller; a malformed one may state any size.
constexpr std::uint64_t largestMessageWords = 131'072;
/// Older than any process; keeps a malformed age from overflowing.
constexpr std::uint64_t maximumAgeUs = 1'000'000'000'000'000;

void encodeReports(
    const std::vector<CrashReport> &reports, capnp::List<schema::CrashReport>::Builder target)
{
    const TimePoint now = currentTime();
    unsigned index = 0;
    for (const CrashReport &report : reports) {
        auto record = target[index++];
        record.setTarget(report.target);
        record.setRequest(report.request);
        record.setOrganisation(report.organisation);
        record.setAgeUs(static_cast<std::uint64_t>(
            std::max<Duration>(now - report.at, Duration::zero()).count()));
        record.setIdentity(report.identity);
        record.setEvidence(report.evidence);
        record.setReleased(report.released);
        record.setParts(kj::arrayPtr(report.parts.data(), report.parts.size()));
    }
}

std::vector<CrashReport> decodeReports(capnp::List<schema::CrashReport>::Reader reports)
{
    const TimePoint now = currentTime();
    std::vector<CrashReport> result;
    for (const auto &record : reports) {
        CrashReport report;
        report.target = record.getTarget();
        report.request = record.getRequest();
        report.organisation = record.getOrganisation();
        report.at = now - Duration(std::min(record.getAgeUs(), maximumAgeUs));
        report.identity = record.getIdentity();
        report.evidence = record.getEvidence();
        report.released = record.getReleased();
        std::vector<std::uint64_t> parts;
        for (const std::uint64_t part : record.getParts()) {
            parts.push_back(part);
        }
        report.parts = makePartSet(std::move(parts));
        result.push_back(std::move(report));
    }
    return result;
}

void encodeRates(const std::vector<RateStatement> &statements,
    capnp::List<schema::RateStatement>::Builder target)
{
    const TimePoint now = currentTime();
    unsigned index = 0;
    for (const RateStatement &statement : statements) {
        auto record = target[index++];
        record.setTargetId(statement.targetId.c_str());
        record.setStartedMs(statement.startedMs);
        record.setLimited(statement.perSecond.has_value());
        record.setPerSecond(statement.perSecond.value_or(0));
        record.setAgeUs(static_cast<std::uint64_t>(
            std::max<Duration>(now - statement.at, Duration::zero()).count()));
    }
}

std::vector<RateStatement> decodeRates(capnp::List<schema::RateStatement>::Reader statements)
{
    const TimePoint now = currentTime();
    std::vector<RateStatement> result;
    for (const auto &record : statements) {
        RateStatement statement;
        statement.targetId = record.getTargetId().cStr();
        statement.startedMs = record.getStartedMs();
        // A rate that is no number fails the comparison.
        if (record.getLimited() && record.getPerSecond() >= 0) {
            statement.perSecond = std::min(record.getPerSecond(), maximumStatedRate);
        } else if (record.getLimited()) {
            continue;
        }
        statement.at = now - Duration(std::min(record.getAgeUs(), maximumAgeUs));
        result.push_back(std::move(statement));
    }
    return result;
}

} // namespace

std::vector<GrantMessage> crashReportMessages(const Quarantine &quarantine)
{
    const std::vector<CrashReport> reports = quarantine.reports();
    std::vector<GrantMessage> messages;
    std::size_t at = 0;
    do {
        const std::size_t end = std::min(at + reportsPerDatagram, reports.size());
        GrantMessage &message = messages.emplace_back();
        message.kind = GrantKind::CrashReports;
        message.crashDigest = quarantine.digest();
        message.crashReports.assign(reports.begin() + static_cast<std::ptrdiff_t>(at),
            reports.begin() + static_cast<std::ptrdiff_t>(end));
        at = end;
        message.moreFollow = at < reports.size();
    } while (at < reports.size());
    return messages;
}

namespace {

void encodeUses(const GrantMessage &message, capnp::List<schema::OrganisationUse>::Builder target)
{
    unsigned index = 0;
    for (const auto &[organisation, use] : message.ownUsage) {
        auto record = target[index++];
        record.setOrganisation(organisation.c_str());
        record.setAmount(use.inWindow);
        record.setTotal(use.total);
        record.setDemand(use.demand);
    }
    for (const auto &[organisation, amount] : message.usage.othersUsage) {
        auto record = target[index++];
        record.setOrganisation(organisation.c_str());
        record.setAmount(amount);
        const auto demand = message.usage.othersDemand.find(organisation);
        record.setDemand(demand == message.usage.othersDemand.end() ? 0 : demand->second);
    }
}

} // namespace

std::string encode(const GrantMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::GrantMessage>();
    root.setKind(static_cast<schema::GrantKind>(message.kind));
    root.setSender(message.sender);
    root.setTicket(message.profile.reservationId.number);
    if (!message.profile.requestId.empty()) {
        root.setRequestId(message.profile.requestId.c_str());
    }
    root.setPromptTokens(message.profile.promptTokens);
    root.setOutputTokens(message.profile.outputTokens);
    root.setGenerated(message.generated);
    root.setLatencyLeftUs(message.profile.latencyLeft.count());
    root.setWaitLeftUs(message.profile.waitLeft.count());
    root.setTimeLeftUs(message.profile.timeLeft.count());
    root.setSlots(static_cast<std::uint32_t>(message.slots));
    root.setFreeSlots(static_cast<std::uint32_t>(message.load.freeSlots));
    root.setWaiting(static_cast<std::uint32_t>(message.load.waiting));
    root.setStartDelayUs(message.load.startDelay.count());
    root.setUntilPermitUs(message.load.untilPermit.count());
    root.setPrefillPerMs(message.load.prefillTokensPerMs);
    root.setDecodePerMs(message.load.decodeTokensPerMs);
    root.setTargetStartedMs(message.load.startedMs);
    root.setWorth(message.profile.utility);
    root.setLateShare(message.profile.lateShare);
    root.setEntries(static_cast<std::uint32_t>(message.usage.sharingEntries));
    root.setMemoryUs(message.usage.collectorAge.count());
    const std::size_t count = message.ownUsage.size() + message.usage.othersUsage.size();
    if (count > 0) {
        encodeUses(message, root.initUses(static_cast<unsigned>(count)));
    }
    root.setCrashDigest(message.crashDigest);
    root.setMoreFollow(message.moreFollow);
    if (!message.targetId.empty()) {
        root.setTargetId(message.targetId.c_str());
    }
    root.setTargetEnded(message.targetEnded);
    if (!message.rates.empty()) {
        encodeRates(message.rates, root.initRates(static_cast<unsigned>(message.rates.size())));
    }
    root.setPermits(static_cast<std::uint32_t>(message.permits.permits));
    root.setUntilNextUs(message.permits.untilNext.count());
    root.setAsDeputy(message.asDeputy);
    root.setUnused(message.unused);
    root.setStream(message.stream);
    if (!message.version.empty()) {
        root.setVersion(message.version.c_str());
    }
    root.setStreamKnown(message.isStreamKnown);
    root.setStreamsShared(message.areSeveralVersionsKnown);
    root.setOnlyVersion(message.isOnlyVersion);
    root.setAskEntries(message.shouldAskEntries);
    if (!message.crashReports.empty()) {
        encodeReports(message.crashReports,
            root.initCrashReports(static_cast<unsigned>(message.crashReports.size())));
    }
    if (message.rolloutReport) {
        encodeRollout(*message.rolloutReport, root.initRollout());
    } else if (message.rolloutDirective) {
        encodeRollout(*message.rolloutDirective, root.initRollout());
    }
    // Packed encoding: traffic between failure domains is charged, and most fields are zero. An
    // empty text or list that is set takes more than one that is not.
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const auto bytes = packed.getArray().asChars();
    return { bytes.begin(), bytes.size() };
}

std::optional<GrantMessage> decodeGrantMessage(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const kj::byte *>(bytes.data());
    try {
        kj::ArrayInputStream packed(kj::ArrayPtr<const kj::byte>(data, bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = largestMessageWords;
        capnp::PackedMessageReader reader(packed, options);
        const auto root = reader.getRoot<schema::GrantMessage>();
        // An element takes a byte at least; elements without content could be of any number.
        if (std::max(
                { root.getUses().size(), root.getRates().size(), root.getCrashReports().size() })
            > bytes.size()) {
            return std::nullopt;
        }
        GrantMessage message;
        message.kind = static_cast<GrantKind>(root.getKind());
        message.sender = root.getSender();
        message.profile.reservationId.number = root.getTicket();
        message.profile.requestId = root.getRequestId().cStr();
        message.profile.promptTokens = root.getPromptTokens();
        message.profile.outputTokens = root.getOutputTokens();
        message.generated = root.getGenerated();
        message.profile.latencyLeft = Duration(root.getLatencyLeftUs());
        message.profile.waitLeft = Duration(root.getWaitLeftUs());
        message.profile.timeLeft = Duration(root.getTimeLeftUs());
        message.slots = static_cast<int>(root.getSlots());
        message.load.freeSlots = static_cast<int>(root.getFreeSlots());
        message.load.waiting = static_cast<int>(root.getWaiting());
        message.load.startDelay = Duration(root.getStartDelayUs());
        message.load.untilPermit = Duration(root.getUntilPermitUs());
        message.load.prefillTokensPerMs = root.getPrefillPerMs();
        message.load.decodeTokensPerMs = root.getDecodePerMs();
        message.load.startedMs = root.getTargetStartedMs();
        message.profile.utility = root.getWorth();
        message.profile.lateShare = root.getLateShare();
        message.usage.sharingEntries = static_cast<int>(root.getEntries());
        message.usage.collectorAge = Duration(root.getMemoryUs());
        for (const auto &use : root.getUses()) {
            const std::string organisation = use.getOrganisation().cStr();
            if (message.kind == GrantKind::Usage) {
                message.ownUsage[organisation]
                    = { use.getAmount(), use.getTotal(), use.getDemand() };
            } else {
                message.usage.othersUsage[organisation] = use.getAmount();
                message.usage.othersDemand[organisation] = use.getDemand();
            }
        }
        message.crashDigest = root.getCrashDigest();
        message.moreFollow = root.getMoreFollow();
        message.targetId = root.getTargetId().cStr();
        message.targetEnded = root.getTargetEnded();
        message.rates = decodeRates(root.getRates());
        message.permits.permits = static_cast<int>(root.getPermits());
        message.permits.untilNext = Duration(root.getUntilNextUs());
        message.asDeputy = root.getAsDeputy();
        message.unused = root.getUnused();
        message.stream = root.getStream();
        message.version = root.getVersion().cStr();
        message.isStreamKnown = root.getStreamKnown();
        message.areSeveralVersionsKnown = root.getStreamsShared();
        message.isOnlyVersion = root.getOnlyVersion();
        message.shouldAskEntries = root.getAskEntries();
        message.crashReports = decodeReports(root.getCrashReports());
        if (message.kind == GrantKind::RolloutReport) {
            message.rolloutReport = decodeReportPart(root.getRollout());
        } else if (message.kind == GrantKind::RolloutDirective) {
            message.rolloutDirective = decodeDirective(root.getRollout());
        }
        const bool isRollout = message.kind == GrantKind::RolloutReport
            || message.kind == GrantKind::RolloutDirective;
        if (isRollout && !message.rolloutReport && !message.rolloutDirective) {
            return std::nullopt;
        }
        return message;
    } catch (const kj::Exception &) {
        return std::nullopt; // Callers count malformed datagrams.
    }
}

} // namespace wigeonsill
