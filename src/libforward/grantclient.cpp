/// \file grantclient.cpp
/// Reservations at agents over UDP.
#include "grantclient.h"

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// An agent that left a reservation unanswered this long is considered unresponsive: five round
/// trips between regions, plus time for an agent whose CPU quota is exhausted.
constexpr Duration agentTimeout = milliseconds(150);
/// With at least this many agents asked and no answer from any, all agents are taken for lost.
constexpr std::size_t silentAgentsForAll = 3;

} // namespace

GrantClient::GrantClient(asio::io_context &io, Metrics &counters,
    const ForwardEntrySettings &settings, const StatedRates &statedRates)
    : metrics(counters)
    , rates(statedRates)
    , socket(io,
          asio::ip::udp::endpoint(
              asio::ip::make_address(settings.grantAddress), settings.grantPort))
    , agentPort(settings.grantPort)
    , senderId(generateIncarnation().low)
{
    this->socket.non_blocking(true);
}

void GrantClient::start()
{
    this->receive();
}

std::uint64_t GrantClient::registerReservationId(GrantListener &listener)
{
    const std::uint64_t reservationId = this->nextReservationId++;
    this->listeners[reservationId] = &listener;
    return reservationId;
}

void GrantClient::unregisterReservationId(std::uint64_t reservationId)
{
    this->listeners.erase(reservationId);
}

GrantMessage GrantClient::messageTo(const Target &target, GrantKind kind) const
{
    GrantMessage message;
    message.kind = kind;
    if (const RateStatement *statement = this->rates.find(target)) {
        message.rates.push_back(*statement);
    }
    return message;
}

void GrantClient::reserve(const Target &target, const ReservationProfile &profile)
{
    GrantMessage message = this->messageTo(target, GrantKind::Reserve);
    message.profile = profile;
    message.slots = target.slots;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return;
    }
    this->targetByAddress[endpoint.value().address()] = target.id;
    AgentRecord &record = this->agents[endpoint.value().address()];
    if (!record.unansweredSince) {
        record.unansweredSince = currentTime();
    }
    if (this->askedSinceAnswer.empty()) {
        this->firstAskedAt = currentTime();
    }
    this->askedSinceAnswer.insert(endpoint.value().address());
    this->send(target, std::move(message));
}

void GrantClient::withdraw(const Target &target, std::uint64_t reservationId)
{
    GrantMessage message = this->messageTo(target, GrantKind::Release);
    message.unused = true;
    message.profile.reservationId.number = reservationId;
    this->send(target, std::move(message));
}

void GrantClient::release(
    const Target &target, std::uint64_t reservationId, std::uint32_t generated)
{
    GrantMessage message = this->messageTo(target, GrantKind::Release);
    message.generated = generated;
    message.profile.reservationId.number = reservationId;
    this->send(target, std::move(message));
}

void GrantClient::reportFirstEvent(const Target &target, std::uint64_t reservationId)
{
    GrantMessage message = this->messageTo(target, GrantKind::Began);
    message.profile.reservationId.number = reservationId;
    this->send(target, std::move(message));
}

void GrantClient::reportUsage(
    const Target &collector, const UsageByOrganisation &uses, std::uint64_t crashDigest)
{
    GrantMessage message;
    message.kind = GrantKind::Usage;
    message.ownUsage = uses;
    message.crashDigest = crashDigest;
    message.rates = this->rates.received();
    this->send(collector, std::move(message));
}

void GrantClient::requestPermits(
    const Target &issuer, const RateStatement &statement, int wanted, bool asDeputy)
{
    GrantMessage message;
    message.kind = GrantKind::PermitRequest;
    message.targetId = statement.targetId;
    message.rates.push_back(statement);
    message.permits.permits = wanted;
    message.asDeputy = asDeputy;
    this->metrics.count("wigeonsill_permits_asked_total", {}, wanted);
    this->send(issuer, std::move(message));
}

void GrantClient::sendCrashReports(
    const asio::ip::address &agent, const std::vector<GrantMessage> &messages)
{
    for (GrantMessage message : messages) {
        message.sender = this->senderId;
        this->sendTo({ agent, this->agentPort }, message);
    }
}

void GrantClient::sendCrashReports(const Target &target, const std::vector<GrantMessage> &messages)
{
    if (const auto endpoint = parseEndpoint(target.address)) {
        this->sendCrashReports(endpoint.value().address(), messages);
    }
}

void GrantClient::queryTarget(const Target &target)
{
    GrantMessage message;
    message.kind = GrantKind::TargetQuery;
    message.targetId = target.id;
    message.load.startedMs = target.startedMs;
    this->send(target, std::move(message));
}

void GrantClient::shareStreamVersion(
    const Target &keeper, std::uint64_t stream, const std::string &version, bool isOnlyVersion)
{
    if (const auto endpoint = parseEndpoint(keeper.address)) {
        this->shareStreamVersion(
            asio::ip::udp::endpoint(endpoint.value().address(), this->agentPort), stream, version,
            isOnlyVersion);
    }
}

void GrantClient::shareStreamVersion(const asio::ip::udp::endpoint &agent, std::uint64_t stream,
    const std::string &version, bool isOnlyVersion)
{
    GrantMessage message;
    message.kind = GrantKind::StreamBegan;
    message.sender = this->senderId;
    message.stream = stream;
    message.version = version;
    message.isOnlyVersion = isOnlyVersion;
    this->sendTo(agent, message);
}

