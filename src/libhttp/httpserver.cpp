/// \file httpserver.cpp
/// Accepting, counting and draining of connections.
#include "httpsession.h"

#include <list>

namespace wigeonsill {

namespace {
constexpr Duration acceptRetryInterval = milliseconds(50);
} // namespace

struct HttpServer::Private
{
    Private(asio::io_context &serverContext, const asio::ip::tcp::endpoint &endpoint)
        : context(serverContext)
        , acceptor(serverContext, endpoint)
    {
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    HttpHandler handler;
    HttpServerLimits limits;
    std::list<std::weak_ptr<HttpSession>> sessions;
    std::size_t connections = 0;
    bool draining = false;
};

namespace {

/// Serves one connection until it ends.
/// \pre state->connections already includes this connection.
template <class ServerState>
asio::awaitable<void> serveConnection(
    std::shared_ptr<ServerState> state, asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), state->handler, state->limits);
    if (state->draining) {
        session->closeAfterResponse();
    }
    const auto position = state->sessions.insert(state->sessions.end(), session);
    try {
        co_await session->run();
    } catch (const std::exception &exception) {
        LOG4CPLUS_ERROR(logger("http"),
            "Connection closed after an unhandled exception: " << exception.what() << ".");
        session->abort();
    }
    --state->connections;
    state->sessions.erase(position);
}

asio::awaitable<void> pauseFor(asio::io_context &context, Duration duration)
{
    asio::steady_timer timer(context, duration);
    co_await timer.async_wait(useTuple);
}

/// Accepts the connections in the listen queue, since closing the acceptor would reset them.
template <class ServerState>
void acceptPending(const std::shared_ptr<ServerState> &state)
{
    error_code error;
    state->acceptor.non_blocking(true, error);
    while (!error && state->connections < state->limits.connections) {
        asio::ip::tcp::socket socket = state->acceptor.accept(error);
        if (!error) {
            ++state->connections;
            spawn(state->context, serveConnection(state, std::move(socket)));
        }
    }
}

template <class ServerState>
asio::awaitable<void> acceptLoop(std::shared_ptr<ServerState> state)
{
    while (!state->draining) {
        auto [error, socket] = co_await state->acceptor.async_accept(useTuple);
        if (error) {
            if (error == asio::error::operation_aborted || !state->acceptor.is_open()) {
                break;
            }
            LOG4CPLUS_WARN(
                logger("http"), "Failed to accept a connection: " << error.message() << ".");
            co_await pauseFor(state->context, acceptRetryInterval);
            continue;
        }
        if (state->connections >= state->limits.connections) {
            socket.close();
            continue;
        }
        ++state->connections;
        spawn(state->context, serveConnection(state, std::move(socket)));
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
    HttpHandler handler, const HttpServerLimits &limits)
    : d(std::make_shared<Private>(context, endpoint))
{
    this->d->handler = std::move(handler);
    this->d->limits = limits;
}

HttpServer::~HttpServer()
{
    this->drain();
}

void HttpServer::start()
{
    spawn(this->d->context, acceptLoop(this->d));
}

asio::ip::tcp::endpoint HttpServer::endpoint() const
{
    return this->d->acceptor.local_endpoint();
}

void HttpServer::drain()
{
    if (this->d->draining) {
        return;
    }
    this->d->draining = true;
    acceptPending(this->d);
    error_code ignored;
    this->d->acceptor.close(ignored);
    for (const std::weak_ptr<HttpSession> &weak : this->d->sessions) {
        if (const auto session = weak.lock()) {
            session->drain();
        }
    }
}

std::size_t HttpServer::connectionCount() const
{
    return this->d->connections;
}

} // namespace wigeonsill
