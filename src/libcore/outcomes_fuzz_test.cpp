/// \file outcomes_fuzz_test.cpp
/// Runs generated schedules of events and faults against complete entry and agent cores and checks
/// their invariants with an oracle. RC_PARAMS overrides the fixed seeds, as in
/// scripts/fuzz-long.sh.
#include "simulation/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace wigeonsill::test {
namespace {

/// Exclusive upper limit of the numbers in a step.
constexpr int numberLimit = 65'536;
/// Keeps a value of RC_PARAMS from the environment.
const int defaultParametersResult
    = setenv("RC_PARAMS", "seed=20261203 max_success=10000 max_size=300", 0);

rc::Gen<StepKind> genKind()
{
    return rc::gen::weightedElement<StepKind>(
        { { 12, StepKind::SubmitRequest }, { 30, StepKind::DeliverMessage },
            { 10, StepKind::DeliverAllMessages }, { 12, StepKind::AdvanceClockShort },
            { 2, StepKind::AdvanceClockLong }, { 30, StepKind::AdvanceTarget },
            { 8, StepKind::AdvanceStore }, { 8, StepKind::ConsumeAnswers },
            { 2, StepKind::DisconnectCaller }, { 1, StepKind::DrainAgent },
            { 1, StepKind::DrainEntry }, { 2, StepKind::AnnounceAgentLeaving },
            { 4, StepKind::DuplicateMessage }, { 4, StepKind::ReorderMessages },
            { 3, StepKind::DropMessage }, { 4, StepKind::DeliverDelayedMessage },
            { 3, StepKind::ResetConnection }, { 3, StepKind::StallConnection },
            { 2, StepKind::ToggleAgentPause }, { 2, StepKind::ToggleEntryPause },
            { 1, StepKind::KillAgent }, { 1, StepKind::KillEntry } });
}

rc::Gen<std::vector<Step>> genSchedule()
{
    const auto number = rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, numberLimit));
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::kind, genKind()),
            rc::gen::set(&Step::selector, number), rc::gen::set(&Step::parameter, number)));
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
    for (const auto &[idText, record] : simulation.callers()) {
        counts[resultInfo(record.result).outcome] += record.endCount > 0 ? 1 : 0;
    }
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << int(step.kind) << "," << step.selector << "," << step.parameter << "}";
}

namespace {

TEST(OutcomesFuzz, invariantsHoldUnderFaults)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), {}, counts); }));
    // Schedules that never reach an outcome would leave its invariants unchecked.
    EXPECT_GT(counts[Outcome::Completed], 0U);
    EXPECT_GT(counts[Outcome::NotRun], 0U);
    EXPECT_GT(counts[Outcome::Interrupted], 0U);
    EXPECT_GT(counts[Outcome::Unknown], 0U);
    for (const auto &[outcome, count] : counts) {
        RecordProperty(std::string(outcomeName(outcome)), std::to_string(count));
    }
}

TEST(OutcomesFuzz, invariantsHoldWithFewTombstones)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), { true, 8 }, counts); }));
}

TEST(OutcomesFuzz, runsAreNotInterruptedWithoutFaults)
{
    OutcomeCounts counts;
    EXPECT_TRUE(rc::check([&counts] { runSchedule(*genSchedule(), { false, 4'096 }, counts); }));
}

/// Reference model: one process that serves one request at a time and records every answer to a
/// request with an idempotency key.
class ReferenceScheduler
{
public:
    struct Answer
    {
        ResultCode result = ResultCode::Ok;
        std::string body;
    };

    Answer serve(const CallerRecord &caller)
    {
        const std::string answerBody = Simulation::answerBodyFor(caller.id);
        if (caller.key.empty()) {
            return { ResultCode::Ok, answerBody };
        }
        const auto [found, inserted] = this->recordedRequests.try_emplace(
            caller.key, RecordedRequest{ caller.requestBody, answerBody });
        const RecordedRequest &recorded = found->second;
        if (recorded.request != caller.requestBody) {
            return { ResultCode::IdempotencyKeyReused, {} };
        }
        const bool answerRecorded
            = !recorded.answer.empty() && recorded.answer.size() <= recordedAnswerLimitBytes;
        if (!inserted && !answerRecorded) {
            return { ResultCode::EarlierAttemptUnknown, {} };
        }
        return { ResultCode::Ok, recorded.answer };
    }

private:
    struct RecordedRequest
    {
        std::string request;
        std::string answer;
    };

    static constexpr std::size_t recordedAnswerLimitBytes = 256;
    std::map<std::string, RecordedRequest> recordedRequests;
};

TEST(OutcomesDifferential, answersMatchReferenceScheduler)
{
    // Leaves each request at least 5.1 s until its deadline (100 ms + number / 7).
    constexpr std::uint32_t minimumNumber = 35'000;
    EXPECT_TRUE(rc::check([] {
        const auto numbers = *rc::gen::resize(40,
            rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(minimumNumber, numberLimit))));
        Simulation simulation({ false, 4'096 });
        ReferenceScheduler reference;
        for (const std::uint32_t number : numbers) {
            simulation.perform({ StepKind::SubmitRequest, number % 2, number });
            simulation.settle();
            const CallerRecord &caller = simulation.lastCaller();
            const ReferenceScheduler::Answer expected = reference.serve(caller);
            RC_ASSERT(caller.result == expected.result);
            RC_ASSERT(caller.bytes == expected.body);
        }
        RC_ASSERT(simulation.violations().empty());
    }));
}

} // namespace
} // namespace wigeonsill::test
