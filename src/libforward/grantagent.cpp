/// \file grantagent.cpp
/// The agent beside a target: runs TargetAdmission with a UDP socket and two timers.
#include "capacitypublisher.h"
#include "grantmessage.h"
#include "wigeonsill/forward.h"
#include "wigeonsill/versions.h"

#include <utility>

namespace wigeonsill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interval between requests for the target's report. A request on the same machine causes no
/// charged traffic and costs about 50 us of CPU time.
constexpr Duration targetReportInterval = milliseconds(400);
/// Interval between checks for requests whose maximum wait is over.
constexpr Duration expiryInterval = milliseconds(50);
/// Queries that wait for one report; there is one for each entry and incarnation.
constexpr std::size_t maximumTargetQueries = 512;

} // namespace

struct GrantAgent::Private
{
    Private(asio::io_context &io, Metrics &counters, DecisionLog &decisions,
        ReportDecoder reportDecoder, const GrantAgentSettings &agentSettings)
        : metrics(counters)
        , log(decisions)
        , decoder(std::move(reportDecoder))
        , settings(agentSettings)
        , reportClient(io, counters, agentSettings.target)
        , admission(agentSettings.admission)
        , socket(io,
              asio::ip::udp::endpoint(
                  asio::ip::make_address(settings.grantAddress), settings.grantPort))
        , reportTimer(io)
        , expiryTimer(io)
        , senderId(generateIncarnation().low)
        , usage(agentSettings.quotaWindow, currentTime())
    {
        this->socket.non_blocking(true);
    }

    void receive();
    void handle(const GrantMessage &message);
    void reserve(const ReservationProfile &profile, int slots);
    void replyToUsage(const GrantMessage &message);
    void replyToPermitRequest(const GrantMessage &request);
    void replyToStreamQuery(const GrantMessage &query);
    /// Asks the entries that reported lately for a stream that the agents don't know.
    void askEntries(const GrantMessage &query);
    void recordStream(const GrantMessage &message);
    void sendStreamOrigin(std::uint64_t stream, const asio::ip::udp::endpoint &entry);
    /// Applies a statement of the target's rate. \param by Who received it.
    void recordRate(std::optional<double> perSecond, TimePoint at, std::string_view by);
    void replyToCrashReports(const GrantMessage &message);
    void acceptTargetQuery(const GrantMessage &query);
    /// Answers the queries that came before the latest report was asked for.
    void replyToTargetQueries(const std::optional<TargetReport> &report);
    void reply(GrantKind kind, const ReservationProfile &profile);
    void sendTo(const asio::ip::udp::endpoint &endpoint, GrantMessage message);
    void sendGrants();
    void decline(const std::vector<ReservationProfile> &profiles);
    /// Applies what the target states about itself.
    void recordTargetState(const ReportAnswer &answer);
    void scheduleExpiry();
    void scheduleReport();
    void requestReport();

    void onReport(const Result<HttpResponse> &response);

    Metrics &metrics;
    DecisionLog &log;
    ReportDecoder decoder;
    GrantAgentSettings settings;
    CallClient reportClient;
    TargetAdmission admission;
    asio::ip::udp::socket socket;
    asio::steady_timer reportTimer;
    asio::steady_timer expiryTimer;
    std::uint64_t senderId;
    std::array<char, 8'192> buffer;
    asio::ip::udp::endpoint sender;
    std::map<std::uint64_t, asio::ip::udp::endpoint> entryEndpoints;
    UsageCollector usage;
    StatedRates rates; ///< Of all targets, as entries received them, kept for the other entries.
    PermitIssuer permitIssuer;
    bool rateInReports = false; ///< The last report stated the target's rate.
    Quarantine quarantine; ///< What the entries know, kept for those that don't yet.
    StreamOrigins streams; ///< Kept for the entries.
    RelayedQueries relayedQueries; ///< For streams that entries may know.
    /// When an entry that knows several versions of a service told of a stream last.
    std::optional<TimePoint> severalVersionsKnownAt;
    struct TargetQuery
    {
        asio::ip::udp::endpoint entry;
        GrantMessage message;
    };
    std::vector<TargetQuery> targetQueries;
    bool targetReachable = true;
    std::int64_t targetStartedMs = 0;
    bool expiryScheduled = false;
    CapacityPublisher capacityPublisher;
};

