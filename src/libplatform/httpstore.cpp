/// \file httpstore.cpp
/// HTTP client of the platform's key-value store.
#include "wigeonsill/platform.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration callTimeout = seconds(2);
/// Time that a watch call may take beyond the wait that it asks for.
constexpr Duration watchTimeoutMargin = seconds(2);

/// Percent-encodes a key for the query of a URL.
std::string encodeKey(const std::string &key)
{
    static constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string text;
    for (const char character : key) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.'
            || character == '/') {
            text += character;
        } else {
            text += '%';
            text += hexDigits[byte >> 4];
            text += hexDigits[byte & 0xF];
        }
    }
    return text;
}

Error errorFromStatus(int status)
{
    switch (status) {
    case 409:
        return { ResultCode::StoreConflict, "the stored version is not the expected one" };
    case 429:
        return { ResultCode::StoreRateLimited, "the store limits the rate of calls" };
    default:
        return { ResultCode::StoreUnavailable,
            "the store answered with status " + std::to_string(status) };
    }
}

Result<StoredValue> parseValue(const HttpResponse &response)
{
    if (response.status == 404) {
        return StoredValue{};
    }
    if (response.status != 200) {
        return errorFromStatus(response.status);
    }
    json::error_code error;
    const json::value body = json::parse(response.body, error);
    const json::object *object = error ? nullptr : body.if_object();
    const json::value *value = object == nullptr ? nullptr : object->if_contains("value");
    const json::value *version = object == nullptr ? nullptr : object->if_contains("version");
    if (value == nullptr || !value->is_string() || version == nullptr || !version->is_int64()) {
        return Error{ ResultCode::StoreUnavailable,
            "the store's answer is not JSON with a value and a version" };
    }
    return StoredValue{ std::string(value->get_string()), version->to_number<std::uint64_t>() };
}

class HttpStore : public Store
{
public:
    HttpStore(asio::io_context &storeContext, const asio::ip::tcp::endpoint &storeEndpoint)
        : context(storeContext)
        , endpoint(storeEndpoint)
    {
    }

    asio::awaitable<Result<StoredValue>> get(std::string key) override
    {
        HttpRequest request{ "GET", "/v1/kv?key=" + encodeKey(key), {}, {} };
        co_return co_await this->read(std::move(request), callTimeout);
    }

    asio::awaitable<Result<std::uint64_t>> compareAndSwap(
        std::string key, std::string value, std::uint64_t expectedVersion) override
    {
        const std::string target
            = "/v1/kv?key=" + encodeKey(key) + "&version=" + std::to_string(expectedVersion);
        HttpRequest request{ "PUT", target, {}, std::move(value) };
        Result<HttpResponse> response
            = co_await fetch(this->context, this->endpoint, std::move(request), callTimeout);
        if (!response) {
            const bool neverSent = response.error().code == ResultCode::ConnectionFailed;
            co_return Error{ neverSent ? ResultCode::StoreUnavailable : ResultCode::StoreAnswerLost,
                response.error().detail };
        }
        if (response.value().status != 200) {
            co_return errorFromStatus(response.value().status);
        }
        json::error_code error;
        const json::value body = json::parse(response.value().body, error);
        const json::object *object = error ? nullptr : body.if_object();
        if (object == nullptr || !object->contains("version")) {
            co_return Error{ ResultCode::StoreAnswerLost,
                "the store's answer is not JSON with a version" };
        }
        co_return object->at("version").to_number<std::uint64_t>(error);
    }

    asio::awaitable<Result<StoredValue>> watch(
        std::string key, std::uint64_t afterVersion, Duration wait) override
    {
        const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
        const std::string target = "/v1/watch?key=" + encodeKey(key)
            + "&after=" + std::to_string(afterVersion) + "&wait_ms=" + std::to_string(waitMs);
        HttpRequest request{ "GET", target, {}, {} };
        co_return co_await this->read(std::move(request), wait + watchTimeoutMargin);
    }

private:
    asio::awaitable<Result<StoredValue>> read(HttpRequest request, Duration timeout)
    {
        Result<HttpResponse> response
            = co_await fetch(this->context, this->endpoint, std::move(request), timeout);
        if (!response) {
            co_return Error{ ResultCode::StoreUnavailable, response.error().detail };
        }
        co_return parseValue(response.value());
    }

    asio::io_context &context;
    asio::ip::tcp::endpoint endpoint;
};

} // namespace

std::unique_ptr<Store> makeHttpStore(
    asio::io_context &context, const asio::ip::tcp::endpoint &endpoint)
{
    return std::make_unique<HttpStore>(context, endpoint);
}

} // namespace wigeonsill
