/// \file rollouts_fuzz_test.cpp
/// Random runs of gates, owners and ownerships of several entries on a simulated store, with lost,
/// repeated and reordered messages, entries that restart or are cut off, orders that change, and a
/// store that comes back from an older copy. A simple oracle checks each request and each write.
/// WIGEONSILL_ROLLOUT_RUNS sets the number of runs.
#include "wigeonsill/rollout.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

namespace wigeonsill {
namespace {

const std::string service = "service";
constexpr std::int64_t unixStartMs = 1'700'000'000'000;
constexpr int entryCount = 4;
constexpr int targetsPerVersion = 4;
constexpr Duration step = milliseconds(20);
/// In a step, for each request in progress; some last for seconds.
constexpr double requestEnds = 0.02;

/// What the store holds, as one copy.
struct StoreState
{
    std::optional<RolloutOrder> order;
    std::optional<RolloutRecord> record;
    std::uint64_t ownerRevision = 0;
    int ownerEntry = -1;
    TimePoint leaseEnd;
};

struct Entry
{
    RolloutGate gate{ RolloutLimits() };
    RolloutOwner owner{ RolloutLimits() };
    RolloutOwnership ownership;
    std::uint64_t incarnation = 0;
    std::optional<RolloutSnapshot> snapshot; ///< The last one that was read.
    std::map<std::string, int> inProgress; ///< By version.
    std::optional<RolloutOrder> order; ///< The last one that was read.
    double sent = 0; ///< Since this entry saw the present order.
    double sentToTarget = 0;
    TimePoint readAt;
    TimePoint reportAt;
    TimePoint answeredAt;
    TimePoint disturbedAt; ///< Last time it was cut off or restarted.
    bool isCutOff = false;
    std::vector<RolloutReport> delayed; ///< Reports that still arrive, in any order.
};

class Model
{
public:
    explicit Model(std::uint64_t seed)
        : random(seed)
    {
        for (Entry &entry : this->entries) {
            this->restart(entry);
        }
    }

    void play(Duration time, bool isDisturbed)
    {
        for (const TimePoint end = this->now + time; this->now < end && !this->hasFailed();
             this->now += step) {
            if (isDisturbed) {
                this->disturb();
            }
            this->expireLease();
            for (int i = 0; i < entryCount && !this->hasFailed(); ++i) {
                this->act(i, isDisturbed);
            }
        }
    }

    void giveOrder(const std::string &version, Duration duration, std::string problem = {})
    {
        this->store.order = RolloutOrder{ { this->history, ++this->revision }, service, version,
            duration, std::move(problem) };
        this->running.insert(version);
    }

    /// All that was begun must have come to its end when nothing disturbs any more.
    void checkEnd()
    {
        for (Entry &entry : this->entries) {
            entry.isCutOff = false;
        }
        const int callsBefore = this->calls;
        this->play(seconds(40), false);
        const bool isFinalNow = this->store.record && isFinal(this->store.record->stage);
        ASSERT_TRUE(isFinalNow || !this->store.order) << "a rollout without an end";
        if (this->store.order) {
            ASSERT_EQ(this->store.record->targetVersion, this->store.order->targetVersion);
        }
        EXPECT_LT(this->calls - callsBefore, 400);
        const int callsAtEnd = this->calls;
        this->play(seconds(5), false);
        EXPECT_EQ(this->calls, callsAtEnd) << "calls to the store without a rollout";
    }

    bool hasFailed() const { return ::testing::Test::HasFatalFailure(); }

private:
    double uniform() { return std::uniform_real_distribution<>(0, 1)(this->random); }
    bool isDrawn(double probability) { return this->uniform() < probability; }

    void restart(Entry &entry)
    {
        entry = Entry();
        entry.gate.setSharingEntries(entryCount);
        entry.incarnation = ++this->revision;
        entry.disturbedAt = this->now;
    }

