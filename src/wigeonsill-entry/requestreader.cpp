/// \file requestreader.cpp
/// Converts a caller's HTTP request to a request for the core.
#include "requestreader.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view plainServicePrefix = "/services/";
constexpr std::size_t estimatedBytesPerToken = 4;
constexpr std::size_t prefixBlockBytes = 1024;
constexpr std::size_t maximumPrefixHashes = 16;

/// Fields that the entry does not forward; the agent adds its own where they are needed.
constexpr std::array consumedFields = {
    std::string_view("host"),
    std::string_view("authorization"),
    std::string_view("content-length"),
    std::string_view("expect"),
};
/// Fields that determine how a request is handled; each may occur only once.
constexpr std::array uniqueFields = {
    std::string_view("Authorization"),
    std::string_view("Idempotency-Key"),
    std::string_view("Wigeonsill-Organisation"),
    std::string_view("Wigeonsill-Service"),
};

bool isForwarded(std::string_view name, std::string_view connection)
{
    return !isHopByHop(name, connection)
        && std::none_of(consumedFields.begin(), consumedFields.end(),
            [name](std::string_view field) { return equalsIgnoringCase(field, name); });
}

Result<void> checkUniqueFields(const HttpRequest &request)
{
    for (const std::string_view name : uniqueFields) {
        const auto count = std::count_if(request.fields.begin(), request.fields.end(),
            [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); });
        if (count > 1) {
            return Error{ ResultCode::MalformedRequest,
                std::string(name) + " may occur only once" };
        }
    }
    return boost::outcome_v2::success();
}

Result<const Organisation *> findOrganisation(
    const Configuration &configuration, const HttpRequest &request)
{
    const std::string_view authorization = fieldValue(request.fields, "Authorization");
    const Organisation *organisation = nullptr;
    if (authorization.starts_with(bearerPrefix)) {
        organisation = configuration.findByToken(authorization.substr(bearerPrefix.size()));
    } else {
        organisation
            = configuration.findByName(fieldValue(request.fields, "Wigeonsill-Organisation"));
    }
    if (organisation == nullptr) {
        return Error{ ResultCode::UnknownOrganisation, "a known bearer token is required" };
    }
    return organisation;
}

Result<const ServiceDefinition *> findService(
    const Organisation &organisation, std::string_view name)
{
    const auto found = organisation.services->find(name);
    if (found == organisation.services->end()) {
        return Error{ ResultCode::UnknownService,
            "organisation " + organisation.name + " has no service \"" + std::string(name) + "\"" };
    }
    return &found->second;
}

Result<std::string> readIdempotencyKey(const ServiceDefinition &service, const HttpRequest &request)
{
    const std::string_view key = fieldValue(request.fields, "Idempotency-Key");
    if (key.empty() && service.nonIdempotent) {
        return Error{ ResultCode::IdempotencyKeyRequired, "service " + service.name };
    }
    if (key.size() > maximumIdempotencyKeyBytes) {
        return Error{ ResultCode::IdempotencyKeyTooLong,
            "at most " + std::to_string(maximumIdempotencyKeyBytes) + " bytes" };
    }
    return service.nonIdempotent ? std::string(key) : std::string();
}

