/// \file quiettargets_test.cpp
/// Tests of what is sent to targets that asked for a time without requests, on a simulated clock.
#include "wigeonsill/directory.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Target makeTarget(const std::string &id, std::int64_t startedMs = 1'000)
{
    Target result;
    result.id = id;
    result.service = "engines";
    result.address = "10.0.0." + id.substr(1) + ":80";
    result.slots = 8;
    result.startedMs = startedMs;
    return result;
}

class Quiet : public testing::Test
{
protected:
    /// Adds requests at the target for as long as it admits them; returns how many there are.
    int fill(int ownRequests = 0)
    {
        while (ownRequests < 100 && this->quiet.admits(this->target, ownRequests, this->now)) {
            ++ownRequests;
        }
        return ownRequests;
    }

    static constexpr int unlimited = 100;

    TimePoint now{ seconds(100) };
    QuietTargets quiet;
    Target target = makeTarget("i1");
    Target other = makeTarget("i2");
};

TEST_F(Quiet, targetGetsNothingUntilItsTimeIsOver)
{
    EXPECT_EQ(this->fill(), unlimited);
    EXPECT_TRUE(this->quiet.recordQuiet(this->target, milliseconds(1'500), 0, this->now));
    EXPECT_EQ(this->fill(), 0);
    EXPECT_TRUE(this->quiet.admits(this->other, 0, this->now)) << "counted per target";
    this->now += milliseconds(1'499);
    EXPECT_EQ(this->fill(), 0);
    EXPECT_EQ(this->quiet.remaining(this->target, this->now), milliseconds(1));
    this->now += milliseconds(1);
    EXPECT_FALSE(this->quiet.isQuiet(this->target, this->now));
    EXPECT_EQ(this->fill(), 1);
}

/// Ten requests waited for the target, or the process was frozen while the time ran out.
TEST_F(Quiet, probesGrowWithTheirSuccesses)
{
    this->quiet.recordQuiet(this->target, seconds(1), 0, this->now);
    this->now += seconds(30);
    for (const int round : { 1, 2, 4 }) {
        EXPECT_EQ(this->fill(), round);
        for (int i = 0; i < round; ++i) {
            this->quiet.recordSuccess(this->target, this->now);
        }
        this->now += milliseconds(200);
    }
    EXPECT_EQ(this->fill(), 8);
    this->quiet.recordSuccess(this->target, this->now);
    EXPECT_EQ(this->fill(), unlimited) << "as many as it has slots succeeded";
}

TEST_F(Quiet, anotherRefusalDuringProbesBeginsAnew)
{
    this->quiet.recordQuiet(this->target, seconds(1), 0, this->now);
    this->now += seconds(1);
    this->quiet.recordSuccess(this->target, this->now);
    EXPECT_EQ(this->fill(), 2);
    EXPECT_TRUE(this->quiet.recordQuiet(this->target, milliseconds(500), 1, this->now));
    EXPECT_EQ(this->fill(1), 1);
    this->now += milliseconds(500);
    EXPECT_EQ(this->fill(0), 1);
}

TEST_F(Quiet, answersToRequestsFromBeforeAreNoProbes)
{
    const TimePoint before = this->now;
    this->quiet.recordQuiet(this->target, seconds(1), 3, this->now);
    this->now += seconds(1);
    this->quiet.recordSuccess(this->target, before);
    EXPECT_EQ(this->fill(3), 4) << "one more than the three that still run";
    EXPECT_EQ(this->fill(1), 2) << "two of them have ended";
    EXPECT_EQ(this->fill(3), 3) << "they do not come back";
}

/// Requests that were in flight meet refusals that name different times.
TEST_F(Quiet, runningTimeIsExtendedButNotShortened)
{
    EXPECT_TRUE(this->quiet.recordQuiet(this->target, seconds(4), 0, this->now));
    EXPECT_FALSE(this->quiet.recordQuiet(this->target, milliseconds(100), 0, this->now));
    EXPECT_EQ(this->quiet.remaining(this->target, this->now), seconds(4));
    EXPECT_FALSE(this->quiet.recordQuiet(this->target, seconds(6), 0, this->now));
    EXPECT_EQ(this->quiet.remaining(this->target, this->now), seconds(6));
    EXPECT_FALSE(this->quiet.recordQuiet(this->other, Duration::zero(), 0, this->now));
    EXPECT_TRUE(this->quiet.admits(this->other, 50, this->now)) << "a time of 0 asks for nothing";
}

TEST_F(Quiet, longTimesAreBelievedToABound)
{
    this->quiet.recordQuiet(this->target, std::chrono::hours(24), 0, this->now);
    EXPECT_EQ(this->quiet.remaining(this->target, this->now), QuietTargets::longestTime);
    this->now += QuietTargets::longestTime;
    EXPECT_EQ(this->fill(), 1) << "one request asks again";
}

TEST_F(Quiet, doesNotHoldForSuccessors)
{
    this->quiet.recordQuiet(this->target, seconds(5), 0, this->now);
    const Target restarted = makeTarget("i1", 9'000);
    Target successor = makeTarget("i3");
    successor.address = this->target.address;
    EXPECT_TRUE(this->quiet.admits(restarted, 50, this->now)) << "under the same id";
    EXPECT_TRUE(this->quiet.admits(successor, 50, this->now)) << "at the same address";
    EXPECT_FALSE(this->quiet.admits(this->target, 0, this->now));
}

TEST_F(Quiet, shortestTimeCountsWhenAllAskForQuiet)
{
    EXPECT_EQ(this->quiet.untilAnyWantsRequests({}, this->now), std::nullopt);
    this->quiet.recordQuiet(this->target, seconds(5), 0, this->now);
    EXPECT_EQ(
        this->quiet.untilAnyWantsRequests({ &this->target, &this->other }, this->now), std::nullopt)
        << "the other one takes requests";
    this->quiet.recordQuiet(this->other, seconds(2), 0, this->now);
    this->now += milliseconds(500);
    EXPECT_EQ(this->quiet.untilAnyWantsRequests({ &this->target, &this->other }, this->now),
        milliseconds(1'500));
    this->now += milliseconds(1'500);
    EXPECT_EQ(this->quiet.untilAnyWantsRequests({ &this->target, &this->other }, this->now),
        std::nullopt);
}

/// A record that expired while the store was away comes back.
TEST_F(Quiet, unlistedTargetIsRememberedUntilItsTimeIsOver)
{
    TargetDirectory directory;
    directory.replace({ this->other }, false);
    this->quiet.recordQuiet(this->target, seconds(5), 0, this->now);
    this->now += seconds(4);
    this->quiet.forgetUnlisted(directory, this->now);
    EXPECT_FALSE(this->quiet.admits(this->target, 0, this->now));
    this->now += seconds(1);
    this->quiet.forgetUnlisted(directory, this->now);
    EXPECT_EQ(this->fill(), unlimited);
}

} // namespace
} // namespace wigeonsill
