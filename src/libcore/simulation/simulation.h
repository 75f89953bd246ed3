/// \file simulation.h
/// Simulates entries, agents, targets, callers and the claim store in one thread. A generated
/// schedule of events and faults drives the simulation, and an oracle checks every outcome.
#pragma once

#include "wigeonsill/core.h"

#include <deque>

namespace wigeonsill::test {

/// Kind of an event in a schedule.
enum class StepKind : std::uint8_t {
    SubmitRequest,
    DeliverMessage,
    DeliverAllMessages,
    AdvanceClockShort,
    AdvanceClockLong,
    AdvanceTarget,
    AdvanceStore,
    ConsumeAnswers,
    DisconnectCaller,
    DrainAgent,
    DrainEntry,
    AnnounceAgentLeaving,
    // The kinds from here on are faults.
    DuplicateMessage,
    ReorderMessages,
    DropMessage,
    DeliverDelayedMessage,
    ResetConnection,
    StallConnection,
    ToggleAgentPause,
    ToggleEntryPause,
    KillAgent,
    KillEntry,
};

/// One event of a schedule. The selector chooses the process, connection, message, request or
/// duration that it concerns; the parameter chooses a variant of the event.
struct Step
{
    StepKind kind = StepKind::AdvanceClockShort;
    std::uint32_t selector = 0;
    std::uint32_t parameter = 0;
};

/// What a caller received, and what the targets did with its request.
struct CallerRecord
{
    RequestId id;
    std::size_t entryIndex = 0;
    std::string key; ///< Idempotency key, or empty.
    std::string requestBody;
    bool disconnected = false; ///< The caller disconnected before the answer ended.
    bool entryKilled = false; ///< The entry was killed before the answer ended.
    int endCount = 0; ///< Number of times that the entry ended the answer.
    ResultCode result = ResultCode::Ok;
    bool headReceived = false;
    std::string bytes; ///< Body bytes that the caller received.
    std::uint64_t consumedBytes = 0; ///< Number of bytes that the caller consumed.
    std::string replayedBody; ///< Recorded body that the entry replays for the idempotency key.
    bool isReplay = false;
    int executions = 0; ///< Number of times that a target received the request.
    std::string answerBody; ///< Body that the target returns for this request.
    bool runCompleted = false; ///< The target returned the complete answer.
};

struct SimulationOptions
{
    bool injectFaults = true;
    std::size_t tombstones = 4'096; ///< Maximum per entry at each agent.
};

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &simulationOptions);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    void perform(const Step &step);
    /// Stops all faults, runs until no process holds a request, and checks that all requests ended.
    void settle();

    /// Describes each violated invariant; empty when all invariants hold.
    const std::vector<std::string> &violations() const { return this->foundViolations; }
    const std::map<std::string, CallerRecord> &callers() const { return this->callerRecords; }
    /// The caller of the last SubmitRequest step.
    /// \pre A SubmitRequest step has been performed.
    const CallerRecord &lastCaller() const { return this->callerRecords.at(this->lastSubmitted); }
    /// The body that any target returns for the request.
    static std::string answerBodyFor(const RequestId &id);

private:
    struct Connection;
    struct EntryProcess;
    struct AgentProcess;
    struct TargetRun;
    struct DelayedMessage;
    struct StoreCall;
    using StepHandler = void (Simulation::*)(const Step &step);

    void submitRequest(const Step &step);
    void deliverMessage(const Step &step);
    void deliverAllMessages(const Step &step);
    void advanceClockShort(const Step &step);
    void advanceClockLong(const Step &step);
    /// Performs the next event of every run at the target of an agent.
    void advanceTarget(const Step &step);
    /// Applies a delayed write if the parameter says so, then completes one store call.
    void advanceStore(const Step &step);
    void consumeAnswers(const Step &step);
    void disconnectCaller(const Step &step);
    void drainAgent(const Step &step);
    void drainEntry(const Step &step);
    /// Tells all entries that an agent is leaving, or that it is no longer leaving.
    void announceAgentLeaving(const Step &step);
    void duplicateMessage(const Step &step);
    void reorderMessages(const Step &step);
    void dropMessage(const Step &step);
    void deliverDelayedMessage(const Step &step);
    void resetConnection(const Step &step);
    void stallConnection(const Step &step);
    void toggleAgentPause(const Step &step);
    void toggleEntryPause(const Step &step);
    void killAgent(const Step &step);
    void killEntry(const Step &step);

    TimePoint localTime(const EntryProcess &entry) const;
    TimePoint localTime(const AgentProcess &agent) const;
    void advanceClock(Duration duration);
    void tickAll();
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void openConnections();
    void closeConnection(Connection &connection, bool notifyEntry, bool notifyAgent);
    bool deliverToAgent(Connection &connection);
    bool deliverToEntry(Connection &connection);
    /// Delivers messages until no connection can deliver another one.
    void deliverUntilIdle();
    void performActions(EntryProcess &entry);
    void performActions(AgentProcess &agent);
    void performAction(EntryProcess &entry, SendToAgent &action);
    void performAction(EntryProcess &entry, ReconnectAgent &action);
    void performAction(EntryProcess &entry, DeliverHead &action);
    void performAction(EntryProcess &entry, DeliverBytes &action);
    void performAction(EntryProcess &entry, DeliverEnd &action);
    void performAction(EntryProcess &entry, ClaimKey &action);
    void performAction(EntryProcess &entry, RecordClaim &action);
    void performAction(AgentProcess &agent, SendToEntry &action);
    void performAction(AgentProcess &agent, StartAtTarget &action);
    void performAction(AgentProcess &agent, CancelAtTarget &action);
    void performAction(AgentProcess &agent, PauseTarget &action);
    /// Performs the next event of a run. The choice decides on faults and on the size of a chunk.
    /// Returns whether the run made progress.
    bool advanceRun(AgentProcess &agent, TargetRun &run, std::uint32_t choice);
    void endRun(AgentProcess &agent, const RequestId &id, TargetEnd end);
    /// The target receives the request of the run.
    void beginExecution(AgentProcess &agent, TargetRun &run);
    void performAction(EntryProcess &entry, ReadShard &action);
    void performAction(EntryProcess &entry, WriteShard &action);
    void performAction(EntryProcess &entry, ClaimDecided &action);
    void performClaimActions(EntryProcess &entry);
    /// Completes a store call. The choice decides on faults.
    void completeStoreCall(const StoreCall &call, std::uint32_t choice);
    /// Writes with compare-and-swap on the version.
    Result<std::uint64_t> applyWrite(const WriteShard &write);
    void consumeAllAnswers();
    /// Closes the connections of drained processes and replaces these processes.
    void restartDrainedProcesses();
    void checkInvariant(bool holds, const std::string &violation);

    SimulationOptions options;
    Duration clock{ seconds(1'000) };
    std::uint64_t nextIncarnation = 1;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::unique_ptr<AgentProcess>> agents;
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<DelayedMessage> delayedMessages;
    std::map<std::string, CallerRecord> callerRecords; ///< Keyed by the request id as text.
    std::map<std::string, ShardValue> storedShards; ///< Contents of the claim store.
    std::vector<StoreCall> pendingStoreCalls; ///< Calls in flight.
    std::vector<WriteShard> delayedWrites; ///< Reported as lost; may still be applied.
    std::map<std::string, int> executionsByKey;
    std::string lastSubmitted;
    std::vector<std::string> foundViolations;
    bool settling = false;
};

} // namespace wigeonsill::test
