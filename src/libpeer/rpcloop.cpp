/// \file rpcloop.cpp
/// Owner of a thread's kj event loop.
#include "asioeventport.h"

#include <kj/async.h>

namespace wigeonsill {

struct RpcLoop::Private
{
    explicit Private(boost::asio::io_context &loopContext)
        : context(loopContext)
        , port(loopContext)
        , loop(port)
        , scope(loop)
    {
        this->port.attach(this->loop);
    }

    ~Private() { this->port.detach(); }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    boost::asio::io_context &context;
    AsioEventPort port;
    kj::EventLoop loop;
    kj::WaitScope scope;
};

RpcLoop::RpcLoop(boost::asio::io_context &context)
    : d(std::make_unique<Private>(context))
{
}

RpcLoop::~RpcLoop() = default;

boost::asio::io_context &RpcLoop::context()
{
    return this->d->context;
}

} // namespace wigeonsill
