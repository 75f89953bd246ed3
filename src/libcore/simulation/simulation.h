/// \file simulation.h
/// Entries, agents, targets, callers and the claim store in one thread, driven by a generated
/// schedule of events and faults, with an oracle that checks every outcome.
#pragma once

#include "wigeonsill/core.h"

#include <deque>

namespace wigeonsill::test {

/// One event of a schedule. The numbers choose the process, message or request that it concerns.
enum class StepKind : std::uint8_t {
    Arrive,
    Deliver,
    DeliverAll,
    Advance,
    AdvanceLong,
    TargetStep,
    StoreStep,
    CallerTakes,
    CallerGone,
    DrainAgent,
    DrainEntry,
    LeaveAgent,
    // Faults from here on.
    Repeat,
    Reorder,
    Lose,
    Stray,
    Cut,
    Silence,
    PauseAgent,
    PauseEntry,
    KillAgent,
    KillEntry,
};

struct Step
{
    StepKind kind = StepKind::Advance;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

/// What a caller saw, and what truly happened to its request.
struct CallerRecord
{
    RequestId id;
    std::size_t entry = 0;
    std::string key; ///< Idempotency key, or empty.
    std::string requestBody;
    bool gone = false;
    bool entryDied = false;
    int ends = 0;
    ResultCode result = ResultCode::Ok;
    bool headSeen = false;
    std::string bytes;
    std::uint64_t taken = 0;
    std::string replayed; ///< The recorded answer that its idempotency key brought.
    bool isReplay = false;
    int reached = 0; ///< How often a target got it.
    std::string content; ///< The answer of its own run.
    bool ranWhole = false;
};

/// Options of a simulation.
struct SimulationOptions
{
    bool faults = true;
    std::size_t tombstones = 4'096;
};

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &simulationOptions);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    void perform(const Step &step);
    /// Ends all faults, lets everything settle, and checks that every request has ended.
    void settle();

    /// Broken promises, as sentences. Empty when all held.
    const std::vector<std::string> &violations() const { return this->broken; }
    const std::map<std::string, CallerRecord> &callers() const { return this->records; }
    /// The caller of the last Arrive step. \pre there was one.
    const CallerRecord &lastCaller() const { return this->records.at(this->lastArrived); }
    /// What every target answers to a request.
    static std::string contentOf(const RequestId &id);

private:
    struct Connection;
    struct EntryProcess;
    struct AgentProcess;
    struct TargetRun;
    struct StrayMessage;
    struct StoreCall;
    using Handler = void (Simulation::*)(const Step &step);

    void submitRequest(const Step &step);
    void deliverOne(const Step &step);
    void deliverEverything(const Step &step);
    void advanceShort(const Step &step);
    void advanceLong(const Step &step);
    void stepTarget(const Step &step);
    void stepStore(const Step &step);
    void callerTakes(const Step &step);
    void callerLeaves(const Step &step);
    void drainAgent(const Step &step);
    void drainEntry(const Step &step);
    void leaveAgent(const Step &step);
    void repeatMessage(const Step &step);
    void reorderMessages(const Step &step);
    void loseMessage(const Step &step);
    void deliverStray(const Step &step);
    void cutConnection(const Step &step);
    void silenceConnection(const Step &step);
    void pauseAgent(const Step &step);
    void pauseEntry(const Step &step);
    void killAgent(const Step &step);
    void killEntry(const Step &step);

    TimePoint timeAt(const EntryProcess &entry) const;
    TimePoint timeAt(const AgentProcess &agent) const;
    void advance(Duration duration);
    void tickAll();
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void connectAll();
    void closeConnection(Connection &connection, bool tellEntry, bool tellAgent);
    bool deliverToAgent(Connection &connection);
    bool deliverToEntry(Connection &connection);
    void deliverAll();
    void pump(EntryProcess &entry);
    void pump(AgentProcess &agent);
    void onAction(EntryProcess &entry, SendToAgent &action);
    void onAction(EntryProcess &entry, ReconnectAgent &action);
    void onAction(EntryProcess &entry, DeliverHead &action);
    void onAction(EntryProcess &entry, DeliverBytes &action);
    void onAction(EntryProcess &entry, DeliverEnd &action);
    void onAction(EntryProcess &entry, ClaimKey &action);
    void onAction(EntryProcess &entry, RecordClaim &action);
    void onAction(AgentProcess &agent, SendToEntry &action);
    void onAction(AgentProcess &agent, StartAtTarget &action);
    void onAction(AgentProcess &agent, CancelAtTarget &action);
    void onAction(AgentProcess &agent, PauseTarget &action);
    bool stepRun(AgentProcess &agent, TargetRun &run, std::uint32_t choice);
    void endRun(AgentProcess &agent, const RequestId &id, TargetEnd end);
    void reachTarget(AgentProcess &agent, TargetRun &run);
    void onAction(EntryProcess &entry, ReadShard &action);
    void onAction(EntryProcess &entry, WriteShard &action);
    void onAction(EntryProcess &entry, ClaimDecided &action);
    void pumpClaims(EntryProcess &entry);
    void answerStore(const StoreCall &call, std::uint32_t choice);
    /// Compare-and-swap at the store.
    Result<std::uint64_t> applyWrite(const WriteShard &write);
    void takeAll();
    void leaveWhenDrained();
    void check(bool holds, const std::string &what);

    SimulationOptions options;
    Duration clock{ seconds(1'000) };
    std::uint64_t nextIncarnation = 1;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::unique_ptr<AgentProcess>> agents;
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<StrayMessage> strays;
    std::map<std::string, CallerRecord> records; ///< By the text of the request's id.
    std::map<std::string, ShardValue> shards; ///< What the store holds.
    std::vector<StoreCall> storeCalls; ///< Under way.
    std::vector<WriteShard> lostWrites; ///< Given up by their callers; may yet take effect.
    std::map<std::string, int> reachedByKey;
    std::string lastArrived;
    std::vector<std::string> broken;
    bool settling = false;
};

} // namespace wigeonsill::test
