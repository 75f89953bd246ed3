/// \file configurationfeed.h
/// Follows the configuration: carries out what the follower decides, and hands the result to peers.
#pragma once

#include "wigeonsill/daemon.h"
#include "wigeonsill/peer.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

struct ConfigurationFeedSettings
{
    ConfigurationMember self;
    boost::asio::ip::tcp::endpoint listen; ///< For peers.
    std::vector<boost::asio::ip::tcp::endpoint> seeds; ///< Asked while the instance list is empty.
};

/// Reads the object "peers": listen, seeds.
ConfigurationFeedSettings readConfigurationFeed(SettingsReader reader, ConfigurationMember self);

/// Keeps the newest configuration that can be had. Not thread-safe.
class ConfigurationFeed : private PeerSource
{
public:
    using ConfigurationPointer = std::shared_ptr<const Configuration>;

    /// \param whenChanged Called with each configuration that comes in force.
    ConfigurationFeed(DaemonContext context, Store &store,
        const ConfigurationFeedSettings &settings,
        std::function<void(ConfigurationPointer)> whenChanged);
    ~ConfigurationFeed() override;
    ConfigurationFeed(const ConfigurationFeed &) = delete;
    ConfigurationFeed &operator=(const ConfigurationFeed &) = delete;

    /// \pre called once.
    void start();
    void update(const std::vector<ListedInstance> &instances);
    /// A message named a revision that is in force somewhere.
    void revisionHeard(std::uint64_t revision);
    boost::json::object dumpState() const;
    std::uint16_t port() const;

private:
    struct Caller
    {
        std::uint64_t revision = 0;
        TimePoint at;
    };

    PeerRoot root() const override;
    std::shared_ptr<const std::string> part(const std::string &id) const override;
    void callerReported(const std::string &instance, std::uint64_t revision) override;
    std::vector<RevisionReport> reports() const override;

    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> fetchFromStore(Duration wait);
    boost::asio::awaitable<void> fetchFromPeer(std::string name, Duration wait);
    /// Connects unless the connection to that peer is open.
    boost::asio::awaitable<Result<void>> connectTo(std::string name);
    boost::asio::awaitable<Result<std::uint64_t>> takeStoreRoot(Duration wait);
    boost::asio::awaitable<Result<std::uint64_t>> takePeerRoot(std::string name, Duration wait);
    boost::asio::awaitable<Result<void>> readPeerParts(Snapshot snapshot, PartTexts &parts);
    Result<void> putInForce(
        const ConfigurationRoot &root, const std::string &text, const PartTexts &parts);
    void setSeeds();

    DaemonContext context;
    Store &store;
    ConfigurationFeedSettings settings;
    std::function<void(ConfigurationPointer)> whenChanged;
    ConfigurationFollower follower;
    RpcLoop loop;
    PeerServer server;
    std::unique_ptr<PeerConnection> connection;
    std::string connectedPeer;
    std::map<std::string, boost::asio::ip::tcp::endpoint> endpoints; ///< Of peers, by name.
    std::map<std::string, Caller> callers;
    ConfigurationPointer current;
    std::string rootText;
    std::uint64_t storeVersion = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t peerCalls = 0;
};

} // namespace wigeonsill
