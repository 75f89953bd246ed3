/// \file targetrunner.h
/// Sends requests to the target and passes its answers to the core.
#pragma once

#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"

#include <unordered_map>

namespace wigeonsill {

/// Runs one HTTP exchange for each running request. Not thread-safe.
class TargetRunner
{
public:
    /// \param readTimeout Longest wait for the head of an answer and for each part of its body.
    /// \param performActions Performs the pending actions of the core; called after each event that
    /// is passed to the core. \pre core outlives this object.
    TargetRunner(DaemonContext context, AgentCore &core, boost::asio::ip::tcp::endpoint target,
        Duration readTimeout, std::function<void()> performActions);

    /// Sends a request to the target.
    void start(StartAtTarget action);
    /// Closes the connection of a request; unknown ids are ignored.
    void cancel(const CancelAtTarget &action);
    /// Pauses or resumes reading the answer of a request; unknown ids are ignored.
    void pause(const PauseTarget &action);

private:
    struct Run;
    using RunPointer = std::shared_ptr<Run>;

    boost::asio::awaitable<void> executeRun(RunPointer run, HttpRequest request);
    boost::asio::awaitable<TargetEnd> exchange(RunPointer run, HttpRequest request);
    boost::asio::awaitable<TargetEnd> readBody(RunPointer run);

    DaemonContext context;
    AgentCore &core;
    boost::asio::ip::tcp::endpoint target;
    Duration readTimeout;
    std::function<void()> performActions;
    std::unordered_map<RequestId, RunPointer, RequestIdHash> runs;
};

/// Parses the token counts ("usage") that an engine puts at the end of its answer, either in an
/// event stream or in a JSON body. Missing counts are 0. Thread-safe.
TokenUsage parseTokenUsage(std::string_view answerTail);

} // namespace wigeonsill
