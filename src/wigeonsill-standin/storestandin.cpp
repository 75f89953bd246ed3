/// \file storestandin.cpp
/// Stand-in for the platform's key-value service and its instance list.
///
///   GET  /v1/kv?key=K                       value and version, or 404 if absent
///   PUT  /v1/kv?key=K&version=N[&lease=L]   compare-and-swap; 409 if the version differs
///   GET  /v1/watch?key=K&after=N&wait_ms=T  waits up to T for a version above N
///   POST /v1/lease?ttl_ms=T                 creates a lease; its keys are removed when it expires
///   POST /v1/keepalive?lease=L              renews a lease
///   GET  /v1/instances                      lists the instances
///   PUT  /v1/instances?name=N               adds or replaces one (body: role, endpoint, state)
///   DELETE /v1/instances?name=N             removes one
///   POST /admin/faults
///   {"down":bool,"slowMs":n,"loseAnswers":n,"callsPerSecond":n,"instanceLagMs":n}
#include "standin.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;
constexpr Duration watchPollInterval = milliseconds(5);

class StoreStandin : public Standin
{
public:
    explicit StoreStandin(asio::io_context &storeIo)
        : io(storeIo)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder) override
    {
        const std::string_view path = pathOf(request.target);
        if (path == "/admin/faults") {
            co_await responder.respond(this->setFaults(request));
            co_return;
        }
        ++this->calls;
        if (this->down) {
            responder.abort();
            co_return;
        }
        if (!this->tryTakeToken()) {
            json::object errorBody;
            errorBody["error"] = "rate limit";
            co_await responder.respond(jsonResponse(429, errorBody));
            co_return;
        }
        if (this->responseDelay > Duration::zero()) {
            co_await sleepFor(this->io, this->responseDelay);
        }
        if (path == "/v1/watch") {
            co_await this->handleWatch(request, responder);
            co_return;
        }
        const HttpResponse response = this->handleCall(request, path);
        if (request.method == "PUT" && this->loseAnswers > 0) {
            --this->loseAnswers;
            responder.abort();
            co_return;
        }
        co_await responder.respond(response);
    }

    json::object dumpState() const override
    {
        json::object state;
        state["calls"] = this->calls;
        state["writes"] = this->writes;
        state["reads"] = this->reads;
        state["watches"] = this->watches;
        state["keys"] = this->values.size();
        state["instances"] = this->instances.size();
        return state;
    }

