/// \file storestandin.cpp
/// Stand-in for the platform's key-value service and its instance list.
///
///   GET  /v1/kv?key=K                       value and version, 404 when absent
///   PUT  /v1/kv?key=K&version=N[&lease=L]   compare-and-swap, 409 when the version is another
///   GET  /v1/watch?key=K&after=N&wait_ms=T  waits for a version above N
///   POST /v1/lease?ttl_ms=T                 a new lease; its keys vanish when it lapses
///   POST /v1/keepalive?lease=L
///   GET  /v1/instances, PUT /v1/instances?name=N (body: role, endpoint, state), DELETE the same
///   POST /admin/faults
///   {"down":bool,"slowMs":n,"loseAnswers":n,"callsPerSecond":n,"instanceLagMs":n}
#include "standin.h"

#include <boost/asio/steady_timer.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;
constexpr Duration watchStep = milliseconds(5);

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
        if (!this->takeToken()) {
            json::object refusal;
            refusal["error"] = "rate limit";
            co_await responder.respond(jsonResponse(429, refusal));
            co_return;
        }
        if (this->slow > Duration::zero()) {
            co_await sleepFor(this->io, this->slow);
        }
        if (path == "/v1/watch") {
            co_await this->watch(request, responder);
            co_return;
        }
        const HttpResponse response = this->answer(request, path);
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
    struct Value
    {
        std::string text;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Instance
    {
        json::object row;
        Clock::time_point visibleAt;
    };

    HttpResponse setFaults(const HttpRequest &request)
    {
        const std::optional<json::object> body = objectBody(request);
        if (!body) {
            return problemResponse(ResultCode::MalformedRequest);
        }
        const json::object &faults = *body;
        takeOutageFaults(faults, this->down, this->slow);
        this->loseAnswers
            = std::int64_t(numberMember(faults, "loseAnswers", double(this->loseAnswers)));
        this->callsPerSecond = numberMember(faults, "callsPerSecond", this->callsPerSecond);
        this->instanceLag = milliseconds(std::int64_t(
            numberMember(faults, "instanceLagMs", double(this->instanceLag / milliseconds(1)))));
        return jsonResponse(200, this->dumpState());
    }

    /// Token bucket of one second's worth of calls.
    bool takeToken()
    {
        if (this->callsPerSecond <= 0) {
            return true;
        }
        const Clock::time_point now = Clock::now();
        const std::chrono::duration<double> passed = now - this->lastRefill;
        this->lastRefill = now;
        this->tokens
            = std::min(this->callsPerSecond, this->tokens + passed.count() * this->callsPerSecond);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    HttpResponse answer(const HttpRequest &request, std::string_view path)
    {
        if (path == "/v1/kv" && request.method == "GET") {
            ++this->reads;
            return this->get(queryValue(request.target, "key"));
        }
        if (path == "/v1/kv" && request.method == "PUT") {
            ++this->writes;
            return this->put(request);
        }
        if (path == "/v1/lease" && request.method == "POST") {
            ++this->writes;
            const std::uint64_t id = ++this->lastLease;
            this->leaseTtl[id]
                = milliseconds(std::stoll("0" + queryValue(request.target, "ttl_ms")));
            this->leaseEnd[id] = Clock::now() + this->leaseTtl[id];
            return jsonResponse(200, json::object{ { "lease", id } });
        }
        if (path == "/v1/keepalive" && request.method == "POST") {
            ++this->writes;
            return this->keepAlive(std::stoull("0" + queryValue(request.target, "lease")));
        }
        if (path == "/v1/instances") {
            return this->instancesCall(request);
        }
        return problemResponse(ResultCode::UnknownService);
    }

    void dropLapsed()
    {
        const Clock::time_point now = Clock::now();
        std::erase_if(this->leaseEnd, [now](const auto &lease) { return lease.second < now; });
        std::erase_if(this->values, [this](const auto &entry) {
            return entry.second.lease != 0 && !this->leaseEnd.contains(entry.second.lease);
        });
    }

    HttpResponse get(const std::string &key)
    {
        this->dropLapsed();
        const auto found = this->values.find(key);
        if (found == this->values.end()) {
            return jsonResponse(404, json::object{ { "error", "no such key" } });
        }
        return jsonResponse(200,
            json::object{ { "value", found->second.text }, { "version", found->second.version } });
    }

    HttpResponse put(const HttpRequest &request)
    {
        this->dropLapsed();
        const std::string key = queryValue(request.target, "key");
        const std::uint64_t expected = std::stoull("0" + queryValue(request.target, "version"));
        const std::uint64_t lease = std::stoull("0" + queryValue(request.target, "lease"));
        const auto found = this->values.find(key);
        const std::uint64_t present = found == this->values.end() ? 0 : found->second.version;
        if (present != expected || (lease != 0 && !this->leaseEnd.contains(lease))) {
            return jsonResponse(409, json::object{ { "version", present } });
        }
        // Versions come from one counter, so that a key that vanished never repeats one.
        this->values[key] = Value{ request.body, ++this->lastVersion, lease };
        return jsonResponse(200, json::object{ { "version", this->lastVersion } });
    }

    HttpResponse keepAlive(std::uint64_t lease)
    {
        this->dropLapsed();
        const auto found = this->leaseEnd.find(lease);
        if (found == this->leaseEnd.end()) {
            return jsonResponse(404, json::object{ { "error", "the lease has lapsed" } });
        }
        found->second = Clock::now() + this->leaseTtl[lease];
        return jsonResponse(200, json::object{ { "lease", lease } });
    }

    HttpResponse instancesCall(const HttpRequest &request)
    {
        const std::string name = queryValue(request.target, "name");
        if (request.method == "PUT") {
            json::error_code error;
            const json::value body = json::parse(request.body, error);
            if (error || !body.is_object()) {
                return problemResponse(ResultCode::MalformedRequest);
            }
            json::object row = body.get_object();
            row["name"] = name;
            this->instances[name] = Instance{ row, Clock::now() + this->instanceLag };
            return jsonResponse(200, row);
        }
        if (request.method == "DELETE") {
            this->instances.erase(name);
            return jsonResponse(200, json::object{});
        }
        json::array rows;
        for (const auto &[key, instance] : this->instances) {
            if (instance.visibleAt <= Clock::now()) {
                rows.push_back(instance.row);
            }
        }
        return jsonResponse(200, json::object{ { "instances", rows } });
    }

    asio::awaitable<void> watch(const HttpRequest &request, HttpResponder &responder)
    {
        ++this->watches;
        const std::string key = queryValue(request.target, "key");
        const std::uint64_t after = std::stoull("0" + queryValue(request.target, "after"));
        const auto end
            = Clock::now() + milliseconds(std::stoll("0" + queryValue(request.target, "wait_ms")));
        bool gone = false;
        responder.whenCallerGone([&gone] { gone = true; });
        while (Clock::now() < end && !gone && !this->down) {
            const auto found = this->values.find(key);
            if (found != this->values.end() && found->second.version > after) {
                break;
            }
            co_await sleepFor(this->io, watchStep);
        }
        responder.whenCallerGone(nullptr);
        if (this->down) {
            responder.abort();
            co_return;
        }
        co_await responder.respond(this->get(key));
    }

    asio::io_context &io;
    std::map<std::string, Value> values;
    std::map<std::string, Instance> instances;
    std::map<std::uint64_t, Clock::time_point> leaseEnd;
    std::map<std::uint64_t, Duration> leaseTtl;
    std::uint64_t lastVersion = 0;
    std::uint64_t lastLease = 0;
    std::uint64_t calls = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    bool down = false;
    Duration slow{};
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
