/// \file targetdirectory.cpp
/// The targets that the platform lists, and the order in which an entry tries them.
#include "wigeonsill/gateway.h"

#include <algorithm>

namespace wigeonsill {

void TargetDirectory::replace(std::vector<Target> listed, bool mayHaveLapsed)
{
    if (!mayHaveLapsed) {
        this->shown.clear();
    }
    std::map<std::string, Target, std::less<>> next;
    for (Target &target : listed) {
        std::string id = target.id;
        if (mayHaveLapsed) {
            this->shown.insert(id);
        }
        next.insert_or_assign(std::move(id), std::move(target));
    }
    if (mayHaveLapsed) {
        for (const auto &[id, target] : this->targets) {
            const bool addressTaken = std::any_of(next.begin(), next.end(),
                [&target](const auto &row) { return row.second.address == target.address; });
            if (!addressTaken && !this->shown.contains(id)) {
                next.try_emplace(id, target);
            }
        }
    }
    this->targets = std::move(next);
    std::erase_if(this->replaced, [this](const auto &row) {
        const Target *target = this->find(row.first);
        return target == nullptr || target->address != row.second;
    });
    this->findOutdated();
}

void TargetDirectory::findOutdated()
{
    std::map<std::string_view, const Target *> youngest;
    this->outdated.clear();
    for (const auto &[id, target] : this->targets) {
        if (this->replaced.contains(id)) {
            continue;
        }
        const Target *&known = youngest[target.address];
        if (known == nullptr) {
            known = &target;
            continue;
        }
        const bool younger = target.startedMs > known->startedMs;
        this->outdated.insert(younger ? known->id : id);
        known = younger ? &target : known;
    }
}

void TargetDirectory::replacedAtItsAddress(const std::string &id)
{
    if (const Target *target = this->find(id)) {
        this->replaced[id] = target->address;
        this->findOutdated();
    }
}

std::vector<const Target *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const Target *> result;
    for (const auto &[id, target] : this->targets) {
        const bool present = !this->replaced.contains(id) && !this->outdated.contains(id);
        if (target.service == service && !target.leaving && present) {
            result.push_back(&target);
        }
    }
    return result;
}

const Target *TargetDirectory::find(std::string_view id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

namespace {

/// Entries that lapsed are back within about two seconds of the store's return.
constexpr Duration returnTime = seconds(2);
/// An entry lapses after three silent heartbeats, the first up to one heartbeat old.
constexpr int heartbeatsToLapse = 2;
/// Part of the expected growth of the revision that shows that the targets' heartbeats arrived.
constexpr double servedPart = 0.6;

} // namespace

void OutageJudge::listed(std::uint64_t revision, std::size_t entries, TimePoint now)
{
    if (this->lastListed) {
        const Duration gap = now - *this->lastListed;
        const double beats = static_cast<double>(gap.count())
            / static_cast<double>(std::max<Duration>(this->heartbeat, milliseconds(1)).count());
        const double expected = beats * static_cast<double>(this->lastEntries);
        const double grown = static_cast<double>(revision - this->lastRevision);
        if (beats > heartbeatsToLapse && grown < servedPart * expected) {
            this->lapsedUntil = now + returnTime;
        }
    }
    this->lastRevision = revision;
    this->lastEntries = entries;
    this->lastListed = now;
}

namespace {

/// Milliseconds that a request to another failure domain loses against one to the own: the round
/// trip of 1.8 ms, and the price of its bytes.
constexpr double otherDomainMs = 25;
/// The same between regions: a round trip of 16 ms on a narrow link.
constexpr double otherRegionMs = 40;
/// Added for a target that failed lately, so that it is chosen when all others are full.
constexpr double failingMs = 2'000;
/// Added where the agent is silent and the target's load is not known.
constexpr double silentMs = 300;
/// Spread of the random part, so that entries with the same view do not choose the same target.
constexpr double spreadMs = 60;
/// A load older than this says nothing of the present queue. Streams last about a second.
constexpr Duration usefulLoadAge = milliseconds(1'000);
/// Share of the decode time that counts against a slow target: its slot is held longer.
constexpr double decodeWeight = 0.03;
/// An answer should take at most this part of its caller's time: estimates of the output are right
/// at the median only.
constexpr double answerShare = 0.5;
/// Gain of a target that has read the same session's prompt before.
constexpr double prefixGainMs = 15;

double costOf(const TargetView &view, const RequestFacts &request, const EntryPlace &place)
{
    double cost = 0;
    if (view.target->region != place.region) {
        cost += otherRegionMs;
    } else if (view.target->failureDomain != place.failureDomain) {
        cost += otherDomainMs;
    }
    cost += view.failing ? failingMs : 0;
    cost += view.agentSilent ? silentMs : 0;
    cost -= view.holdsPrefix ? prefixGainMs : 0;
    if (view.load && view.loadAge < usefulLoadAge) {
        cost += static_cast<double>(view.load->startDelay.count()) / 1'000;
    }
    if (view.load && view.load->prefillPerMs > 0) {
        cost += request.promptTokens / view.load->prefillPerMs;
    }
    if (view.load && view.load->decodePerMs > 0) {
        const double decodeMs = request.likelyOutput() / view.load->decodePerMs;
        cost += decodeWeight * decodeMs;
        if (request.deadline) {
            const double timeMs = static_cast<double>(request.deadline->count()) / 1'000;
            cost += std::max(decodeMs - answerShare * timeMs, 0.0);
        }
    }
    // Without a load the entry's own share of the slots is the best sign of a queue.
    const double perRequestMs = view.load ? 4 : 30;
    return cost + perRequestMs * view.ownRequests;
}

} // namespace

std::vector<const TargetView *> rankTargets(const std::vector<TargetView> &views,
    const RequestFacts &request, const EntryPlace &place, std::uint64_t draw)
{
    std::vector<std::pair<double, const TargetView *>> scored;
    scored.reserve(views.size());
    for (const TargetView &view : views) {
        const std::uint64_t hash = stableHash(view.target->id, draw);
        const double random = static_cast<double>(hash % 1'024) / 1'024 * spreadMs;
        scored.emplace_back(costOf(view, request, place) + random, &view);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<const TargetView *> result;
    result.reserve(scored.size());
    for (const auto &[cost, view] : scored) {
        result.push_back(view);
    }
    return result;
}

} // namespace wigeonsill
