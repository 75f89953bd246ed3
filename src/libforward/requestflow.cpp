/// \file requestflow.cpp
/// Checks of a request at its arrival, and its final answers.
#include "requestflow.h"

#include "callerconnection.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// For which callers wait at least for the rest of a stream of which they have a part.
constexpr Duration callersPatience = seconds(2);

std::string fractionalSeconds(Duration duration)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%lld.%03lld",
        static_cast<long long>(ms / 1'000), static_cast<long long>(ms % 1'000));
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

RequestFlow::RequestFlow(EntryState &entryState, CallerConnection &callerConnection,
    MessageHead requestHead, std::string requestBody)
    : stateOwner(entryState.shared_from_this())
    , state(entryState)
    , caller(&callerConnection)
    , head(std::move(requestHead))
    , body(std::move(requestBody))
    , arrived(currentTime())
    , timer(entryState.io)
    , continuation(entryState.settings.continuation)
{
    this->state.flows.insert(this);
}

RequestFlow::~RequestFlow()
{
    this->state.flows.erase(this);
    this->state.permitWaiters.erase(this);
    this->state.streamVersions.stopAsking(*this);
    for (const std::uint64_t id :
        { this->reservationId, this->attempt ? this->attempt->reservationId : 0 }) {
        if (id != 0) {
            this->state.grantClient.unregisterReservationId(id);
        }
    }
}

Duration RequestFlow::elapsed() const
{
    return currentTime() - this->arrived;
}

Duration RequestFlow::timeLeft() const
{
    return this->timeLimit - this->elapsed();
}

void RequestFlow::start()
{
    Result<RequestMetadata> decoded = this->state.dialect.decodeRequest(this->head);
    if (!decoded) {
        this->refuse(decoded.error().code, decoded.error().detail);
        return;
    }
    this->request = std::move(decoded.value());
    this->configuration = this->state.configuration;
    if (this->checkConfiguration() && this->checkRoute() && this->checkDrain() && this->checkKey()
        && this->checkHolds() && this->checkQuota()) {
        this->placeRequest();
    }
}

bool RequestFlow::checkConfiguration()
{
    if (!this->configuration) {
        this->refuse(
            ResultCode::NoConfiguration, "no configuration has been loaded yet", milliseconds(500));
        return false;
    }
    return true;
}

bool RequestFlow::checkDrain()
{
    if (!this->state.draining) {
        return true;
    }
    const DrainSchedule schedule(this->state.settings.gracePeriod);
    if (!schedule.admits(this->arrived - this->state.drainStartedAt, this->timeLimit)) {
        this->refuse(ResultCode::Draining, "the process is stopping", milliseconds(100));
        return false;
    }
    return true;
}

bool RequestFlow::checkRoute()
{
    const std::string_view path
        = std::string_view(this->head.target).substr(0, this->head.target.find('?'));
    this->route = this->configuration->findRoute(fieldValue(this->head.fields, "Host"), path);
    if (this->route == nullptr) {
        if (!this->state.isConfigurationCurrent()) {
            this->refuse(ResultCode::NoConfiguration,
                "no route for this host and path, and the configuration may be out of date",
                milliseconds(500));
        } else {
            this->refuse(ResultCode::UnknownService, "no route for this host and path");
        }
        return false;
    }
    this->timeLimit = this->route->timeout;
    if (this->request.deadline) {
        this->timeLimit = std::min(this->timeLimit, *this->request.deadline);
        Duration &longest = this->state.longestDeadline[this->route->name];
        longest = std::max(longest, *this->request.deadline);
        this->timeBeforeCallerRetry = estimateTimeAlreadySpent(longest, *this->request.deadline);
    }
    this->service = this->configuration->findService(
        selectService(*this->route, this->state.uniformRandom()));
    if (this->service == nullptr) {
        this->refuse(ResultCode::NoTargetAvailable, "the service of the route is not declared",
            this->retryDelay());
        return false;
    }
    return true;
}

