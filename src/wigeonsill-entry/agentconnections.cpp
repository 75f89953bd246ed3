/// \file agentconnections.cpp
/// Connections of an entry to the agents.
#include "agentconnections.h"

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
constexpr Duration connectionCheckInterval = milliseconds(500);
/// How long to try to reconnect to an agent that is no longer listed: requests may still be bound
/// to it.
constexpr Duration unlistedReconnectTime = seconds(10);
} // namespace

struct AgentConnections::AgentRecord
{
    explicit AgentRecord(asio::io_context &io)
        : reconnectTimer(io)
    {
    }

    std::string name;
    asio::ip::tcp::endpoint endpoint;
    std::shared_ptr<FrameConnection> connection;
    std::uint64_t connectionNumber = 0; ///< Current connection; events of earlier ones are ignored.
    std::optional<Incarnation> incarnation; ///< Set once the agent's hello has been received.
    TimePoint connectedAt;
    TimePoint closedAt;
    bool listed = true;
    asio::steady_timer reconnectTimer; ///< Cancelled to reconnect at once.
};

AgentConnections::AgentConnections(DaemonContext daemonContext, EntryCore &entryCore,
    EntryHello entryHello, std::function<void()> performCoreActions)
    : context(daemonContext)
    , core(entryCore)
    , hello(std::move(entryHello))
    , performActions(std::move(performCoreActions))
{
}

AgentConnections::~AgentConnections()
{
    for (const auto &[name, record] : this->records) {
        if (record->connection) {
            record->connection->close();
        }
    }
}

void AgentConnections::updateInstances(const std::vector<ListedInstance> &instances)
{
    for (const auto &[name, record] : this->records) {
        record->listed = false;
    }
    for (const ListedInstance &instance : instances) {
        if (instance.role != "agent") {
            continue;
        }
        AgentRecordPointer &record = this->records[instance.name];
        const bool isNew = record == nullptr;
        if (isNew) {
            record = std::make_shared<AgentRecord>(this->context.io);
            record->name = instance.name;
        }
        const bool endpointChanged = record->endpoint != instance.endpoint;
        record->endpoint = instance.endpoint;
        record->listed = true;
        this->core.setAgentLeaving(currentTime(), instance.name, instance.leaving);
        if (isNew) {
            spawn(this->context.io, this->maintainConnection(record));
        } else if (endpointChanged) {
            this->reconnect(instance.name);
        }
    }
    this->performActions();
}

void AgentConnections::setRevisionHandler(std::function<void(std::uint64_t)> function)
{
    this->revisionHandler = std::move(function);
}

void AgentConnections::send(const SendToAgent &action)
{
    const auto found = this->records.find(action.agent);
    if (found != this->records.end() && found->second->connection && found->second->incarnation) {
        std::string frame = encodeFrame(action.message);
        this->sentTraffic.add(action.message.index(), frame.size());
        found->second->connection->send(std::move(frame));
    }
}

void AgentConnections::publishTraffic()
{
    this->sentTraffic.publish(this->context.metrics);
    this->receivedTraffic.publish(this->context.metrics);
}

boost::json::object AgentConnections::dumpTraffic() const
{
    return { { "sent", this->sentTraffic.toJson() },
        { "received", this->receivedTraffic.toJson() } };
}

void AgentConnections::reconnect(const std::string &agent)
{
    const auto found = this->records.find(agent);
    if (found == this->records.end() || !found->second->connection) {
        return;
    }
    const AgentRecordPointer record = found->second;
    record->connection->close();
    this->onClosed(record, record->connectionNumber,
        { ResultCode::ConnectionClosed, "replaced by a new connection" });
}

asio::awaitable<void> AgentConnections::maintainConnection(AgentRecordPointer record)
{
    boost::system::error_code ignored;
    while (record->connection || record->listed
        || currentTime() - record->closedAt < unlistedReconnectTime) {
        if (!record->connection) {
            boost::beast::tcp_stream stream(this->context.io);
            stream.expires_after(connectTimeout);
            auto [error] = co_await stream.async_connect(
                record->endpoint, asio::as_tuple(asio::use_awaitable));
            if (error) {
                LOG4CPLUS_DEBUG(logger("entry.link"),
                    "Failed to connect to agent " << record->name << ": " << error.message()
                                                  << ".");
            } else {
                this->startConnection(record, stream.release_socket());
            }
        }
        const bool helloMissing = record->connection && !record->incarnation;
        if (helloMissing && currentTime() - record->connectedAt > helloTimeout) {
            this->reconnect(record->name);
        }
        record->reconnectTimer.expires_after(connectionCheckInterval);
        co_await record->reconnectTimer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->records.erase(record->name);
}

void AgentConnections::startConnection(
    const AgentRecordPointer &record, asio::ip::tcp::socket socket)
{
    const std::uint64_t connectionNumber = ++record->connectionNumber;
    record->connectedAt = currentTime();
    record->incarnation.reset();
    record->connection = FrameConnection::create(std::move(socket));
    FrameConnection::Handlers handlers;
    handlers.onFrame = [this, record, connectionNumber](std::string_view frame) {
        this->onFrame(record, connectionNumber, frame);
    };
    handlers.onClosed = [this, record, connectionNumber](const Error &error) {
        this->onClosed(record, connectionNumber, error);
    };
    record->connection->start(std::move(handlers));
    record->connection->send(encodeFrame(EntryFrame(this->hello)));
}

void AgentConnections::onFrame(
    const AgentRecordPointer &record, std::uint64_t connectionNumber, std::string_view frame)
{
    if (connectionNumber != record->connectionNumber) {
        return;
    }
    const Result<AgentMessage> message = decodeAgentFrame(frame);
    if (!message) {
        LOG4CPLUS_WARN(logger("entry.link"),
            "Agent " << record->name << " sent a malformed message: " << message.error().detail
                     << ".");
        this->reconnect(record->name);
        return;
    }
    this->receivedTraffic.add(message.value().index(), frame.size());
    if (const auto *heartbeat = std::get_if<AgentHeartbeat>(&message.value())) {
        this->revisionHandler(heartbeat->configurationRevision);
    }
    const TimePoint now = currentTime();
    if (const auto *agentHello = std::get_if<AgentHello>(&message.value())) {
        if (agentHello->location.instance != record->name) {
            LOG4CPLUS_WARN(logger("entry.link"),
                "Agent " << agentHello->location.instance << " answered at the endpoint of agent "
                         << record->name << "; reconnecting.");
            this->reconnect(record->name);
            return;
        }
        record->incarnation = agentHello->incarnation;
        LOG4CPLUS_INFO(logger("entry.link"), "Connected to agent " << record->name << ".");
        this->core.agentConnected(now, *agentHello);
    } else if (record->incarnation) {
        this->core.receive(now, record->name, *record->incarnation, message.value());
    }
    this->performActions();
}

void AgentConnections::onClosed(
    const AgentRecordPointer &record, std::uint64_t connectionNumber, const Error &error)
{
    if (connectionNumber != record->connectionNumber) {
        return;
    }
    ++record->connectionNumber;
    record->closedAt = currentTime();
    record->connection.reset();
    record->incarnation.reset();
    LOG4CPLUS_INFO(logger("entry.link"),
        "Disconnected from agent " << record->name << ": " << error.detail << ".");
    this->core.agentDisconnected(currentTime(), record->name);
    record->reconnectTimer.cancel();
    this->performActions();
}

} // namespace wigeonsill
