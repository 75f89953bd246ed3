/// \file configurationupdater.cpp
/// Keeps the configuration up to date.
#include "configurationupdater.h"

#include "configurationparts.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration tickInterval = milliseconds(50);
constexpr Duration peerReportExpiry = seconds(30);
constexpr std::uint64_t followerHashSeed = 0xF0;

} // namespace

ConfigurationUpdaterSettings readConfigurationUpdaterSettings(
    SettingsReader reader, ConfigurationMember self)
{
    ConfigurationUpdaterSettings settings;
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

ConfigurationUpdater::ConfigurationUpdater(DaemonContext daemonContext, Store &platformStore,
    const ConfigurationUpdaterSettings &updaterSettings,
    std::function<void(ConfigurationPointer)> changeHandler)
    : context(daemonContext)
    , store(platformStore)
    , settings(updaterSettings)
    , onChanged(std::move(changeHandler))
    , follower(updaterSettings.self, FollowerLimits(),
          stableHash(updaterSettings.self.instance, followerHashSeed))
    , rpcLoop(daemonContext.io)
    , server(this->rpcLoop, updaterSettings.listen, *this)
{
}

ConfigurationUpdater::~ConfigurationUpdater() = default;

void ConfigurationUpdater::start()
{
    this->server.start();
    this->useSeedPeers();
    spawn(this->context.io, this->tickLoop());
}

std::uint16_t ConfigurationUpdater::port() const
{
    return this->server.endpoint().port();
}

void ConfigurationUpdater::useSeedPeers()
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

void ConfigurationUpdater::updateInstances(const std::vector<ListedInstance> &instances)
{
    std::vector<ConfigurationMember> members;
    std::map<std::string, asio::ip::tcp::endpoint> peerEndpoints;
    for (const ListedInstance &instance : instances) {
        const bool isSelf = instance.name == this->settings.self.instance;
        if (instance.peer && !instance.leaving && !isSelf) {
            members.push_back({ instance.name, instance.region });
            peerEndpoints[instance.name] = *instance.peer;
        }
    }
    if (members.empty()) {
        this->useSeedPeers();
        return;
    }
    this->endpoints = std::move(peerEndpoints);
    this->follower.setMembers(std::move(members));
}

void ConfigurationUpdater::revisionReceived(std::uint64_t revision)
{
    this->follower.revisionReceived(currentTime(), revision);
}

json::object ConfigurationUpdater::dumpState() const
{
    const TimePoint now = currentTime();
    json::object state;
    state["revision"] = this->follower.activeRevision();
    state["highestHeard"] = this->follower.highestKnownRevision();
    state["watcher"] = this->follower.isWatcher(now);
    state["cutOff"] = this->follower.isCutOff(now);
    state["peers"] = this->endpoints.size();
    state["storeCalls"] = this->storeCalls;
    state["peerCalls"] = this->peerCalls;
    return state;
}

PeerRoot ConfigurationUpdater::root() const
{
    return { this->follower.activeRevision(), this->rootText };
}

std::shared_ptr<const std::string> ConfigurationUpdater::part(const std::string &id) const
{
    if (!this->currentConfiguration) {
        return nullptr;
    }
    const auto found = this->currentConfiguration->partTexts().find(id);
    return found == this->currentConfiguration->partTexts().end() ? nullptr : found->second;
}

void ConfigurationUpdater::recordCallerRevision(const std::string &instance, std::uint64_t revision)
{
    this->peerReports[instance] = { revision, currentTime() };
}

std::vector<RevisionReport> ConfigurationUpdater::reports() const
{
    const TimePoint now = currentTime();
    std::vector<RevisionReport> result;
    result.push_back(
        { this->settings.self.instance, this->follower.activeRevision(), Duration::zero() });
    for (const auto &[instance, peerReport] : this->peerReports) {
        const Duration age = now - peerReport.reportedAt;
        if (age < peerReportExpiry) {
            result.push_back({ instance, peerReport.revision, age });
        }
    }
    return result;
}

asio::awaitable<void> ConfigurationUpdater::tickLoop()
{
    asio::steady_timer timer(this->context.io);
    boost::system::error_code ignored;
    for (;;) {
        const TimePoint now = currentTime();
        for (const RootFetch &fetch : this->follower.tick(now)) {
            if (fetch.source == RootSource::Store) {
                spawn(this->context.io, this->fetchFromStore(fetch.wait));
            } else {
                spawn(this->context.io, this->fetchFromPeer(fetch.peer, fetch.wait));
            }
        }
        std::erase_if(this->peerReports,
            [now](const auto &item) { return now - item.second.reportedAt >= peerReportExpiry; });
        this->context.metrics.gauge(
            "wigeonsill_entry_configuration_revision", {}, double(this->follower.activeRevision()));
        this->context.metrics.gauge(
            "wigeonsill_entry_configuration_cut_off", {}, this->follower.isCutOff(now) ? 1 : 0);
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ConfigurationUpdater::fetchFromStore(Duration wait)
{
    const Result<std::uint64_t> revision = co_await this->applyStoreRoot(wait);
    this->context.metrics.gauge("wigeonsill_entry_store_reachable", {}, revision ? 1 : 0);
    if (!revision) {
        LOG4CPLUS_WARN(logger("entry.config"),
            "Failed to fetch the configuration from the store: " << revision.error().detail << ".");
    }
    this->follower.fetchEnded(currentTime(), RootSource::Store,
        revision ? std::optional(revision.value()) : std::nullopt);
}

asio::awaitable<void> ConfigurationUpdater::fetchFromPeer(std::string name, Duration wait)
{
    const Result<std::uint64_t> revision = co_await this->applyPeerRoot(name, wait);
    if (!revision) {
        LOG4CPLUS_INFO(logger("entry.config"),
            "Failed to fetch the configuration from peer " << name << ": "
                                                           << revision.error().detail << ".");
        this->connectedPeer.clear();
    }
    this->follower.fetchEnded(
        currentTime(), RootSource::Peer, revision ? std::optional(revision.value()) : std::nullopt);
}

asio::awaitable<Result<std::uint64_t>> ConfigurationUpdater::applyStoreRoot(Duration wait)
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
        const auto missing
            = missingParts(root.value().snapshot, parts, this->currentConfiguration.get());
        this->storeCalls += missing.size();
        const Result<void> read = co_await readMissingParts(this->store, missing, parts);
        if (!read) {
            co_return read.error();
        }
        const Result<void> applied = this->activate(root.value(), value.value().value, parts);
        if (!applied) {
            co_return applied.error();
        }
    }
    this->storeVersion = value.value().version;
    co_return root.value().revision;
}

asio::awaitable<Result<void>> ConfigurationUpdater::connectTo(std::string name)
{
    if (this->connection && this->connectedPeer == name) {
        co_return boost::outcome_v2::success();
    }
    const auto endpoint = this->endpoints.find(name);
    if (endpoint == this->endpoints.end()) {
        co_return Error{ ResultCode::ConnectionFailed, "the peer is no longer listed" };
    }
    this->connection = std::make_unique<PeerConnection>(this->rpcLoop);
    this->connectedPeer = name;
    co_return co_await this->connection->connect(endpoint->second);
}

asio::awaitable<Result<std::uint64_t>> ConfigurationUpdater::applyPeerRoot(
    std::string name, Duration wait)
{
    ++this->peerCalls;
    const Result<void> connected = co_await this->connectTo(name);
    if (!connected) {
        co_return connected.error();
    }
    const Result<PeerRoot> offeredRoot = co_await this->connection->fetchRoot(
        this->settings.self.instance, this->follower.activeRevision(), wait);
    if (!offeredRoot) {
        co_return offeredRoot.error();
    }
    if (!this->follower.isNewer(offeredRoot.value().revision) || offeredRoot.value().text.empty()) {
        co_return offeredRoot.value().revision;
    }
    const Result<ConfigurationRoot> root = parseRoot(offeredRoot.value().text);
    if (!root) {
        co_return root.error();
    }
    PartTexts parts;
    const Result<void> read = co_await this->readPeerParts(root.value().snapshot, parts);
    if (!read) {
        co_return read.error();
    }
    const Result<void> applied = this->activate(root.value(), offeredRoot.value().text, parts);
    if (!applied) {
        co_return applied.error();
    }
    co_return root.value().revision;
}

asio::awaitable<Result<void>> ConfigurationUpdater::readPeerParts(
    Snapshot snapshot, PartTexts &parts)
{
    for (;;) {
        const auto missing = missingParts(snapshot, parts, this->currentConfiguration.get());
        if (missing.empty()) {
            co_return boost::outcome_v2::success();
        }
        ++this->peerCalls;
        Result<std::vector<PeerPart>> response = co_await this->connection->fetchParts(missing);
        if (!response) {
            co_return response.error();
        }
        if (response.value().empty()) {
            co_return Error{ ResultCode::StoreKeyMissing,
                "the peer lacks a part of the configuration" };
        }
        for (PeerPart &part : response.value()) {
            parts[part.id] = std::make_shared<const std::string>(std::move(part.text));
        }
    }
}

Result<void> ConfigurationUpdater::activate(
    const ConfigurationRoot &root, const std::string &text, const PartTexts &parts)
{
    // A fetch from the other source may have finished while the parts were read.
    if (!this->follower.isNewer(root.revision)) {
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(Configuration next,
        Configuration::assemble(
            root.revision, root.snapshot, parts, this->currentConfiguration.get()));
    this->currentConfiguration = std::make_shared<const Configuration>(std::move(next));
    this->rootText = text;
    this->follower.activate(root.revision);
    LOG4CPLUS_INFO(
        logger("entry.config"), "Configuration revision " << root.revision << " is in force.");
    this->onChanged(this->currentConfiguration);
    this->server.rootChanged();
    return boost::outcome_v2::success();
}

} // namespace wigeonsill
