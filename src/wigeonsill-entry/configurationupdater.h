/// \file configurationupdater.h
/// Keeps the configuration up to date: performs the fetches that ConfigurationFollower decides on
/// and serves the configuration to peers.
#pragma once

#include "wigeonsill/daemon.h"
#include "wigeonsill/peer.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

struct ConfigurationUpdaterSettings
{
    ConfigurationMember self;
    boost::asio::ip::tcp::endpoint listen; ///< Serves the configuration to peers.
    /// Seed peers, used while the instance list names no peer.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
};

/// Reads the settings object "peers" with the keys "listen" and "seeds".
ConfigurationUpdaterSettings readConfigurationUpdaterSettings(
    SettingsReader reader, ConfigurationMember self);

/// Keeps the newest configuration that the store or a peer offers, and serves it to peers.
/// Not thread-safe.
class ConfigurationUpdater : private ConfigurationSource
{
public:
    using ConfigurationPointer = std::shared_ptr<const Configuration>;

    /// \param onChanged Called with each configuration that comes into force.
    /// \pre store outlives this object.
    ConfigurationUpdater(DaemonContext context, Store &store,
        const ConfigurationUpdaterSettings &settings,
        std::function<void(ConfigurationPointer)> onChanged);
    ~ConfigurationUpdater() override;
    ConfigurationUpdater(const ConfigurationUpdater &) = delete;
    ConfigurationUpdater &operator=(const ConfigurationUpdater &) = delete;

    /// Starts fetching the configuration and serving peers. \pre called once.
    void start();
    /// Takes the peers from the current instance list, or uses the seed peers if it has none.
    void updateInstances(const std::vector<ListedInstance> &instances);
    /// Informs the updater that a message named a revision that is in force at some process.
    void revisionReceived(std::uint64_t revision);
    boost::json::object dumpState() const;
    /// Port on which peers are served.
    std::uint16_t port() const;

private:
    /// The revision that a peer reported when it called.
    struct PeerReport
    {
        std::uint64_t revision = 0;
        TimePoint reportedAt;
    };

    PeerRoot root() const override;
    std::shared_ptr<const std::string> part(const std::string &id) const override;
    void recordCallerRevision(const std::string &instance, std::uint64_t revision) override;
    std::vector<RevisionReport> reports() const override;

    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> fetchFromStore(Duration wait);
    boost::asio::awaitable<void> fetchFromPeer(std::string name, Duration wait);
    /// Connects to the peer unless the open connection leads to it.
    boost::asio::awaitable<Result<void>> connectTo(std::string name);
    /// Each fetches the root, puts it in force if it is newer, and returns the revision of the
    /// source. \param wait Maximum wait of the source for a newer root.
    boost::asio::awaitable<Result<std::uint64_t>> applyStoreRoot(Duration wait);
    boost::asio::awaitable<Result<std::uint64_t>> applyPeerRoot(std::string name, Duration wait);
    boost::asio::awaitable<Result<void>> readPeerParts(Snapshot snapshot, PartTexts &parts);
    Result<void> activate(
        const ConfigurationRoot &root, const std::string &text, const PartTexts &parts);
    void useSeedPeers();

    DaemonContext context;
    Store &store;
    ConfigurationUpdaterSettings settings;
    std::function<void(ConfigurationPointer)> onChanged;
    ConfigurationFollower follower;
    RpcLoop rpcLoop;
    PeerServer server;
    std::unique_ptr<PeerConnection> connection;
    std::string connectedPeer;
    std::map<std::string, boost::asio::ip::tcp::endpoint> endpoints; ///< Peers by name.
    std::map<std::string, PeerReport> peerReports; ///< By the name of the peer.
    ConfigurationPointer currentConfiguration;
    std::string rootText;
    std::uint64_t storeVersion = 0; ///< Version of the root key at its last successful read.
    std::uint64_t storeCalls = 0;
    std::uint64_t peerCalls = 0;
};

} // namespace wigeonsill