bool RequestFlow::checkKey()
{
    if (this->route->anonymous) {
        return true;
    }
    if (!this->state.areKeysCurrent()) {
        this->refuse(ResultCode::NoConfiguration,
            "API keys cannot be checked: the configuration was not confirmed recently",
            std::min<Duration>(this->retryDelay(), seconds(1)));
        return false;
    }
    this->organisation = this->configuration->findOrganisation(this->request.key);
    if (this->organisation != nullptr) {
        return true;
    }
    if (!this->request.key.empty() && !this->state.isConfigurationCurrent()) {
        this->refuse(ResultCode::NoConfiguration,
            "unknown API key, and the configuration may be out of date", milliseconds(500));
    } else {
        this->refuse(ResultCode::UnknownOrganisation, "unknown API key");
    }
    return false;
}

bool RequestFlow::checkHolds()
{
    this->suspect = makeSuspectRequest(this->head, this->request,
        this->organisation != nullptr ? this->organisation->name : "", this->body);
    return !this->refuseIfHeld();
}

bool RequestFlow::refuseIfHeld()
{
    const Hold *hold = this->state.crashes.findHold(this->suspect);
    if (hold == nullptr) {
        return false;
    }
    this->state.metrics.count("wigeonsill_requests_held_total");
    const bool isRequest = hold->identity != 0;
    this->refuse(isRequest ? ResultCode::RequestHeld : ResultCode::PartsHeld,
        isRequest ? "targets ended under this request"
                  : "targets ended under requests with the same prompt parts",
        heldReturnDelay(currentTime() - hold->since, this->state.uniformRandom()));
    return true;
}

bool RequestFlow::checkQuota()
{
    if (this->organisation == nullptr) {
        return true;
    }
    const double cost = quotaCost(*this->organisation, this->request);
    const auto refusal = this->state.quotas.admit(*this->organisation, cost, this->arrived);
    if (refusal) {
        DecisionLine line("entry", "over-quota");
        line.text("request", this->request.id)
            .text("organisation", this->organisation->name)
            .number("cost", cost)
            .number("allowance", refusal->allowance)
            .number("usage", refusal->usage)
            .number("demand_per_s", refusal->demand)
            .number("entries", this->state.quotas.sharingEntries())
            .text("shared_by", refusal->sharedByReports ? "reports" : "even-share")
            .ms("collector_age_ms", refusal->collectorAge);
        this->state.log.decision(line);
        this->refuse(ResultCode::QuotaExceeded, "the organisation's quota is exhausted",
            this->retryDelay(refusal->untilRoom));
        return false;
    }
    this->quotaCharged = cost;
    if (this->state.quotas.isReportDue()) {
        this->state.sendUsage();
    }
    return true;
}

void RequestFlow::placeRequest()
{
    this->state.retryBudget.recordRequest(this->service->name, this->arrived);
    this->maximumWait = this->waitEnd(Duration::zero());
    if (this->settleStreamVersion()) {
        this->place();
    }
}

Duration RequestFlow::waitEnd(Duration start) const
{
    const WaitPolicy &policy = this->state.settings.wait;
    const auto byObjective = std::chrono::duration_cast<Duration>(
        this->route->latencyObjective * policy.objectiveShare);
    const auto byLimit = std::chrono::duration_cast<Duration>(this->timeLimit * policy.limitShare);
    const Duration byCaller = this->takesUpStream() ? callersPatience : Duration::zero();
    return std::min(this->timeLimit, start + std::max({ byObjective, byLimit, byCaller }));
}

void RequestFlow::place()
{
    if (this->refuseIfHeld()) {
        return;
    }
    if (this->service->isEngine) {
        this->placeByReservation();
    } else {
        this->placeWithoutReservation();
    }
}

Duration RequestFlow::retryDelay(Duration untilRoom) const
{
    return callerReturnDelay(this->timeLeft(), untilRoom, this->state.uniformRandom());
}

