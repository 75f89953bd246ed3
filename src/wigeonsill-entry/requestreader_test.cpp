/// \file requestreader_test.cpp
/// Tests which requests are refused before anything runs, and what targets receive for the others.
#include "requestreader.h"

#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

Configuration exampleConfiguration()
{
    std::vector<SettingsProblem> problems;
    return readDeclarations(std::string(WIGEONSILL_SOURCE_DIR) + "/examples/consortium", problems);
}

HttpRequest completionRequest(std::string body)
{
    return { "POST", "/v1/completions", { { "Authorization", "Bearer token-ganga" } },
        std::move(body) };
}

HttpRequest bookingRequest()
{
    return { "PUT", "/services/confirm-berth/berths?x=1",
        { { "Authorization", "Bearer token-ganga" }, { "Idempotency-Key", "k" } }, "{}" };
}

struct Refusal
{
    const char *description;
    HttpRequest request;
    ResultCode code;
};

TEST(RequestReader, refusesInvalidRequests)
{
    const Configuration configuration = exampleConfiguration();
    std::vector<Refusal> refusals;
    const auto addCase = [&refusals](const char *description, ResultCode code, HttpRequest request,
                             const std::function<void(HttpRequest &)> &edit) {
        edit(request);
        refusals.push_back({ description, std::move(request), code });
    };
    const HttpRequest validRequest = completionRequest(R"({"model":"answer-leader","prompt":"x"})");
    using enum ResultCode;
    addCase("missing organisation", UnknownOrganisation, validRequest,
        [](auto &r) { r.fields.clear(); });
    addCase("unknown token", UnknownOrganisation, validRequest,
        [](auto &r) { r.fields[0].value = "Bearer x"; });
    for (const std::string name : { "max_tokens", "max_completion_tokens" }) {
        for (const std::string limit : { "-1", "-5", "0", "1e300", "2.5", "\"many\"" }) {
            addCase("output token limit that is not a positive integer", MalformedRequest,
                validRequest, [&](auto &r) {
                    r.body = R"({"model":"answer-leader","prompt":"x",")";
                    r.body.append(name).append("\":").append(limit).append("}");
                });
        }
    }
    addCase("unknown service", UnknownService, validRequest,
        [](auto &r) { r.body = R"({"model":"x","prompt":"x"})"; });
    addCase("unknown path", UnknownService, validRequest, [](auto &r) { r.target = "/v2"; });
    addCase("plain service as model", UnknownService, validRequest,
        [](auto &r) { r.body = R"({"model":"confirm-berth","prompt":"x"})"; });
    addCase("wrong method", MethodNotAllowed, validRequest, [](auto &r) { r.method = "GET"; });
    addCase("body is not JSON", MalformedRequest, validRequest, [](auto &r) { r.body = "{"; });
    addCase("body is not a JSON object", MalformedRequest, validRequest,
        [](auto &r) { r.body = "[]"; });
    addCase("missing prompt", MalformedRequest, validRequest,
        [](auto &r) { r.body = R"({"model":"answer-leader"})"; });
    addCase("body nested too deeply", MalformedRequest, validRequest,
        [](auto &r) { r.body = std::string(100'000, '['); });
    addCase("engine service called as plain service", UnknownService, bookingRequest(),
        [](auto &r) { r.target = "/services/answer-leader/x"; });
    addCase("missing Idempotency-Key", IdempotencyKeyRequired, bookingRequest(),
        [](auto &r) { r.fields.pop_back(); });
    addCase("Idempotency-Key too long", IdempotencyKeyTooLong, bookingRequest(),
        [](auto &r) { r.fields[1].value = std::string(maximumIdempotencyKeyBytes + 1, 'k'); });
    addCase("repeated Idempotency-Key", MalformedRequest, bookingRequest(), [](auto &r) {
        r.fields.push_back({ "idempotency-key", "other" });
    });
    for (const Refusal &refusal : refusals) {
        const auto read = readCallerRequest(configuration, refusal.request);
        ASSERT_FALSE(read) << refusal.description;
        EXPECT_EQ(read.error().code, refusal.code)
            << refusal.description << ": " << read.error().detail;
    }
}

TEST(RequestReader, limitsOutputTokensUnderBothNames)
{
    const Configuration configuration = exampleConfiguration();
    for (const std::string name : { "max_tokens", "max_completion_tokens" }) {
        for (const auto &[requested, expected] : { std::pair(7, 7), { 100'000, 256 }, { 1, 1 } }) {
            const auto read = readCallerRequest(configuration,
                completionRequest(R"({"model":"answer-leader","prompt":"x",")" + name
                    + "\":" + std::to_string(requested) + "}"));
            ASSERT_TRUE(read);
            const auto body = boost::json::parse(read.value().request.body).as_object();
            EXPECT_EQ(body.at("max_tokens").as_int64(), expected) << name;
            EXPECT_FALSE(body.contains("max_completion_tokens"));
            EXPECT_EQ(read.value().profile.outputTokens, expected);
        }
    }
}

TEST(RequestReader, forwardsMethodPathAndFieldsOfPlainRequest)
{
    HttpRequest request = bookingRequest();
    request.fields.push_back({ "X-Tent", "7" });
    request.fields.push_back({ "Connection", "close, X-Hop" });
    request.fields.push_back({ "x-hop", "1" });
    request.fields.push_back({ "wigeonsill-request-id", "forged" });
    const auto read = readCallerRequest(exampleConfiguration(), request);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().request.method, "PUT");
    EXPECT_EQ(read.value().request.path, "/berths?x=1");
    std::vector<std::string> names;
    for (const Header &header : read.value().request.headers) {
        names.push_back(header.name);
    }
    EXPECT_EQ(names, (std::vector<std::string>{ "Idempotency-Key", "X-Tent" }));
    EXPECT_TRUE(read.value().profile.nonIdempotent);
}

} // namespace
} // namespace wigeonsill
