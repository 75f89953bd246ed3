/// \file rolloutsimulation.h
/// Simulated rollouts: gates of several entries, the owner and the judgement on a simulated clock.
#pragma once

#include "wigeonsill/rollout.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

namespace wigeonsill::simulation {

enum class Kind : std::uint8_t { Good, Failures, Slow, OnOneRoute, Later, UnderLoad };
inline constexpr std::array kindNames = {
    EnumName<Kind>{ Kind::Good, "good" },
    EnumName<Kind>{ Kind::Failures, "failures" },
    EnumName<Kind>{ Kind::Slow, "slow" },
    EnumName<Kind>{ Kind::OnOneRoute, "on-one-route" },
    EnumName<Kind>{ Kind::Later, "later" },
    EnumName<Kind>{ Kind::UnderLoad, "under-load" },
};

inline const std::string service = "service";
inline const std::string oldVersion = "1";
inline const std::string newVersion = "2";
inline constexpr TimePoint start{ seconds(1'000) };
/// Of each version where it is bad only under load: nine tenths of the slots are used.
inline constexpr int targetsUnderLoad = 18;
/// Rollouts that are still open at their deadline are played on for so long.
inline constexpr Duration timeAfterDeadline = seconds(10);
inline constexpr double baseLatencyMs = 100; ///< Of a request of size 1 at speed 1.
inline constexpr double slotsAtSpeed1 = 2; ///< So that 20 targets are used to four fifths.

struct Scenario
{
    Kind kind = Kind::Good;
    Duration duration = seconds(30);
    int entries = 12;
    int targets = 20; ///< Of each version.
    double lostReports = 0.02;
    double requestsPerSecond = 500;
    bool oneIllTarget = false; ///< One target of the new version fails half of its requests.
    std::uint64_t seed = 1;
};

struct Target
{
    std::string id;
    bool isNew = false;
    double speed = 1;
    int inProgress = 0;
    double learnedSpeed = 0;
    int samples = 0;

    double slots() const { return std::max(1.0, std::round(slotsAtSpeed1 * this->speed)); }
};

struct Result
{
    RolloutStage stage = RolloutStage::Canary;
    std::string reason;
    Duration endedAt = {};
    double sent = 0;
    double sentToTarget = 0;
    double badAnswers = 0;
    Duration afterFifty = {}; ///< From the 50th bad answer to the last request, at a bad version.
    int cutOff = 0; ///< Requests in progress at old targets at Completed.
};

class Simulation
{
public:
    explicit Simulation(const Scenario &parameters)
        : setup(parameters)
        , random(parameters.seed)
        , owner(RolloutLimits())
    {
        for (int i = 0; i < 2 * this->setup.targets; ++i) {
            Target target;
            target.isNew = i >= this->setup.targets;
            target.id = "target-" + std::to_string(this->random() % 1'000'000'000);
            target.speed = std::array{ 0.55, 1.0, 2.8 }.at(
                static_cast<std::size_t>(i % this->setup.targets) % 3);
            target.learnedSpeed = target.isNew ? 0 : target.speed * 0.9;
            target.samples = target.isNew ? 0 : 100;
            this->targets.push_back(std::move(target));
        }
        this->gates.assign(static_cast<std::size_t>(this->setup.entries), Entry(RolloutLimits()));
        this->order.id = { 1, 100 };
        this->order.service = service;
        this->order.targetVersion = newVersion;
        this->order.duration = this->setup.duration;
    }

    Result play()
    {
        for (std::size_t i = 0; i < this->gates.size(); ++i) {
            this->gates[i].gate.setSharingEntries(this->setup.entries);
            this->read(i);
            this->at(this->uniform() * 1'800, [this, i] { this->watch(i); });
            this->at(this->uniform() * 250, [this, i] { this->report(i); });
        }
        this->ownerReads();
        this->at(500, [this] { this->ownerActs(); });
        this->at(0, [this] { this->arrive(); });
        const TimePoint end = start + this->setup.duration + timeAfterDeadline;
        while (!this->events.empty() && this->events.begin()->first < end) {
            const auto event = this->events.begin();
            this->now = event->first;
            const auto action = std::move(event->second);
            this->events.erase(event);
            action();
        }
        return this->result;
    }

private:
    struct Entry
    {
        explicit Entry(const RolloutLimits &limits)
            : gate(limits)
        {
        }
        RolloutGate gate;
        std::array<std::vector<std::size_t>, 2> admitted; ///< Targets by side: old, new.
    };

    double uniform() { return std::uniform_real_distribution<>(0, 1)(this->random); }
    void at(double afterMs, std::function<void()> action)
    {
        this->events.emplace(
            this->now + Duration(static_cast<Duration::rep>(afterMs * 1'000)), std::move(action));
    }

    RolloutSnapshot snapshot() const
    {
        RolloutSnapshot read;
        read.readAt = this->now;
        if (this->now > start) {
            read.orders[service] = this->order;
        }
        if (this->record) {
            read.records[service] = *this->record;
        }
        return read;
    }

    void read(std::size_t entry)
    {
        RolloutGate &gate = this->gates[entry].gate;
        gate.apply(this->snapshot(), this->now);
        std::map<std::string, std::string> versions;
        for (const Target &target : this->targets) {
            versions[target.id] = target.isNew ? newVersion : oldVersion;
        }
        gate.setTargets(service, std::move(versions));
        this->updateAdmitted(entry);
    }

    void watch(std::size_t entry)
    {
        this->read(entry);
        this->at(1'800, [this, entry] { this->watch(entry); });
    }

    void updateAdmitted(std::size_t entry)
    {
        Entry &state = this->gates[entry];
        const auto list = [&](bool isNew, VersionSide side) {
            std::vector<std::size_t> found;
            for (std::size_t i = 0; i < this->targets.size(); ++i) {
                const Target &target = this->targets[i];
                if (target.isNew == isNew
                    && state.gate.admits(
                        service, isNew ? newVersion : oldVersion, target.id, side, this->now)) {
                    found.push_back(i);
                }
            }
            return found;
        };
        state.admitted = { list(false, VersionSide::Old), list(true, VersionSide::Target) };
    }

    void report(std::size_t entry)
    {
        RolloutGate &gate = this->gates[entry].gate;
        for (const RolloutReport &report : gate.reports(this->now)) {
            if (this->uniform() < this->setup.lostReports) {
                continue;
            }
            this->owner.merge(entry + 1, report, this->now);
            if (this->uniform() >= this->setup.lostReports) {
                gate.applyDirective(this->owner.directive(service, this->now), this->now);
            }
        }
        this->updateAdmitted(entry);
        const Duration interval = reportInterval(this->gates.size());
        this->at(static_cast<double>(interval.count()) / 1'000 * (0.95 + 0.1 * this->uniform()),
            [this, entry] { this->report(entry); });
    }

    void ownerReads()
    {
        this->owner.apply(this->snapshot(), this->now, 0);
        VersionTargets list;
        for (const Target &target : this->targets) {
            const std::string &version = target.isNew ? newVersion : oldVersion;
            list.usableSlots[version] += static_cast<int>(target.slots());
            ++list.usableTargets[version];
        }
        this->owner.setTargets(service, list, this->now);
    }

    void ownerActs()
    {
        if (!this->record || this->now - this->lastOwnerRead > milliseconds(1'800)) {
            this->ownerReads();
            this->lastOwnerRead = this->now;
        }
        for (RolloutRecord change : this->owner.changes(this->now)) {
            ++this->revision;
            change.recordRevision = change.statusRevision = this->revision;
            this->record = change;
            this->owner.recordWritten(change, this->revision, this->now);
            if (isFinal(change.stage) && !isFinal(this->result.stage)) {
                this->result.endedAt = this->now - start;
                for (const Target &target : this->targets) {
                    const bool isStopped = change.stage == RolloutStage::Completed && !target.isNew;
                    this->result.cutOff += isStopped ? target.inProgress : 0;
                }
            }
            this->result.stage = change.stage;
            this->result.reason = change.reason;
        }
        this->at(20, [this] { this->ownerActs(); });
    }

    void arrive()
    {
        this->at(-std::log(1 - this->uniform()) * 1'000 / this->setup.requestsPerSecond,
            [this] { this->arrive(); });
        const std::size_t entry = this->random() % this->gates.size();
        RolloutGate &gate = this->gates[entry].gate;
        const VersionSide side = gate.choose(service, this->uniform(), this->now);
        const bool isNew = side == VersionSide::Target
            || (side == VersionSide::Any && gate.stage(service) == RolloutStage::Completed);
        std::vector<std::size_t> *list = &this->gates[entry].admitted.at(isNew ? 1 : 0);
        if (list->empty()) {
            list = &this->gates[entry].admitted.at(isNew ? 0 : 1);
        }
        if (list->empty()) {
            return; // Refused.
        }
        // The less loaded of a few, as the forwarding entry chooses among reservations.
        Target *best = nullptr;
        for (int i = 0; i < 6; ++i) {
            Target &target = this->targets[(*list)[this->random() % list->size()]];
            if (best == nullptr
                || (target.inProgress + 1) / target.slots()
                    < (best->inProgress + 1) / best->slots()) {
                best = &target;
            }
        }
        this->send(entry, *best);
    }

    /// Whether the version is bad for a request at a target now.
    bool isBad(const Target &target, const std::string &route) const
    {
        switch (this->setup.kind) {
        case Kind::OnOneRoute:
            return route == "rare";
        case Kind::Later:
            return this->now >= start + this->setup.duration / 2;
        case Kind::UnderLoad:
            return target.inProgress > 0.7 * target.slots();
        default:
            return this->setup.kind != Kind::Good;
        }
    }

    void send(std::size_t entry, Target &target)
    {
        const double draw = this->uniform();
        const std::string route = draw < 0.05 ? "rare" : draw < 0.4 ? "second" : "first";
        const double size = std::exp(std::normal_distribution<>(0, 0.5)(this->random));
        const bool isBadHere = target.isNew && this->isBad(target, route);
        ++target.inProgress;
        const bool failsMore = isBadHere && this->setup.kind != Kind::Slow;
        const bool isSlower = isBadHere && this->setup.kind != Kind::Failures;
        const bool isIll = this->setup.oneIllTarget && &target == &this->targets.back();
        AnswerSample sample;
        sample.service = service;
        sample.route = route;
        sample.targetId = target.id;
        sample.side = target.isNew ? VersionSide::Target : VersionSide::Old;
        sample.failed = this->uniform() < (isIll ? 0.5 : failsMore ? 0.2 : 0.005);
        double ms = baseLatencyMs * size / target.speed
            * std::exp(std::normal_distribution<>(0, 0.25)(this->random));
        ms *= this->uniform() < 0.15 ? 2.5 : 1;
        const bool isSlow = isSlower && this->uniform() < 0.3;
        ms *= isSlow ? 4 : 1;
        sample.latency = Duration(static_cast<Duration::rep>(ms * 1'000));
        const double reference = baseLatencyMs * size * 1'000;
        sample.referenceLatency = Duration(static_cast<Duration::rep>(reference));
        if (target.samples >= 3) {
            sample.expectedLatency
                = Duration(static_cast<Duration::rep>(reference / target.learnedSpeed));
        }
        RolloutGate &gate = this->gates[entry].gate;
        const std::string &version = target.isNew ? newVersion : oldVersion;
        gate.recordSent(service, version);
        if (this->now < start + this->setup.duration) {
            // The limit on exposure counts requests up to the deadline.
            ++this->result.sent;
            this->result.sentToTarget += target.isNew ? 1 : 0;
        }
        if (target.isNew && this->result.badAnswers >= 50) {
            this->result.afterFifty = this->now - this->fiftiethAt;
        }
        const bool isBadAnswer = isBadHere && (sample.failed || isSlow);
        this->at(ms, [this, entry, sample, &target, isBadAnswer] {
            this->answer(entry, sample, target, isBadAnswer);
        });
    }

    void answer(std::size_t entry, const AnswerSample &sample, Target &target, bool isBadAnswer)
    {
        --target.inProgress;
        RolloutGate &gate = this->gates[entry].gate;
        gate.recordLeft(service, target.isNew ? newVersion : oldVersion);
        gate.recordAnswer(sample);
        if (!sample.failed) {
            const double speed = static_cast<double>(sample.referenceLatency.count())
                / static_cast<double>(sample.latency.count());
            target.learnedSpeed += (target.samples == 0 ? 1 : 0.15) * (speed - target.learnedSpeed);
            ++target.samples;
        }
        this->result.badAnswers += isBadAnswer ? 1 : 0;
        if (isBadAnswer && this->result.badAnswers == 50) {
            this->fiftiethAt = this->now;
        }
    }

    Scenario setup;
    std::mt19937_64 random;
    std::vector<Target> targets;
    std::vector<Entry> gates;
    RolloutOwner owner;
    RolloutOrder order;
    std::optional<RolloutRecord> record;
    std::uint64_t revision = 200;
    std::multimap<TimePoint, std::function<void()>> events;
    TimePoint now = start;
    TimePoint lastOwnerRead = start;
    TimePoint fiftiethAt;
    Result result;
};

struct Totals
{
    int plays = 0;
    int wrong = 0;
    int overExposed = 0;
    int late = 0; ///< Requests later than the limit after the 50th bad answer.
    int unfinished = 0; ///< Also some time after the deadline.
    int afterDeadline = 0;
    int cutOff = 0;
    double highestShare = 0; ///< Of the limit on exposure.
    double latestMs = 0; ///< Highest time after the 50th bad answer.
};

inline Totals playMany(Scenario setup, int plays)
{
    const RolloutLimits limits;
    Totals totals;
    std::string example;
    for (int i = 0; i < plays; ++i) {
        setup.seed = static_cast<std::uint64_t>(i) + 1;
        const Result result = Simulation(setup).play();
        const bool isBad = setup.kind != Kind::Good;
        ++totals.plays;
        totals.unfinished += isFinal(result.stage) ? 0 : 1;
        totals.afterDeadline += result.endedAt > setup.duration ? 1 : 0;
        totals.cutOff += result.cutOff;
        const bool isWrong
            = result.stage != (isBad ? RolloutStage::RolledBack : RolloutStage::Completed);
        totals.wrong += isWrong ? 1 : 0;
        example = isWrong ? std::to_string(setup.seed) + ": " + result.reason : example;
        if (!isBad) {
            continue;
        }
        const double exposure
            = result.sentToTarget / (limits.exposedShare * result.sent + limits.exposedRequests);
        const double late = static_cast<double>(result.afterFifty.count()) / 1'000;
        totals.overExposed += exposure > 1 && !isWrong ? 1 : 0;
        totals.late += result.afterFifty > limits.rollBackTime && !isWrong ? 1 : 0;
        totals.highestShare
            = isWrong ? totals.highestShare : std::max(totals.highestShare, exposure);
        totals.latestMs = isWrong ? totals.latestMs : std::max(totals.latestMs, late);
    }
    std::cout << enumName(kindNames, setup.kind) << ", " << setup.duration.count() / 1'000'000
              << " s, " << setup.entries << " entries, " << setup.targets << " targets"
              << (setup.oneIllTarget ? ", one ill" : "") << ": " << totals.plays
              << " rollouts, wrong " << totals.wrong << ", unfinished " << totals.unfinished
              << ", after the deadline " << totals.afterDeadline << ", over-exposed "
              << totals.overExposed << " (highest " << totals.highestShare << "), late "
              << totals.late << " (latest " << totals.latestMs << " ms), cut off " << totals.cutOff
              << ' ' << example << std::endl;
    return totals;
}

/// Of each scenario; WIGEONSILL_ROLLOUTS sets another number.
inline int playsOf(int usual)
{
    const char *number = std::getenv("WIGEONSILL_ROLLOUTS");
    return number == nullptr ? usual : std::atoi(number);
}

} // namespace wigeonsill::simulation