    void disturb()
    {
        Entry &entry = this->entries.at(this->random() % entryCount);
        if (this->isDrawn(0.002)) {
            this->restart(entry);
        }
        if (this->isDrawn(entry.isCutOff ? 0.03 : 0.003)) {
            entry.isCutOff = !entry.isCutOff;
            entry.disturbedAt = this->now;
        }
        if (this->isDrawn(0.001)) {
            this->giveOrder(std::to_string(1 + this->random() % 3),
                milliseconds(2'000 + 1'000 * (this->random() % 20)),
                this->isDrawn(0.1) ? "cannot be carried out" : "");
        }
        if (this->isDrawn(0.0005)) {
            this->store.order.reset();
        }
        if (this->isDrawn(0.002)) {
            this->copy = this->store;
        }
        if (this->copy && this->isDrawn(0.0005)) {
            this->store = *this->copy;
            ++this->history;
            this->store.ownerRevision = 0;
            if (this->store.order) {
                this->store.order->id.history = this->history;
            }
            this->historyStage.reset();
        }
    }

    void expireLease()
    {
        if (this->store.ownerRevision != 0 && this->now >= this->store.leaseEnd) {
            this->store.ownerRevision = 0;
        }
    }

    void read(Entry &entry)
    {
        RolloutSnapshot snapshot;
        snapshot.readAt = this->now;
        if (this->store.order) {
            snapshot.orders[service] = *this->store.order;
        }
        if (this->store.record) {
            snapshot.records[service] = *this->store.record;
        }
        snapshot.ownerRevision = this->store.ownerRevision;
        snapshot.ownerAddress = std::to_string(this->store.ownerEntry);
        const bool isNewOrder = this->store.order
            && (!entry.order || !isSameOrder(*entry.order, *this->store.order)
                || isFinal(entry.gate.stage(service).value_or(RolloutStage::Canary)));
        entry.order = this->store.order ? this->store.order : entry.order;
        if (isNewOrder) {
            entry.sent = entry.sentToTarget = 0;
        }
        entry.gate.apply(snapshot, this->now);
        entry.owner.apply(snapshot, this->now, this->unixMs());
        std::map<std::string, std::string> versions;
        VersionTargets list;
        for (const std::string &version : this->running) {
            for (int i = 0; i < targetsPerVersion; ++i) {
                versions[version + "-" + std::to_string(i)] = version;
            }
            list.usableSlots[version] = list.usableTargets[version] = targetsPerVersion;
        }
        entry.gate.setTargets(service, std::move(versions));
        entry.owner.setTargets(service, list, this->now);
        entry.snapshot = snapshot;
        entry.readAt = this->now;
    }

    std::int64_t unixMs() const
    {
        return unixStartMs
            + std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()).count();
    }