void RequestFlow::refuse(ResultCode code, std::string_view detail, Duration retryAfter)
{
    if (this->mayHaveRun() || this->headSentToCaller) {
        this->fail(502, detail);
        return;
    }
    const auto self = this->shared_from_this();
    HttpResponse response = problemResponse(code, detail);
    if (retryAfter > Duration::zero()) {
        response.fields.push_back({ "Retry-After", fractionalSeconds(retryAfter) });
    }
    if (this->quotaCharged > 0) {
        this->state.quotas.refund(this->organisation->name, this->quotaCharged, currentTime());
    }
    CallerConnection *answeredCaller = this->caller;
    this->finish("refused", response.status, detail);
    answeredCaller->respond(response.status, {}, response.fields, response.body);
}

void RequestFlow::fail(int status, std::string_view detail)
{
    const auto self = this->shared_from_this();
    if (this->headSentToCaller) {
        // A second head would be read as part of the stream.
        this->abortAnswer(detail);
        return;
    }
    if (!this->mayHaveRun() && status == 504) {
        this->refuse(ResultCode::RequestExpired, detail, this->retryDelay());
        return;
    }
    CallerConnection *answeredCaller = this->caller;
    this->finish("failed", status, detail);
    answeredCaller->respond(status, {}, {}, {});
}

void RequestFlow::abortAnswer(std::string_view cause)
{
    const auto self = this->shared_from_this();
    CallerConnection *answeredCaller = this->caller;
    this->finish("broken-off", this->relayedHead.status, cause);
    answeredCaller->abort();
}

void RequestFlow::onCallerDisconnected()
{
    if (this->phase != Phase::Finished) {
        this->finish("caller-gone", 0, {});
    }
}

void RequestFlow::finishForShutdown()
{
    if (this->phase == Phase::Finished) {
        return;
    }
    this->refuse(ResultCode::Draining, "the process is about to exit", milliseconds(100));
}

void RequestFlow::finish(std::string_view outcome, int status, std::string_view detail)
{
    this->phase = Phase::Finished;
    this->state.permitWaiters.erase(this);
    this->state.streamVersions.stopAsking(*this);
    if (outcome == "answered" && this->streamVersion && this->streamId()) {
        this->state.streamVersions.recordEnded(*this->streamId());
    }
    this->timer.cancel();
    DecisionLine line("entry", "finished");
    line.text("request", this->request.id)
        .text("route", this->route != nullptr ? this->route->name : "")
        .text("outcome", outcome)
        .number("status", status)
        .ms("took_ms", this->elapsed())
        .number("attempts", this->attempts)
        .number("events", static_cast<double>(this->relayedEvents));
    if (this->timeToFirstEvent) {
        line.ms("first_event_ms", *this->timeToFirstEvent);
    }
    if (this->attempt) {
        line.text("target", this->attempt->target.id);
    }
    if (this->organisation != nullptr) {
        line.text("organisation", this->organisation->name);
    }
    if (!detail.empty()) {
        line.text("why", detail)
            .number("asked", static_cast<double>(this->reservations.size()))
            .number("prompt_tokens", this->request.promptTokens)
            .number("output_likely", this->request.estimatedOutputTokens())
            .ms("spent_before_ms", this->timeBeforeCallerRetry)
            .ms("configuration_age_ms", this->state.timeSinceConfirmation());
    }
    this->state.log.decision(line);
    if (this->service != nullptr && this->service->isEngine && outcome != "caller-gone") {
        this->state.served.recordOutcome(
            this->route->priority, this->requestSize(), outcome == "answered", currentTime());
    }
    this->state.metrics.count("wigeonsill_requests_total",
        "outcome=\"" + std::string(outcome) + "\",status=\"" + std::to_string(status) + "\"");
    this->state.metrics.sample(
        "wigeonsill_request_ms", {}, static_cast<double>(this->elapsed().count()) / 1'000);
    this->withdrawReservations();
    this->releaseTarget();
}

} // namespace wigeonsill