private:
    struct KeyRecord
    {
        std::string text;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Instance
    {
        json::object record;
        Clock::time_point visibleAt;
    };

    HttpResponse setFaults(const HttpRequest &request)
    {
        const std::optional<json::object> body = parseObjectBody(request);
        if (!body) {
            return problemResponse(ResultCode::MalformedRequest);
        }
        const json::object &faults = *body;
        updateOutageFaults(faults, this->down, this->responseDelay);
        this->loseAnswers
            = std::int64_t(numberMember(faults, "loseAnswers", double(this->loseAnswers)));
        this->callsPerSecond = numberMember(faults, "callsPerSecond", this->callsPerSecond);
        this->instanceLag = milliseconds(std::int64_t(
            numberMember(faults, "instanceLagMs", double(this->instanceLag / milliseconds(1)))));
        return jsonResponse(200, this->dumpState());
    }

    /// Takes a token from a bucket that holds one second's worth of calls; false if it is empty.
    bool tryTakeToken()
    {
        if (this->callsPerSecond <= 0) {
            return true;
        }
        const Clock::time_point now = Clock::now();
        const std::chrono::duration<double> elapsed = now - this->lastRefill;
        this->lastRefill = now;
        this->tokens
            = std::min(this->callsPerSecond, this->tokens + elapsed.count() * this->callsPerSecond);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    HttpResponse handleCall(const HttpRequest &request, std::string_view path)
    {
        if (path == "/v1/kv" && request.method == "GET") {
            ++this->reads;
            return this->getValue(queryParameter(request.target, "key"));
        }
        if (path == "/v1/kv" && request.method == "PUT") {
            ++this->writes;
            return this->putValue(request);
        }
        if (path == "/v1/lease" && request.method == "POST") {
            ++this->writes;
            const std::uint64_t id = ++this->lastLease;
            this->leaseTtl[id]
                = milliseconds(std::stoll("0" + queryParameter(request.target, "ttl_ms")));
            this->leaseExpiry[id] = Clock::now() + this->leaseTtl[id];
            return jsonResponse(200, json::object{ { "lease", id } });
        }
        if (path == "/v1/keepalive" && request.method == "POST") {
            ++this->writes;
            return this->keepAlive(std::stoull("0" + queryParameter(request.target, "lease")));
        }
        if (path == "/v1/instances") {
            return this->handleInstances(request);
        }
        return problemResponse(ResultCode::UnknownService);
    }

    void removeExpired()
    {
        const Clock::time_point now = Clock::now();
        std::erase_if(this->leaseExpiry, [now](const auto &lease) { return lease.second < now; });
        std::erase_if(this->values, [this](const auto &item) {
            return item.second.lease != 0 && !this->leaseExpiry.contains(item.second.lease);
        });
    }

    HttpResponse getValue(const std::string &key)
    {
        this->removeExpired();
        const auto found = this->values.find(key);
        if (found == this->values.end()) {
            return jsonResponse(404, json::object{ { "error", "no such key" } });
        }
        return jsonResponse(200,
            json::object{ { "value", found->second.text }, { "version", found->second.version } });
    }

    HttpResponse putValue(const HttpRequest &request)
    {
        this->removeExpired();
        const std::string key = queryParameter(request.target, "key");
        const std::uint64_t expected = std::stoull("0" + queryParameter(request.target, "version"));
        const std::uint64_t lease = std::stoull("0" + queryParameter(request.target, "lease"));
        const auto found = this->values.find(key);
        const std::uint64_t currentVersion
            = found == this->values.end() ? 0 : found->second.version;
        if (currentVersion != expected || (lease != 0 && !this->leaseExpiry.contains(lease))) {
            return jsonResponse(409, json::object{ { "version", currentVersion } });
        }
        // One counter serves all keys, so that a removed and re-created key never reuses a version.
        this->values[key] = KeyRecord{ request.body, ++this->lastVersion, lease };
        return jsonResponse(200, json::object{ { "version", this->lastVersion } });
    }

    HttpResponse keepAlive(std::uint64_t lease)
    {
        this->removeExpired();
        const auto found = this->leaseExpiry.find(lease);
        if (found == this->leaseExpiry.end()) {
            return jsonResponse(404, json::object{ { "error", "the lease has expired" } });
        }
        found->second = Clock::now() + this->leaseTtl[lease];
        return jsonResponse(200, json::object{ { "lease", lease } });
    }

    HttpResponse handleInstances(const HttpRequest &request)
    {
        const std::string name = queryParameter(request.target, "name");
        if (request.method == "PUT") {
            json::error_code error;
            const json::value body = json::parse(request.body, error);
            if (error || !body.is_object()) {
                return problemResponse(ResultCode::MalformedRequest);
            }
            json::object record = body.get_object();
            record["name"] = name;
            this->instances[name] = Instance{ record, Clock::now() + this->instanceLag };
            return jsonResponse(200, record);
        }
        if (request.method == "DELETE") {
            this->instances.erase(name);
            return jsonResponse(200, json::object{});
        }
        json::array records;
        for (const auto &[key, instance] : this->instances) {
            if (instance.visibleAt <= Clock::now()) {
                records.push_back(instance.record);
            }
        }
        return jsonResponse(200, json::object{ { "instances", records } });
    }

    asio::awaitable<void> handleWatch(const HttpRequest &request, HttpResponder &responder)
    {
        ++this->watches;
        const std::string key = queryParameter(request.target, "key");
        const std::uint64_t after = std::stoull("0" + queryParameter(request.target, "after"));
        const auto deadline = Clock::now()
            + milliseconds(std::stoll("0" + queryParameter(request.target, "wait_ms")));
        bool clientDisconnected = false;
        responder.setDisconnectHandler([&clientDisconnected] { clientDisconnected = true; });
        while (Clock::now() < deadline && !clientDisconnected && !this->down) {
            const auto found = this->values.find(key);
            if (found != this->values.end() && found->second.version > after) {
                break;
            }
            co_await sleepFor(this->io, watchPollInterval);
        }
        responder.setDisconnectHandler(nullptr);
        if (this->down) {
            responder.abort();
            co_return;
        }
        co_await responder.respond(this->getValue(key));
    }

    asio::io_context &io;
    std::map<std::string, KeyRecord> values;
    std::map<std::string, Instance> instances;
    std::map<std::uint64_t, Clock::time_point> leaseExpiry;
    std::map<std::uint64_t, Duration> leaseTtl;
    std::uint64_t lastVersion = 0;
    std::uint64_t lastLease = 0;
    std::uint64_t calls = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    bool down = false;
    Duration responseDelay{};
    Duration instanceLag{};
    std::int64_t loseAnswers = 0;
    double callsPerSecond = 0;
    double tokens = 0;
    Clock::time_point lastRefill = Clock::now();
};

} // namespace

std::unique_ptr<Standin> makeStoreStandin(asio::io_context &io)
{
    return std::make_unique<StoreStandin>(io);
}

} // namespace wigeonsill
