/// \file linkcounters.cpp
/// Message counts by kind.
#include "linkcounters.h"

namespace wigeonsill {

namespace json = boost::json;

namespace {

/// Names in the order of the variants' alternatives.
constexpr std::array<std::string_view, std::variant_size_v<EntryMessage>> sentNames = { "reserve",
    "withdraw", "bind", "decline", "cancelRun", "resume", "acknowledge", "heartbeat" };
constexpr std::array<std::string_view, std::variant_size_v<AgentMessage>> receivedNames
    = { "hello", "pull", "reservationEnded", "answerHead", "answerBytes", "answerEnd", "notRun",
          "stillRunning", "heartbeat" };

template <class Names, class Totals>
json::object namedTotals(const Names &names, const Totals &totals)
{
    json::object result;
    for (std::size_t i = 0; i < totals.size(); ++i) {
        if (totals[i].messages > 0) {
            result[names[i]]
                = json::object{ { "messages", totals[i].messages }, { "bytes", totals[i].bytes } };
        }
    }
    return result;
}

} // namespace

void LinkCounters::countSent(const EntryMessage &message, std::size_t bytes)
{
    Total &total = this->sent[message.index()];
    ++total.messages;
    total.bytes += bytes;
}

void LinkCounters::countReceived(const AgentMessage &message, std::size_t bytes)
{
    Total &total = this->received[message.index()];
    ++total.messages;
    total.bytes += bytes;
}

json::object LinkCounters::toJson() const
{
    return { { "sent", namedTotals(sentNames, this->sent) },
        { "received", namedTotals(receivedNames, this->received) } };
}

} // namespace wigeonsill
