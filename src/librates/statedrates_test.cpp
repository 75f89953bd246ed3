/// \file statedrates_test.cpp
/// Tests of what is believed of the rates that targets state.
#include "wigeonsill/rates.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

constexpr TimePoint start{ seconds(1'000) };

Target makeTarget(std::string id, std::int64_t startedMs = 1)
{
    Target target;
    target.id = std::move(id);
    target.startedMs = startedMs;
    return target;
}

TEST(ParseStatedRate, readsDecimalNumbers)
{
    EXPECT_EQ(parseStatedRate("2.9"), 2.9);
    EXPECT_EQ(parseStatedRate("0"), 0);
    EXPECT_EQ(parseStatedRate(" 0.05 "), 0.05);
    EXPECT_EQ(parseStatedRate("007"), 7);
    EXPECT_EQ(parseStatedRate("0." + std::string(4'000, '0') + "1"), 0);
    EXPECT_EQ(parseStatedRate("1000000000"), maximumStatedRate);
    EXPECT_EQ(parseStatedRate(std::string(4'000, '9')), maximumStatedRate);
}

TEST(ParseStatedRate, refusesOtherText)
{
    for (const char *text : { "", " ", "-1", "+1", "1e9", "nan", "inf", "0x2", "2,9", "2.9.1", ".5",
             "5.", "2 9", "many", "2.9/s" }) {
        EXPECT_FALSE(parseStatedRate(text)) << text;
    }
}

TEST(StatedRates, rateHoldsUntilAnAnswerToALaterRequestStatesNone)
{
    StatedRates rates;
    const Target target = makeTarget("a");
    EXPECT_FALSE(rates.recordAnswer(target, std::nullopt, start, start));
    EXPECT_TRUE(rates.recordAnswer(target, 2.9, start, start + seconds(2)));
    EXPECT_FALSE(rates.recordAnswer(target, 2.9, start, start + seconds(3)));
    EXPECT_FALSE(rates.recordAnswer(target, std::nullopt, start + seconds(3), start + seconds(4)))
        << "an answer that the statement may have overtaken";
    EXPECT_EQ(rates.rate(target), 2.9);
    EXPECT_TRUE(
        rates.recordAnswer(target, std::nullopt, start + milliseconds(3'001), start + seconds(4)));
    EXPECT_FALSE(rates.rate(target));
    EXPECT_TRUE(rates.recordAnswer(target, 0.0, start, start + seconds(5)));
    EXPECT_EQ(rates.rate(target), 0);
}

TEST(StatedRates, rateBelongsToTheIncarnation)
{
    StatedRates rates;
    rates.recordAnswer(makeTarget("a", 1), 2, start, start);
    EXPECT_FALSE(rates.rate(makeTarget("a", 2)));
    EXPECT_FALSE(rates.rate(makeTarget("b", 1)));
    EXPECT_TRUE(rates.recordAnswer(makeTarget("a", 2), 3, start, start + seconds(1)));
    EXPECT_FALSE(rates.adopt({ "a", 1, 2, start + seconds(2) }, start + seconds(2)))
        << "a late word of the predecessor";
    EXPECT_EQ(rates.rate(makeTarget("a", 2)), 3);
}

TEST(StatedRates, theStatementReceivedLastHoldsWhateverTheOrderOfReports)
{
    const RateStatement first{ "a", 1, 20, start };
    const RateStatement second{ "a", 1, 2, start + seconds(1) };
    const RateStatement none{ "a", 1, std::nullopt, start + seconds(2) };
    for (const auto &order : { std::vector{ first, second, none },
             std::vector{ none, second, first }, std::vector{ second, none, first } }) {
        StatedRates rates;
        for (const RateStatement &statement : order) {
            rates.adopt(statement, start + seconds(3));
        }
        EXPECT_FALSE(rates.rate(makeTarget("a")));
    }
    StatedRates rates;
    rates.adopt(second, start);
    rates.adopt(first, start);
    EXPECT_EQ(rates.rate(makeTarget("a")), 2);
}

/// Each process that passes a statement on makes it look a little newer, so that one that went
/// round would never end.
TEST(StatedRates, onlyReceivedStatementsAreToldOn)
{
    StatedRates rates;
    rates.adopt({ "a", 1, 2, start }, start);
    EXPECT_TRUE(rates.received().empty());
    rates.recordAnswer(makeTarget("b"), 3, start, start);
    ASSERT_EQ(rates.received().size(), 1U);
    EXPECT_EQ(rates.received().front().targetId, "b");
    EXPECT_EQ(rates.known().size(), 2U);
}

TEST(StatedRates, relayForgetsWhatItIsNotToldAgain)
{
    StatedRates rates;
    const RateStatement statement{ "a", 1, 2, start };
    for (int i = 0; i < 100; ++i) {
        rates.adopt(statement, start + seconds(i));
        rates.expire(start + seconds(i));
        EXPECT_EQ(rates.size(), 1U) << "the entry that received it still tells it";
    }
    rates.expire(start + seconds(99) + StatedRates::relayTime + milliseconds(1));
    EXPECT_EQ(rates.size(), 0U);
}

TEST(StatedRates, tellsABoundedNumberAndTheNewestFirst)
{
    StatedRates rates;
    for (int i = 0; i < 200; ++i) {
        rates.recordAnswer(makeTarget(std::to_string(i)), 1, start, start + seconds(i));
    }
    EXPECT_EQ(rates.received().size(), StatedRates::maximumStatements);
    EXPECT_EQ(rates.received().front().targetId, "199");
}

} // namespace
} // namespace wigeonsill
