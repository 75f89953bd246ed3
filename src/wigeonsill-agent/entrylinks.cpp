/// \file entrylinks.cpp
/// The agent's connections from the entries.
#include "entrylinks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {
constexpr Duration helloTimeout = seconds(5);
constexpr Duration acceptRetryInterval = milliseconds(50);
} // namespace

struct EntryLinks::Link
{
    std::shared_ptr<FrameConnection> connection;
    std::optional<EntryHello> hello;
    TimePoint acceptedAt;
};

EntryLinks::EntryLinks(DaemonContext daemonContext, AgentCore &agentCore,
    const asio::ip::tcp::endpoint &endpoint, std::function<void()> corePump)
    : context(daemonContext)
    , core(agentCore)
    , acceptor(daemonContext.io, endpoint)
    , pump(std::move(corePump))
{
}

EntryLinks::~EntryLinks()
{
    for (const auto &[incarnation, link] : this->links) {
        link->connection->close();
    }
    for (const LinkPointer &link : this->newcomers) {
        link->connection->close();
    }
}

void EntryLinks::start()
{
    spawn(this->context.io, this->acceptLoop());
}

std::uint16_t EntryLinks::port() const
{
    return this->acceptor.local_endpoint().port();
}

void EntryLinks::send(const SendToEntry &action)
{
    const auto found = this->links.find(action.entry);
    if (found != this->links.end()) {
        std::string frame = encodeFrame(action.message);
        this->sentTraffic.add(action.message.index(), frame.size());
        found->second->connection->send(std::move(frame));
    }
}

void EntryLinks::publishTraffic()
{
    this->sentTraffic.publish(this->context.metrics);
    this->receivedTraffic.publish(this->context.metrics);
}

asio::awaitable<void> EntryLinks::acceptLoop()
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
        this->dropSilentNewcomers();
        this->attach(std::move(socket));
    }
}

asio::awaitable<void> EntryLinks::pauseAccepting()
{
    asio::steady_timer timer(this->context.io, acceptRetryInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void EntryLinks::dropSilentNewcomers()
{
    const TimePoint now = currentTime();
    std::erase_if(this->newcomers, [now](const LinkPointer &link) {
        const bool silent = now - link->acceptedAt > helloTimeout;
        if (silent) {
            link->connection->close();
        }
        return silent;
    });
}

void EntryLinks::attach(asio::ip::tcp::socket socket)
{
    const auto link = std::make_shared<Link>();
    link->acceptedAt = currentTime();
    link->connection = FrameConnection::create(std::move(socket));
    this->newcomers.push_back(link);
    FrameConnection::Handlers handlers;
    handlers.onFrame = [this, link](std::string_view frame) { this->onFrame(link, frame); };
    handlers.onClosed = [this, link](const Error &) { this->onClosed(link); };
    link->connection->start(std::move(handlers));
}

void EntryLinks::onFrame(const LinkPointer &link, std::string_view frame)
{
    const Result<EntryFrame> decoded = decodeEntryFrame(frame);
    if (!decoded) {
        LOG4CPLUS_WARN(
            logger("agent.link"), "A malformed message came: " << decoded.error().detail << ".");
        link->connection->close();
        this->onClosed(link);
        return;
    }
    if (const auto *hello = std::get_if<EntryHello>(&decoded.value())) {
        this->onHello(link, *hello);
    } else if (link->hello) {
        const auto &message = std::get<EntryMessage>(decoded.value());
        this->receivedTraffic.add(message.index(), frame.size());
        // An agent has no use for the configuration, but its heartbeats carry the revision on.
        if (const auto *heartbeat = std::get_if<EntryHeartbeat>(&message)) {
            this->core.setConfigurationRevision(heartbeat->configurationRevision);
        }
        this->core.receive(currentTime(), link->hello->incarnation, message);
    }
    this->pump();
}

void EntryLinks::onHello(const LinkPointer &link, const EntryHello &hello)
{
    std::erase(this->newcomers, link);
    link->hello = hello;
    LinkPointer &present = this->links[hello.incarnation];
    if (present && present != link) {
        present->connection->close();
    }
    present = link;
    LOG4CPLUS_INFO(logger("agent.link"), "Entry " << hello.location.instance << " is connected.");
    link->connection->send(encodeFrame(AgentMessage(this->core.hello())));
    this->core.entryConnected(currentTime(), hello.incarnation);
}

void EntryLinks::onClosed(const LinkPointer &link)
{
    std::erase(this->newcomers, link);
    if (!link->hello) {
        return;
    }
    const auto found = this->links.find(link->hello->incarnation);
    if (found == this->links.end() || found->second != link) {
        return;
    }
    this->links.erase(found);
    LOG4CPLUS_INFO(logger("agent.link"), "Entry " << link->hello->location.instance << " is gone.");
    this->core.entryDisconnected(currentTime(), link->hello->incarnation);
    this->pump();
}

} // namespace wigeonsill
