/// \file httpinstancelist.cpp
/// HTTP client of the platform's instance list.
#include "wigeonsill/platform.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration callTimeout = seconds(2);

std::string textMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

std::vector<std::string> textListMember(const json::object &object, std::string_view key)
{
    std::vector<std::string> texts;
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) {
        return texts;
    }
    for (const json::value &element : value->get_array()) {
        if (element.is_string()) {
            texts.emplace_back(element.get_string());
        }
    }
    return texts;
}

Result<std::vector<ListedInstance>> parseInstances(const std::string &text)
{
    json::error_code error;
    const json::value body = json::parse(text, error);
    const json::object *object = error ? nullptr : body.if_object();
    const json::value *list = object == nullptr ? nullptr : object->if_contains("instances");
    if (list == nullptr || !list->is_array()) {
        return Error{ ResultCode::MessageMalformed,
            "the answer is not JSON with an array of instances" };
    }
    std::vector<ListedInstance> instances;
    for (const json::value &element : list->get_array()) {
        const json::object *item = element.if_object();
        if (item == nullptr) {
            return Error{ ResultCode::MessageMalformed,
                "an element of the instance list is not an object" };
        }
        BOOST_OUTCOME_TRY(const auto endpoint, parseEndpoint(textMember(*item, "endpoint")));
        ListedInstance instance;
        instance.name = textMember(*item, "name");
        instance.role = textMember(*item, "role");
        instance.region = textMember(*item, "region");
        instance.pools = textListMember(*item, "pools");
        instance.endpoint = endpoint;
        instance.leaving = textMember(*item, "state") == "leaving";
        if (item->contains("peer")) {
            BOOST_OUTCOME_TRY(instance.peer, parseEndpoint(textMember(*item, "peer")));
        }
        instances.push_back(std::move(instance));
    }
    return instances;
}

class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(asio::io_context &listContext, const asio::ip::tcp::endpoint &listEndpoint)
        : context(listContext)
        , endpoint(listEndpoint)
    {
    }

    asio::awaitable<Result<std::vector<ListedInstance>>> fetch() override
    {
        HttpRequest request{ "GET", "/v1/instances", {}, {} };
        const Result<HttpResponse> response = co_await wigeonsill::fetch(
            this->context, this->endpoint, std::move(request), callTimeout);
        if (!response) {
            co_return Error{ ResultCode::StoreUnavailable, response.error().detail };
        }
        if (response.value().status != 200) {
            co_return Error{ ResultCode::StoreUnavailable,
                "the server of the instance list answered with status "
                    + std::to_string(response.value().status) };
        }
        co_return parseInstances(response.value().body);
    }

private:
    asio::io_context &context;
    asio::ip::tcp::endpoint endpoint;
};

} // namespace

std::unique_ptr<InstanceList> makeHttpInstanceList(
    asio::io_context &context, const asio::ip::tcp::endpoint &endpoint)
{
    return std::make_unique<HttpInstanceList>(context, endpoint);
}

} // namespace wigeonsill
