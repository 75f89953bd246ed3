/// \file callerfront.h
/// The entry's side towards callers: HTTP in, answers out.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/core.h"
#include "wigeonsill/daemon.h"

#include <unordered_map>

namespace wigeonsill {

/// Turns HTTP requests into arrivals of the core and the core's deliveries into answers.
/// Not thread-safe.
class CallerFront
{
public:
    /// \param pump Carries out the actions that the core has decided.
    CallerFront(DaemonContext context, EntryCore &core, std::function<void()> pump);

    void setConfiguration(std::shared_ptr<const Configuration> value);
    const std::shared_ptr<const Configuration> &configuration() const { return this->current; }

    boost::asio::awaitable<void> handle(HttpRequest &request, HttpResponder &responder);

    void deliver(DeliverHead action);
    void deliver(const DeliverBytes &action);
    void deliver(const DeliverEnd &action);

private:
    struct Mailbox;
    using MailboxPointer = std::shared_ptr<Mailbox>;

    MailboxPointer find(const RequestId &id);
    boost::asio::awaitable<void> waitForMail(MailboxPointer mailbox);
    boost::asio::awaitable<void> answer(MailboxPointer mailbox, HttpResponder &responder);
    boost::asio::awaitable<bool> beginAnswer(MailboxPointer mailbox, HttpResponder &responder);
    boost::asio::awaitable<void> endAnswer(MailboxPointer mailbox, HttpResponder &responder);
    void countEnd(const Mailbox &mailbox);

    DaemonContext context;
    EntryCore &core;
    std::function<void()> pump;
    std::shared_ptr<const Configuration> current;
    std::unordered_map<std::uint64_t, MailboxPointer> mailboxes;
};

} // namespace wigeonsill
