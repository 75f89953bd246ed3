/// \file simulation.cpp
/// Time, connections, arrivals and the end of a simulation.
#include "simulationstate.h"

#include <algorithm>

namespace wigeonsill::test {

namespace {

constexpr std::size_t entryCount = 2;
constexpr std::size_t agentCount = 3;
constexpr std::size_t keyCount = 6;
constexpr Duration tickInterval = milliseconds(100);
constexpr Duration settleTime = seconds(150);
constexpr std::array clockRates = { 1.0, 1.02, 0.98 };
const std::array<std::vector<std::string>, agentCount> poolsOfAgents
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
    this->connectAll();
    this->deliverAll();
}

Simulation::~Simulation() = default;

void Simulation::check(bool holds, const std::string &what)
{
    if (!holds) {
        this->broken.push_back(what);
    }
}

TimePoint Simulation::timeAt(const EntryProcess &entry) const
{
    return TimePoint(scaled(this->clock, entry.clockRate));
}

TimePoint Simulation::timeAt(const AgentProcess &agent) const
{
    return TimePoint(scaled(this->clock, agent.clockRate));
}

void Simulation::startEntry(std::size_t index)
{
    const std::uint64_t number = this->nextIncarnation++;
    auto entry = std::make_unique<EntryProcess>();
    entry->index = index;
    entry->incarnation = { 1, number };
    entry->clockRate = clockRates[number % clockRates.size()];
    EntryCoreBuilder builder;
    builder.incarnation(entry->incarnation);
    builder.location({ "entry-" + std::to_string(index), "region", "domain" });
    builder.limits(entryLimits());
    builder.seed(number);
    entry->core = builder.build();
    ClaimLimits claimLimits;
    claimLimits.shards = 2;
    entry->book = std::make_unique<ClaimRegistry>(claimLimits);
    this->entries[index] = std::move(entry);
}

void Simulation::startAgent(std::size_t index)
{
    const std::uint64_t number = this->nextIncarnation++;
    auto agent = std::make_unique<AgentProcess>();
    agent->index = index;
    agent->name = "agent-" + std::to_string(index);
    agent->incarnation = { 2, number };
    agent->clockRate = clockRates[number % clockRates.size()];
    AgentCoreBuilder builder;
    builder.incarnation(agent->incarnation);
    builder.location({ agent->name, "region", "domain" });
    builder.pools(poolsOfAgents[index]);
    builder.limits(agentLimits(this->options.tombstones));
    agent->core = builder.build();
    this->agents[index] = std::move(agent);
}

void Simulation::connectAll()
{
    for (const auto &connection : this->connections) {
        if (!connection->open) {
            connection->open = true;
            connection->silent = false;
            connection->helloAtAgent = false;
            connection->helloAtEntry = false;
            connection->toAgent.clear();
            connection->toEntry.clear();
        }
    }
}

void Simulation::closeConnection(Connection &connection, bool tellEntry, bool tellAgent)
{
    if (!connection.open) {
        return;
    }
    EntryProcess &entry = *this->entries[connection.entryIndex];
    AgentProcess &agent = *this->agents[connection.agentIndex];
    for (EntryMessage &message : connection.toAgent) {
        this->strays.push_back({ entry.incarnation, agent.incarnation, std::move(message) });
    }
    for (AgentMessage &message : connection.toEntry) {
        this->strays.push_back({ entry.incarnation, agent.incarnation, std::move(message) });
    }
    connection.toAgent.clear();
    connection.toEntry.clear();
    connection.open = false;
    if (tellEntry && connection.helloAtEntry) {
        entry.core->agentDisconnected(this->timeAt(entry), agent.name);
    }
    if (tellAgent && connection.helloAtAgent) {
        agent.core->entryDisconnected(this->timeAt(agent), entry.incarnation);
    }
}

bool Simulation::deliverToAgent(Connection &connection)
{
    AgentProcess &agent = *this->agents[connection.agentIndex];
    EntryProcess &entry = *this->entries[connection.entryIndex];
    if (!connection.open || agent.paused || connection.silent) {
        return false;
    }
    if (!connection.helloAtAgent) {
        connection.helloAtAgent = true;
        connection.toEntry.emplace_back(agent.core->hello());
        agent.core->entryConnected(this->timeAt(agent), entry.incarnation);
        this->pump(agent);
        return true;
    }
    if (connection.toAgent.empty()) {
        return false;
    }
    const EntryMessage message = std::move(connection.toAgent.front());
    connection.toAgent.pop_front();
    agent.core->receive(this->timeAt(agent), entry.incarnation, message);
    this->pump(agent);
    return true;
}

bool Simulation::deliverToEntry(Connection &connection)
{
    AgentProcess &agent = *this->agents[connection.agentIndex];
    EntryProcess &entry = *this->entries[connection.entryIndex];
    if (!connection.open || entry.paused || connection.silent || connection.toEntry.empty()) {
        return false;
    }
    const AgentMessage message = std::move(connection.toEntry.front());
    connection.toEntry.pop_front();
    if (const auto *hello = std::get_if<AgentHello>(&message)) {
        connection.helloAtEntry = true;
        entry.core->agentConnected(this->timeAt(entry), *hello);
    } else if (connection.helloAtEntry) {
        entry.core->receive(this->timeAt(entry), agent.name, agent.incarnation, message);
    }
    this->pump(entry);
    return true;
}

void Simulation::deliverAll()
{
    for (bool busy = true; busy;) {
        busy = false;
        for (const auto &connection : this->connections) {
            busy |= this->deliverToAgent(*connection);
            busy |= this->deliverToEntry(*connection);
        }
    }
}

void Simulation::tickAll()
{
    for (const auto &entry : this->entries) {
        if (!entry->paused) {
            entry->core->tick(this->timeAt(*entry));
            this->pump(*entry);
            entry->book->tick(this->timeAt(*entry),
                std::chrono::duration_cast<std::chrono::seconds>(this->clock));
            this->pumpClaims(*entry);
        }
    }
    for (const auto &agent : this->agents) {
        if (!agent->paused) {
            agent->core->tick(this->timeAt(*agent));
            this->pump(*agent);
        }
    }
}

void Simulation::leaveWhenDrained()
{
    for (const auto &connection : this->connections) {
        const AgentProcess &agent = *this->agents[connection->agentIndex];
        const EntryProcess &entry = *this->entries[connection->entryIndex];
        const bool agentLeaves
            = agent.drainedAt && !agent.paused && agent.core->requestsInProgress() == 0;
        const bool entryLeaves = entry.draining && !entry.paused && entry.isIdle();
        if (agentLeaves || entryLeaves) {
            this->closeConnection(*connection, !entryLeaves, !agentLeaves);
        }
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        if (this->entries[i]->draining && !this->entries[i]->paused && this->entries[i]->isIdle()) {
            this->startEntry(i);
        }
    }
    for (std::size_t i = 0; i < agentCount; ++i) {
        if (this->agents[i]->drainedAt && !this->agents[i]->paused
            && this->agents[i]->core->requestsInProgress() == 0) {
            this->startAgent(i);
        }
    }
}

void Simulation::advance(Duration duration)
{
    const Duration end = this->clock + duration;
    while (this->clock < end) {
        this->clock += tickInterval;
        this->tickAll();
        this->leaveWhenDrained();
        this->connectAll();
    }
}

void Simulation::submitRequest(const Step &step)
{
    EntryProcess &entry = *this->entries[step.a % entryCount];
    if (entry.paused) {
        return;
    }
    const bool booking = step.b % 3 == 0;
    CallerRequest request;
    request.profile.pool = booking ? "book" : "chat";
    request.profile.organisation = "org";
    request.profile.tier = static_cast<Tier>(step.b % tierCount);
    request.profile.promptTokens = 1 + step.b % 100;
    request.profile.timeLeft = milliseconds(100 + (step.b / 7) % 20'000);
    request.profile.nonIdempotent = booking;
    request.request.path = "/";
    if (booking) {
        const std::size_t key = (step.b / 3) % keyCount;
        request.idempotencyKey = "key-" + std::to_string(key);
        request.request.body = (step.b / 31) % 16 == 0 ? "another" : "body";
    }
    const std::string key = request.idempotencyKey;
    const std::string body = request.request.body;
    const RequestId id = entry.core->submitRequest(this->timeAt(entry), std::move(request));
    CallerRecord &record = this->records[toString(id)];
    record.id = id;
    record.entry = entry.index;
    record.key = key;
    record.requestBody = body;
    this->lastArrived = toString(id);
    this->pump(entry);
}

void Simulation::takeAll()
{
    for (auto &[text, record] : this->records) {
        if (record.ends > 0 || record.gone || record.entryDied
            || record.taken >= record.bytes.size()) {
            continue;
        }
        EntryProcess &entry = *this->entries[record.entry];
        record.taken = record.bytes.size();
        entry.core->callerConsumed(this->timeAt(entry), record.id, record.taken);
        this->pump(entry);
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
    const Duration end = this->clock + settleTime;
    bool quiet = false;
    while (this->clock < end && !quiet) {
        this->advance(tickInterval);
        this->deliverAll();
        while (!this->storeCalls.empty()) {
            this->stepStore({ StepKind::StoreStep, 0, 0 });
        }
        for (const auto &agent : this->agents) {
            this->stepTarget({ StepKind::TargetStep, std::uint32_t(agent->index), 1 });
        }
        this->takeAll();
        const auto idle
            = [](const auto &process) { return process->core->requestsInProgress() == 0; };
        quiet = std::ranges::all_of(this->entries, idle) && std::ranges::all_of(this->agents, idle);
    }
    this->check(quiet, "a process still holds requests long after the faults");
    for (const auto &[text, record] : this->records) {
        const int expected = record.gone || record.entryDied ? 0 : 1;
        this->check(record.ends >= expected, text + " never ended");
    }
}

} // namespace wigeonsill::test
