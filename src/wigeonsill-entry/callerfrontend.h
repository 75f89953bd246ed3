/// \file callerfrontend.h
/// HTTP front end of the entry that serves callers.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"

#include <unordered_map>

namespace wigeonsill {

/// Submits callers' HTTP requests to the core and sends what the core delivers as HTTP answers.
/// Not thread-safe.
class CallerFrontEnd
{
public:
    /// \param performActions Performs the pending actions of the core; called after each event that
    /// is passed to the core. \pre core outlives this object.
    CallerFrontEnd(DaemonContext context, EntryCore &core, std::function<void()> performActions);

    /// Until a configuration is set, requests are refused with NoConfiguration.
    void setConfiguration(std::shared_ptr<const Configuration> value);
    const std::shared_ptr<const Configuration> &configuration() const
    {
        return this->currentConfiguration;
    }

    /// Handles one HTTP request until it is answered or its caller has disconnected.
    boost::asio::awaitable<void> handle(HttpRequest &request, HttpResponder &responder);

    /// The deliveries of the core. Those for an unknown request are ignored.
    void deliver(DeliverHead action);
    void deliver(const DeliverBytes &action);
    void deliver(const DeliverEnd &action);

private:
    struct PendingAnswer;
    using PendingAnswerPointer = std::shared_ptr<PendingAnswer>;

    /// Returns null if the request is unknown.
    PendingAnswerPointer find(const RequestId &id);
    boost::asio::awaitable<void> waitForChange(PendingAnswerPointer pending);
    boost::asio::awaitable<void> sendAnswer(PendingAnswerPointer pending, HttpResponder &responder);
    /// Sends the head, or marks the answer as buffered. Returns false if the caller has
    /// disconnected.
    boost::asio::awaitable<bool> beginAnswer(
        PendingAnswerPointer pending, HttpResponder &responder);
    boost::asio::awaitable<void> endAnswer(PendingAnswerPointer pending, HttpResponder &responder);
    /// Records metrics about the end of a request and logs it.
    void reportEnd(const PendingAnswer &pending);

    DaemonContext context;
    EntryCore &core;
    std::function<void()> performActions;
    std::shared_ptr<const Configuration> currentConfiguration;
    /// By the sequence of the request id.
    std::unordered_map<std::uint64_t, PendingAnswerPointer> pendingAnswers;
};

} // namespace wigeonsill
