/// \file configurationfollower.cpp
/// Where a process gets the configuration from.
#include "wigeonsill/config.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace wigeonsill {

namespace {

/// Orders names by their hash under a seed, which gives every region another order.
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

void ConfigurationFollower::setMembers(std::vector<ConfigurationMember> present)
{
    std::erase_if(present, [this](const ConfigurationMember &member) {
        return member.instance == this->self.instance;
    });
    present.push_back(this->self);
    this->members = std::move(present);
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

/// Watchers of the own region come first, then those of the others, then everyone else; suspects
/// are asked only when there is nobody else, the one suspected longest ago first.
std::string ConfigurationFollower::choosePeer(TimePoint now) const
{
    const auto trusted = this->trustedMembers(now);
    std::set<std::string> watchers;
    for (const std::string &region : this->regions()) {
        for (std::string &name : watchersOf(trusted, region, this->limits.watchersPerRegion)) {
            watchers.insert(std::move(name));
        }
    }
    std::string best;
    std::tuple<int, std::uint64_t> bestRank;
    for (const ConfigurationMember &member : this->members) {
        if (member.instance == this->self.instance) {
            continue;
        }
        std::tuple<int, std::uint64_t> rank{ 3, 0 };
        const std::uint64_t order = stableHash(member.instance, stableHash(this->self.instance));
        if (this->isSuspect(now, member.instance)) {
            const auto until = this->suspectUntil.at(member.instance).time_since_epoch().count();
            rank = { 3, static_cast<std::uint64_t>(until) };
        } else {
            const bool watches = watchers.contains(member.instance);
            const bool isNear = member.region == this->self.region;
            rank = { watches ? (isNear ? 0 : 1) : 2, order };
        }
        if (best.empty() || rank < bestRank) {
            best = member.instance;
            bestRank = rank;
        }
    }
    return best;
}

void ConfigurationFollower::revisionHeard(TimePoint now, std::uint64_t heardRevision)
{
    if (heardRevision <= this->heard) {
        return;
    }
    this->heard = heardRevision;
    if (this->isNewer(heardRevision)) {
        this->peer.retryAt = std::min(this->peer.retryAt, now);
    }
}

ConfigurationFollower::Lane &ConfigurationFollower::laneOf(RootSource source)
{
    return source == RootSource::Store ? this->store : this->peer;
}

bool ConfigurationFollower::mayAskStore(TimePoint now) const
{
    if (this->isWatcher(now)) {
        return true;
    }
    const TimePoint since = this->lastPeerContact.value_or(*this->startedAt);
    return now - since >= this->limits.peerSilence;
}

std::vector<FetchRoot> ConfigurationFollower::tick(TimePoint now)
{
    if (!this->startedAt) {
        this->startedAt = now;
    }
    std::vector<FetchRoot> fetches;
    if (!this->store.isOpen && now >= this->store.retryAt && this->mayAskStore(now)) {
        this->store.isOpen = true;
        // After a failure the answer must come at once: it tells that the store is back.
        const bool holds = this->isWatcher(now) && this->store.retry == Duration::zero();
        fetches.push_back(
            { RootSource::Store, {}, holds ? this->limits.storeWait : Duration::zero() });
    }
    if (!this->peer.isOpen && now >= this->peer.retryAt && this->members.size() > 1) {
        this->peer.isOpen = true;
        this->askedPeer = this->choosePeer(now);
        const bool isBehind = this->heard > this->current;
        fetches.push_back({ RootSource::Peer, this->askedPeer,
            isBehind ? Duration::zero() : this->limits.peerWait });
    }
    return fetches;
}

void ConfigurationFollower::backOff(TimePoint now, Lane &lane)
{
    lane.retry = lane.retry == Duration::zero()
        ? this->limits.firstRetry
        : std::min(lane.retry * 2, this->limits.longestRetry);
    // Half to whole of the interval, so that many processes do not return at the same moment.
    std::uniform_int_distribution<Duration::rep> pick(lane.retry.count() / 2, lane.retry.count());
    lane.retryAt = now + Duration(pick(this->random));
}

void ConfigurationFollower::fetchEnded(
    TimePoint now, RootSource source, std::optional<std::uint64_t> found)
{
    Lane &lane = this->laneOf(source);
    lane.isOpen = false;
    const bool isPeer = source == RootSource::Peer;
    if (found) {
        this->lastContact = now;
        this->heard = std::max(this->heard, *found);
    }
    if (found && *found >= this->heard) {
        lane.retry = Duration::zero();
        lane.retryAt = now;
        // A peer without any configuration must not keep this process from asking the store.
        if (isPeer && *found > 0) {
            this->lastPeerContact = now;
        }
        if (!isPeer && !this->isWatcher(now)) {
            lane.retryAt = now + this->limits.longestRetry;
        }
        return;
    }
    if (isPeer) {
        this->suspectUntil[this->askedPeer] = now + this->limits.suspicion;
    }
    this->backOff(now, lane);
}

void ConfigurationFollower::putInForce(std::uint64_t newRevision)
{
    this->current = std::max(this->current, newRevision);
    this->heard = std::max(this->heard, newRevision);
}

bool ConfigurationFollower::isCutOff(TimePoint now) const
{
    const std::optional<TimePoint> since = this->lastContact ? this->lastContact : this->startedAt;
    return since && now - *since >= this->limits.cutOffAfter;
}

} // namespace wigeonsill
