/// \file simulation.cpp
/// Clock, connections, submitted requests and the settling phase of the simulation.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

namespace {

constexpr std::size_t entryCount = 2;
constexpr std::size_t agentCount = 3;
constexpr std::size_t idempotencyKeyCount = 6;
constexpr Duration tickInterval = milliseconds(100);
constexpr Duration settleTimeout = seconds(150);
/// Clock speeds of the processes relative to simulated time.
constexpr std::array clockRates = { 1.0, 1.02, 0.98 };
/// Requests of the pool "book" are non-idempotent; those of "chat" are idempotent.
const std::array<std::vector<std::string>, agentCount> agentPools
    = { std::vector<std::string>{ "chat", "book" }, { "chat" }, { "book" } };

Duration scaled(Duration time, double rate)
{
    return Duration(static_cast<std::int64_t>(double(time.count()) * rate));
}

EntryLimits entryLimits()
{
    EntryLimits limits;
    limits.acknowledgeIntervalBytes = 32;
    limits.statusQueryInterval = seconds(1);
    limits.maximumRecordedAnswerBytes = 256;
    return limits;
}

AgentLimits agentLimits(std::size_t tombstones)
{
    AgentLimits limits;
    limits.maximumRunning = 3;
    limits.sendWindowBytes = 64;
    limits.maximumBufferedBytes = 128;
    limits.tombstonesPerEntry = tombstones;
    return limits;
}

} // namespace

Simulation::Simulation(const SimulationOptions &simulationOptions)
    : options(simulationOptions)
{
    this->entries.resize(entryCount);
    this->agents.resize(agentCount);
    for (std::size_t i = 0; i < entryCount; ++i) {
        this->startEntry(i);
    }
    for (std::size_t i = 0; i < agentCount; ++i) {
        this->startAgent(i);
    }
    for (std::size_t i = 0; i < entryCount * agentCount; ++i) {
        this->connections.push_back(std::make_unique<Connection>());
        this->connections.back()->entryIndex = i / agentCount;
        this->connections.back()->agentIndex = i % agentCount;
    }
    this->openConnections();
    this->deliverUntilIdle();
}

Simulation::~Simulation() = default;

void Simulation::checkInvariant(bool holds, const std::string &violation)
{
    if (!holds) {
        this->foundViolations.push_back(violation);
    }
}

TimePoint Simulation::localTime(const EntryProcess &entry) const
{
    return TimePoint(scaled(this->clock, entry.clockRate));
}

TimePoint Simulation::localTime(const AgentProcess &agent) const
{
    return TimePoint(scaled(this->clock, agent.clockRate));
}

void Simulation::startEntry(std::size_t index)
{
    const std::uint64_t incarnationNumber = this->nextIncarnation++;
    auto entry = std::make_unique<EntryProcess>();
    entry->index = index;
    entry->incarnation = { 1, incarnationNumber };
    entry->clockRate = clockRates[incarnationNumber % clockRates.size()];
    EntryCoreBuilder builder;
    builder.incarnation(entry->incarnation);
    builder.location({ "entry-" + std::to_string(index), "region", "domain" });
    builder.limits(entryLimits());
    builder.seed(incarnationNumber);
    entry->core = builder.build();
    ClaimLimits claimLimits;
    claimLimits.shards = 2;
    entry->claimRegistry = std::make_unique<ClaimRegistry>(claimLimits);
    this->entries[index] = std::move(entry);
}

void Simulation::startAgent(std::size_t index)
{
    const std::uint64_t incarnationNumber = this->nextIncarnation++;
    auto agent = std::make_unique<AgentProcess>();
    agent->index = index;
    agent->name = "agent-" + std::to_string(index);
    agent->incarnation = { 2, incarnationNumber };
    agent->clockRate = clockRates[incarnationNumber % clockRates.size()];
    AgentCoreBuilder builder;
    builder.incarnation(agent->incarnation);
    builder.location({ agent->name, "region", "domain" });
    builder.pools(agentPools[index]);
    builder.limits(agentLimits(this->options.tombstones));
    agent->core = builder.build();
    this->agents[index] = std::move(agent);
}

