/// \file plainstandin.cpp
/// Stand-in for a plain service: echoes each request and counts the executions of each run id.
///
///   GET  /admin/runs             executions by run id: the Run-Id field or else the body
///   POST /admin/faults {"delayMs":n,"breakAfterRun":n}
#include "standin.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

class PlainStandin : public Standin
{
public:
    explicit PlainStandin(asio::io_context &serviceIo)
        : io(serviceIo)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder) override
    {
        const std::string_view path = pathOf(request.target);
        if (path == "/admin/runs") {
            co_await responder.respond(jsonResponse(200, this->dumpState()));
            co_return;
        }
        if (path == "/admin/faults") {
            json::error_code error;
            const json::value body = json::parse(request.body, error);
            if (!error && body.is_object()) {
                this->responseDelay
                    = milliseconds(std::int64_t(numberMember(body.get_object(), "delayMs", 0)));
                this->breakAfterRun
                    = std::int64_t(numberMember(body.get_object(), "breakAfterRun", 0));
            }
            co_await responder.respond(jsonResponse(200, json::object{}));
            co_return;
        }
        const std::string_view runIdField = fieldValue(request.fields, "Run-Id");
        const std::string id(runIdField.empty() ? std::string_view(request.body) : runIdField);
        const std::uint64_t count = ++this->runs[id];
        if (this->responseDelay > Duration::zero()) {
            co_await sleepFor(this->io, this->responseDelay);
        }
        if (this->breakAfterRun > 0) {
            --this->breakAfterRun;
            responder.abort();
            co_return;
        }
        json::object body;
        body["id"] = id;
        body["runs"] = count;
        body["method"] = request.method;
        body["path"] = request.target;
        body["body"] = request.body;
        co_await responder.respond(jsonResponse(200, body));
    }

    json::object dumpState() const override
    {
        json::object counts;
        for (const auto &[id, count] : this->runs) {
            counts[id] = count;
        }
        return { { "runs", counts } };
    }

private:
    asio::io_context &io;
    std::map<std::string, std::uint64_t> runs;
    Duration responseDelay{};
    std::int64_t breakAfterRun = 0;
};

} // namespace

std::unique_ptr<Standin> makePlainStandin(asio::io_context &io)
{
    return std::make_unique<PlainStandin>(io);
}

} // namespace wigeonsill
