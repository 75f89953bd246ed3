/// \file weightstandin.cpp
/// Stand-in for the rate-limited weight store.
///
///   GET  /v1/weights/NAME    takes its size from the rate, or 429 with Retry-After
///   GET  /admin/load         loads given and refused
///   POST /admin/faults {"down":bool,"slowMs":n,"bytesPerSecond":n,"weightBytes":n}
#include "standin.h"

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view weightsPath = "/v1/weights/";
constexpr double defaultBytesPerSecond = 4e9;
constexpr double defaultWeightBytes = 1e9;
constexpr double burstSeconds = 1;

class WeightStandin : public Standin
{
public:
    explicit WeightStandin(asio::io_context &storeIo)
        : io(storeIo)
        , lastRefill(currentTime())
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder) override
    {
        const std::string_view path = pathOf(request.target);
        if (path == "/admin/faults") {
            co_await responder.respond(this->setFaults(request));
        } else if (path == "/admin/load") {
            co_await responder.respond(jsonResponse(200, this->dumpState()));
        } else if (this->down) {
            responder.abort();
        } else if (path.starts_with(weightsPath)) {
            co_await this->load(std::string(path.substr(weightsPath.size())), responder);
        } else {
            co_await responder.respond(problemResponse(ResultCode::UnknownService));
        }
    }

    json::object dumpState() const override
    {
        return { { "loads", this->loads }, { "refused", this->refused } };
    }

private:
    HttpResponse setFaults(const HttpRequest &request)
    {
        const std::optional<json::object> body = objectBody(request);
        if (!body) {
            return problemResponse(ResultCode::MalformedRequest);
        }
        const json::object &faults = *body;
        takeOutageFaults(faults, this->down, this->slow);
        this->bytesPerSecond = numberMember(faults, "bytesPerSecond", this->bytesPerSecond);
        this->weightBytes = numberMember(faults, "weightBytes", this->weightBytes);
        this->available
            = std::min(this->available, std::max(this->weightBytes, this->bytesPerSecond));
        return jsonResponse(200, this->dumpState());
    }

    /// Refills the bucket and takes one weight's bytes; returns the wait until they are there.
    double takeBytes()
    {
        const TimePoint now = currentTime();
        const double passed = double((now - this->lastRefill).count()) / 1e6;
        this->lastRefill = now;
        const double bucket = std::max(this->weightBytes, this->bytesPerSecond * burstSeconds);
        this->available = std::min(bucket, this->available + passed * this->bytesPerSecond);
        if (this->available < this->weightBytes) {
            return (this->weightBytes - this->available) / this->bytesPerSecond;
        }
        this->available -= this->weightBytes;
        return 0;
    }

    asio::awaitable<void> load(std::string name, HttpResponder &responder)
    {
        const double waitSeconds = this->takeBytes();
        if (waitSeconds > 0) {
            ++this->refused;
            HttpResponse refusal = jsonResponse(429, json::object{ { "error", "rate limit" } });
            const auto wholeSeconds = std::int64_t(waitSeconds) + 1;
            refusal.fields.push_back({ "Retry-After", std::to_string(wholeSeconds) });
            co_await responder.respond(std::move(refusal));
            co_return;
        }
        ++this->loads;
        co_await sleepFor(this->io, this->slow);
        const json::object answer{ { "name", name }, { "bytes", this->weightBytes } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::io_context &io;
    bool down = false;
    Duration slow{};
    double bytesPerSecond = defaultBytesPerSecond;
    double weightBytes = defaultWeightBytes;
    double available = defaultBytesPerSecond;
    TimePoint lastRefill;
    std::int64_t loads = 0;
    std::int64_t refused = 0;
};

} // namespace

std::unique_ptr<Standin> makeWeightStandin(asio::io_context &io)
{
    return std::make_unique<WeightStandin>(io);
}

} // namespace wigeonsill
