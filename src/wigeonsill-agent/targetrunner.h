/// \file targetrunner.h
/// Sends requests to the target and reports what it answers.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"

#include <unordered_map>

namespace wigeonsill {

/// One HTTP exchange for each request that runs. Not thread-safe.
class TargetRunner
{
public:
    /// \param silence How long the target may say nothing in the middle of an answer.
    TargetRunner(DaemonContext context, AgentCore &core, boost::asio::ip::tcp::endpoint target,
        Duration silence, std::function<void()> pump);

    void start(StartAtTarget action);
    void cancel(const CancelAtTarget &action);
    void pause(const PauseTarget &action);

private:
    struct Run;
    using RunPointer = std::shared_ptr<Run>;

    boost::asio::awaitable<void> run(RunPointer run, HttpRequest request);
    boost::asio::awaitable<TargetEnd> exchange(RunPointer run, HttpRequest request);
    boost::asio::awaitable<TargetEnd> readBody(RunPointer run);

    DaemonContext context;
    AgentCore &core;
    boost::asio::ip::tcp::endpoint target;
    Duration silence;
    std::function<void()> pump;
    std::unordered_map<RequestId, RunPointer, RequestIdHash> runs;
};

/// Finds the token counts that an engine puts at the end of its answer, in an event stream or a
/// JSON body. Counts are 0 where there are none. Thread-safe.
TokenUsage usageIn(std::string_view answerTail);

} // namespace wigeonsill