void GrantAgent::Private::receive()
{
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
        [this](const error_code &error, std::size_t bytes) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                const auto message = decodeGrantMessage({ this->buffer.data(), bytes });
                if (message) {
                    this->entryEndpoints[message->sender] = this->sender;
                    this->handle(*message);
                } else {
                    this->metrics.count("wigeonsill_grant_datagrams_malformed_total");
                }
            }
            this->receive();
        });
}

void GrantAgent::Private::handle(const GrantMessage &message)
{
    const TimePoint now = currentTime();
    ReservationProfile profile = message.profile;
    profile.reservationId.entry = message.sender;
    const bool isOfReservation = message.kind == GrantKind::Reserve
        || message.kind == GrantKind::Release || message.kind == GrantKind::Began;
    if (isOfReservation && !message.rates.empty()) {
        const RateStatement &statement = message.rates.front();
        if (statement.startedMs == 0 || this->targetStartedMs == 0
            || statement.startedMs == this->targetStartedMs) {
            this->recordRate(statement.perSecond, statement.at, "entry");
        }
    }
    switch (message.kind) {
    case GrantKind::Reserve:
        this->reserve(profile, message.slots);
        return;
    case GrantKind::Release:
        this->admission.release(profile.reservationId, message.generated, message.unused, now);
        this->sendGrants();
        return;
    case GrantKind::Began:
        this->admission.recordFirstEvent(profile.reservationId, now);
        this->sendGrants();
        return;
    case GrantKind::Usage:
        this->replyToUsage(message);
        return;
    case GrantKind::CrashReports:
        this->replyToCrashReports(message);
        return;
    case GrantKind::TargetQuery:
        this->acceptTargetQuery(message);
        return;
    case GrantKind::PermitRequest:
        this->replyToPermitRequest(message);
        return;
    case GrantKind::StreamBegan:
        this->recordStream(message);
        return;
    case GrantKind::StreamQuery:
        this->replyToStreamQuery(message);
        return;
    default:
        return;
    }
}

void GrantAgent::Private::reserve(const ReservationProfile &profile, int slots)
{
    const TimePoint now = currentTime();
    if (this->admission.isClosed(now)) {
        // Also when it was granted: the entry still waits, so it has not used the grant.
        this->admission.release(profile.reservationId, 0, true, now);
        this->decline({ profile });
        return;
    }
    if (this->admission.isGranted(profile.reservationId)) {
        this->reply(GrantKind::Granted, profile);
        return;
    }
    this->admission.reserve(profile, slots, now);
    this->sendGrants();
    this->decline(this->admission.expire(now));
    if (this->admission.isWaiting(profile.reservationId)) {
        this->reply(GrantKind::Queued, profile);
        this->scheduleExpiry();
    }
}

void GrantAgent::Private::replyToUsage(const GrantMessage &message)
{
    const TimePoint now = currentTime();
    this->usage.addReport(message.sender, message.ownUsage, now);
    GrantMessage answer;
    answer.kind = GrantKind::OthersUsage;
    answer.usage = this->usage.reportFor(message.sender, now);
    for (const RateStatement &statement : message.rates) {
        this->rates.adopt(statement, now);
    }
    this->rates.expire(now);
    this->permitIssuer.expire(now);
    answer.rates = this->rates.known();
    this->quarantine.expire(now);
    answer.crashDigest = this->quarantine.digest();
    this->sendTo(this->sender, std::move(answer));
}

