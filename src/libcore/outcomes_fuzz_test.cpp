/// \file outcomes_fuzz_test.cpp
/// Generated schedules of events and faults over whole entries and agents, against an oracle for
/// what must always hold. RC_PARAMS overrides the fixed seeds, as scripts/fuzz-long.sh does.
#include "simulation/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace wigeonsill::test {
namespace {

constexpr int maximumNumber = 65'536;
const int fixedParameters = setenv("RC_PARAMS", "seed=20261203 max_success=10000 max_size=300", 0);

rc::Gen<StepKind> genKind()
{
    return rc::gen::weightedElement<StepKind>({ { 12, StepKind::Arrive }, { 30, StepKind::Deliver },
        { 10, StepKind::DeliverAll }, { 12, StepKind::Advance }, { 2, StepKind::AdvanceLong },
        { 30, StepKind::TargetStep }, { 8, StepKind::StoreStep }, { 8, StepKind::CallerTakes },
        { 2, StepKind::CallerGone }, { 1, StepKind::DrainAgent }, { 1, StepKind::DrainEntry },
        { 2, StepKind::LeaveAgent }, { 4, StepKind::Repeat }, { 4, StepKind::Reorder },
        { 3, StepKind::Lose }, { 4, StepKind::Stray }, { 3, StepKind::Cut },
        { 3, StepKind::Silence }, { 2, StepKind::PauseAgent }, { 2, StepKind::PauseEntry },
        { 1, StepKind::KillAgent }, { 1, StepKind::KillEntry } });
}

rc::Gen<std::vector<Step>> genSchedule()
{
    const auto number = rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, maximumNumber));
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::kind, genKind()), rc::gen::set(&Step::a, number),
            rc::gen::set(&Step::b, number)));
}

using OutcomeCounts = std::map<Outcome, std::size_t>;

void runSchedule(
    const std::vector<Step> &schedule, const SimulationOptions &options, OutcomeCounts &counts)
{
    Simulation simulation(options);
    for (const Step &step : schedule) {
        simulation.perform(step);
        if (!simulation.violations().empty()) {
            RC_FAIL(simulation.violations().front());
        }
    }
    simulation.settle();
    if (!simulation.violations().empty()) {
        RC_FAIL(simulation.violations().front());
    }
    for (const auto &[text, record] : simulation.callers()) {
        counts[resultInfo(record.result).outcome] += record.ends > 0 ? 1 : 0;
    }
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << int(step.kind) << "," << step.a << "," << step.b << "}";
}

namespace {

TEST(OutcomesFuzz, promisesHoldUnderFaults)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), {}, counts); }));
    // The schedules reach every outcome; otherwise they would prove nothing.
    EXPECT_GT(counts[Outcome::Completed], 0U);
    EXPECT_GT(counts[Outcome::NotRun], 0U);
    EXPECT_GT(counts[Outcome::Interrupted], 0U);
    EXPECT_GT(counts[Outcome::Unknown], 0U);
    for (const auto &[outcome, count] : counts) {
        RecordProperty(std::string(outcomeName(outcome)), std::to_string(count));
    }
}

TEST(OutcomesFuzz, promisesHoldWithFewTombstones)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), { true, 8 }, counts); }));
}

TEST(OutcomesFuzz, nothingIsCutOffWithoutFaults)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), { false, 4'096 }, counts); }));
}

/// A scheduler of one process that serves one request at a time and keeps every answer.
class NaiveScheduler
{
public:
    struct Answer
    {
        ResultCode result = ResultCode::Ok;
        std::string body;
    };

    Answer serve(const CallerRecord &caller)
    {
        const std::string content = Simulation::contentOf(caller.id);
        if (caller.key.empty()) {
            return { ResultCode::Ok, content };
        }
        const auto [found, fresh]
            = this->bookings.try_emplace(caller.key, Booking{ caller.requestBody, content });
        const Booking &booking = found->second;
        if (booking.request != caller.requestBody) {
            return { ResultCode::IdempotencyKeyReused, {} };
        }
        const bool held = !booking.answer.empty() && booking.answer.size() <= recordedAnswer;
        if (!fresh && !held) {
            return { ResultCode::EarlierAttemptUnknown, {} };
        }
        return { ResultCode::Ok, booking.answer };
    }

private:
    struct Booking
    {
        std::string request;
        std::string answer;
    };

    static constexpr std::size_t recordedAnswer = 256;
    std::map<std::string, Booking> bookings;
};

TEST(OutcomesDifferential, answersAreThoseOfOneNaiveProcess)
{
    constexpr std::uint32_t longWait = 35'000;
    EXPECT_TRUE(rc::check([] {
        const auto numbers = *rc::gen::resize(40,
            rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(longWait, maximumNumber))));
        Simulation simulation({ false, 4'096 });
        NaiveScheduler naive;
        for (const std::uint32_t number : numbers) {
            simulation.perform({ StepKind::Arrive, number % 2, number });
            simulation.settle();
            const CallerRecord &caller = simulation.lastCaller();
            const NaiveScheduler::Answer expected = naive.serve(caller);
            RC_ASSERT(caller.result == expected.result);
            RC_ASSERT(caller.bytes == expected.body);
        }
        RC_ASSERT(simulation.violations().empty());
    }));
}

} // namespace
} // namespace wigeonsill::test
