/// \file configurationfeed.cpp
/// Follows the configuration.
#include "configurationfeed.h"

#include "configurationparts.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration tickInterval = milliseconds(50);
constexpr Duration callerLifetime = seconds(30);
constexpr std::uint64_t followerSeed = 0xF0;

} // namespace

ConfigurationFeedSettings readConfigurationFeed(SettingsReader reader, ConfigurationMember self)
{
    ConfigurationFeedSettings settings;
    settings.self = std::move(self);
    settings.listen = readEndpoint(reader, "listen", "127.0.0.1:0");
    for (const std::string &seed : reader.textList("seeds")) {
        const auto endpoint = parseEndpoint(seed);
        if (endpoint) {
            settings.seeds.push_back(endpoint.value());
        } else {
            reader.report("seeds", endpoint.error().code, endpoint.error().detail);
        }
    }
    reader.finish();
    return settings;
}

ConfigurationFeed::ConfigurationFeed(DaemonContext feedContext, Store &platformStore,
    const ConfigurationFeedSettings &feedSettings,
    std::function<void(ConfigurationPointer)> changed)
    : context(feedContext)
    , store(platformStore)
    , settings(feedSettings)
    , whenChanged(std::move(changed))
    , follower(
          feedSettings.self, FollowerLimits(), stableHash(feedSettings.self.instance, followerSeed))
    , loop(feedContext.io)
    , server(this->loop, feedSettings.listen, *this)
{
}

ConfigurationFeed::~ConfigurationFeed() = default;

void ConfigurationFeed::start()
{
    this->server.start();
    this->setSeeds();
    spawn(this->context.io, this->tickLoop());
}

std::uint16_t ConfigurationFeed::port() const
{
    return this->server.endpoint().port();
}

void ConfigurationFeed::setSeeds()
{
    std::vector<ConfigurationMember> members;
    this->endpoints.clear();
    for (const auto &seed : this->settings.seeds) {
        if (seed != this->server.endpoint()) {
            members.push_back({ toString(seed), {} });
            this->endpoints[toString(seed)] = seed;
        }
    }
    this->follower.setMembers(std::move(members));
}

void ConfigurationFeed::update(const std::vector<ListedInstance> &instances)
{
    std::vector<ConfigurationMember> members;
    std::map<std::string, asio::ip::tcp::endpoint> found;
    for (const ListedInstance &instance : instances) {
        const bool isSelf = instance.name == this->settings.self.instance;
        if (instance.peer && !instance.leaving && !isSelf) {
            members.push_back({ instance.name, instance.region });
            found[instance.name] = *instance.peer;
        }
    }
    if (members.empty()) {
        this->setSeeds();
        return;
    }
    this->endpoints = std::move(found);
    this->follower.setMembers(std::move(members));
}

void ConfigurationFeed::revisionHeard(std::uint64_t revision)
{
    this->follower.revisionHeard(currentTime(), revision);
}

json::object ConfigurationFeed::dumpState() const
{
    const TimePoint now = currentTime();
    json::object state;
    state["revision"] = this->follower.inForce();
    state["highestHeard"] = this->follower.highestHeard();
    state["watcher"] = this->follower.isWatcher(now);
    state["cutOff"] = this->follower.isCutOff(now);
    state["peers"] = this->endpoints.size();
    state["storeCalls"] = this->storeCalls;
    state["peerCalls"] = this->peerCalls;
    return state;
}

PeerRoot ConfigurationFeed::root() const
{
    return { this->follower.inForce(), this->rootText };
}

std::shared_ptr<const std::string> ConfigurationFeed::part(const std::string &id) const
{
    if (!this->current) {
        return nullptr;
    }
    const auto found = this->current->partTexts().find(id);
    return found == this->current->partTexts().end() ? nullptr : found->second;
}

void ConfigurationFeed::callerReported(const std::string &instance, std::uint64_t revision)
{
    this->callers[instance] = { revision, currentTime() };
}

std::vector<RevisionReport> ConfigurationFeed::reports() const
{
    const TimePoint now = currentTime();
    std::vector<RevisionReport> result;
    result.push_back({ this->settings.self.instance, this->follower.inForce(), Duration::zero() });
    for (const auto &[instance, caller] : this->callers) {
        const Duration age = now - caller.at;
        if (age < callerLifetime) {
            result.push_back({ instance, caller.revision, age });
        }
    }
    return result;
}

