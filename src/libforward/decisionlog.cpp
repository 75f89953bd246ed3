/// \file decisionlog.cpp
/// Rate-limited, non-blocking output of structured log lines.
#include "wigeonsill/forward.h"

#include <fcntl.h>
#include <unistd.h>

#include <cmath>

namespace wigeonsill {

namespace {

/// How long lines are buffered before a write, to keep the number of writes small.
constexpr Duration flushDelay = milliseconds(100);
/// Maximum bytes buffered for a slow reader; about a second of lines at the full rate.
constexpr std::size_t pendingLimit = 262'144;

} // namespace

DecisionLine::DecisionLine(std::string_view part, std::string_view event)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto now = std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
    this->line = "{\"time_ms\":" + std::to_string(now);
    this->text("part", part).text("event", event);
}

DecisionLine &DecisionLine::text(std::string_view name, std::string_view value)
{
    this->line += ",\"";
    this->line += name;
    this->line += "\":";
    this->line += boost::json::serialize(boost::json::string_view(value.data(), value.size()));
    return *this;
}

DecisionLine &DecisionLine::number(std::string_view name, double value)
{
    this->line += ",\"";
    this->line += name;
    this->line += "\":";
    if (value == std::floor(value) && std::abs(value) < 1e15) {
        this->line += std::to_string(static_cast<std::int64_t>(value));
    } else {
        this->line += std::to_string(value);
    }
    return *this;
}

DecisionLine &DecisionLine::ms(std::string_view name, Duration value)
{
    return this->number(name, std::round(static_cast<double>(value.count()) / 100) / 10);
}

std::string DecisionLine::finish() const
{
    return this->line + "}\n";
}

DecisionLog::DecisionLog(boost::asio::io_context &io, Metrics &counters, int rate)
    : timer(io)
    , metrics(counters)
    , linesPerSecond(rate)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags != -1) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

DecisionLog::~DecisionLog()
{
    this->flush();
}

void DecisionLog::decision(const DecisionLine &line)
{
    const TimePoint now = currentTime();
    if (now - this->secondStartedAt >= seconds(1)) {
        this->secondStartedAt = now;
        this->linesThisSecond = 0;
        if (this->suppressed > 0) {
            DecisionLine summary("log", "suppressed");
            summary.number("lines", static_cast<double>(this->suppressed));
            this->suppressed = 0;
            this->stateChange(summary);
        }
    }
    if (++this->linesThisSecond > this->linesPerSecond) {
        ++this->suppressed;
        this->metrics.count("wigeonsill_log_lines_suppressed_total");
        return;
    }
    this->stateChange(line);
}

void DecisionLog::stateChange(const DecisionLine &line)
{
    const std::string text = line.finish();
    if (this->pending.size() + text.size() > pendingLimit) {
        this->metrics.count("wigeonsill_log_lines_dropped_total");
        return;
    }
    this->pending += text;
    this->scheduleFlush();
}

void DecisionLog::scheduleFlush()
{
    if (this->flushScheduled) {
        return;
    }
    this->flushScheduled = true;
    this->timer.expires_after(flushDelay);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->flushScheduled = false;
        this->flush();
        if (!this->pending.empty()) {
            this->scheduleFlush();
        }
    });
}

void DecisionLog::flush()
{
    while (!this->pending.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, this->pending.data(), this->pending.size());
        if (written <= 0) {
            return;
        }
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace wigeonsill