    void act(int index, bool isDisturbed)
    {
        Entry &entry = this->entries.at(static_cast<std::size_t>(index));
        const double loss = isDisturbed ? 0.1 : 0;
        const bool isFirst = !entry.snapshot;
        if (!entry.isCutOff && (isFirst || this->now - entry.readAt >= milliseconds(1'800))) {
            this->read(entry);
        }
        if (!entry.snapshot) {
            return;
        }
        this->sendRequests(entry);
        if (entry.isCutOff) {
            return;
        }
        if (this->now - entry.reportAt >= milliseconds(250)) {
            entry.reportAt = this->now;
            for (RolloutReport &report : entry.gate.reports(this->now)) {
                entry.delayed.push_back(report);
                if (this->isDrawn(loss)) {
                    entry.delayed.push_back(std::move(report)); // Comes twice.
                }
            }
        }
        while (!entry.delayed.empty() && !this->isDrawn(isDisturbed ? 0.2 : 0)) {
            const std::size_t which = this->random() % entry.delayed.size();
            const RolloutReport report = entry.delayed[which];
            entry.delayed.erase(entry.delayed.begin() + static_cast<std::ptrdiff_t>(which));
            this->deliver(entry, report, loss);
        }
        this->own(index);
    }

    void deliver(Entry &entry, const RolloutReport &report, double loss)
    {
        // An entry knows the owner from its last read.
        if (entry.snapshot->ownerRevision == 0 || this->isDrawn(loss)) {
            return;
        }
        Entry &owner = this->entries.at(std::stoul(entry.snapshot->ownerAddress));
        if (owner.isCutOff || !owner.ownership.isOwner(this->now)) {
            return;
        }
        owner.owner.merge(entry.incarnation, report, this->now);
        if (!this->isDrawn(loss)) {
            entry.gate.applyDirective(owner.owner.directive(service, this->now), this->now);
            entry.answeredAt = this->now;
        }
    }

    void own(int index)
    {
        Entry &entry = this->entries.at(static_cast<std::size_t>(index));
        const bool isActive = !entry.gate.activeServices().empty();
        const bool isSilent = this->now - entry.answeredAt > milliseconds(2'500);
        const OwnershipStep next = entry.ownership.nextStep(
            isActive, *entry.snapshot, isSilent, this->uniform(), this->now);
        const bool holds = this->store.ownerRevision != 0 && this->store.ownerEntry == index
            && this->store.ownerRevision == entry.ownership.ownerRevision();
        this->calls += next == OwnershipStep::Nothing ? 0 : 1;
        if (next == OwnershipStep::Renew) {
            holds ? entry.ownership.recordRenewed(this->now) : entry.ownership.recordLost();
            this->store.leaseEnd
                = holds ? this->now + RolloutOwnership::leaseTime : this->store.leaseEnd;
        } else if (next == OwnershipStep::Acquire && this->store.ownerRevision == 0) {
            this->store.ownerRevision = ++this->revision;
            this->store.ownerEntry = index;
            this->store.leaseEnd = this->now + RolloutOwnership::leaseTime;
            entry.ownership.recordAcquired(this->store.ownerRevision, "lease", this->now);
            this->read(entry);
        } else if (next == OwnershipStep::Acquire) {
            entry.ownership.recordAcquisitionFailed(this->now);
        }
        if (!entry.ownership.isOwner(this->now)) {
            return;
        }
        for (const RolloutRecord &change : entry.owner.changes(this->now)) {
            ++this->calls;
            this->write(entry, index, change);
            if (this->hasFailed()) {
                return;
            }
        }
    }

    void write(Entry &entry, int index, RolloutRecord change)
    {
        const std::uint64_t known = this->store.record ? this->store.record->recordRevision : 0;
        const bool isAccepted = this->store.ownerEntry == index
            && this->store.ownerRevision == entry.ownership.ownerRevision()
            && this->store.ownerRevision != 0 && change.recordRevision == known;
        if (isAccepted) {
            this->checkWrite(entry, change);
            change.recordRevision = change.statusRevision = ++this->revision;
            this->store.record = change;
            this->historyStage = { change.order, change.stage };
            if (change.stage == RolloutStage::Completed) {
                for (const std::string &version : change.oldVersions) {
                    this->running.erase(version);
                }
            }
        }
        if (isAccepted && !this->isDrawn(0.2)) {
            entry.owner.recordWritten(change, change.recordRevision, this->now);
        } else {
            this->read(entry); // Refused, or the answer was lost: read before the next write.
        }
    }

    void checkWrite(const Entry &owner, const RolloutRecord &change)
    {
        if (this->historyStage && this->historyStage->first == change.order) {
            ASSERT_FALSE(isFinal(this->historyStage->second)) << "a final stage was changed";
            ASSERT_EQ(laterStage(this->historyStage->second, change.stage), change.stage);
        }
        const bool isByIdleness = change.stage == RolloutStage::Completed
            && change.reason == "no request is in progress at an old target";
        for (const Entry &entry : this->entries) {
            if (!isByIdleness || this->now - entry.disturbedAt < seconds(6) || entry.isCutOff) {
                continue;
            }
            for (const std::string &version : change.oldVersions) {
                const auto found = entry.inProgress.find(version);
                ASSERT_TRUE(found == entry.inProgress.end() || found->second == 0)
                    << "requests would be cut off at version " << version;
            }
        }
        ASSERT_TRUE(change.stage != RolloutStage::Completed
            || !owner.snapshot->orders.contains(service)
            || owner.snapshot->orders.at(service).problem.empty());
    }

    void sendRequests(Entry &entry)
    {
        for (auto &[version, count] : entry.inProgress) {
            while (count > 0 && this->isDrawn(requestEnds)) {
                --count;
                entry.gate.recordLeft(service, version);
                AnswerSample sample;
                sample.service = service;
                sample.route = "route";
                sample.targetId = version + "-0";
                sample.side = entry.gate.sideOf(service, version);
                sample.latency = milliseconds(10);
                entry.gate.recordAnswer(sample); // So that judgements become Good.
            }
        }
        const VersionSide side = entry.gate.choose(service, this->uniform(), this->now);
        const VersionSide other
            = side == VersionSide::Target ? VersionSide::Old : VersionSide::Target;
        if (!this->sendTo(entry, side) && side != VersionSide::Any
            && entry.gate.maySend(service, other, this->now)) {
            this->sendTo(entry, other);
        }
    }

    bool sendTo(Entry &entry, VersionSide side)
    {
        for (const std::string &version : this->running) {
            const std::string target
                = version + "-" + std::to_string(this->random() % targetsPerVersion);
            if (!entry.gate.admits(service, version, target, side, this->now)) {
                continue;
            }
            this->checkRequest(entry, version, side);
            entry.gate.recordSent(service, version);
            ++entry.inProgress[version];
            return true;
        }
        return false;
    }

    /// By what the entry has read last, whatever directives came since.
    void checkRequest(Entry &entry, const std::string &version, VersionSide side)
    {
        const RolloutSnapshot &known = *entry.snapshot;
        const auto order = known.orders.find(service);
        const bool isOrdered = order != known.orders.end() && order->second.problem.empty();
        const bool isTarget = isOrdered && order->second.targetVersion == version;
        const auto found = known.records.find(service);
        const RolloutRecord record = found == known.records.end() ? RolloutRecord() : found->second;
        const bool isOfOrder = isOrdered && record.order.revision == order->second.id.revision;
        ASSERT_TRUE(isTarget || !record.rejectedVersions.contains(version))
            << "version " << version << " was rejected";
        ASSERT_FALSE(isOfOrder && isTarget && record.stage == RolloutStage::RolledBack);
        ASSERT_FALSE(!isTarget && record.stage == RolloutStage::Completed
            && record.oldVersions.contains(version))
            << "version " << version << " was replaced";
        const auto stage = entry.gate.stage(service);
        const bool isLimited = isOfOrder && !record.oldVersions.empty()
            && (stage == RolloutStage::Canary || stage == RolloutStage::Trial);
        ASSERT_FALSE(isLimited && side == VersionSide::Any) << "the limit does not hold";
        if (side == VersionSide::Any) {
            entry.sent = entry.sentToTarget = 0; // No other version was known; nothing is limited.
            return;
        }
        ++entry.sent;
        entry.sentToTarget += isTarget ? 1 : 0;
        if (isLimited && isTarget) {
            ASSERT_LE(entry.sentToTarget, 0.08 * entry.sent + 1) << "over the share";
        }
    }

    std::mt19937_64 random;
    TimePoint now{ seconds(1'000) };
    StoreState store;
    std::optional<StoreState> copy;
    std::uint64_t history = 1;
    std::uint64_t revision = 10;
    int calls = 0; ///< To the store, but for the reads that are made anyway.
    /// Last stage that was written in this history.
    std::optional<std::pair<RolloutOrderId, RolloutStage>> historyStage;
    std::set<std::string> running{ "1" };
    std::array<Entry, entryCount> entries;
};

TEST(RolloutsFuzz, requestsAndWritesKeepToTheOrders)
{
    const char *number = std::getenv("WIGEONSILL_ROLLOUT_RUNS");
    const int runs = number == nullptr ? 100 : std::atoi(number);
    for (int i = 1; i <= runs; ++i) {
        SCOPED_TRACE("seed " + std::to_string(i));
        Model model(static_cast<std::uint64_t>(i));
        model.play(seconds(2), false);
        model.giveOrder("2", seconds(4 + i % 20));
        model.play(seconds(60), true);
        if (!model.hasFailed()) {
            model.checkEnd();
        }
        if (model.hasFailed()) {
            return;
        }
    }
}

} // namespace
} // namespace wigeonsill
