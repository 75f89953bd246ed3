/// \file httpmessage.cpp
/// Header fields, responses, endpoints, socket options and coroutine start-up.
#include "wigeonsill/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr std::array hopByHopFields = {
    std::string_view("connection"),
    std::string_view("keep-alive"),
    std::string_view("proxy-authorization"),
    std::string_view("proxy-connection"),
    std::string_view("te"),
    std::string_view("trailer"),
    std::string_view("transfer-encoding"),
    std::string_view("upgrade"),
};
constexpr std::string_view internalFieldPrefix = "wigeonsill-";

constexpr int keepAliveIdleS = 15;
constexpr int keepAliveIntervalS = 5;
constexpr int keepAliveProbes = 3;
constexpr int userTimeoutMs = 30'000;
/// Unsent data that the kernel queues for a slow receiver.
constexpr int maximumUnsentBytes = 65'536;

} // namespace

std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({ left.data(), left.size() }, { right.data(), right.size() });
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    if (equalsIgnoringCase(name.substr(0, internalFieldPrefix.size()), internalFieldPrefix)) {
        return true;
    }
    boost::beast::http::token_list named({ connection.data(), connection.size() });
    if (named.exists({ name.data(), name.size() })) {
        return true;
    }
    return std::any_of(hopByHopFields.begin(), hopByHopFields.end(),
        [name](std::string_view field) { return equalsIgnoringCase(field, name); });
}

bool mayBeginStatusLine(std::string_view text)
{
    constexpr std::string_view format = "HTTP/1.0 000"; // 0 stands for any digit.
    static_assert(format.size() == statusLineMarkSize);
    const std::string_view mark = text.substr(0, format.size());
    return std::equal(mark.begin(), mark.end(), format.begin(), [](char found, char expected) {
        return expected == '0' ? found >= '0' && found <= '9' : found == expected;
    });
}

std::size_t findStatusLine(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    for (std::size_t at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const std::string_view candidate = text.substr(at, statusLineMarkSize);
        if (candidate.size() == statusLineMarkSize && mayBeginStatusLine(candidate)) {
            return at;
        }
    }
    return std::string_view::npos;
}

std::size_t findPossibleStatusLine(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('H', from); at != std::string_view::npos;
         at = text.find('H', at + 1)) {
        if (mayBeginStatusLine(text.substr(at))) {
            return at;
        }
    }
    return std::string_view::npos;
}

bool isAmbiguousHead(std::string_view head)
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char byte = head[i];
        if (byte == '\0') {
            return true;
        }
        if (byte != '\n') {
            continue;
        }
        if (i == 0 || head[i - 1] != '\r') {
            return true;
        }
        const bool folded = i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
        if (folded) {
            return true;
        }
    }
    return false;
}

HttpResponse jsonResponse(int status, const boost::json::value &body)
{
    return { status, { { "Content-Type", "application/json" } },
        boost::json::serialize(body) + "\n" };
}

HttpResponse problemResponse(ResultCode code, std::string_view detail, Duration retryAfter)
{
    const ResultInfo &info = resultInfo(code);
    boost::json::object body;
    body["type"] = "urn:wigeonsill:result:" + std::to_string(static_cast<int>(code));
    body["title"] = info.text;
    body["status"] = info.httpStatus;
    body["code"] = static_cast<int>(code);
    body["name"] = info.name;
    body["outcome"] = outcomeName(info.outcome);
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    HttpResponse response = jsonResponse(info.httpStatus, body);
    response.fields.front().value = "application/problem+json";
    response.fields.push_back({ "Wigeonsill-Outcome", std::string(outcomeName(info.outcome)) });
    if (retryAfter > Duration::zero()) {
        const auto retryAfterSeconds = std::chrono::ceil<seconds>(retryAfter).count();
        response.fields.push_back({ "Retry-After", std::to_string(retryAfterSeconds) });
    }
    return response;
}

Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const Error error{ ResultCode::SettingsWrongType,
        "expected IP-NUMBER:PORT, found \"" + std::string(text) + "\"" };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error;
    }
    boost::system::error_code code;
    const asio::ip::address address
        = asio::ip::make_address(std::string(text.substr(0, colon)), code);
    std::uint16_t port = 0;
    const char *const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (code || parsed.ec != std::errc() || parsed.ptr != last) {
        return error;
    }
    return asio::ip::tcp::endpoint(address, port);
}

std::string toString(const asio::ip::tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void setTcpOptions(asio::ip::tcp::socket &socket)
{
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int name, int value) {
        setsockopt(handle, level, name, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
    set(IPPROTO_TCP, TCP_NOTSENT_LOWAT, maximumUnsentBytes);
}

void spawn(asio::io_context &context, asio::awaitable<void> task)
{
    asio::co_spawn(context, std::move(task), [](const std::exception_ptr &failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &exception) {
            LOG4CPLUS_ERROR(logger("task"),
                "A coroutine ended with an unhandled exception: " << exception.what() << ".");
        }
    });
}

} // namespace wigeonsill