asio::awaitable<void> ConfigurationFeed::tickLoop()
{
    asio::steady_timer timer(this->context.io);
    boost::system::error_code ignored;
    for (;;) {
        const TimePoint now = currentTime();
        for (const FetchRoot &fetch : this->follower.tick(now)) {
            if (fetch.source == RootSource::Store) {
                spawn(this->context.io, this->fetchFromStore(fetch.wait));
            } else {
                spawn(this->context.io, this->fetchFromPeer(fetch.peer, fetch.wait));
            }
        }
        std::erase_if(this->callers,
            [now](const auto &entry) { return now - entry.second.at >= callerLifetime; });
        this->context.metrics.gauge(
            "wigeonsill_entry_configuration_revision", {}, double(this->follower.inForce()));
        this->context.metrics.gauge(
            "wigeonsill_entry_configuration_cut_off", {}, this->follower.isCutOff(now) ? 1 : 0);
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ConfigurationFeed::fetchFromStore(Duration wait)
{
    const Result<std::uint64_t> revision = co_await this->takeStoreRoot(wait);
    this->context.metrics.gauge("wigeonsill_entry_store_reachable", {}, revision ? 1 : 0);
    if (!revision) {
        LOG4CPLUS_WARN(logger("entry.config"),
            "No configuration from the store: " << revision.error().detail << ".");
    }
    this->follower.fetchEnded(currentTime(), RootSource::Store,
        revision ? std::optional(revision.value()) : std::nullopt);
}

asio::awaitable<void> ConfigurationFeed::fetchFromPeer(std::string name, Duration wait)
{
    const Result<std::uint64_t> revision = co_await this->takePeerRoot(name, wait);
    if (!revision) {
        LOG4CPLUS_INFO(logger("entry.config"),
            "No configuration from peer " << name << ": " << revision.error().detail << ".");
        this->connectedPeer.clear();
    }
    this->follower.fetchEnded(
        currentTime(), RootSource::Peer, revision ? std::optional(revision.value()) : std::nullopt);
}

asio::awaitable<Result<std::uint64_t>> ConfigurationFeed::takeStoreRoot(Duration wait)
{
    ++this->storeCalls;
    Result<StoredValue> value = StoredValue{};
    if (wait > Duration::zero()) {
        value = co_await this->store.watch(std::string(rootKey), this->storeVersion, wait);
    } else {
        value = co_await this->store.get(std::string(rootKey));
    }
    if (!value) {
        co_return value.error();
    }
    if (value.value().version == 0) {
        co_return std::uint64_t(0);
    }
    const Result<ConfigurationRoot> root = parseRoot(value.value().value);
    if (!root) {
        co_return root.error();
    }
    if (this->follower.isNewer(root.value().revision)) {
        PartTexts parts;
        const auto missing = missingParts(root.value().snapshot, parts, this->current.get());
        this->storeCalls += missing.size();
        const Result<void> read = co_await readMissingParts(this->store, missing, parts);
        if (!read) {
            co_return read.error();
        }
        const Result<void> taken = this->putInForce(root.value(), value.value().value, parts);
        if (!taken) {
            co_return taken.error();
        }
    }
    this->storeVersion = value.value().version;
    co_return root.value().revision;
}

asio::awaitable<Result<void>> ConfigurationFeed::connectTo(std::string name)
{
    if (this->connection && this->connectedPeer == name) {
        co_return boost::outcome_v2::success();
    }
    const auto endpoint = this->endpoints.find(name);
    if (endpoint == this->endpoints.end()) {
        co_return Error{ ResultCode::ConnectionFailed, "the peer has left" };
    }
    this->connection = std::make_unique<PeerConnection>(this->loop);
    this->connectedPeer = name;
    co_return co_await this->connection->connect(endpoint->second);
}

asio::awaitable<Result<std::uint64_t>> ConfigurationFeed::takePeerRoot(
    std::string name, Duration wait)
{
    ++this->peerCalls;
    const Result<void> connected = co_await this->connectTo(name);
    if (!connected) {
        co_return connected.error();
    }
    const Result<PeerRoot> offered = co_await this->connection->fetchRoot(
        this->settings.self.instance, this->follower.inForce(), wait);
    if (!offered) {
        co_return offered.error();
    }
    if (!this->follower.isNewer(offered.value().revision) || offered.value().text.empty()) {
        co_return offered.value().revision;
    }
    const Result<ConfigurationRoot> root = parseRoot(offered.value().text);
    if (!root) {
        co_return root.error();
    }
    PartTexts parts;
    const Result<void> read = co_await this->readPeerParts(root.value().snapshot, parts);
    if (!read) {
        co_return read.error();
    }
    const Result<void> taken = this->putInForce(root.value(), offered.value().text, parts);
    if (!taken) {
        co_return taken.error();
    }
    co_return root.value().revision;
}

asio::awaitable<Result<void>> ConfigurationFeed::readPeerParts(Snapshot snapshot, PartTexts &parts)
{
    for (;;) {
        const auto missing = missingParts(snapshot, parts, this->current.get());
        if (missing.empty()) {
            co_return boost::outcome_v2::success();
        }
        ++this->peerCalls;
        Result<std::vector<PeerPart>> answer = co_await this->connection->fetchParts(missing);
        if (!answer) {
            co_return answer.error();
        }
        if (answer.value().empty()) {
            co_return Error{ ResultCode::StoreKeyMissing, "the peer lacks a part" };
        }
        for (PeerPart &part : answer.value()) {
            parts[part.id] = std::make_shared<const std::string>(std::move(part.text));
        }
    }
}

Result<void> ConfigurationFeed::putInForce(
    const ConfigurationRoot &root, const std::string &text, const PartTexts &parts)
{
    // The other source may have been faster while the parts were read.
    if (!this->follower.isNewer(root.revision)) {
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(Configuration next,
        Configuration::assemble(root.revision, root.snapshot, parts, this->current.get()));
    this->current = std::make_shared<const Configuration>(std::move(next));
    this->rootText = text;
    this->follower.putInForce(root.revision);
    LOG4CPLUS_INFO(logger("entry.config"), "Revision " << root.revision << " is in force.");
    this->whenChanged(this->current);
    this->server.rootChanged();
    return boost::outcome_v2::success();
}

} // namespace wigeonsill