void GrantAgent::Private::replyToPermitRequest(const GrantMessage &request)
{
    if (request.rates.empty()) {
        this->metrics.count("wigeonsill_grant_datagrams_malformed_total");
        return;
    }
    GrantMessage answer;
    answer.kind = GrantKind::Permits;
    answer.targetId = request.rates.front().targetId;
    answer.load.startedMs = request.rates.front().startedMs;
    answer.asDeputy = request.asDeputy;
    answer.permits = this->permitIssuer.request(
        request.rates.front(), request.permits.permits, request.asDeputy, currentTime());
    this->metrics.count("wigeonsill_permits_issued_total", {}, answer.permits.permits);
    this->sendTo(this->sender, std::move(answer));
}

void GrantAgent::Private::replyToStreamQuery(const GrantMessage &query)
{
    if (query.shouldAskEntries && !this->streams.find(query.stream, currentTime())) {
        this->askEntries(query);
    } else {
        this->sendStreamOrigin(query.stream, this->sender);
    }
}

void GrantAgent::Private::askEntries(const GrantMessage &query)
{
    const TimePoint now = currentTime();
    if (!this->relayedQueries.add(query.stream, query.sender, now)) {
        return;
    }
    this->metrics.count("wigeonsill_stream_queries_relayed_total");
    for (const std::uint64_t entry : this->usage.reportingEntryIds(now)) {
        const auto endpoint = this->entryEndpoints.find(entry);
        if (entry != query.sender && endpoint != this->entryEndpoints.end()) {
            GrantMessage relayed;
            relayed.kind = GrantKind::StreamQuery;
            relayed.stream = query.stream;
            this->sendTo(endpoint->second, std::move(relayed));
        }
    }
}

void GrantAgent::Private::recordStream(const GrantMessage &message)
{
    const TimePoint now = currentTime();
    this->streams.record(message.stream, message.version, now);
    if (!message.isOnlyVersion) {
        this->severalVersionsKnownAt = now;
    }
    for (const std::uint64_t asker : this->relayedQueries.take(message.stream)) {
        const auto endpoint = this->entryEndpoints.find(asker);
        if (endpoint != this->entryEndpoints.end()) {
            this->sendStreamOrigin(message.stream, endpoint->second);
        }
    }
}

void GrantAgent::Private::sendStreamOrigin(
    std::uint64_t stream, const asio::ip::udp::endpoint &entry)
{
    const TimePoint now = currentTime();
    const auto version = this->streams.find(stream, now);
    GrantMessage answer;
    answer.kind = GrantKind::StreamOrigin;
    answer.stream = stream;
    answer.isStreamKnown = version.has_value();
    answer.areSeveralVersionsKnown = this->severalVersionsKnownAt
        && now - *this->severalVersionsKnownAt <= StreamOrigins::memory;
    answer.version = version.value_or("");
    this->sendTo(entry, std::move(answer));
}

void GrantAgent::Private::recordRate(
    std::optional<double> perSecond, TimePoint at, std::string_view by)
{
    if (!this->admission.recordRate(perSecond, at, currentTime())) {
        return;
    }
    DecisionLine line("agent", perSecond ? "target-limited" : "target-unlimited");
    line.text("by", by);
    if (perSecond) {
        line.number("per_second", *perSecond);
    }
    this->log.stateChange(line);
}

void GrantAgent::Private::replyToCrashReports(const GrantMessage &message)
{
    this->quarantine.merge(message.crashReports, currentTime());
    if (message.moreFollow || message.crashDigest == this->quarantine.digest()) {
        return;
    }
    for (GrantMessage &answer : crashReportMessages(this->quarantine)) {
        this->sendTo(this->sender, std::move(answer));
    }
}

void GrantAgent::Private::acceptTargetQuery(const GrantMessage &query)
{
    if (this->targetQueries.size() >= maximumTargetQueries) {
        this->metrics.count("wigeonsill_target_queries_dropped_total");
        return;
    }
    this->targetQueries.push_back({ this->sender, query });
    if (this->targetQueries.size() == 1) {
        this->requestReport();
    }
}

