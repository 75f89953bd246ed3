/// \file asioeventport.cpp
/// kj::EventPort on an io_context.
#include "asioeventport.h"

#include <boost/asio/post.hpp>
#include <kj/async.h>

namespace wigeonsill {

namespace asio = boost::asio;

AsioEventPort::AsioEventPort(asio::io_context &portContext)
    : context(portContext)
{
}

void AsioEventPort::attach(kj::EventLoop &loop)
{
    this->state->loop = &loop;
}

void AsioEventPort::detach()
{
    this->state->loop = nullptr;
}

bool AsioEventPort::wait()
{
    this->context.run_one();
    return false;
}

bool AsioEventPort::poll()
{
    this->context.poll();
    return false;
}

void AsioEventPort::setRunnable(bool runnable)
{
    if (!runnable || this->state->isPosted) {
        return;
    }
    this->state->isPosted = true;
    asio::post(this->context, [sharedState = this->state] { run(*sharedState); });
}

void AsioEventPort::run(State &state)
{
    state.isPosted = false;
    if (state.loop == nullptr || state.isRunning) {
        return;
    }
    state.isRunning = true;
    state.loop->run();
    state.isRunning = false;
}

} // namespace wigeonsill
