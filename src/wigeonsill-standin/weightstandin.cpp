/// \file weightstandin.cpp
/// Stand-in for the rate-limited weight store.
///
///   GET  /v1/weights/NAME    charges weightBytes to the rate limit, or 429 with Retry-After
///   GET  /admin/load         number of loads served and refused
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
            co_await this->handleLoad(std::string(path.substr(weightsPath.size())), responder);
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
        const std::optional<json::object> body = parseObjectBody(request);
        if (!body) {
            return problemResponse(ResultCode::MalformedRequest);
        }
        const json::object &faults = *body;
        updateOutageFaults(faults, this->down, this->responseDelay);
        this->bytesPerSecond = numberMember(faults, "bytesPerSecond", this->bytesPerSecond);
        this->weightBytes = numberMember(faults, "weightBytes", this->weightBytes);
        this->availableBytes
            = std::min(this->availableBytes, std::max(this->weightBytes, this->bytesPerSecond));
        return jsonResponse(200, this->dumpState());
    }

    /// Refills the token bucket and takes the bytes of one load. If they are not available, takes
    /// none and returns the seconds until they are; otherwise returns 0.
    double tryTakeBytes()
    {
        const TimePoint now = currentTime();
        const double elapsed = double((now - this->lastRefill).count()) / 1e6;
        this->lastRefill = now;
        const double bucketBytes = std::max(this->weightBytes, this->bytesPerSecond * burstSeconds);
        this->availableBytes
            = std::min(bucketBytes, this->availableBytes + elapsed * this->bytesPerSecond);
        if (this->availableBytes < this->weightBytes) {
            return (this->weightBytes - this->availableBytes) / this->bytesPerSecond;
        }
        this->availableBytes -= this->weightBytes;
        return 0;
    }

    asio::awaitable<void> handleLoad(std::string name, HttpResponder &responder)
    {
        const double waitSeconds = this->tryTakeBytes();
        if (waitSeconds > 0) {
            ++this->refused;
            HttpResponse refusal = jsonResponse(429, json::object{ { "error", "rate limit" } });
            const auto retryAfterSeconds = std::int64_t(waitSeconds) + 1;
            refusal.fields.push_back({ "Retry-After", std::to_string(retryAfterSeconds) });
            co_await responder.respond(std::move(refusal));
            co_return;
        }
        ++this->loads;
        co_await sleepFor(this->io, this->responseDelay);
        const json::object answer{ { "name", name }, { "bytes", this->weightBytes } };
        co_await responder.respond(jsonResponse(200, answer));
    }

    asio::io_context &io;
    bool down = false;
    Duration responseDelay{};
    double bytesPerSecond = defaultBytesPerSecond;
    double weightBytes = defaultWeightBytes;
    double availableBytes = defaultBytesPerSecond;
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
