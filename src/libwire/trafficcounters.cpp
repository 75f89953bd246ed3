/// \file trafficcounters.cpp
/// Counters of messages and bytes by message kind.
#include "wigeonsill/wire.h"

namespace wigeonsill {

namespace {
constexpr std::size_t frameLengthBytes = 4;
} // namespace

TrafficCounters::TrafficCounters(
    std::string metricName, std::span<const std::string_view> messageKinds)
    : name(std::move(metricName))
    , kinds(messageKinds)
    , totals(messageKinds.size())
{
}

void TrafficCounters::add(std::size_t kind, std::size_t frameBytes)
{
    Total &total = this->totals.at(kind);
    ++total.messages;
    total.bytes += frameBytes + frameLengthBytes;
}

void TrafficCounters::publish(Metrics &metrics)
{
    for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
        Total &total = this->totals[kind];
        const std::uint64_t bytes = total.bytes - std::exchange(total.publishedBytes, total.bytes);
        if (bytes > 0) {
            const std::string label = "kind=\"" + std::string(this->kinds[kind]) + "\"";
            metrics.count(this->name, label, static_cast<double>(bytes));
        }
    }
}

boost::json::object TrafficCounters::toJson() const
{
    boost::json::object result;
    for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
        const Total &total = this->totals[kind];
        if (total.messages > 0) {
            result[this->kinds[kind]]
                = boost::json::object{ { "messages", total.messages }, { "bytes", total.bytes } };
        }
    }
    return result;
}

} // namespace wigeonsill
