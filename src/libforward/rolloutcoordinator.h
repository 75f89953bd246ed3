/// \file rolloutcoordinator.h
/// An entry's part in rollouts: which versions it sends to, its reports to the owner of the
/// rollouts, and the owner's decisions while it is the owner itself.
#pragma once

#include "grantclient.h"
#include "rolloutwriter.h"

#include <random>

namespace wigeonsill {

/// Drives RolloutGate and RolloutOwner with timers and datagrams. Its timer runs only while an
/// order is in progress. Not thread-safe.
class RolloutCoordinator
{
public:
    /// \pre all references outlive this object.
    RolloutCoordinator(boost::asio::io_context &io, Metrics &counters, DecisionLog &decisionLog,
        GrantClient &grantClient, const ForwardEntrySettings &settings);

    void start();
    void setStore(RolloutStore &store) { this->writer.setStore(store); }
    /// Must be called before setTargets() with the list of the same read.
    void apply(const RolloutSnapshot &read);
    /// \param listMayBeIncomplete As ForwardEntry::setTargets.
    void setTargets(const TargetDirectory &targets, bool listMayBeIncomplete);
    /// \param sharing Number of entries among which limits are divided, rather too many than too
    /// few. \param reporting Number of those that are known, this one included.
    void setEntries(int sharing, int reporting);
    /// Called when targets have started or stopped being admitted.
    std::function<void()> onAdmissionChanged;

    /// Whether any order or record is known. Without one every target is admitted.
    bool isRestricting() const { return this->restricting; }
    VersionSide choose(std::string_view service);
    /// Whether the limits allow one more request to the version that is rolled out.
    bool mayExpose(std::string_view service) const;
    /// Whether all new requests go to the version that is rolled out.
    bool isMoving(std::string_view service) const
    {
        return this->gate.stage(service) == RolloutStage::Moving;
    }
    /// Whether a request of a side may be sent to a target.
    bool admits(const Target &target, VersionSide side) const;
    /// Whether no request of any side may be sent to a target.
    bool isExcluded(const Target &target) const;
    VersionSide sideOf(const Target &target) const;
    /// Must be called for each send, and recordLeft() when the request has left the target.
    void recordSent(const Target &target);
    void recordLeft(const Target &target);
    void recordAnswer(const AnswerSample &sample);
    bool isOwner() const { return this->writer.isOwner(); }
    boost::json::array dumpState() const;

private:
    /// What was known of a service when stages were compared last.
    struct KnownStage
    {
        RolloutOrderId order;
        RolloutStage stage = RolloutStage::Canary;
        bool stopped = false;
    };

    /// Whether the end of a rollout is still to be written, for which there has to be an owner.
    bool isOpen() const { return !this->gate.activeServices().empty(); }
    void startTimer();
    void onTimer();
    void sendReports();
    /// Decides as the owner. Does nothing at other entries.
    void actAsOwner();
    /// Logs and publishes stages that have changed.
    void updateStages();
    void logStage(const RolloutOrder &order, const KnownStage &known);
    bool isOwnerSilent() const;
    Duration reportInterval() const;
    void onMessage(const GrantMessage &message, const boost::asio::ip::udp::endpoint &from);
    void onReport(const GrantMessage &message, const boost::asio::ip::udp::endpoint &from);
    void onDirective(const RolloutDirective &directive, const boost::asio::ip::udp::endpoint &from);
    void dropMessage(std::string_view why);

    Metrics &metrics;
    DecisionLog &log;
    GrantClient &grants;
    boost::asio::steady_timer timer;
    std::mt19937_64 random;
    RolloutGate gate;
    RolloutOwner owner;
    RolloutWriter writer;
    RolloutReportAssembly assembly;
    RolloutSnapshot snapshot;
    /// By service, also those that were removed: their versions stay excluded.
    std::map<std::string, RolloutOrder, std::less<>> orders;
    std::optional<boost::asio::ip::udp::endpoint> ownerEndpoint; ///< Of the newest owner's key.
    bool restricting = false;
    bool timerRuns = false;
    bool wasOwner = false;
    int reportingEntries = 1;
    std::map<std::string, RolloutReport, std::less<>> lastReports; ///< By service.
    std::optional<TimePoint> reportedAt;
    /// When the first report was sent that the owner has not answered.
    std::optional<TimePoint> unansweredSince;
    std::map<std::string, Verdict, std::less<>> verdicts; ///< As logged by the owner.
    std::map<std::string, KnownStage, std::less<>> knownStages;
    std::set<std::string, std::less<>> listedServices; ///< With targets, as listed last.
};

} // namespace wigeonsill
