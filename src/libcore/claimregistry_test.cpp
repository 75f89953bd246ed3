/// \file claimregistry_test.cpp
/// ClaimRegistry against an in-memory store: conflicts, lost answers, outages and writes per
/// request.
#include "claimshard.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

constexpr std::chrono::seconds wallClock{ 1'800'000'000 };

ClaimKey makeClaim(std::uint64_t sequence, const std::string &key, std::uint64_t digest = 7)
{
    return { { { 1, 1 }, sequence }, "org", key, digest };
}

RecordClaim makeRecord(const ClaimKey &claim, ResultCode result, const std::string &body = {})
{
    return { claim.id, claim.organisation, claim.key, result, 200, {}, body };
}

/// Two claim books, as of two entries, on one in-memory store. A call is answered right after the
/// tick that issued it.
class ClaimRegistryTest : public testing::Test
{
protected:
    enum class Fault : std::uint8_t { None, Down, LoseAnswer };

    explicit ClaimRegistryTest(const ClaimLimits &claimLimits = {})
        : limits(claimLimits)
    {
    }

    void perform(ClaimRegistry &book, const ReadShard &read)
    {
        if (this->fault == Fault::Down) {
            book.readDone(this->now, read.key, Error{ ResultCode::StoreUnavailable, {} });
            return;
        }
        book.readDone(this->now, read.key, this->store[read.key]);
    }

    void perform(ClaimRegistry &book, const WriteShard &write)
    {
        ShardValue &stored = this->store[write.key];
        if (this->fault == Fault::Down) {
            book.writeDone(this->now, write.key, Error{ ResultCode::StoreUnavailable, {} });
            return;
        }
        if (stored.version != write.expectedVersion) {
            book.writeDone(this->now, write.key, Error{ ResultCode::StoreConflict, {} });
            return;
        }
        ++this->writes;
        stored.value = write.value;
        ++stored.version;
        if (std::exchange(this->fault, Fault::None) == Fault::LoseAnswer) {
            book.writeDone(this->now, write.key, Error{ ResultCode::StoreAnswerLost, {} });
            return;
        }
        book.writeDone(this->now, write.key, stored.version);
    }

    void perform(ClaimRegistry &, const ClaimDecided &decided)
    {
        EXPECT_TRUE(this->decisions.emplace(decided.id.sequence, decided.decision).second);
    }

    void performActions(ClaimRegistry &book)
    {
        for (const ClaimRegistryAction &action : book.takeActions()) {
            std::visit([this, &book](const auto &typed) { this->perform(book, typed); }, action);
        }
    }

    void advance(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            this->now += milliseconds(5);
            for (ClaimRegistry *book : { &this->first, &this->second }) {
                book->tick(this->now, this->wall);
                this->performActions(*book);
            }
        }
    }

    ResultCode resultOf(std::uint64_t sequence) const
    {
        return this->decisions.at(sequence).result;
    }

    ClaimLimits limits;
    TimePoint now{ seconds(1'000) };
    std::chrono::seconds wall = wallClock;
    std::map<std::string, ShardValue> store;
    Fault fault = Fault::None;
    std::size_t writes = 0;
    std::map<std::uint64_t, ClaimDecision> decisions;
    ClaimRegistry first{ this->limits };
    ClaimRegistry second{ this->limits };
};

TEST_F(ClaimRegistryTest, onlyOneOfTwoEntriesClaimsTheKey)
{
    this->first.claim(this->now, makeClaim(1, "key"));
    this->second.claim(this->now, makeClaim(2, "key"));
    this->advance(this->limits.runningClaimWait + seconds(1));
    EXPECT_EQ(this->resultOf(1), ResultCode::Ok);
    EXPECT_EQ(this->resultOf(2), ResultCode::FirstAttemptRunning);
}

TEST_F(ClaimRegistryTest, repeatedRequestWaitsForTheFirstToEnd)
{
    const ClaimKey claim = makeClaim(1, "key");
    this->first.claim(this->now, claim);
    this->advance(milliseconds(100));
    this->second.claim(this->now, makeClaim(2, "key"));
    this->advance(milliseconds(100));
    this->first.record(this->now, makeRecord(claim, ResultCode::Ok, "recorded"));
    this->advance(seconds(1));
    EXPECT_EQ(this->decisions.at(2).body, "recorded");
}

TEST_F(ClaimRegistryTest, repeatedRequestGetsTheRecordedAnswer)
{
    const ClaimKey claim = makeClaim(1, "key");
    this->first.claim(this->now, claim);
    this->advance(seconds(1));
    this->first.record(this->now, makeRecord(claim, ResultCode::Ok, "recorded"));
    this->advance(seconds(1));
    this->second.claim(this->now, makeClaim(2, "key"));
    this->second.claim(this->now, makeClaim(3, "key", 8));
    this->advance(seconds(1));
    EXPECT_TRUE(this->decisions.at(2).replay);
    EXPECT_EQ(this->decisions.at(2).body, "recorded");
    EXPECT_EQ(this->resultOf(3), ResultCode::IdempotencyKeyReused);
}

TEST_F(ClaimRegistryTest, keyIsReleasedWhenItsRequestDidNotRun)
{
    const ClaimKey claim = makeClaim(1, "key");
    this->first.claim(this->now, claim);
    this->advance(seconds(1));
    this->first.record(this->now, makeRecord(claim, ResultCode::RequestExpired));
    this->advance(seconds(1));
    this->second.claim(this->now, makeClaim(2, "key"));
    this->advance(seconds(1));
    EXPECT_EQ(this->resultOf(2), ResultCode::Ok);
}

TEST_F(ClaimRegistryTest, claimOfALostEntryBecomesUnknownAfterTheRunningLimit)
{
    this->first.claim(this->now, makeClaim(1, "key"));
    this->advance(seconds(1));
    this->wall += this->limits.runningClaimTimeout;
    this->second.claim(this->now, makeClaim(2, "key"));
    this->advance(seconds(1));
    EXPECT_EQ(this->resultOf(2), ResultCode::EarlierAttemptUnknown);
}

TEST_F(ClaimRegistryTest, lostWriteAnswerIsResolvedByReading)
{
    this->fault = Fault::LoseAnswer;
    this->first.claim(this->now, makeClaim(1, "key"));
    this->advance(seconds(1));
    EXPECT_EQ(this->resultOf(1), ResultCode::Ok);
}

TEST_F(ClaimRegistryTest, claimFailsDuringAStoreOutageAndItsKeyIsReleasedAfterwards)
{
    this->fault = Fault::Down;
    this->first.claim(this->now, makeClaim(1, "key"));
    this->advance(this->limits.claimTimeout + seconds(1));
    EXPECT_EQ(this->resultOf(1), ResultCode::ClaimStoreUnavailable);
    this->fault = Fault::None;
    this->advance(seconds(1));
    this->second.claim(this->now, makeClaim(2, "key"));
    this->advance(seconds(1));
    EXPECT_EQ(this->resultOf(2), ResultCode::Ok);
    EXPECT_EQ(this->first.inProgress(), 0U);
}

TEST(ClaimShard, dropsAnswersButKeepsEveryClaimAtTheSizeLimit)
{
    ClaimLimits limits;
    limits.maximumShardBytes = 20'000;
    ClaimShard shard;
    bool added = false;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const ClaimKey claim = makeClaim(i, "key-" + std::to_string(i));
        shard.claim(claim, wallClock + std::chrono::seconds(i), limits.runningClaimTimeout, added);
        shard.record(makeRecord(claim, ResultCode::Ok, std::string(1'000, 'a')));
        shard.prune(wallClock, limits);
    }
    EXPECT_LE(shard.estimatedSize(), limits.maximumShardBytes);
    const auto repeat = [&](const std::string &key) {
        return shard.claim(makeClaim(99, key), wallClock, limits.runningClaimTimeout, added);
    };
    EXPECT_EQ(repeat("key-0").result, ResultCode::EarlierAttemptUnknown);
    EXPECT_TRUE(repeat("key-19").replay);
    const auto parsed = ClaimShard::parse(shard.serialize());
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value().serialize(), shard.serialize());
}

/// Claims at a steady rate for ten seconds; each request is recorded once its claim is decided.
class ClaimRateTest : public ClaimRegistryTest
{
protected:
    std::size_t countWritesAtRate(std::uint64_t requestsPerSecond)
    {
        const std::uint64_t total = requestsPerSecond * 10;
        std::uint64_t started = 0;
        std::uint64_t ended = 0;
        const TimePoint begin = this->now;
        while (ended < total) {
            this->advance(milliseconds(5));
            const auto passed = std::uint64_t((this->now - begin).count());
            const std::uint64_t due = std::min(total, passed * requestsPerSecond / 1'000'000);
            for (; started < due; ++started) {
                const std::string key = "key-" + std::to_string(started);
                this->first.claim(this->now, makeClaim(started, key));
            }
            while (ended < started && this->decisions.contains(ended)) {
                const ClaimKey claim = makeClaim(ended, "key-" + std::to_string(ended));
                this->first.record(this->now, makeRecord(claim, ResultCode::Ok, "done"));
                ++ended;
            }
        }
        this->advance(seconds(1));
        return this->writes;
    }
};

TEST_F(ClaimRateTest, lowRateWritesAtMostTwicePerRequest)
{
    const std::size_t lowRateWrites = this->countWritesAtRate(10);
    RecordProperty("writesAt10PerSecond", std::to_string(lowRateWrites));
    EXPECT_LE(lowRateWrites, 200U);
}

TEST_F(ClaimRateTest, highRateWritesAreBounded)
{
    const std::size_t highRateWrites = this->countWritesAtRate(1'000);
    RecordProperty("writesAt1000PerSecond", std::to_string(highRateWrites));
    // Two writes for each request, for its claim and its end, would be 20,000.
    EXPECT_LE(highRateWrites, 5'000U);
}

} // namespace
} // namespace wigeonsill