void GrantAgent::Private::replyToTargetQueries(const std::optional<TargetReport> &report)
{
    for (const TargetQuery &query : std::exchange(this->targetQueries, {})) {
        const std::int64_t askedStart = query.message.load.startedMs;
        GrantMessage answer;
        answer.kind = GrantKind::TargetState;
        answer.targetId = query.message.targetId;
        answer.targetEnded = !report || (askedStart != 0 && report->startedMs > askedStart);
        this->sendTo(query.entry, std::move(answer));
    }
}

void GrantAgent::Private::reply(GrantKind kind, const ReservationProfile &profile)
{
    const auto entry = this->entryEndpoints.find(profile.reservationId.entry);
    if (entry == this->entryEndpoints.end()) {
        return;
    }
    GrantMessage message;
    message.kind = kind;
    message.profile.reservationId = profile.reservationId;
    message.load = this->admission.load(currentTime());
    message.load.startedMs = this->targetStartedMs;
    this->sendTo(entry->second, std::move(message));
}

void GrantAgent::Private::sendTo(const asio::ip::udp::endpoint &endpoint, GrantMessage message)
{
    message.sender = this->senderId;
    error_code error;
    this->socket.send_to(asio::buffer(encode(message)), endpoint, 0, error);
    if (error) {
        this->metrics.count("wigeonsill_grant_datagrams_unsent_total");
    }
}

void GrantAgent::Private::sendGrants()
{
    if (!this->targetReachable) {
        return; // Requests wait or are sent to another target that grants them room.
    }
    for (const ReservationProfile &profile : this->admission.grant(currentTime())) {
        this->metrics.count("wigeonsill_grants_total");
        DecisionLine line("agent", "granted");
        line.text("request", profile.requestId)
            .number("prompt_tokens", profile.promptTokens)
            .number("worth", profile.utility)
            .number("running", static_cast<double>(this->admission.grantedCount()))
            .number("waiting", static_cast<double>(this->admission.waitingCount()))
            .number("prefill_per_ms", this->admission.load(currentTime()).prefillTokensPerMs);
        this->log.decision(line);
        this->reply(GrantKind::Granted, profile);
    }
}

void GrantAgent::Private::decline(const std::vector<ReservationProfile> &profiles)
{
    for (const ReservationProfile &profile : profiles) {
        this->metrics.count("wigeonsill_reservations_declined_total");
        this->reply(GrantKind::Declined, profile);
    }
}

void GrantAgent::Private::recordTargetState(const ReportAnswer &answer)
{
    const TimePoint now = currentTime();
    const bool wasLeaving = this->admission.isLeaving();
    const bool wasQuiet = this->admission.isQuiet(now);
    const auto startedMs = answer.report ? std::optional(answer.report->startedMs) : std::nullopt;
    this->admission.recordTargetState(startedMs, answer.targetLeaving);
    if (answer.quietFor) {
        this->metrics.count("wigeonsill_target_quiet_times_total");
        this->admission.recordQuiet(*answer.quietFor, now);
    }
    if (answer.rate.perSecond || (answer.rate.isAbsent && this->rateInReports)) {
        this->rateInReports = answer.rate.perSecond.has_value();
        this->recordRate(answer.rate.perSecond, now, "report");
    }
    const std::vector<ReservationProfile> declined = this->admission.isClosed(now)
        ? this->admission.removeWaiting()
        : std::vector<ReservationProfile>();
    const auto declinedCount = static_cast<double>(declined.size());
    if (this->admission.isLeaving() && !wasLeaving) {
        this->metrics.count("wigeonsill_targets_leaving_total", "by=\"answer\"");
        this->log.stateChange(DecisionLine("agent", "target-leaving")
                                  .text("by", "answer")
                                  .number("declined", declinedCount));
    }
    if (this->admission.isQuiet(now) && !wasQuiet) {
        this->log.stateChange(DecisionLine("agent", "target-quiet")
                                  .ms("stated_ms", *answer.quietFor)
                                  .number("declined", declinedCount));
    }
    this->decline(declined);
}

