/// \file asioeventport.h
/// Cap'n Proto's event loop on an io_context, and its byte stream over an Asio socket.
#pragma once

#include "wigeonsill/peer.h"

#include <kj/async-io.h>

namespace wigeonsill {

/// Lets an io_context drive a kj event loop: the loop runs as a handler whenever it has work.
class AsioEventPort final : public kj::EventPort
{
public:
    explicit AsioEventPort(boost::asio::io_context &context);

    /// \pre called before the loop has any work; the loop outlives the port's last handler.
    void attach(kj::EventLoop &loop);
    /// Handlers that are still queued do nothing afterwards.
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

/// Makes a kj stream of a connected socket.
kj::Own<kj::AsyncIoStream> makeAsioStream(boost::asio::ip::tcp::socket socket);

} // namespace wigeonsill
