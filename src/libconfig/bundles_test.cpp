/// \file bundles_test.cpp
/// Tests of stored parts, roots, differences and merges.
#include "wigeonsill/config.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace wigeonsill {
namespace {

Configuration loadExample(const std::string &name)
{
    std::vector<SettingsProblem> problems;
    return readDeclarations(std::string(WIGEONSILL_SOURCE_DIR) + "/examples/" + name, problems);
}

Organisation makeOrganisation(const std::string &name, std::uint32_t weight)
{
    Organisation organisation;
    organisation.name = name;
    organisation.templateName = "t";
    organisation.tokens = { "token-" + name };
    organisation.weight = weight;
    return organisation;
}

/// Configuration of organisations "0", "1", ... with the given weights. Weight 0 leaves one out.
Configuration configurationWithWeights(const std::vector<std::uint32_t> &weights)
{
    OrganisationMap organisations;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const std::string name = std::to_string(i);
        if (weights[i] > 0) {
            organisations.emplace(name, makeOrganisation(name, weights[i]));
        }
    }
    return { PoolMap(), std::move(organisations) };
}

/// Weight of an organisation; 0 when it is absent.
std::uint32_t weightIn(const Configuration &configuration, std::size_t index)
{
    const Organisation *found = configuration.findByName(std::to_string(index));
    return found == nullptr ? 0 : found->weight;
}

TEST(Bundles, storedPartsRoundTrip)
{
    const Configuration original = loadExample("consortium");
    const auto restored = Configuration::assemble(7, original.snapshot(), original.partTexts());
    ASSERT_TRUE(restored) << restored.error().detail;
    EXPECT_TRUE(differences(original, restored.value()).empty());
    EXPECT_EQ(Configuration(restored.value().pools(), restored.value().organisations()).snapshot(),
        original.snapshot());
    ASSERT_NE(restored.value().findByToken("token-ganga"), nullptr);
    EXPECT_EQ(restored.value().findByToken("token-ganga")->name, "ganga-tours");
    EXPECT_EQ(restored.value().findByToken("nobody"), nullptr);
    EXPECT_TRUE(
        restored.value().findByName("ganga-tours")->services->at("confirm-berth").nonIdempotent);
}

TEST(Bundles, assembleRejectsMissingOrAlteredParts)
{
    const Configuration original = loadExample("consortium");
    for (const std::string &id : partIdsOf(original.snapshot())) {
        PartTexts parts = original.partTexts();
        parts.erase(id);
        EXPECT_FALSE(Configuration::assemble(1, original.snapshot(), parts));
        parts[id] = std::make_shared<const std::string>(*original.partTexts().at(id) + " ");
        EXPECT_FALSE(Configuration::assemble(1, original.snapshot(), parts));
    }
}

TEST(Bundles, changingOneOrganisationReplacesOneBundle)
{
    std::vector<std::uint32_t> weights(2000, 1);
    const Configuration before = configurationWithWeights(weights);
    weights[1234] = 2;
    const Configuration after = configurationWithWeights(weights);
    std::size_t changed = 0;
    PartTexts missing;
    for (const auto &[id, text] : after.partTexts()) {
        if (!before.partTexts().contains(id)) {
            ++changed;
            missing[id] = text;
        }
    }
    EXPECT_EQ(changed, 1U);
    const auto next = Configuration::assemble(2, after.snapshot(), missing, &before);
    ASSERT_TRUE(next);
    EXPECT_EQ(weightIn(next.value(), 1234), 2U);
    EXPECT_EQ(next.value().organisationCount(), 2000U);
    const auto found = differences(before, next.value());
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(toString(found[0]), "organisation 1234: weight: 1 -> 2");
}

TEST(Bundles, equalServicesAreSharedBetweenOrganisations)
{
    const Configuration original = loadExample("rental-shop");
    const auto restored = Configuration::assemble(1, original.snapshot(), original.partTexts());
    ASSERT_TRUE(restored);
    const auto reassembled
        = Configuration::assemble(2, original.snapshot(), original.partTexts(), &restored.value());
    ASSERT_TRUE(reassembled);
    EXPECT_EQ(reassembled.value().findByName("madonie")->services.get(),
        restored.value().findByName("madonie")->services.get());
}

TEST(Root, serializedFormsRoundTrip)
{
    ConfigurationRoot root;
    root.revision = 9;
    root.changeId = "c9";
    root.snapshot = { "p", { { 0, "a" }, { 255, "b" } } };
    root.history = { { 8, "c8", "ann", "2026-01-01T00:00:00Z", "one", "s8" },
        { 9, "c9", "bob", "2026-01-01T00:00:01Z", "two", "s9" } };
    root.olderPage = "older";
    const auto copy = parseRoot(serializeRoot(root));
    ASSERT_TRUE(copy) << copy.error().detail;
    EXPECT_EQ(serializeRoot(copy.value()), serializeRoot(root));
    EXPECT_EQ(copy.value().snapshot, root.snapshot);
    const auto snapshot = parseSnapshot(serializeSnapshot(root.snapshot));
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot.value(), root.snapshot);
    const auto page = parsePage(serializePage({ root.history, "x" }));
    ASSERT_TRUE(page);
    EXPECT_EQ(page.value().records, root.history);
    EXPECT_FALSE(parseRoot("{\"revision\": 1}"));
}

TEST(Merge, keepsBothChangesAndReportsEveryConflict)
{
    const bool holds = rc::check("merge", [] {
        const auto weights = rc::gen::container<std::vector<std::uint32_t>>(
            6, rc::gen::inRange<std::uint32_t>(0, 3));
        const std::vector<std::uint32_t> base = *weights;
        const std::vector<std::uint32_t> theirs = *weights;
        const std::vector<std::uint32_t> mine = *weights;
        const MergedConfiguration merged = mergeConfigurations(configurationWithWeights(base),
            configurationWithWeights(theirs), configurationWithWeights(mine));
        std::size_t conflicts = 0;
        for (std::size_t i = 0; i < base.size(); ++i) {
            const bool theyChanged = theirs[i] != base[i];
            const bool iChanged = mine[i] != base[i];
            if (theyChanged && iChanged && theirs[i] != mine[i]) {
                ++conflicts;
                continue;
            }
            RC_ASSERT(weightIn(merged.configuration, i) == (iChanged ? mine[i] : theirs[i]));
        }
        RC_ASSERT(merged.conflicts.size() == conflicts);
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace wigeonsill
