/// \file grantclient.cpp
/// Reservations at agents over UDP.
#include "grantclient.h"

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// An agent that left a reservation unanswered this long counts as silent: five times the round
/// trip between regions, and time for an agent whose processor share is used up.
constexpr Duration silenceTime = milliseconds(150);

} // namespace

GrantClient::GrantClient(
    asio::io_context &io, Metrics &counters, const ForwardEntrySettings &settings)
    : metrics(counters)
    , socket(io,
          asio::ip::udp::endpoint(
              asio::ip::make_address(settings.grantAddress), settings.grantPort))
    , port(settings.grantPort)
    , self(drawIncarnation().low)
{
    this->socket.non_blocking(true);
}

void GrantClient::start()
{
    this->receive();
}

std::uint64_t GrantClient::open(GrantListener &listener)
{
    const std::uint64_t ticket = this->nextTicket++;
    this->listeners[ticket] = &listener;
    return ticket;
}

void GrantClient::forget(std::uint64_t ticket)
{
    this->listeners.erase(ticket);
}

void GrantClient::reserve(const Target &target, const TicketProfile &profile)
{
    GrantMessage message;
    message.kind = GrantKind::Reserve;
    message.profile = profile;
    message.slots = target.slots;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return;
    }
    this->targetByAddress[endpoint.value().address()] = target.id;
    Peer &peer = this->peers[endpoint.value().address()];
    if (!peer.unansweredSince) {
        peer.unansweredSince = currentTime();
    }
    this->send(target, std::move(message));
}

void GrantClient::release(const Target &target, std::uint64_t ticket, std::uint32_t generated)
{
    GrantMessage message;
    message.kind = GrantKind::Release;
    message.generated = generated;
    message.profile.ticket.number = ticket;
    this->send(target, std::move(message));
}

void GrantClient::began(const Target &target, std::uint64_t ticket)
{
    GrantMessage message;
    message.kind = GrantKind::Began;
    message.profile.ticket.number = ticket;
    this->send(target, std::move(message));
}

void GrantClient::reportUsage(const Target &hub, const UsageByOrganisation &uses)
{
    GrantMessage message;
    message.kind = GrantKind::Usage;
    message.ownUse = uses;
    this->send(hub, std::move(message));
}

AgentView GrantClient::view(const Target &target, TimePoint now) const
{
    AgentView result;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return result;
    }
    const auto found = this->peers.find(endpoint.value().address());
    if (found == this->peers.end()) {
        return result;
    }
    const Peer &peer = found->second;
    result.load = peer.load;
    result.loadAge = now - peer.loadAt;
    result.silent = peer.unansweredSince && now - *peer.unansweredSince > silenceTime;
    return result;
}

void GrantClient::send(const Target &target, GrantMessage message)
{
    message.sender = this->self;
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        return;
    }
    this->sendTo({ endpoint.value().address(), this->port }, message);
}

void GrantClient::giveBack(const GrantMessage &granted, const asio::ip::udp::endpoint &agent)
{
    GrantMessage message;
    message.kind = GrantKind::Release;
    message.sender = this->self;
    message.profile.ticket.number = granted.profile.ticket.number;
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
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
        [this](const boost::system::error_code &error, std::size_t bytes) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                const auto message = decodeGrantMessage({ this->buffer.data(), bytes });
                if (message) {
                    this->handle(*message, this->sender);
                } else {
                    this->metrics.count("wigeonsill_grant_datagrams_malformed_total");
                }
            }
            this->receive();
        });
}

void GrantClient::handle(const GrantMessage &message, const asio::ip::udp::endpoint &from)
{
    Peer &peer = this->peers[from.address()];
    peer.unansweredSince.reset();
    if (message.kind == GrantKind::OthersUsage) {
        if (this->whenUsageReported) {
            this->whenUsageReported(message.usage);
        }
        return;
    }
    peer.load = message.load;
    peer.loadAt = currentTime();
    const auto listener = this->listeners.find(message.profile.ticket.number);
    if (listener == this->listeners.end()) {
        if (message.kind == GrantKind::Granted) {
            this->giveBack(message, from);
        }
        return;
    }
    const std::string targetId = this->targetByAddress[from.address()];
    switch (message.kind) {
    case GrantKind::Granted:
        if (!listener->second->onGranted(targetId)) {
            this->giveBack(message, from);
        }
        break;
    case GrantKind::Queued:
        listener->second->onQueued(targetId);
        break;
    case GrantKind::Declined:
        listener->second->onDeclined(targetId);
        break;
    default:
        break;
    }
}

} // namespace wigeonsill
