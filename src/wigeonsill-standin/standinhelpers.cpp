/// \file standinhelpers.cpp
/// Helpers that the stand-ins share.
#include "standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (!pair.starts_with(name) || pair.size() <= name.size() || pair[name.size()] != '=') {
            continue;
        }
        std::string value;
        const std::string_view encoded = pair.substr(name.size() + 1);
        for (std::size_t i = 0; i < encoded.size(); ++i) {
            if (encoded[i] == '%' && i + 2 < encoded.size()) {
                value += static_cast<char>(
                    std::stoi(std::string(encoded.substr(i + 1, 2)), nullptr, 16));
                i += 2;
            } else {
                value += encoded[i];
            }
        }
        return value;
    }
    return {};
}

double numberMember(const boost::json::object &object, std::string_view key, double fallback)
{
    const boost::json::value *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}

std::optional<boost::json::object> objectBody(const HttpRequest &request)
{
    boost::json::error_code error;
    const boost::json::value body = boost::json::parse(request.body, error);
    if (error || !body.is_object()) {
        return std::nullopt;
    }
    return body.get_object();
}

void takeOutageFaults(const boost::json::object &faults, bool &down, Duration &slow)
{
    if (const boost::json::value *value = faults.if_contains("down")) {
        down = value->is_bool() && value->get_bool();
    }
    slow = milliseconds(
        std::int64_t(numberMember(faults, "slowMs", double(slow / milliseconds(1)))));
}

asio::awaitable<void> sleepFor(asio::io_context &io, Duration duration)
{
    asio::steady_timer timer(io, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace wigeonsill
