/// \file configurationfollower.cpp
/// Selection of the source from which a process fetches the configuration.
#include "wigeonsill/config.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace wigeonsill {

namespace {

/// Sorts names by their seeded hash (rendezvous hashing), so that the order differs by region.
std::vector<std::string> rendezvousOrder(std::vector<std::string> names, std::uint64_t seed)
{
    std::sort(
        names.begin(), names.end(), [seed](const std::string &left, const std::string &right) {
            const std::uint64_t leftRank = stableHash(left, seed);
            const std::uint64_t rightRank = stableHash(right, seed);
            return leftRank != rightRank ? leftRank < rightRank : left < right;
        });
    return names;
}

} // namespace

std::vector<std::string> watchersOf(
    const std::vector<ConfigurationMember> &members, const std::string &region, std::size_t count)
{
    std::vector<std::string> names;
    for (const ConfigurationMember &member : members) {
        if (member.region == region) {
            names.push_back(member.instance);
        }
    }
    names = rendezvousOrder(std::move(names), stableHash(region));
    names.resize(std::min(names.size(), count));
    return names;
}

ConfigurationFollower::ConfigurationFollower(
    ConfigurationMember member, const FollowerLimits &followerLimits, std::uint64_t seed)
    : self(std::move(member))
    , limits(followerLimits)
    , random(seed)
    , members({ this->self })
{
}

void ConfigurationFollower::setMembers(std::vector<ConfigurationMember> newMembers)
{
    std::erase_if(newMembers, [this](const ConfigurationMember &member) {
        return member.instance == this->self.instance;
    });
    newMembers.push_back(this->self);
    this->members = std::move(newMembers);
}

bool ConfigurationFollower::isSuspect(TimePoint now, const std::string &instance) const
{
    const auto found = this->suspectUntil.find(instance);
    return found != this->suspectUntil.end() && now < found->second;
}

std::vector<ConfigurationMember> ConfigurationFollower::trustedMembers(TimePoint now) const
{
    std::vector<ConfigurationMember> trusted;
    for (const ConfigurationMember &member : this->members) {
        if (!this->isSuspect(now, member.instance)) {
            trusted.push_back(member);
        }
    }
    return trusted;
}

bool ConfigurationFollower::isWatcher(TimePoint now) const
{
    const auto own
        = watchersOf(this->trustedMembers(now), this->self.region, this->limits.watchersPerRegion);
    return std::find(own.begin(), own.end(), this->self.instance) != own.end();
}

std::set<std::string> ConfigurationFollower::regions() const
{
    std::set<std::string> result;
    for (const ConfigurationMember &member : this->members) {
        result.insert(member.region);
    }
    return result;
}

/// Order of preference: watchers of the own region, watchers of other regions, other members.
/// Suspects come last, starting with the one whose suspicion ends first.
std::string ConfigurationFollower::choosePeer(TimePoint now) const
{
    const auto trusted = this->trustedMembers(now);
    std::set<std::string> watchers;
    for (const std::string &region : this->regions()) {
        for (std::string &name : watchersOf(trusted, region, this->limits.watchersPerRegion)) {
            watchers.insert(std::move(name));
        }
    }
    std::string bestPeer;
    std::tuple<int, std::uint64_t> bestRank;
    for (const ConfigurationMember &member : this->members) {
        if (member.instance == this->self.instance) {
            continue;
        }
        std::tuple<int, std::uint64_t> rank{ 3, 0 };
        const std::uint64_t tieBreak = stableHash(member.instance, stableHash(this->self.instance));
        if (this->isSuspect(now, member.instance)) {
            const auto until = this->suspectUntil.at(member.instance).time_since_epoch().count();
            rank = { 3, static_cast<std::uint64_t>(until) };
        } else {
            const bool isPeerWatcher = watchers.contains(member.instance);
            const bool isSameRegion = member.region == this->self.region;
            rank = { isPeerWatcher ? (isSameRegion ? 0 : 1) : 2, tieBreak };
        }
        if (bestPeer.empty() || rank < bestRank) {
            bestPeer = member.instance;
            bestRank = rank;
        }
    }
    return bestPeer;
}