std::vector<std::uint64_t> prefixHashesOf(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (std::size_t offset = 0;
         offset + prefixBlockBytes <= prompt.size() && hashes.size() < maximumPrefixHashes;
         offset += prefixBlockBytes) {
        hash = stableHash(prompt.substr(offset, prefixBlockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

void fillProfile(
    RequestProfile &profile, const Organisation &organisation, const ServiceDefinition &service)
{
    profile.tier = service.tier;
    profile.organisation = organisation.name;
    profile.service = service.name;
    profile.pool = service.pool;
    profile.weight = organisation.weight;
    profile.timeLeft = service.deadline;
    profile.nonIdempotent = service.nonIdempotent;
    profile.preemption = organisation.preemption;
    profile.weighting = organisation.weighting;
}

/// Returns the prompt as text, which the token estimate and the prefix hashes are computed from.
std::string promptText(const json::object &body)
{
    const json::value *prompt = body.if_contains("prompt");
    if (prompt == nullptr) {
        prompt = body.if_contains("messages");
    }
    if (prompt == nullptr) {
        return {};
    }
    return prompt->is_string() ? std::string(prompt->get_string()) : json::serialize(*prompt);
}

std::string_view serviceNameOf(const HttpRequest &request, const json::object &body)
{
    const std::string_view header = fieldValue(request.fields, "Wigeonsill-Service");
    if (!header.empty()) {
        return header;
    }
    const json::value *model = body.if_contains("model");
    return model != nullptr && model->is_string() ? std::string_view(model->get_string())
                                                  : std::string_view();
}

/// Sets and returns the maximum number of output tokens: the caller's limit, but at most that of
/// the service. A limit that is not a positive integer is refused; otherwise the request would run
/// to the limit of the service.
Result<std::uint32_t> limitOutputTokens(json::object &body, const ServiceDefinition &service)
{
    std::int64_t tokens = service.maximumOutputTokens;
    for (const std::string_view name : { "max_tokens", "max_completion_tokens" }) {
        const json::value *requested = body.if_contains(name);
        if (requested == nullptr || requested->is_null()) {
            continue;
        }
        json::error_code error;
        const auto count = requested->to_number<std::int64_t>(error);
        if (error || count <= 0) {
            return Error{ ResultCode::MalformedRequest,
                std::string(name) + " must be a positive integer" };
        }
        tokens = std::min(tokens, count);
    }
    body.erase("max_completion_tokens");
    body["max_tokens"] = tokens;
    return static_cast<std::uint32_t>(tokens);
}

Result<CallerRequest> readCompletionRequest(const Configuration &configuration,
    const Organisation &organisation, const HttpRequest &request)
{
    if (request.method != "POST") {
        return Error{ ResultCode::MethodNotAllowed, "use POST" };
    }
    json::error_code error;
    json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object()) {
        return Error{ ResultCode::MalformedRequest, "the body must be a JSON object" };
    }
    json::object &body = parsed.get_object();
    BOOST_OUTCOME_TRY(
        const ServiceDefinition *service, findService(organisation, serviceNameOf(request, body)));
    const auto pool = configuration.pools().find(service->pool);
    if (pool == configuration.pools().end() || pool->second.kind != PoolKind::Engine) {
        return Error{ ResultCode::UnknownService, service->name + " is not served by an engine" };
    }
    const std::string prompt = promptText(body);
    if (prompt.empty()) {
        return Error{ ResultCode::MalformedRequest,
            "the body must contain \"prompt\" or \"messages\"" };
    }
    CallerRequest result;
    result.quotaTokensPerSecond = organisation.quotaTokensPerSecond;
    fillProfile(result.profile, organisation, *service);
    BOOST_OUTCOME_TRY(result.idempotencyKey, readIdempotencyKey(*service, request));
    result.profile.promptTokens
        = static_cast<std::uint32_t>(prompt.size() / estimatedBytesPerToken + 1);
    result.profile.prefixHashes = prefixHashesOf(prompt);
    BOOST_OUTCOME_TRY(result.profile.outputTokens, limitOutputTokens(body, *service));
    body["model"] = pool->second.model;
    result.request.method = "POST";
    result.request.path = request.target;
    result.request.headers.push_back({ "Content-Type", "application/json" });
    result.request.body = json::serialize(body);
    return result;
}

Result<CallerRequest> readPlainRequest(const Configuration &configuration,
    const Organisation &organisation, const HttpRequest &request)
{
    const std::string_view servicePath
        = std::string_view(request.target).substr(plainServicePrefix.size());
    const std::size_t nameEnd = std::min(servicePath.find_first_of("/?"), servicePath.size());
    BOOST_OUTCOME_TRY(const ServiceDefinition *service,
        findService(organisation, servicePath.substr(0, nameEnd)));
    const auto pool = configuration.pools().find(service->pool);
    if (pool == configuration.pools().end() || pool->second.kind != PoolKind::Plain) {
        return Error{ ResultCode::UnknownService, service->name + " is not a plain service" };
    }
    CallerRequest result;
    result.quotaTokensPerSecond = organisation.quotaTokensPerSecond;
    fillProfile(result.profile, organisation, *service);
    BOOST_OUTCOME_TRY(result.idempotencyKey, readIdempotencyKey(*service, request));
    const std::string_view path = servicePath.substr(nameEnd);
    result.request.method = request.method;
    result.request.path = path.starts_with('/') ? std::string(path) : "/" + std::string(path);
    const std::string_view connection = fieldValue(request.fields, "Connection");
    for (const HttpField &field : request.fields) {
        if (isForwarded(field.name, connection)) {
            result.request.headers.push_back({ field.name, field.value });
        }
    }
    result.request.body = request.body;
    return result;
}

} // namespace

Result<CallerRequest> readCallerRequest(
    const Configuration &configuration, const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(checkUniqueFields(request));
    BOOST_OUTCOME_TRY(const Organisation *organisation, findOrganisation(configuration, request));
    const std::string_view path
        = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        return readCompletionRequest(configuration, *organisation, request);
    }
    if (path.starts_with(plainServicePrefix)) {
        return readPlainRequest(configuration, *organisation, request);
    }
    return Error{ ResultCode::UnknownService, "no service at this path" };
}

} // namespace wigeonsill
