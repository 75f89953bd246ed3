/// \file asioeventport.h
/// Integration of Cap'n Proto's event loop and byte streams with Asio.
#pragma once

#include "wigeonsill/peer.h"

#include <kj/async-io.h>

namespace wigeonsill {

/// Runs a kj event loop on an io_context: posts a handler that runs the loop whenever it has
/// events.
class AsioEventPort final : public kj::EventPort
{
public:
    explicit AsioEventPort(boost::asio::io_context &context);

    /// \pre called before the loop has any event; the loop remains valid until detach().
    void attach(kj::EventLoop &loop);
    /// Handlers that are still queued have no effect afterwards.
    void detach();

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;

private:
    struct State
    {
        kj::EventLoop *loop = nullptr;
        bool isPosted = false;
        bool isRunning = false;
    };
    static void run(State &state);

    boost::asio::io_context &context;
    std::shared_ptr<State> state = std::make_shared<State>();
};

/// Creates a kj stream that owns a connected socket.
kj::Own<kj::AsyncIoStream> makeAsioStream(boost::asio::ip::tcp::socket socket);

} // namespace wigeonsill
