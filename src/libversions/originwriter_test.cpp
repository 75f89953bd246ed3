/// \file originwriter_test.cpp
/// Tests of when origins of streams are written to the store, and of what is concluded from it.
#include "wigeonsill/versions.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

const TimePoint start{ seconds(1'000) };

/// Plays an entry that begins a stream every 100 ms, with a store that answers at once. Returns the
/// number of writes.
int countWrites(OriginWriter &writer, Duration time)
{
    int writes = 0;
    std::uint64_t stream = 0;
    for (Duration age = {}; age < time; age += milliseconds(10)) {
        const TimePoint now = start + age;
        if (age % milliseconds(100) == Duration::zero()) {
            writer.record(++stream, "v1", now);
        }
        const auto dueAt = writer.dueAt();
        if (dueAt && *dueAt <= now) {
            writer.begin(now);
            writer.end(true, now);
            ++writes;
        }
    }
    return writes;
}

/// Stores of the deployments, and of one of 380 entries with as many writes for each entry.
TEST(OriginWriter, takesASmallShareOfTheStoresWrites)
{
    constexpr std::array<std::pair<int, double>, 5> deployments
        = { { { 4, 400 }, { 6, 400 }, { 31, 1'200 }, { 103, 3'200 }, { 380, 11'800 } } };
    for (const auto &[entries, writesPerSecond] : deployments) {
        for (const bool severalVersions : { false, true }) {
            OriginWriter writer({ .storeWritesPerSecond = writesPerSecond });
            writer.setEntries(entries);
            writer.setSeveralVersions(severalVersions);
            const double writes = entries * countWrites(writer, seconds(60)) / 60.0;
            const double share = severalVersions ? 0.05 : 0.01;
            const double most = std::min(share * writesPerSecond, severalVersions ? 100.0 : 20.0);
            EXPECT_LE(writes, most * 1.05 + entries / 60.0) << entries;
        }
    }
}

TEST(OriginWriter, writesNothingWithoutStreams)
{
    OriginWriter writer;
    EXPECT_EQ(writer.dueAt(), std::nullopt);
    writer.record(1, "v1", start);
    EXPECT_EQ(writer.dueAt(), start + OriginWriter::gatherTime);
    writer.begin(start);
    writer.end(true, start);
    EXPECT_EQ(writer.dueAt(), std::nullopt);
}

TEST(OriginWriter, writesAllStreamsThatGoOnAndNoneThatEnded)
{
    OriginWriter writer;
    writer.record(1, "v1", start);
    writer.record(2, "v2", start);
    writer.record(3, "v1", start + seconds(20));
    writer.forget(3);
    writer.record(4, "v1", start + seconds(21));
    EXPECT_EQ(writer.begin(start + seconds(21)),
        (StreamsByVersion{ { "v1", { 4, 1 } }, { "v2", { 2 } } }));
    writer.end(true, start + seconds(21));
    writer.record(1, "v1", start + seconds(22));
    EXPECT_EQ(writer.begin(start + seconds(1) + OriginWriter::memory),
        (StreamsByVersion{ { "v1", { 1, 4 } } }));
}

TEST(OriginWriter, isBoundedInSize)
{
    OriginWriter writer;
    for (std::uint64_t stream = 1; stream <= 2 * OriginWriter::capacity; ++stream) {
        writer.record(stream, "v1", start);
    }
    const StreamsByVersion written = writer.begin(start);
    ASSERT_EQ(written.at("v1").size(), OriginWriter::capacity);
    EXPECT_EQ(written.at("v1").front(), 2 * OriginWriter::capacity) << "the newest are kept";
}

TEST(OriginWriter, repeatsAFailedWriteRarely)
{
    OriginWriter writer;
    writer.record(1, "v1", start);
    Duration longest = {};
    for (int i = 0; i < 8; ++i) {
        const TimePoint begunAt = *writer.dueAt();
        EXPECT_FALSE(writer.begin(begunAt).empty());
        EXPECT_EQ(writer.dueAt(), std::nullopt) << "one write at a time";
        writer.end(false, begunAt);
        longest = std::max(longest, *writer.dueAt() - begunAt);
    }
    EXPECT_EQ(longest, seconds(2));
    writer.begin(*writer.dueAt());
    writer.end(true, start);
    EXPECT_EQ(writer.dueAt(), std::nullopt);
    writer.invalidate(start);
    EXPECT_TRUE(writer.dueAt());
}

/// What an entry that started again knows of a stream, while two versions serve.
OriginEvidence evidenceAfterAKill()
{
    OriginEvidence result;
    result.askedAgents = 4;
    result.answeredAgents = 1;
    return result;
}

/// LOST, review case 13: no process is left that saw the stream begin.
TEST(StreamOrigin, thatTheStoreNamesIsKnown)
{
    OriginEvidence evidence = evidenceAfterAKill();
    EXPECT_EQ(decideOrigin(evidence).verdict, OriginVerdict::Pending);
    evidence.stored.version = "v2";
    evidence.isVersionListed = true;
    EXPECT_EQ(decideOrigin(evidence).version, "v2");
    EXPECT_EQ(decideOrigin(evidence).source, OriginSource::Store);
    evidence.onlyVersion = "v1";
    evidence.isListConfirmed = true;
    EXPECT_EQ(decideOrigin(evidence).version, "v2") << "it has left the list";
}

TEST(StreamOrigin, ofContradictingRecordsIsUnknown)
{
    OriginEvidence evidence = evidenceAfterAKill();
    evidence.isVersionListed = true;
    evidence.version = "v1";
    evidence.stored.version = "v2";
    EXPECT_EQ(decideOrigin(evidence).verdict, OriginVerdict::Unknown);
    evidence.version.reset();
    evidence.stored.isAmbiguous = true;
    evidence.onlyVersion = "v1";
    evidence.isListConfirmed = true;
    EXPECT_EQ(decideOrigin(evidence).verdict, OriginVerdict::Unknown);
}

TEST(StoredOrigins, ofSeveralVersionsAreAmbiguous)
{
    StoredOrigins stored;
    stored.set("a", { { "v1", { 1, 2 } } });
    stored.set("b", { { "v1", { 2 } }, { "v2", { 3 } } });
    EXPECT_EQ(stored.find(2).version, "v1");
    EXPECT_FALSE(stored.find(2).isAmbiguous);
    EXPECT_EQ(stored.find(4).version, std::nullopt);
    stored.set("c", { { "v1", { 3 } } });
    EXPECT_TRUE(stored.find(3).isAmbiguous);
    stored.remove("c");
    EXPECT_EQ(stored.find(3).version, "v2");
}

} // namespace
} // namespace wigeonsill
