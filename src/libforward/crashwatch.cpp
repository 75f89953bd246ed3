/// \file crashwatch.cpp
/// The quarantine of an entry: sockets and log.
#include "crashwatch.h"

#include <charconv>

namespace wigeonsill {

namespace {

/// Collectors answer within a few milliseconds, four times a second. After this they count as lost,
/// and reports are exchanged with one agent after another.
constexpr Duration collectorTimeout = milliseconds(600);
/// Time after which an agent is asked again whether its target has ended: the interval of its
/// reports.
constexpr Duration queryAgainTime = milliseconds(400);

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 17> text{};
    const int length
        = std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(value));
    return { text.data(), static_cast<std::size_t>(length) };
}

std::string partList(const PartSet &parts)
{
    std::string result;
    for (const std::uint64_t part : parts) {
        result += (result.empty() ? "" : ",") + hexadecimal(part);
    }
    return result;
}

/// A log line about a hold. \param event Ending of its name.
DecisionLine describe(const Hold &hold, std::string_view event)
{
    const bool isRequest = hold.identity != 0;
    DecisionLine line("entry", (isRequest ? "request" : "part") + std::string(event));
    line.text("hold", hexadecimal(hold.id));
    return isRequest ? line.text("identity", hexadecimal(hold.identity))
                     : line.text("parts", partList(hold.parts));
}

boost::json::object dump(const Hold &hold, TimePoint now)
{
    return {
        { "hold", hexadecimal(hold.id) },
        { "heldMs", std::chrono::duration_cast<milliseconds>(now - hold.since).count() },
        { "targets", hold.targets },
        { "requests", hold.requests },
    };
}

} // namespace

SuspectRequest makeSuspectRequest(const MessageHead &head, const RequestMetadata &request,
    std::string_view organisation, std::string_view body)
{
    SuspectRequest result;
    result.attempt = stableHash(request.id);
    result.traits.organisation = organisation.empty() ? 0 : stableHash(organisation);
    result.traits.identity = requestIdentity(head.method, head.target, organisation, body);
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        ids.push_back(request.parts[i].id);
    }
    result.traits.parts = makePartSet(std::move(ids));
    return result;
}

CrashWatch::CrashWatch(
    Metrics &counters, DecisionLog &decisions, TargetPool &targetPool, GrantClient &grants)
    : metrics(counters)
    , log(decisions)
    , pool(targetPool)
    , grantClient(grants)
{
}

void CrashWatch::recordAnswered(const SuspectRequest &request)
{
    this->quarantine.recordAnswered(request.traits, currentTime());
}

void CrashWatch::recordRejected(const SuspectRequest &request)
{
    const RequestTraits &traits = request.traits;
    this->quarantine.recordAnswered({ traits.organisation, traits.identity, {} }, currentTime());
}

void CrashWatch::recordBrokenOff(const Target &target, const SuspectRequest &request)
{
    const TimePoint now = currentTime();
    CrashReport report;
    report.target = stableHash(target.id, static_cast<std::uint64_t>(target.startedMs));
    report.request = request.attempt;
    RequestTraits open = this->quarantine.unanswered(request.traits, now);
    report.organisation = open.organisation;
    report.identity = open.identity;
    report.parts = std::move(open.parts);
    report.at = now;
    if (report.identity == 0 && report.parts.empty()) {
        return;
    }
    this->unconfirmed.record(target.id, std::move(report), now);
    this->probe(target);
}

void CrashWatch::recordNotConnected(const Target &target)
{
    if (this->unconfirmed.contains(target.id)) {
        this->probe(target);
    }
}

void CrashWatch::probe(const Target &target)
{
    if (!this->probedTargets.insert(target.id).second) {
        return;
    }
    this->grantClient.queryTarget(target);
    this->queries[target.id] = { target, currentTime() };
    this->pool.probe(target, [this, id = target.id](bool refused) {
        this->probedTargets.erase(id);
        if (refused) {
            this->recordEnd(id);
        }
    });
}

void CrashWatch::recordEnd(const std::string &targetId)
{
    const TimePoint now = currentTime();
    const std::vector<CrashReport> reports = this->unconfirmed.confirm(targetId, now);
    if (reports.empty()) {
        return;
    }
    for (const CrashReport &report : reports) {
        this->metrics.count("wigeonsill_crash_reports_total");
        this->log.decision(DecisionLine("entry", "target-ended")
                               .text("target", targetId)
                               .text("request_hash", hexadecimal(report.request))
                               .text("request_identity", hexadecimal(report.identity))
                               .text("suspected_parts", partList(report.parts))
                               .ms("noticed_after_ms", now - report.at));
    }
    if (this->quarantine.merge(reports, now)) {
        this->logChanges();
        this->spread();
    }
}

