/// \file streamversions.h
/// The versions at which streams began, as far as this entry and the agents know.
#pragma once

#include "grantclient.h"
#include "wigeonsill/versions.h"

namespace wigeonsill {

/// Receives the answer to StreamVersions::ask().
class StreamOriginListener
{
public:
    virtual ~StreamOriginListener() = default;
    /// \param decision That the version is known, or that it can't be.
    virtual void onStreamOrigin(const OriginDecision &decision) = 0;
};

/// Keeps the version of each stream that this entry began, and shares it with some agents, so that
/// another entry, or this one after a restart, can go on with the stream. It is shared also while
/// one version serves: another one may join, and this process may end before it knows of that. Not
/// thread-safe.
class StreamVersions
{
public:
    /// Returns all targets with agents.
    using EngineList = std::function<std::vector<const Target *>()>;

    /// Returns the targets to whose agents all entries report.
    using CollectorList = std::function<std::vector<Target>()>;

    /// \param readListFromNow Reads the list of targets; confirm() follows if that succeeds.
    /// \pre grantClient outlives this object.
    StreamVersions(Metrics &counters, GrantClient &grantClient, EngineList listEngines,
        CollectorList listCollectors, std::function<void()> readListFromNow)
        : metrics(counters)
        , grants(grantClient)
        , engines(std::move(listEngines))
        , collectors(std::move(listCollectors))
        , readList(std::move(readListFromNow))
    {
    }

    /// Sets where the versions are kept as well. \pre originStore outlives this object's use.
    void setStore(StreamOriginStore &originStore);
    /// Sets the number of entries that share the store; a smaller one than 1 counts as 1.
    void setEntries(int count);
    /// Sets the versions that served lately.
    void setRecent(std::set<ServiceVersion> versions);
    /// Shares the streams that are under way again when a service gets several versions, or the
    /// agents that keep the streams of such a service may have changed. Must be called regularly.
    /// \param targetsVersion Changes when the targets do.
    void update(std::uint64_t targetsVersion, TimePoint now);
    /// Records that the first event of a stream was received, or that it goes on.
    void recordBegan(std::uint64_t stream, const ServiceVersion &version, TimePoint now);
    /// Records that a stream goes on, so that those that were told of it don't forget it before it
    /// ends.
    void recordGoesOn(std::uint64_t stream, const ServiceVersion &version, TimePoint now);
    /// Records that a stream has ended whole.
    void recordEnded(std::uint64_t stream);
    /// The version at which a stream began, if this entry saw it.
    std::optional<std::string> find(std::uint64_t stream, TimePoint now) const
    {
        return this->origins.find(stream, now);
    }
    /// Asks the agents that may know a stream, also when they were asked before, and for the list
    /// of targets. The listener is called once, unless stopAsking() is called before.
    /// \param stream 0 when the caller doesn't name it; then only the list can tell.
    void ask(std::uint64_t stream, const std::string &service, StreamOriginListener &listener);
    /// Decides from what is known by now: the listener is called, unless nobody knows the stream.
    void decideNow(StreamOriginListener &listener) { this->endWait(listener, false); }
    /// Waits for no further answer: the listener is called.
    void stopWaiting(StreamOriginListener &listener) { this->endWait(listener, true); }
    void stopAsking(StreamOriginListener &listener) { this->questions.erase(&listener); }
    /// Handles an agent's answer.
    void onAnswer(const GrantMessage &message, const boost::asio::ip::address &agent);
    /// Tells an agent at which version a stream began, if this entry knows it.
    void answerAgent(std::uint64_t stream, const boost::asio::ip::udp::endpoint &agent);
    /// Records that the recent versions were set from answers to calls sent since a moment.
    void confirm(TimePoint calledAt);

private:
    struct Question
    {
        std::uint64_t stream = 0;
        std::string service;
        TimePoint askedAt;
        std::set<boost::asio::ip::address> unanswered;
        OriginEvidence evidence; ///< But for what follows from other members.
    };
    bool hasSeveralVersions(const std::string &service) const;
    void share(std::uint64_t stream, const std::string &version, const OriginKeepers &keepers,
        bool isOnlyVersion);
    /// Sends the question to all agents that may know the stream by the current list.
    void queryAgents(Question &question);
    /// Asks the entries, by the agents that know them, once the agents that keep streams have
    /// answered and don't know this one: they may have started again since.
    void queryEntries(Question &question);
    void endWait(StreamOriginListener &listener, bool isTimeOver);
    OriginDecision decide(const Question &question) const;
    using Listeners = std::vector<StreamOriginListener *>;
    /// Calls those whose questions can be decided.
    void answerDecided(const Listeners &listeners);

    Metrics &metrics;
    GrantClient &grants;
    EngineList engines;
    CollectorList collectors;
    std::function<void()> readList;
    std::set<ServiceVersion> recent;
    bool anySeveralVersions = false; ///< A service has several recent versions.
    std::optional<std::uint64_t> sharedTargetsVersion; ///< When all streams were shared last.
    TimePoint sharedAt;
    StreamOrigins origins;
    StreamOriginStore *store = nullptr;
    std::map<StreamOriginListener *, Question> questions;
};

} // namespace wigeonsill