void Simulation::openConnections()
{
    for (const auto &connection : this->connections) {
        if (!connection->open) {
            connection->open = true;
            connection->stalled = false;
            connection->helloReceivedByAgent = false;
            connection->helloReceivedByEntry = false;
            connection->toAgent.clear();
            connection->toEntry.clear();
        }
    }
}

void Simulation::closeConnection(Connection &connection, bool notifyEntry, bool notifyAgent)
{
    if (!connection.open) {
        return;
    }
    EntryProcess &entry = *this->entries[connection.entryIndex];
    AgentProcess &agent = *this->agents[connection.agentIndex];
    for (EntryMessage &message : connection.toAgent) {
        this->delayedMessages.push_back(
            { entry.incarnation, agent.incarnation, std::move(message) });
    }
    for (AgentMessage &message : connection.toEntry) {
        this->delayedMessages.push_back(
            { entry.incarnation, agent.incarnation, std::move(message) });
    }
    connection.toAgent.clear();
    connection.toEntry.clear();
    connection.open = false;
    if (notifyEntry && connection.helloReceivedByEntry) {
        entry.core->agentDisconnected(this->localTime(entry), agent.name);
    }
    if (notifyAgent && connection.helloReceivedByAgent) {
        agent.core->entryDisconnected(this->localTime(agent), entry.incarnation);
    }
}

bool Simulation::deliverToAgent(Connection &connection)
{
    AgentProcess &agent = *this->agents[connection.agentIndex];
    EntryProcess &entry = *this->entries[connection.entryIndex];
    if (!connection.open || agent.paused || connection.stalled) {
        return false;
    }
    if (!connection.helloReceivedByAgent) {
        connection.helloReceivedByAgent = true;
        connection.toEntry.emplace_back(agent.core->hello());
        agent.core->entryConnected(this->localTime(agent), entry.incarnation);
        this->performActions(agent);
        return true;
    }
    if (connection.toAgent.empty()) {
        return false;
    }
    const EntryMessage message = std::move(connection.toAgent.front());
    connection.toAgent.pop_front();
    agent.core->receive(this->localTime(agent), entry.incarnation, message);
    this->performActions(agent);
    return true;
}

bool Simulation::deliverToEntry(Connection &connection)
{
    AgentProcess &agent = *this->agents[connection.agentIndex];
    EntryProcess &entry = *this->entries[connection.entryIndex];
    if (!connection.open || entry.paused || connection.stalled || connection.toEntry.empty()) {
        return false;
    }
    const AgentMessage message = std::move(connection.toEntry.front());
    connection.toEntry.pop_front();
    if (const auto *hello = std::get_if<AgentHello>(&message)) {
        connection.helloReceivedByEntry = true;
        entry.core->agentConnected(this->localTime(entry), *hello);
    } else if (connection.helloReceivedByEntry) {
        entry.core->receive(this->localTime(entry), agent.name, agent.incarnation, message);
    }
    this->performActions(entry);
    return true;
}

void Simulation::deliverUntilIdle()
{
    for (bool delivered = true; delivered;) {
        delivered = false;
        for (const auto &connection : this->connections) {
            delivered |= this->deliverToAgent(*connection);
            delivered |= this->deliverToEntry(*connection);
        }
    }
}

void Simulation::tickAll()
{
    for (const auto &entry : this->entries) {
        if (!entry->paused) {
            entry->core->tick(this->localTime(*entry));
            this->performActions(*entry);
            entry->claimRegistry->tick(this->localTime(*entry),
                std::chrono::duration_cast<std::chrono::seconds>(this->clock));
            this->performClaimActions(*entry);
        }
    }
    for (const auto &agent : this->agents) {
        if (!agent->paused) {
            agent->core->tick(this->localTime(*agent));
            this->performActions(*agent);
        }
    }
}