void CrashWatch::onTargetState(const std::string &targetId, bool ended)
{
    if (ended) {
        this->recordEnd(targetId);
    }
}

void CrashWatch::askAgain(TimePoint now)
{
    this->unconfirmed.expire(now);
    std::erase_if(this->queries,
        [this](const auto &record) { return !this->unconfirmed.contains(record.first); });
    for (auto &[id, query] : this->queries) {
        if (now - query.askedAt >= queryAgainTime) {
            query.askedAt = now;
            this->grantClient.queryTarget(query.target);
        }
    }
}

void CrashWatch::spread()
{
    const std::vector<GrantMessage> messages = crashReportMessages(this->quarantine);
    for (const Target &collector : this->collectors) {
        this->grantClient.sendCrashReports(collector, messages);
    }
}

void CrashWatch::update(
    const std::vector<const Target *> &agents, std::size_t collectorCount, std::uint64_t random)
{
    const TimePoint now = currentTime();
    this->quarantine.expire(now);
    this->askAgain(now);
    this->logChanges();
    this->collectors.clear();
    for (std::size_t i = 0; i < std::min(collectorCount, agents.size()); ++i) {
        this->collectors.push_back(*agents[i]);
    }
    const bool collectorsAnswer
        = this->collectorAnsweredAt && now - *this->collectorAnsweredAt <= collectorTimeout;
    if (!collectorsAnswer && !agents.empty()) {
        this->grantClient.sendCrashReports(
            *agents[random % agents.size()], crashReportMessages(this->quarantine));
    }
}

void CrashWatch::onCrashReports(const GrantMessage &message, const boost::asio::ip::address &agent)
{
    const TimePoint now = currentTime();
    if (message.kind == GrantKind::OthersUsage) {
        this->collectorAnsweredAt = now;
        if (message.crashDigest != this->quarantine.digest()) {
            this->grantClient.sendCrashReports(agent, crashReportMessages(this->quarantine));
        }
        return;
    }
    if (this->quarantine.merge(message.crashReports, now)) {
        this->logChanges();
    }
}

const Hold *CrashWatch::findHold(const SuspectRequest &request) const
{
    return this->quarantine.findHold(request.traits);
}

bool CrashWatch::isSuspected(const SuspectRequest &request) const
{
    return this->quarantine.isSuspected(request.attempt, request.traits, currentTime());
}

bool CrashWatch::release(std::string_view id)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value, 16);
    const bool valid = error == std::errc{} && end == id.data() + id.size();
    if (!valid || !this->quarantine.release(value, currentTime())) {
        return false;
    }
    this->logChanges();
    this->spread();
    return true;
}

void CrashWatch::logChanges()
{
    std::map<std::uint64_t, Hold> current;
    double requestHolds = 0;
    for (const Hold &hold : this->quarantine.holds()) {
        current[hold.id] = hold;
        requestHolds += hold.identity != 0 ? 1 : 0;
        if (!this->loggedHolds.contains(hold.id)) {
            this->log.stateChange(
                describe(hold, "-held")
                    .number("targets", static_cast<double>(hold.targets))
                    .number("requests", static_cast<double>(hold.requests))
                    .number("organisations", static_cast<double>(hold.organisations.size())));
        }
    }
    for (const auto &[id, hold] : this->loggedHolds) {
        if (!current.contains(id)) {
            this->log.stateChange(
                describe(hold, "-released").ms("held_ms", currentTime() - hold.since));
        }
    }
    this->loggedHolds = std::move(current);
    this->metrics.gauge("wigeonsill_request_holds", {}, requestHolds);
    this->metrics.gauge(
        "wigeonsill_part_holds", {}, static_cast<double>(this->loggedHolds.size()) - requestHolds);
}

boost::json::array CrashWatch::dumpPartHolds() const
{
    const TimePoint now = currentTime();
    boost::json::array result;
    for (const Hold &hold : this->quarantine.holds()) {
        if (hold.identity == 0) {
            boost::json::object record = dump(hold, now);
            record["parts"] = partList(hold.parts);
            record["everyone"] = hold.organisations.size() > 1;
            result.push_back(std::move(record));
        }
    }
    return result;
}

boost::json::array CrashWatch::dumpRequestHolds() const
{
    const TimePoint now = currentTime();
    boost::json::array result;
    for (const Hold &hold : this->quarantine.holds()) {
        if (hold.identity != 0) {
            boost::json::object record = dump(hold, now);
            record["identity"] = hexadecimal(hold.identity);
            result.push_back(std::move(record));
        }
    }
    return result;
}

} // namespace wigeonsill