void ConfigurationFollower::revisionReceived(TimePoint now, std::uint64_t reportedRevision)
{
    if (reportedRevision <= this->highestKnown) {
        return;
    }
    this->highestKnown = reportedRevision;
    if (this->isNewer(reportedRevision)) {
        this->peer.nextFetchAt = std::min(this->peer.nextFetchAt, now);
    }
}

ConfigurationFollower::SourceState &ConfigurationFollower::stateOf(RootSource source)
{
    return source == RootSource::Store ? this->store : this->peer;
}

bool ConfigurationFollower::mayFetchFromStore(TimePoint now) const
{
    if (this->isWatcher(now)) {
        return true;
    }
    const TimePoint since = this->lastPeerContact.value_or(*this->firstTickAt);
    return now - since >= this->limits.peerTimeout;
}

std::vector<RootFetch> ConfigurationFollower::tick(TimePoint now)
{
    if (!this->firstTickAt) {
        this->firstTickAt = now;
    }
    std::vector<RootFetch> fetches;
    if (!this->store.isFetching && now >= this->store.nextFetchAt && this->mayFetchFromStore(now)) {
        this->store.isFetching = true;
        // After a failure the store must answer immediately, so that its recovery is detected.
        const bool isLongPoll = this->isWatcher(now) && this->store.retryDelay == Duration::zero();
        fetches.push_back({ RootSource::Store, {},
            isLongPoll ? this->limits.storeWatchTimeout : Duration::zero() });
    }
    if (!this->peer.isFetching && now >= this->peer.nextFetchAt && this->members.size() > 1) {
        this->peer.isFetching = true;
        this->fetchedPeer = this->choosePeer(now);
        const bool isBehind = this->highestKnown > this->currentRevision;
        fetches.push_back({ RootSource::Peer, this->fetchedPeer,
            isBehind ? Duration::zero() : this->limits.peerPollTimeout });
    }
    return fetches;
}

void ConfigurationFollower::backOff(TimePoint now, SourceState &state)
{
    state.retryDelay = state.retryDelay == Duration::zero()
        ? this->limits.initialRetryDelay
        : std::min(state.retryDelay * 2, this->limits.maximumRetryDelay);
    // Random delay between half and all of the interval, so that processes do not retry in step.
    std::uniform_int_distribution<Duration::rep> distribution(
        state.retryDelay.count() / 2, state.retryDelay.count());
    state.nextFetchAt = now + Duration(distribution(this->random));
}

void ConfigurationFollower::fetchEnded(
    TimePoint now, RootSource source, std::optional<std::uint64_t> fetchedRevision)
{
    SourceState &state = this->stateOf(source);
    state.isFetching = false;
    const bool isPeer = source == RootSource::Peer;
    if (fetchedRevision) {
        this->lastContact = now;
        this->highestKnown = std::max(this->highestKnown, *fetchedRevision);
    }
    if (fetchedRevision && *fetchedRevision >= this->highestKnown) {
        state.retryDelay = Duration::zero();
        state.nextFetchAt = now;
        // Revision 0 means that the peer has no configuration. It does not count as a contact,
        // which would prevent this process from asking the store.
        if (isPeer && *fetchedRevision > 0) {
            this->lastPeerContact = now;
        }
        if (!isPeer && !this->isWatcher(now)) {
            state.nextFetchAt = now + this->limits.maximumRetryDelay;
        }
        return;
    }
    if (isPeer) {
        this->suspectUntil[this->fetchedPeer] = now + this->limits.suspicionPeriod;
    }
    this->backOff(now, state);
}

void ConfigurationFollower::activate(std::uint64_t newRevision)
{
    this->currentRevision = std::max(this->currentRevision, newRevision);
    this->highestKnown = std::max(this->highestKnown, newRevision);
}

bool ConfigurationFollower::isCutOff(TimePoint now) const
{
    const std::optional<TimePoint> since
        = this->lastContact ? this->lastContact : this->firstTickAt;
    return since && now - *since >= this->limits.cutOffTimeout;
}

} // namespace wigeonsill
