/// \file entryconnections.cpp
/// Connections of the entries to an agent.
#include "entryconnections.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {
constexpr Duration helloTimeout = seconds(5);
constexpr Duration acceptRetryInterval = milliseconds(50);
} // namespace

struct EntryConnections::ConnectionRecord
{
    std::shared_ptr<FrameConnection> connection;
    std::optional<EntryHello> hello;
    TimePoint acceptedAt;
};

EntryConnections::EntryConnections(DaemonContext daemonContext, AgentCore &agentCore,
    const asio::ip::tcp::endpoint &endpoint, std::function<void()> performCoreActions)
    : context(daemonContext)
    , core(agentCore)
    , acceptor(daemonContext.io, endpoint)
    , performActions(std::move(performCoreActions))
{
}

EntryConnections::~EntryConnections()
{
    for (const auto &[incarnation, record] : this->records) {
        record->connection->close();
    }
    for (const ConnectionRecordPointer &record : this->recordsWithoutHello) {
        record->connection->close();
    }
}

void EntryConnections::start()
{
    spawn(this->context.io, this->acceptLoop());
}

std::uint16_t EntryConnections::port() const
{
    return this->acceptor.local_endpoint().port();
}

void EntryConnections::send(const SendToEntry &action)
{
    const auto found = this->records.find(action.entry);
    if (found != this->records.end()) {
        std::string frame = encodeFrame(action.message);
        this->sentTraffic.add(action.message.index(), frame.size());
        found->second->connection->send(std::move(frame));
    }
}

void EntryConnections::publishTraffic()
{
    this->sentTraffic.publish(this->context.metrics);
    this->receivedTraffic.publish(this->context.metrics);
}

asio::awaitable<void> EntryConnections::acceptLoop()
{
    for (;;) {
        auto [error, socket]
            = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await this->pauseAccepting();
            continue;
        }
        this->closeConnectionsWithoutHello();
        this->addConnection(std::move(socket));
    }
}

asio::awaitable<void> EntryConnections::pauseAccepting()
{
    asio::steady_timer timer(this->context.io, acceptRetryInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void EntryConnections::closeConnectionsWithoutHello()
{
    const TimePoint now = currentTime();
    std::erase_if(this->recordsWithoutHello, [now](const ConnectionRecordPointer &record) {
        const bool timedOut = now - record->acceptedAt > helloTimeout;
        if (timedOut) {
            record->connection->close();
        }
        return timedOut;
    });
}

void EntryConnections::addConnection(asio::ip::tcp::socket socket)
{
    const auto record = std::make_shared<ConnectionRecord>();
    record->acceptedAt = currentTime();
    record->connection = FrameConnection::create(std::move(socket));
    this->recordsWithoutHello.push_back(record);
    FrameConnection::Handlers handlers;
    handlers.onFrame = [this, record](std::string_view frame) { this->onFrame(record, frame); };
    handlers.onClosed = [this, record](const Error &) { this->onClosed(record); };
    record->connection->start(std::move(handlers));
}

void EntryConnections::onFrame(const ConnectionRecordPointer &record, std::string_view frame)
{
    const Result<EntryFrame> decoded = decodeEntryFrame(frame);
    if (!decoded) {
        LOG4CPLUS_WARN(logger("agent.link"),
            "Received a malformed message: " << decoded.error().detail
                                             << "; closing the connection.");
        record->connection->close();
        this->onClosed(record);
        return;
    }
    if (const auto *hello = std::get_if<EntryHello>(&decoded.value())) {
        this->onHello(record, *hello);
    } else if (record->hello) {
        const auto &message = std::get<EntryMessage>(decoded.value());
        this->receivedTraffic.add(message.index(), frame.size());
        // The agent does not use the configuration, but passes its revision on in its heartbeats.
        if (const auto *heartbeat = std::get_if<EntryHeartbeat>(&message)) {
            this->core.setConfigurationRevision(heartbeat->configurationRevision);
        }
        this->core.receive(currentTime(), record->hello->incarnation, message);
    }
    this->performActions();
}

void EntryConnections::onHello(const ConnectionRecordPointer &record, const EntryHello &hello)
{
    std::erase(this->recordsWithoutHello, record);
    record->hello = hello;
    ConnectionRecordPointer &current = this->records[hello.incarnation];
    if (current && current != record) {
        current->connection->close();
    }
    current = record;
    LOG4CPLUS_INFO(logger("agent.link"), "Entry " << hello.location.instance << " connected.");
    record->connection->send(encodeFrame(AgentMessage(this->core.hello())));
    this->core.entryConnected(currentTime(), hello.incarnation);
}

void EntryConnections::onClosed(const ConnectionRecordPointer &record)
{
    std::erase(this->recordsWithoutHello, record);
    if (!record->hello) {
        return;
    }
    const auto found = this->records.find(record->hello->incarnation);
    if (found == this->records.end() || found->second != record) {
        return;
    }
    this->records.erase(found);
    LOG4CPLUS_INFO(
        logger("agent.link"), "Entry " << record->hello->location.instance << " disconnected.");
    this->core.entryDisconnected(currentTime(), record->hello->incarnation);
    this->performActions();
}

} // namespace wigeonsill
