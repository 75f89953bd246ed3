/// \file readahead.cpp
/// Paces the reading of answers of which the entry holds much.
#include "readahead.h"

#include "requestflow.h"

namespace wigeonsill {

namespace {

constexpr Duration turnInterval = milliseconds(5);
/// Portions that are read in one interval: 26 MB/s, which takes about a twentieth of the process's
/// time.
constexpr int portionsPerInterval = 2;

} // namespace

ReadAheadPacer::ReadAheadPacer(boost::asio::io_context &io)
    : timer(io)
{
}

void ReadAheadPacer::enqueue(std::weak_ptr<RequestFlow> flow)
{
    this->waiting.push_back(std::move(flow));
    if (!this->timerRunning) {
        this->startTimer();
    }
}

void ReadAheadPacer::startTimer()
{
    this->timerRunning = true;
    this->timer.expires_after(turnInterval);
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code &) { self->onTimer(); });
}

void ReadAheadPacer::onTimer()
{
    this->timerRunning = false;
    for (int given = 0; given < portionsPerInterval && !this->waiting.empty();) {
        const std::shared_ptr<RequestFlow> flow = this->waiting.front().lock();
        this->waiting.pop_front();
        if (flow && flow->readAhead()) {
            ++given;
        }
    }
    if (!this->waiting.empty()) {
        this->startTimer();
    }
}

} // namespace wigeonsill
