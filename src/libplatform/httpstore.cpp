/// \file httpstore.cpp
/// The key-value store over HTTP/JSON.
#include "wigeonsill/platform.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration callTimeout = seconds(2);
constexpr Duration watchMargin = seconds(2);

/// Percent-encodes a key for a query.
std::string encodeKey(const std::string &key)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string text;
    for (const char letter : key) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.'
            || letter == '/') {
            text += letter;
        } else {
            text += '%';
            text += digits[byte >> 4];
            text += digits[byte & 0xF];
        }
    }
    return text;
}

Error errorOfStatus(int status)
{
    switch (status) {
    case 409:
        return { ResultCode::StoreConflict, "the version is another" };
    case 429:
        return { ResultCode::StoreRateLimited, "too many calls" };
    default:
        return { ResultCode::StoreUnavailable, "status " + std::to_string(status) };
    }
}

Result<StoredValue> parseValue(const HttpResponse &response)
{
    if (response.status == 404) {
        return StoredValue{};
    }
    if (response.status != 200) {
        return errorOfStatus(response.status);
    }
    json::error_code error;
    const json::value body = json::parse(response.body, error);
    const json::object *object = error ? nullptr : body.if_object();
    const json::value *value = object == nullptr ? nullptr : object->if_contains("value");
    const json::value *version = object == nullptr ? nullptr : object->if_contains("version");
    if (value == nullptr || !value->is_string() || version == nullptr || !version->is_int64()) {
        return Error{ ResultCode::StoreUnavailable, "the answer is malformed" };
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

    asio::awaitable<Result<std::uint64_t>> swap(
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
            co_return errorOfStatus(response.value().status);
        }
        json::error_code error;
        const json::value body = json::parse(response.value().body, error);
        const json::object *object = error ? nullptr : body.if_object();
        if (object == nullptr || !object->contains("version")) {
            co_return Error{ ResultCode::StoreAnswerLost, "the answer is malformed" };
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
        co_return co_await this->read(std::move(request), wait + watchMargin);
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
