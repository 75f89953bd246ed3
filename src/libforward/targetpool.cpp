/// \file targetpool.cpp
/// Pool of connections to targets: reuse, and probes.
#include "targetpoolstate.h"

#include "targetprobe.h"

namespace wigeonsill {

namespace asio = boost::asio;

TargetPool::TargetPool(asio::io_context &io, Metrics &metrics, const WireDialect &dialect)
    : d(std::make_unique<Private>(io, metrics, dialect))
{
}

TargetPool::~TargetPool() = default;

std::shared_ptr<TargetConnection> TargetPool::send(
    const Target &target, OutgoingRequest request, AnswerHandler &handler)
{
    std::vector<std::shared_ptr<TargetConnection>> &idleConnections = this->d->idle[target.id];
    const TimePoint now = currentTime();
    while (!idleConnections.empty()) {
        std::shared_ptr<TargetConnection> connection = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (connection->idleUntil <= now) {
            connection->close();
        } else if (connection->socket.is_open() && !connection->hasUnexpectedInput()) {
            connection->begin(std::move(request), handler);
            return connection;
        } else {
            connection->closeIdle();
        }
    }
    const auto endpoint = parseEndpoint(target.address);
    auto connection = std::make_shared<TargetConnection>(
        *this->d, target.id, endpoint ? endpoint.value() : asio::ip::tcp::endpoint());
    this->d->metrics.count("wigeonsill_target_connections_total");
    connection->begin(std::move(request), handler);
    return connection;
}

void TargetPool::probe(const Target &target, std::function<void(bool refused)> handler)
{
    this->d->metrics.count("wigeonsill_target_probes_total");
    const auto endpoint = parseEndpoint(target.address);
    std::make_shared<TargetProbe>(
        this->d->io, endpoint ? endpoint.value() : asio::ip::tcp::endpoint(), std::move(handler))
        ->start();
}

void TargetPool::closeIdle(std::string_view targetId)
{
    const auto record = this->d->idle.find(targetId);
    if (record == this->d->idle.end()) {
        return;
    }
    for (const auto &connection : record->second) {
        connection->close();
    }
    this->d->idle.erase(record);
}

void TargetPool::closeUnlisted(const TargetDirectory &directory)
{
    for (auto record = this->d->idle.begin(); record != this->d->idle.end();) {
        if (directory.find(record->first) == nullptr) {
            for (const auto &connection : record->second) {
                connection->close();
            }
            record = this->d->idle.erase(record);
        } else {
            ++record;
        }
    }
}

} // namespace wigeonsill
