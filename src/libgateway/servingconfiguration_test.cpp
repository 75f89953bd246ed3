/// \file servingconfiguration_test.cpp
/// Routes by host and prefix, organisations by key.
#include "wigeonsill/gateway.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { "engines", 1 } };
    return result;
}

std::shared_ptr<const ServingConfiguration> example()
{
    ServingConfiguration::Builder builder;
    OrganisationAccount organisation;
    organisation.name = "ganga-tours";
    organisation.keys = { "key-1", "key-2" };
    builder.version(7)
        .addRoute(route("short", "a.example", "/x/"))
        .addRoute(route("long", "A.example", "/x/y/"))
        .addRoute(route("other", "b.example", "/"))
        .addOrganisation(organisation);
    return builder.build().value();
}

TEST(ServingConfiguration, longestPrefixOfTheHostWins)
{
    const auto configuration = example();
    const auto name = [&configuration](const char *host, const char *path) {
        const Route *found = configuration->findRoute(host, path);
        return found == nullptr ? std::string("none") : found->name;
    };
    EXPECT_EQ(name("a.example", "/x/1"), "short");
    EXPECT_EQ(name("a.example", "/x/y/1"), "long");
    EXPECT_EQ(name("A.EXAMPLE:8080", "/x/y/"), "long");
    EXPECT_EQ(name("a.example", "/x"), "none");
    EXPECT_EQ(name("a.example", "/xy/1"), "none");
    EXPECT_EQ(name("c.example", "/x/1"), "none");
    EXPECT_EQ(name("b.example", "/anything"), "other");
}

TEST(ServingConfiguration, keysNameTheirOrganisation)
{
    const auto configuration = example();
    ASSERT_NE(configuration->findOrganisation("key-2"), nullptr);
    EXPECT_EQ(configuration->findOrganisation("key-2")->name, "ganga-tours");
    EXPECT_EQ(configuration->findOrganisation("key-3"), nullptr);
    EXPECT_EQ(configuration->findOrganisation(""), nullptr);
}

TEST(ServingConfiguration, refusesRoutesThatLeadNowhere)
{
    Route without = route("without", "a.example", "/x/");
    without.services.clear();
    EXPECT_FALSE(ServingConfiguration::Builder().addRoute(without).build());
    EXPECT_FALSE(
        ServingConfiguration::Builder().addRoute(route("open", "a.example", "/x")).build());
}

TEST(ServingConfiguration, drawsServicesByWeight)
{
    Route split = route("split", "a.example", "/");
    split.services = { { "first", 90 }, { "second", 10 } };
    EXPECT_EQ(drawService(split, 0), "first");
    EXPECT_EQ(drawService(split, 0.89), "first");
    EXPECT_EQ(drawService(split, 0.91), "second");
    EXPECT_EQ(drawService(split, 0.999), "second");
}

TEST(RequestFacts, countTowardsTheQuotaByTokens)
{
    OrganisationAccount organisation;
    organisation.countsTokens = true;
    organisation.plainCost = 200;
    RequestFacts request;
    EXPECT_EQ(quotaCost(organisation, request), 200);
    request.promptTokens = 1'460;
    request.outputTokens = 80;
    EXPECT_EQ(quotaCost(organisation, request), 1'540);
    organisation.countsTokens = false;
    EXPECT_EQ(quotaCost(organisation, request), 1);
}

/// Callers of one route whose patience differs by 15%: none of them has been here before.
TEST(TimeSpentBefore, firstAttemptsOfUnequalPatienceAreNoReturns)
{
    for (int ms = 10'200; ms <= 12'000; ms += 100) {
        EXPECT_EQ(timeSpentBefore(seconds(12), milliseconds(ms)), Duration::zero()) << ms;
    }
}

TEST(TimeSpentBefore, callersThatStayedAwayAreReturns)
{
    EXPECT_GT(timeSpentBefore(seconds(12), milliseconds(8'500)), seconds(2));
    EXPECT_GT(timeSpentBefore(seconds(3), milliseconds(2'200)), milliseconds(500));
}

} // namespace
} // namespace wigeonsill
