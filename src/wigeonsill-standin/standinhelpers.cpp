/// \file standinhelpers.cpp
/// Functions shared by the stand-ins.
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

std::string queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t queryStart = target.find('?');
    if (queryStart == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(queryStart + 1);
    while (!rest.empty()) {
        const std::string_view parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        if (!parameter.starts_with(name) || parameter.size() <= name.size()
            || parameter[name.size()] != '=') {
            continue;
        }
        std::string value;
        const std::string_view encoded = parameter.substr(name.size() + 1);
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

std::optional<boost::json::object> parseObjectBody(const HttpRequest &request)
{
    boost::json::error_code error;
    const boost::json::value body = boost::json::parse(request.body, error);
    if (error || !body.is_object()) {
        return std::nullopt;
    }
    return body.get_object();
}

void updateOutageFaults(const boost::json::object &faults, bool &down, Duration &responseDelay)
{
    if (const boost::json::value *value = faults.if_contains("down")) {
        down = value->is_bool() && value->get_bool();
    }
    responseDelay = milliseconds(
        std::int64_t(numberMember(faults, "slowMs", double(responseDelay / milliseconds(1)))));
}

asio::awaitable<void> sleepFor(asio::io_context &io, Duration duration)
{
    asio::steady_timer timer(io, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace wigeonsill
