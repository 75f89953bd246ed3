/// \file loadrunner.h
/// Sends the arrivals of a scenario and follows each answer.
#pragma once

#include "loadreport.h"
#include "workload.h"

#include "wigeonsill/http.h"

namespace wigeonsill {

/// What a load run sends and where.
struct LoadPlan
{
    Scenario scenario;
    std::vector<boost::asio::ip::tcp::endpoint> entries; ///< Taken in turn. At least one.
    double rateFactor = 1; ///< Multiplies the rate of every phase.
};

/// Runs one load run on an io_context. Not thread-safe.
class LoadRunner
{
public:
    /// \pre the plan and the report outlive the runner.
    LoadRunner(boost::asio::io_context &context, const LoadPlan &plan, LoadReport &report);

    /// Starts the run. \param whenDone called once when the last answer is in, or when the
    /// scenario's settle time after the last arrival is over.
    void start(std::function<void()> whenDone);

private:
    struct Call;
    boost::asio::awaitable<void> sendArrivals();
    boost::asio::awaitable<void> follow(PlannedRequest planned);
    boost::asio::awaitable<Duration> attempt(Call &call);
    boost::asio::awaitable<void> readAnswer(Call &call, HttpExchange &exchange);
    HttpRequest requestOf(const PlannedRequest &planned) const;
    boost::asio::ip::tcp::endpoint nextEntry();
    Duration elapsed() const;

    boost::asio::io_context &io;
    const LoadPlan &plan;
    LoadReport &report;
    TimePoint startedAt;
    std::size_t attempts = 0;
    std::size_t inFlight = 0;
    bool allSent = false;
    std::function<void()> done;
};

} // namespace wigeonsill
