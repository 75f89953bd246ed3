/// \file loadrunner.h
/// Sends the requests of a scenario and records their outcomes.
#pragma once

#include "loadreport.h"
#include "workload.h"

#include "wigeonsill/http.h"

namespace wigeonsill {

/// Workload and destinations of a load run.
struct LoadPlan
{
    Scenario scenario;
    std::vector<boost::asio::ip::tcp::endpoint> entries; ///< Used round-robin. Not empty.
    double rateFactor = 1; ///< Multiplies the rate of every phase.
};

/// Executes one load run on an io_context. Not thread-safe.
class LoadRunner
{
public:
    /// \pre the plan and the report outlive the runner.
    LoadRunner(boost::asio::io_context &context, const LoadPlan &plan, LoadReport &report);

    /// Starts the run. \param onDone called when all requests have finished, or when the scenario's
    /// settle time after the last phase has elapsed. It should stop the io_context: if the last
    /// request finishes within the settle time, it is called again at the end of that time.
    void start(std::function<void()> onDone);

private:
    struct ActiveRequest;
    boost::asio::awaitable<void> sendArrivals();
    boost::asio::awaitable<void> runRequest(PlannedRequest planned);
    boost::asio::awaitable<Duration> sendAttempt(ActiveRequest &activeRequest);
    boost::asio::awaitable<void> readAnswer(ActiveRequest &activeRequest, HttpExchange &exchange);
    HttpRequest buildRequest(const PlannedRequest &planned) const;
    boost::asio::ip::tcp::endpoint nextEntry();
    Duration elapsed() const;

    boost::asio::io_context &io;
    const LoadPlan &plan;
    LoadReport &report;
    TimePoint startedAt;
    std::size_t attemptCount = 0;
    std::size_t inFlight = 0;
    bool allSent = false;
    std::function<void()> doneHandler;
};

} // namespace wigeonsill
