/// \file targetprobe.h
/// Finds out whether a target's process has ended.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace wigeonsill {

/// Connects to a target and closes the sending side. A process that lives closes its side as well.
/// The system of one that was killed closes its connections before its listening socket, so that it
/// may accept a connection in between, which it then resets; the next one is refused. Keeps itself
/// alive until the handler was called. Not thread-safe.
class TargetProbe : public std::enable_shared_from_this<TargetProbe>
{
public:
    using Handler = std::function<void(bool refused)>;

    TargetProbe(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
        Handler whenDone)
        : endpoint(address)
        , socket(io)
        , timer(io)
        , handler(std::move(whenDone))
    {
    }
    /// \pre the object is owned by a shared pointer, and start() was not called before. The handler
    /// is called once, unless the io_context ends before. A target that doesn't answer counts as
    /// not refusing.
    void start() { this->connect(); }

private:
    void connect();
    void onConnected(const boost::system::error_code &error);
    /// Waits for the target to close its side, or to reset the connection.
    void awaitEnd();
    void onEnd(const boost::system::error_code &error);
    void startTimer(Duration time, void (TargetProbe::*onTime)());
    void finishLiving() { this->finish(false); }
    void finish(bool refused);

    boost::asio::ip::tcp::endpoint endpoint;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    Handler handler; ///< Empty once it was called.
    std::array<char, 16> readBuffer;
    int resets = 0;
};

} // namespace wigeonsill