void GrantClient::queryStreamVersion(
    const Target &keeper, std::uint64_t stream, bool shouldAskEntries)
{
    GrantMessage message;
    message.kind = GrantKind::StreamQuery;
    message.stream = stream;
    message.shouldAskEntries = shouldAskEntries;
    this->send(keeper, std::move(message));
}

void GrantClient::sendRollout(const asio::ip::udp::endpoint &entry, GrantMessage message)
{
    message.sender = this->senderId;
    this->sendTo(entry, message);
}

AgentView GrantClient::view(const Target &target, TimePoint now) const
{
    AgentView result;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return result;
    }
    result.unresponsive = this->areAllAgentsSilent(now);
    const auto found = this->agents.find(endpoint.value().address());
    if (found == this->agents.end()) {
        return result;
    }
    const AgentRecord &record = found->second;
    result.load = record.load;
    result.loadAge = now - record.loadReceivedAt;
    result.unresponsive = result.unresponsive
        || (record.unansweredSince && now - *record.unansweredSince > agentTimeout);
    return result;
}

bool GrantClient::areAllAgentsSilent(TimePoint now) const
{
    return this->askedSinceAnswer.size() >= silentAgentsForAll
        && now - this->firstAskedAt > agentTimeout;
}

void GrantClient::send(const Target &target, GrantMessage message)
{
    message.sender = this->senderId;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return;
    }
    this->sendTo({ endpoint.value().address(), this->agentPort }, message);
}

void GrantClient::returnGrant(const GrantMessage &granted, const asio::ip::udp::endpoint &agent)
{
    GrantMessage message;
    message.kind = GrantKind::Release;
    message.unused = true;
    message.sender = this->senderId;
    message.profile.reservationId.number = granted.profile.reservationId.number;
    this->metrics.count("wigeonsill_grants_given_back_total");
    this->sendTo(agent, message);
}

void GrantClient::sendTo(const asio::ip::udp::endpoint &agent, const GrantMessage &message)
{
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(encode(message)), agent, 0, error);
    if (error) {
        this->metrics.count("wigeonsill_grant_datagrams_unsent_total");
    }
}

void GrantClient::receive()
{
    this->socket.async_receive_from(asio::buffer(this->buffer), this->receivedFrom,
        [this](const boost::system::error_code &error, std::size_t bytes) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                const auto message = decodeGrantMessage({ this->buffer.data(), bytes });
                if (message) {
                    this->handle(*message, this->receivedFrom);
                } else {
                    this->metrics.count("wigeonsill_grant_datagrams_malformed_total");
                }
            }
            this->receive();
        });
}

void GrantClient::handle(const GrantMessage &message, const asio::ip::udp::endpoint &from)
{
    if (message.kind == GrantKind::RolloutReport || message.kind == GrantKind::RolloutDirective) {
        // From an entry, which says nothing about agents.
        if (this->onRollout) {
            this->onRollout(message, from);
        }
        return;
    }
    AgentRecord &record = this->agents[from.address()];
    record.unansweredSince.reset();
    this->askedSinceAnswer.clear();
    const bool isUsage = message.kind == GrantKind::OthersUsage;
    if (isUsage && this->onUsageReported) {
        UsageReport report = message.usage;
        report.collector = message.sender;
        this->onUsageReported(report);
    }
    if (isUsage && this->onRates) {
        this->onRates(message.rates);
    }
    if (message.kind == GrantKind::StreamOrigin) {
        if (this->onStreamOrigin) {
            this->onStreamOrigin(message, from.address());
        }
        return;
    }
    if (message.kind == GrantKind::StreamQuery) {
        if (this->onStreamQuery) {
            this->onStreamQuery(message.stream, from);
        }
        return;
    }
    if (message.kind == GrantKind::Permits) {
        if (this->onPermits) {
            this->onPermits(message);
        }
        return;
    }
    if (isUsage || message.kind == GrantKind::CrashReports) {
        if (this->onCrashReports) {
            this->onCrashReports(message, from.address());
        }
        return;
    }
    if (message.kind == GrantKind::TargetState) {
        if (this->onTargetState) {
            this->onTargetState(message.targetId, message.targetEnded);
        }
        return;
    }
    record.load = message.load;
    record.loadReceivedAt = currentTime();
    this->handleReservationAnswer(message, from);
}

void GrantClient::handleReservationAnswer(
    const GrantMessage &message, const asio::ip::udp::endpoint &from)
{
    const std::uint64_t reservationId = message.profile.reservationId.number;
    const auto listener = this->listeners.find(reservationId);
    if (listener == this->listeners.end()) {
        if (message.kind == GrantKind::Granted) {
            this->returnGrant(message, from);
        }
        return;
    }
    const std::string targetId = this->targetByAddress[from.address()];
    switch (message.kind) {
    case GrantKind::Granted:
        if (!listener->second->onGranted(reservationId, targetId)) {
            this->returnGrant(message, from);
        }
        break;
    case GrantKind::Queued:
        listener->second->onQueued(reservationId, targetId);
        break;
    case GrantKind::Declined:
        listener->second->onDeclined(reservationId, targetId);
        break;
    default:
        break;
    }
}

} // namespace wigeonsill
