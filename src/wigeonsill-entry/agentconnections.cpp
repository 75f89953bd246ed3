/// \file agentlinks.cpp
/// The entry's connections to the agents.
#include "agentlinks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {
constexpr Duration connectTimeout = seconds(2);
constexpr Duration helloTimeout = seconds(3);
constexpr Duration retryInterval = milliseconds(500);
/// An agent that is no longer listed is still tried for this long after its connection was lost,
/// since requests may be bound to it.
constexpr Duration unlistedRetryTime = seconds(10);
} // namespace

struct AgentLinks::Link
{
    explicit Link(asio::io_context &io)
        : wake(io)
    {
    }

    std::string name;
    asio::ip::tcp::endpoint endpoint;
    std::shared_ptr<FrameConnection> connection;
    std::uint64_t attempt = 0; ///< Number of the present connection; older ones are ignored.
    std::optional<Incarnation> incarnation; ///< Known once the agent's hello has come.
    TimePoint connectedAt;
    TimePoint closedAt;
    bool listed = true;
    asio::steady_timer wake;
};

AgentLinks::AgentLinks(DaemonContext daemonContext, EntryCore &entryCore, EntryHello entryHello,
    std::function<void()> corePump)
    : context(daemonContext)
    , core(entryCore)
    , hello(std::move(entryHello))
    , pump(std::move(corePump))
{
}

AgentLinks::~AgentLinks()
{
    for (const auto &[name, link] : this->links) {
        if (link->connection) {
            link->connection->close();
        }
    }
}

void AgentLinks::update(const std::vector<ListedInstance> &instances)
{
    for (const auto &[name, link] : this->links) {
        link->listed = false;
    }
    for (const ListedInstance &instance : instances) {
        if (instance.role != "agent") {
            continue;
        }
        LinkPointer &link = this->links[instance.name];
        const bool isNew = link == nullptr;
        if (isNew) {
            link = std::make_shared<Link>(this->context.io);
            link->name = instance.name;
        }
        const bool moved = link->endpoint != instance.endpoint;
        link->endpoint = instance.endpoint;
        link->listed = true;
        this->core.agentLeaving(currentTime(), instance.name, instance.leaving);
        if (isNew) {
            spawn(this->context.io, this->keepConnected(link));
        } else if (moved) {
            this->reconnect(instance.name);
        }
    }
    this->pump();
}

void AgentLinks::whenRevisionHeard(std::function<void(std::uint64_t)> function)
{
    this->revisionHeard = std::move(function);
}

void AgentLinks::send(const SendToAgent &action)
{
    const auto found = this->links.find(action.agent);
    if (found != this->links.end() && found->second->connection && found->second->incarnation) {
        std::string frame = encodeFrame(action.message);
        this->sentTraffic.add(action.message.index(), frame.size());
        found->second->connection->send(std::move(frame));
    }
}

void AgentLinks::publishTraffic()
{
    this->sentTraffic.publish(this->context.metrics);
    this->receivedTraffic.publish(this->context.metrics);
}

boost::json::object AgentLinks::dumpTraffic() const
{
    return { { "sent", this->sentTraffic.toJson() },
        { "received", this->receivedTraffic.toJson() } };
}

void AgentLinks::reconnect(const std::string &agent)
{
    const auto found = this->links.find(agent);
    if (found == this->links.end() || !found->second->connection) {
        return;
    }
    const LinkPointer link = found->second;
    link->connection->close();
    this->onClosed(link, link->attempt, { ResultCode::ConnectionClosed, "replaced" });
}

asio::awaitable<void> AgentLinks::keepConnected(LinkPointer link)
{
    boost::system::error_code ignored;
    while (link->connection || link->listed || currentTime() - link->closedAt < unlistedRetryTime) {
        if (!link->connection) {
            boost::beast::tcp_stream stream(this->context.io);
            stream.expires_after(connectTimeout);
            auto [error] = co_await stream.async_connect(
                link->endpoint, asio::as_tuple(asio::use_awaitable));
            if (error) {
                LOG4CPLUS_DEBUG(logger("entry.link"),
                    "No connection to agent " << link->name << ": " << error.message() << ".");
            } else {
                this->attach(link, stream.release_socket());
            }
        }
        const bool helloMissing = link->connection && !link->incarnation;
        if (helloMissing && currentTime() - link->connectedAt > helloTimeout) {
            this->reconnect(link->name);
        }
        link->wake.expires_after(retryInterval);
        co_await link->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->links.erase(link->name);
}

void AgentLinks::attach(const LinkPointer &link, asio::ip::tcp::socket socket)
{
    const std::uint64_t attempt = ++link->attempt;
    link->connectedAt = currentTime();
    link->incarnation.reset();
    link->connection = FrameConnection::create(std::move(socket));
    FrameConnection::Handlers handlers;
    handlers.onFrame
        = [this, link, attempt](std::string_view frame) { this->onFrame(link, attempt, frame); };
    handlers.onClosed
        = [this, link, attempt](const Error &error) { this->onClosed(link, attempt, error); };
    link->connection->start(std::move(handlers));
    link->connection->send(encodeFrame(EntryFrame(this->hello)));
}

void AgentLinks::onFrame(const LinkPointer &link, std::uint64_t attempt, std::string_view frame)
{
    if (attempt != link->attempt) {
        return;
    }
    const Result<AgentMessage> message = decodeAgentFrame(frame);
    if (!message) {
        LOG4CPLUS_WARN(logger("entry.link"),
            "Agent " << link->name << " sent a malformed message: " << message.error().detail
                     << ".");
        this->reconnect(link->name);
        return;
    }
    this->receivedTraffic.add(message.value().index(), frame.size());
    if (const auto *heartbeat = std::get_if<AgentHeartbeat>(&message.value())) {
        this->revisionHeard(heartbeat->configurationRevision);
    }
    const TimePoint now = currentTime();
    if (const auto *agentHello = std::get_if<AgentHello>(&message.value())) {
        if (agentHello->location.instance != link->name) {
            LOG4CPLUS_WARN(logger("entry.link"),
                "Agent " << agentHello->location.instance << " answers in place of " << link->name
                         << ".");
            this->reconnect(link->name);
            return;
        }
        link->incarnation = agentHello->incarnation;
        LOG4CPLUS_INFO(logger("entry.link"), "Connected to agent " << link->name << ".");
        this->core.agentConnected(now, *agentHello);
    } else if (link->incarnation) {
        this->core.receive(now, link->name, *link->incarnation, message.value());
    }
    this->pump();
}

void AgentLinks::onClosed(const LinkPointer &link, std::uint64_t attempt, const Error &error)
{
    if (attempt != link->attempt) {
        return;
    }
    ++link->attempt;
    link->closedAt = currentTime();
    link->connection.reset();
    link->incarnation.reset();
    LOG4CPLUS_INFO(
        logger("entry.link"), "Lost agent " << link->name << ": " << error.detail << ".");
    this->core.agentDisconnected(currentTime(), link->name);
    link->wake.cancel();
    this->pump();
}

} // namespace wigeonsill