void GrantAgent::Private::scheduleExpiry()
{
    if (this->expiryScheduled) {
        return;
    }
    this->expiryScheduled = true;
    this->expiryTimer.expires_after(expiryInterval);
    this->expiryTimer.async_wait([this](const error_code &error) {
        if (error) {
            return;
        }
        this->expiryScheduled = false;
        this->decline(this->admission.expire(currentTime()));
        this->sendGrants();
        if (this->admission.waitingCount() > 0) {
            this->scheduleExpiry();
        }
    });
}

void GrantAgent::Private::scheduleReport()
{
    this->reportTimer.expires_after(targetReportInterval);
    this->reportTimer.async_wait([this](const error_code &error) {
        if (error) {
            return;
        }
        this->admission.expire(currentTime());
        if (!this->admission.isQuiet(currentTime())) {
            this->requestReport();
        }
        this->scheduleReport();
    });
}

void GrantAgent::Private::requestReport()
{
    this->reportClient.get(this->settings.reportPath, targetReportInterval,
        [this](const Result<HttpResponse> &response) { this->onReport(response); });
}

void GrantAgent::Private::onReport(const Result<HttpResponse> &response)
{
    if (!response) {
        this->replyToTargetQueries(std::nullopt);
        this->metrics.count("wigeonsill_reports_failed_total");
        if (this->targetReachable) {
            this->targetReachable = false;
            this->log.stateChange(
                DecisionLine("agent", "target-lost").text("why", response.error().detail));
        }
        return;
    }
    const ReportAnswer answer = this->decoder(response.value());
    this->recordTargetState(answer);
    const std::optional<TargetReport> &report = answer.report;
    if (!report) {
        this->targetQueries.clear(); // The target is there and says nothing of its start.
        this->metrics.count("wigeonsill_reports_malformed_total");
        return;
    }
    this->replyToTargetQueries(report);
    if (!this->targetReachable) {
        this->targetReachable = true;
        this->log.stateChange(DecisionLine("agent", "target-regained"));
    }
    this->targetStartedMs = report->startedMs;
    this->admission.reconcile(report->running, report->waiting, currentTime());
    this->admission.recordMemory(report->memoryTokens, report->memoryTokensUsed);
    this->sendGrants();
    this->capacityPublisher.publish(this->admission, this->metrics, this->log, currentTime());
}

GrantAgent::GrantAgent(asio::io_context &io, Metrics &metrics, DecisionLog &log,
    ReportDecoder decoder, const GrantAgentSettings &settings)
    : d(std::make_unique<Private>(io, metrics, log, std::move(decoder), settings))
{
}

GrantAgent::~GrantAgent() = default;

void GrantAgent::start()
{
    this->d->receive();
    this->d->requestReport();
    this->d->scheduleReport();
}

void GrantAgent::drain()
{
    this->d->log.stateChange(DecisionLine("agent", "stopping"));
}

bool GrantAgent::isDrained() const
{
    // No request passes through the agent, and entries continue without it.
    return true;
}

boost::json::object GrantAgent::dumpState() const
{
    const TargetLoad load = this->d->admission.load(currentTime());
    return {
        { "granted", this->d->admission.grantedCount() },
        { "waiting", this->d->admission.waitingCount() },
        { "freeSlots", load.freeSlots },
        { "prefillPerMs", load.prefillTokensPerMs },
        { "decodePerMs", load.decodeTokensPerMs },
        { "entries", this->d->usage.entryCount() },
        { "targetReachable", this->d->targetReachable },
        { "targetLeaving", this->d->admission.isLeaving() },
        { "ratePerSecond",
            this->d->admission.isLimited() ? boost::json::value(this->d->admission.ratePerSecond())
                                           : boost::json::value() },
        { "crashReports", this->d->quarantine.reports().size() },
        { "partHolds", this->d->quarantine.holds().size() },
        { "capacity", CapacityPublisher::dump(this->d->admission) },
    };
}

} // namespace wigeonsill
