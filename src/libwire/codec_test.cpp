/// \file codec_test.cpp
/// Messages are unchanged by encoding and decoding, and malformed input never crashes the decoder.
#include "wigeonsill/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace wigeonsill {
namespace {

RequestProfile makeProfile()
{
    RequestProfile profile;
    profile.id = { { 3, 4 }, 5 };
    profile.tier = Tier::High;
    profile.organisation = "org";
    profile.pool = "pool";
    profile.weight = 7;
    profile.promptTokens = 11;
    profile.outputTokens = 13;
    profile.prefixHashes = { 17, 19 };
    profile.timeLeft = milliseconds(23);
    profile.nonIdempotent = true;
    profile.preemption = Preemption::IdempotentOnly;
    profile.service = "service";
    profile.weighting = Weighting::Prefill;
    return profile;
}

TEST(Codec, bindRoundTripsAllFields)
{
    const Bind bind{ makeProfile(), { "POST", "/x", { { "A", "b" } }, std::string("\0body", 5) } };
    const auto decoded = decodeEntryFrame(encodeFrame(EntryFrame(EntryMessage(bind))));
    ASSERT_TRUE(decoded);
    const auto copy = std::get<Bind>(std::get<EntryMessage>(decoded.value()));
    EXPECT_EQ(copy.profile.id, bind.profile.id);
    EXPECT_EQ(copy.profile.tier, Tier::High);
    EXPECT_EQ(copy.profile.weight, 7U);
    EXPECT_EQ(copy.profile.prefixHashes, bind.profile.prefixHashes);
    EXPECT_EQ(copy.profile.timeLeft, bind.profile.timeLeft);
    EXPECT_TRUE(copy.profile.nonIdempotent);
    EXPECT_EQ(copy.profile.preemption, Preemption::IdempotentOnly);
    EXPECT_EQ(copy.profile.service, "service");
    EXPECT_EQ(copy.profile.weighting, Weighting::Prefill);
    EXPECT_EQ(copy.request.body, bind.request.body);
    EXPECT_EQ(copy.request.headers.front().value, "b");
}

TEST(Codec, heartbeatRoundTripsFloorsAndWaits)
{
    AgentHeartbeat heartbeat;
    heartbeat.floors = { { "pool", Tier::High, milliseconds(7) } };
    heartbeat.floorSequence = 9;
    heartbeat.tokensPerSecond = 2.5;
    heartbeat.expectedWait[3] = milliseconds(11);
    const auto decoded = decodeAgentFrame(encodeFrame(AgentMessage(heartbeat)));
    ASSERT_TRUE(decoded);
    const auto copy = std::get<AgentHeartbeat>(decoded.value());
    ASSERT_EQ(copy.floors.size(), 1U);
    EXPECT_EQ(copy.floors.front().lowestServed, Tier::High);
    EXPECT_EQ(copy.floors.front().remaining, milliseconds(7));
    EXPECT_EQ(copy.floorSequence, 9U);
    EXPECT_EQ(copy.tokensPerSecond, 2.5);
    EXPECT_EQ(copy.expectedWait[3], milliseconds(11));
}

TEST(Codec, arbitraryBytesDecodeOrFail)
{
    const bool passed
        = rc::check("arbitrary input does not crash the decoder", [](const std::string &bytes) {
              (void)decodeEntryFrame(bytes);
              (void)decodeAgentFrame(bytes);
          });
    EXPECT_TRUE(passed);
    EXPECT_EQ(decodeEntryFrame("abc").error().code, ResultCode::MessageMalformed);
}

TEST(Codec, corruptedFramesDecodeOrFail)
{
    const std::string frame = encodeFrame(EntryFrame(EntryMessage(Bind{ makeProfile(), {} })));
    const bool passed = rc::check("a corrupted byte does not crash the decoder", [&frame] {
        std::string corrupted = frame;
        const auto position = *rc::gen::inRange<std::size_t>(0, corrupted.size());
        corrupted[position] = *rc::gen::arbitrary<char>();
        (void)decodeEntryFrame(corrupted);
    });
    EXPECT_TRUE(passed);
}

} // namespace
} // namespace wigeonsill