void Simulation::restartDrainedProcesses()
{
    for (const auto &connection : this->connections) {
        const AgentProcess &agent = *this->agents[connection->agentIndex];
        const EntryProcess &entry = *this->entries[connection->entryIndex];
        const bool agentDrained
            = agent.drainStartedAt && !agent.paused && agent.core->requestsInProgress() == 0;
        const bool entryDrained = entry.draining && !entry.paused && entry.isIdle();
        if (agentDrained || entryDrained) {
            this->closeConnection(*connection, !entryDrained, !agentDrained);
        }
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        if (this->entries[i]->draining && !this->entries[i]->paused && this->entries[i]->isIdle()) {
            this->startEntry(i);
        }
    }
    for (std::size_t i = 0; i < agentCount; ++i) {
        if (this->agents[i]->drainStartedAt && !this->agents[i]->paused
            && this->agents[i]->core->requestsInProgress() == 0) {
            this->startAgent(i);
        }
    }
}

void Simulation::advanceClock(Duration duration)
{
    const Duration end = this->clock + duration;
    while (this->clock < end) {
        this->clock += tickInterval;
        this->tickAll();
        this->restartDrainedProcesses();
        this->openConnections();
    }
}

void Simulation::submitRequest(const Step &step)
{
    EntryProcess &entry = *this->entries[step.selector % entryCount];
    if (entry.paused) {
        return;
    }
    const bool isBooking = step.parameter % 3 == 0;
    CallerRequest request;
    request.profile.pool = isBooking ? "book" : "chat";
    request.profile.organisation = "org";
    request.profile.tier = static_cast<Tier>(step.parameter % tierCount);
    request.profile.promptTokens = 1 + step.parameter % 100;
    request.profile.timeLeft = milliseconds(100 + (step.parameter / 7) % 20'000);
    request.profile.nonIdempotent = isBooking;
    request.request.path = "/";
    if (isBooking) {
        const std::size_t key = (step.parameter / 3) % idempotencyKeyCount;
        request.idempotencyKey = "key-" + std::to_string(key);
        request.request.body = (step.parameter / 31) % 16 == 0 ? "another" : "body";
    }
    const std::string key = request.idempotencyKey;
    const std::string body = request.request.body;
    const RequestId id = entry.core->submitRequest(this->localTime(entry), std::move(request));
    CallerRecord &record = this->callerRecords[toString(id)];
    record.id = id;
    record.entryIndex = entry.index;
    record.key = key;
    record.requestBody = body;
    this->lastSubmitted = toString(id);
    this->performActions(entry);
}

void Simulation::consumeAllAnswers()
{
    for (auto &[idText, record] : this->callerRecords) {
        if (record.endCount > 0 || record.disconnected || record.entryKilled
            || record.consumedBytes >= record.bytes.size()) {
            continue;
        }
        EntryProcess &entry = *this->entries[record.entryIndex];
        record.consumedBytes = record.bytes.size();
        entry.core->callerConsumed(this->localTime(entry), record.id, record.consumedBytes);
        this->performActions(entry);
    }
}

void Simulation::settle()
{
    this->settling = true;
    for (const auto &entry : this->entries) {
        entry->paused = false;
    }
    for (const auto &agent : this->agents) {
        agent->paused = false;
    }
    const Duration end = this->clock + settleTimeout;
    bool allIdle = false;
    while (this->clock < end && !allIdle) {
        this->advanceClock(tickInterval);
        this->deliverUntilIdle();
        while (!this->pendingStoreCalls.empty()) {
            this->advanceStore({ StepKind::AdvanceStore, 0, 0 });
        }
        for (const auto &agent : this->agents) {
            this->advanceTarget({ StepKind::AdvanceTarget, std::uint32_t(agent->index), 1 });
        }
        this->consumeAllAnswers();
        const auto hasNoRequests
            = [](const auto &process) { return process->core->requestsInProgress() == 0; };
        allIdle = std::ranges::all_of(this->entries, hasNoRequests)
            && std::ranges::all_of(this->agents, hasNoRequests);
    }
    this->checkInvariant(allIdle,
        "a process still holds requests after the faults stopped and the settling time passed");
    for (const auto &[idText, record] : this->callerRecords) {
        const int expected = record.disconnected || record.entryKilled ? 0 : 1;
        this->checkInvariant(record.endCount >= expected, idText + " never ended");
    }
}

} // namespace wigeonsill::test
