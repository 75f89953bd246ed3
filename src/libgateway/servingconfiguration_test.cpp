/// \file servingconfiguration_test.cpp
/// Tests of the lookup of routes and organisations, of quota costs and of caller retry detection.
#include "wigeonsill/gateway.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { "engines", 1 } };
    return result;
}

std::shared_ptr<const ServingConfiguration> exampleConfiguration()
{
    ServingConfiguration::Builder builder;
    OrganisationAccount organisation;
    organisation.name = "ganga-tours";
    organisation.keys = { "key-1", "key-2" };
    builder.version(7)
        .addRoute(makeRoute("short", "a.example", "/x/"))
        .addRoute(makeRoute("long", "A.example", "/x/y/"))
        .addRoute(makeRoute("other", "b.example", "/"))
        .addOrganisation(organisation);
    return builder.build().value();
}

TEST(ServingConfiguration, findRoutePrefersLongestPrefix)
{
    const auto configuration = exampleConfiguration();
    const auto routeName = [&configuration](const char *host, const char *path) {
        const Route *found = configuration->findRoute(host, path);
        return found == nullptr ? std::string("none") : found->name;
    };
    EXPECT_EQ(routeName("a.example", "/x/1"), "short");
    EXPECT_EQ(routeName("a.example", "/x/y/1"), "long");
    EXPECT_EQ(routeName("A.EXAMPLE:8080", "/x/y/"), "long");
    EXPECT_EQ(routeName("a.example", "/x"), "none");
    EXPECT_EQ(routeName("a.example", "/xy/1"), "none");
    EXPECT_EQ(routeName("c.example", "/x/1"), "none");
    EXPECT_EQ(routeName("b.example", "/anything"), "other");
}

TEST(ServingConfiguration, findOrganisationMatchesWholeKey)
{
    const auto configuration = exampleConfiguration();
    ASSERT_NE(configuration->findOrganisation("key-2"), nullptr);
    EXPECT_EQ(configuration->findOrganisation("key-2")->name, "ganga-tours");
    EXPECT_EQ(configuration->findOrganisation("key-3"), nullptr);
    EXPECT_EQ(configuration->findOrganisation(""), nullptr);
}

TEST(ServingConfiguration, rejectsRoutesWithoutServiceOrTrailingSlash)
{
    Route withoutService = makeRoute("without", "a.example", "/x/");
    withoutService.services.clear();
    EXPECT_FALSE(ServingConfiguration::Builder().addRoute(withoutService).build());
    EXPECT_FALSE(
        ServingConfiguration::Builder().addRoute(makeRoute("open", "a.example", "/x")).build());
}

TEST(ServingConfiguration, servicesAreSelectedByWeight)
{
    Route weighted = makeRoute("split", "a.example", "/");
    weighted.services = { { "first", 90 }, { "second", 10 } };
    EXPECT_EQ(selectService(weighted, 0), "first");
    EXPECT_EQ(selectService(weighted, 0.89), "first");
    EXPECT_EQ(selectService(weighted, 0.91), "second");
    EXPECT_EQ(selectService(weighted, 0.999), "second");
}

TEST(RequestMetadata, quotaCostCountsTokensOrRequests)
{
    OrganisationAccount organisation;
    organisation.countsTokens = true;
    organisation.defaultTokenCost = 200;
    RequestMetadata request;
    EXPECT_EQ(quotaCost(organisation, request), 200);
    request.promptTokens = 1'460;
    request.outputTokens = 80;
    EXPECT_EQ(quotaCost(organisation, request), 1'540);
    organisation.countsTokens = false;
    EXPECT_EQ(quotaCost(organisation, request), 1);
}

/// Guards against first attempts being taken for caller retries: the deadlines of first attempts on
/// one route differ by 15%.
TEST(EstimateTimeAlreadySpent, isZeroForFirstAttemptsWithDeadlineSpread)
{
    for (int ms = 10'200; ms <= 12'000; ms += 100) {
        EXPECT_EQ(estimateTimeAlreadySpent(seconds(12), milliseconds(ms)), Duration::zero()) << ms;
    }
}

TEST(EstimateTimeAlreadySpent, isPositiveForCallerRetries)
{
    EXPECT_GT(estimateTimeAlreadySpent(seconds(12), milliseconds(8'500)), seconds(2));
    EXPECT_GT(estimateTimeAlreadySpent(seconds(3), milliseconds(2'200)), milliseconds(500));
}

} // namespace
} // namespace wigeonsill
