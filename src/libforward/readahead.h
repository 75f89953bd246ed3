/// \file readahead.h
/// Paces the reading of answers of which the entry holds much.
#pragma once

#include "wigeonsill/util.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace wigeonsill {

class RequestFlow;

/// Gives the requests of which much is held their turns to read on, so that all of them together
/// take a bounded share of the process's time. What is held is of no use yet: its caller takes it
/// more slowly than the target gives it, or it is the begin of an event that does not end. Load
/// pattern: a hundred targets that send without end. Replayed by the testsuite's endless-answers.
/// Kept alive by its timer while requests wait. Not thread-safe.
class ReadAheadPacer : public std::enable_shared_from_this<ReadAheadPacer>
{
public:
    /// Bytes that a request may read at its turn.
    static constexpr std::size_t portion = 65'536;

    explicit ReadAheadPacer(boost::asio::io_context &io);
    /// Calls the request's readAhead() once, in its turn, unless it has ended by then. \pre the
    /// pacer is owned by a shared pointer.
    void enqueue(std::weak_ptr<RequestFlow> flow);

private:
    void startTimer();
    void onTimer();

    boost::asio::steady_timer timer;
    bool timerRunning = false;
    std::deque<std::weak_ptr<RequestFlow>> waiting;
};

} // namespace wigeonsill
