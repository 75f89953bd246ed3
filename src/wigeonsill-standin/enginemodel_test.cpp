#include "enginemodel.h"
#include "engineorders.h"

#include <gtest/gtest.h>

using namespace wigeonsill;

namespace {

const std::string longPrompt(640, 'p'); // 160 tokens, 10 blocks.
const std::string otherPrompt(640, 'q');

struct EngineFixture
{
    explicit EngineFixture(std::int64_t cacheTokens = 65'536)
        : model(settingsWith(cacheTokens))
    {
    }
    static EngineSettings settingsWith(std::int64_t cacheTokens)
    {
        EngineSettings settings;
        settings.cacheTokens = cacheTokens;
        settings.maximumBatch = 2;
        return settings;
    }
    void step(int count = 1)
    {
        for (int i = 0; i < count; ++i) {
            this->now += this->model.beginStep(this->now);
            this->model.endStep(this->now);
        }
    }
    std::int64_t counter(const char *name) const
    {
        return this->model.counters().at(name).to_number<std::int64_t>();
    }
    EngineModel model;
    TimePoint now;
};

TEST(EngineModel, RunsUpToTheBatchLimitAndCompletesEachSequence)
{
    EngineFixture engine;
    const auto first = engine.model.admit("a", 2);
    const auto second = engine.model.admit("b", 3);
    const auto third = engine.model.admit("c", 1);
    engine.step();
    EXPECT_EQ(first->produced, 1);
    EXPECT_EQ(third->state, SequenceState::Queued);
    engine.step(2);
    EXPECT_EQ(first->state, SequenceState::Complete);
    EXPECT_EQ(second->state, SequenceState::Complete);
    EXPECT_EQ(third->state, SequenceState::Complete);
    EXPECT_FALSE(engine.model.hasWork());
}

TEST(EngineModel, CountsCachedRepeatedAndCancelledPromptTokens)
{
    EngineFixture engine(160);
    engine.model.admit(longPrompt, 1);
    engine.step();
    EXPECT_EQ(engine.counter("promptTokensComputed"), 161);
    const auto repeatedRequest = engine.model.admit(longPrompt, 1);
    engine.step();
    EXPECT_EQ(repeatedRequest->cachedTokens, 160);
    EXPECT_EQ(engine.counter("promptTokensRepeated"), 0);
    engine.model.admit(otherPrompt, 1); // Evicts every block of the first prompt.
    engine.step();
    engine.model.admit(longPrompt, 1);
    engine.step();
    EXPECT_EQ(engine.counter("promptTokensRepeated"), 160);
    EXPECT_EQ(engine.counter("promptTokensEvictedUnused"), 160);
    const auto cancelled = engine.model.admit(otherPrompt, 100);
    engine.step();
    engine.model.cancel(cancelled);
    EXPECT_EQ(cancelled->state, SequenceState::Cancelled);
    EXPECT_EQ(engine.counter("promptTokensCancelled"), 161);
}

TEST(EngineModel, InjectsSlowdownAndInterruption)
{
    EngineFixture engine;
    const auto sequence = engine.model.admit("a", 10);
    const Duration normalStep = engine.model.beginStep(engine.now);
    engine.model.endStep(engine.now);
    updateFaults(engine.model.faults, { { "slowdown", 8 }, { "dieAfterTokens", 2 } });
    const Duration slowStep = engine.model.beginStep(engine.now);
    engine.model.endStep(engine.now);
    EXPECT_GT(slowStep, 7 * normalStep);
    EXPECT_EQ(sequence->state, SequenceState::Interrupted);
}

TEST(EngineModel, ImportedBlocksNeedNoPrefill)
{
    EngineFixture source;
    source.model.admit(longPrompt, 1);
    source.step();
    const auto exported = source.model.exportBlocks(hashBlocks(longPrompt));
    EXPECT_EQ(exported.size(), 10U);
    EngineFixture target;
    target.model.importBlocks(target.now, exported);
    const auto sequence = target.model.admit(longPrompt, 1);
    target.step();
    EXPECT_EQ(sequence->cachedTokens, 160);
    EXPECT_EQ(target.counter("promptTokensComputed"), 1);
}

TEST(EngineModel, DelaysAndOmitsCacheEvents)
{
    EngineFixture engine;
    engine.model.admit(longPrompt, 1);
    engine.step();
    EXPECT_EQ(engine.model.cacheEvents(engine.now, 0).size(), 10U);
    EXPECT_EQ(engine.model.cacheEvents(engine.now, 8).size(), 2U);
    updateFaults(engine.model.faults, { { "cacheEventGapEvery", 5 }, { "cacheEventLagMs", 5000 } });
    EXPECT_TRUE(engine.model.cacheEvents(engine.now, 0).empty());
    EXPECT_EQ(engine.model.cacheEvents(engine.now + seconds(6), 0).size(), 8U);
}

TEST(EngineModel, ReportsTheLoadWithTheInjectedLag)
{
    EngineFixture engine;
    updateFaults(engine.model.faults, { { "loadLagMs", 2000 } });
    engine.model.admit("a", 1000);
    engine.step();
    EXPECT_EQ(engine.model.delayedLoad(engine.now).at("running").to_number<int>(), 0);
    EXPECT_EQ(engine.model.delayedLoad(engine.now + seconds(2)).at("running").to_number<int>(), 1);
}

TEST(EngineOrders, RefusesAnOldFencingNumberOnlyIfFencingIsChecked)
{
    const auto order = [](std::uint64_t fence) {
        return EngineOrder{ OrderKind::LoadModel, "camp-7b", fence };
    };
    EngineOrders orders;
    EXPECT_TRUE(orders.tryApply(order(5), true));
    EXPECT_FALSE(orders.tryApply(order(4), true));
    EXPECT_TRUE(orders.tryApply(order(5), true));
    EXPECT_TRUE(orders.tryApply(order(4), false));
    EXPECT_EQ(orders.toJson().at("highestFence").to_number<int>(), 5);
    EXPECT_FALSE(parseOrder(R"({"kind":"dance","name":"x","fence":1})"));
    EXPECT_TRUE(parseOrder(R"({"kind":"change-role","name":"decode","fence":1})"));
}

} // namespace
