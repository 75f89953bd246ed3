/// \file quarantine.cpp
/// Which requests and prompt parts are held back.
#include "wigeonsill/quarantine.h"

#include <algorithm>
#include <iterator>

namespace wigeonsill {

namespace {

/// A larger set of parts is preferred to a smaller one of its parts if it explains nearly as many
/// ends: fewer sound requests fall under it.
constexpr double nearlyAsMany = 0.75;

/// Whether all parts of a sorted set are in another one.
bool isSubset(const PartSet &inner, const PartSet &outer)
{
    return std::includes(outer.begin(), outer.end(), inner.begin(), inner.end());
}

PartSet intersection(const PartSet &left, const PartSet &right)
{
    PartSet result;
    std::set_intersection(
        left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
    return result;
}

std::uint64_t hashOf(const PartSet &parts, std::uint64_t seed = 0)
{
    return stableHash({ reinterpret_cast<const char *>(parts.data()),
                          parts.size() * sizeof(PartSet::value_type) },
        seed);
}

std::uint64_t hashOf(const CrashReport &report)
{
    const PartSet marks = { report.target, report.request, report.identity,
        report.evidence ? 1U : 0U, report.released ? 1U : 0U };
    return hashOf(report.parts, hashOf(marks));
}

/// Clears what an answer speaks for. Returns whether anything was cleared.
bool clearAnswered(CrashReport &report, const RequestTraits &answered)
{
    const bool isSame = answered.identity != 0 && report.identity == answered.identity;
    report.identity = isSame ? 0 : report.identity;
    const auto removed = std::erase_if(report.parts, [&answered](std::uint64_t part) {
        return std::binary_search(answered.parts.begin(), answered.parts.end(), part);
    });
    return isSame || removed > 0;
}

} // namespace

std::uint64_t requestIdentity(std::string_view method, std::string_view target,
    std::string_view organisation, std::string_view body)
{
    /// Keeps identities apart from other uses of the same hash.
    constexpr std::uint64_t identityKey = 0x6964656e74697479;
    std::uint64_t hash = identityKey;
    for (const std::string_view text : { method, target, organisation, body }) {
        hash = stableHash(text, hash);
    }
    return hash != 0 ? hash : identityKey;
}

struct Quarantine::Candidate
{
    std::uint64_t identity = 0; ///< Of all requests; 0 if it is held by its parts.
    PartSet parts;
    std::vector<const CrashReport *>
        reports; ///< Of the identity, or whose requests have all parts.
    std::map<std::uint64_t, TimePoint> endedAt; ///< By target.
    std::set<std::uint64_t> attempts; ///< Hashes of ids.
    /// Targets that ended under each different request.
    std::map<std::uint64_t, std::set<std::uint64_t>> targetsByRequest;
    std::size_t moments = 0;

    std::size_t mostTargetsOfOneRequest() const
    {
        std::size_t most = 0;
        for (const auto &[request, targets] : this->targetsByRequest) {
            most = std::max(most, targets.size());
        }
        return most;
    }

    /// Whether it is held rather than another one.
    bool isStrongerThan(const Candidate &other) const
    {
        const auto ends = static_cast<double>(this->endedAt.size());
        const auto otherEnds = static_cast<double>(other.endedAt.size());
        if (this->parts.size() > other.parts.size() && isSubset(other.parts, this->parts)) {
            return ends >= nearlyAsMany * otherEnds;
        }
        if (other.parts.size() > this->parts.size() && isSubset(this->parts, other.parts)) {
            return otherEnds < nearlyAsMany * ends;
        }
        return ends != otherEnds ? ends > otherEnds : this->parts < other.parts;
    }
};

void Quarantine::recordAnswered(const RequestTraits &request, TimePoint now)
{
    this->answeredParts.record(request.organisation, request.parts, now);
    if (request.identity != 0) {
        this->answeredIdentities.record(request.organisation, { request.identity }, now);
    }
    this->firstAnswerAt = this->firstAnswerAt.value_or(now);
    bool changed = false;
    for (auto &[key, report] : this->byKey) {
        changed = clearAnswered(report, request) || changed;
    }
    if (changed) {
        this->update(now);
    }
}

bool Quarantine::mergeReport(const CrashReport &received, TimePoint now)
{
    CrashReport report = received;
    RequestTraits traits
        = this->unanswered({ report.organisation, report.identity, std::move(report.parts) }, now);
    report.identity = traits.identity;
    report.parts = std::move(traits.parts);
    report.parts.resize(std::min(report.parts.size(), CrashReport::maximumParts));
    const auto known = this->byKey.find({ report.target, report.request });
    if (known == this->byKey.end()) {
        // Without parts, it takes them from the copies of processes that don't know the answers.
        const bool counts
            = report.evidence || report.released || now - report.at <= this->limits.reportTime;
        if (counts) {
            this->byKey.emplace(Key(report.target, report.request), std::move(report));
        }
        return counts;
    }
    const CrashReport before = known->second;
    CrashReport &merged = known->second;
    merged.parts = intersection(merged.parts, report.parts);
    merged.identity = merged.identity == report.identity ? merged.identity : 0;
    merged.at = report.released ? std::max(merged.at, report.at) : std::min(merged.at, report.at);
    merged.evidence = merged.evidence || report.evidence;
    merged.released = merged.released || report.released;
    return merged != before;
}

bool Quarantine::merge(const std::vector<CrashReport> &received, TimePoint now)
{
    bool changed = false;
    std::set<std::uint64_t> organisations;
    for (const CrashReport &report : received) {
        if (this->mergeReport(report, now)) {
            changed = true;
            organisations.insert(report.organisation);
        }
    }
    for (const std::uint64_t organisation : organisations) {
        this->limitReports(organisation);
    }
    if (changed) {
        this->update(now);
    }
    return changed;
}

void Quarantine::limitReports(std::uint64_t organisation)
{
    std::vector<const CrashReport *> own;
    std::set<std::uint64_t> known;
    std::map<std::uint64_t, TimePoint> lastReportOf; ///< Of organisations without evidence.
    for (const auto &[key, report] : this->byKey) {
        known.insert(report.organisation);
        TimePoint &last = lastReportOf[report.organisation];
        last = std::max(last, report.at);
        if (report.organisation == organisation) {
            own.push_back(&report);
        }
    }
    for (const auto &[key, report] : this->byKey) {
        if (report.evidence || report.released) {
            lastReportOf.erase(report.organisation);
        }
    }
    if (known.size() > this->limits.maximumOrganisations) {
        // Nobody's evidence gives way to others; at the bound, the newcomer's reports do.
        const auto oldest = std::min_element(lastReportOf.begin(), lastReportOf.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        const std::uint64_t dropped = oldest == lastReportOf.end() ? organisation : oldest->first;
        std::erase_if(this->byKey,
            [dropped](const auto &record) { return record.second.organisation == dropped; });
        return;
    }
    if (own.size() <= this->limits.reportsPerOrganisation) {
        return;
    }
    std::sort(own.begin(), own.end(), [](const CrashReport *left, const CrashReport *right) {
        return left->evidence != right->evidence ? right->evidence : left->at < right->at;
    });
    own.resize(own.size() - this->limits.reportsPerOrganisation);
    std::vector<Key> dropped;
    dropped.reserve(own.size());
    for (const CrashReport *report : own) {
        dropped.emplace_back(report->target, report->request);
    }
    for (const Key &key : dropped) {
        this->byKey.erase(key);
    }
}

void Quarantine::expire(TimePoint now)
{
    const std::size_t removed = std::erase_if(this->byKey, [this, now](const auto &record) {
        const CrashReport &report = record.second;
        const Duration age = now - report.at;
        return report.released
            ? age > this->limits.releaseTime
            : !(report.evidence && (report.identity != 0 || !report.parts.empty()))
                && age > this->limits.reportTime;
    });
    if (removed > 0 || this->learned != this->hasLearned(now)) {
        this->update(now);
    }
}

bool Quarantine::release(std::uint64_t holdId, TimePoint now)
{
    const auto hold = std::find_if(this->currentHolds.begin(), this->currentHolds.end(),
        [holdId](const Hold &record) { return record.id == holdId; });
    if (hold == this->currentHolds.end()) {
        return false;
    }
    const std::uint64_t identity = hold->identity;
    const PartSet parts = hold->parts;
    for (auto &[key, report] : this->byKey) {
        if (identity != 0 ? report.identity == identity : isSubset(parts, report.parts)) {
            report.identity = 0;
            report.parts.clear();
            report.released = true;
            report.at = now;
        }
    }
    this->update(now);
    return true;
}

Quarantine::Candidate Quarantine::makeCandidate(std::vector<const CrashReport *> reports) const
{
    Candidate candidate;
    candidate.reports = std::move(reports);
    for (const CrashReport *report : candidate.reports) {
        candidate.parts = report == candidate.reports.front()
            ? report->parts
            : intersection(candidate.parts, report->parts);
        candidate.attempts.insert(report->request);
        const std::uint64_t request = report->identity != 0 ? report->identity : report->request;
        candidate.targetsByRequest[request].insert(report->target);
        const auto [ended, isNew] = candidate.endedAt.emplace(report->target, report->at);
        ended->second = std::min(ended->second, report->at);
    }
    std::vector<TimePoint> times;
    times.reserve(candidate.endedAt.size());
    for (const auto &[target, at] : candidate.endedAt) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::optional<TimePoint> last;
    for (const TimePoint at : times) {
        if (!last || at - *last >= this->limits.momentGap) {
            ++candidate.moments;
            last = at;
        }
    }
    return candidate;
}

bool Quarantine::hasLearned(TimePoint now) const
{
    return this->firstAnswerAt && now - *this->firstAnswerAt >= this->limits.learningTime;
}

bool Quarantine::isEvident(const Candidate &candidate) const
{
    const auto evidence = static_cast<std::size_t>(std::count_if(candidate.reports.begin(),
        candidate.reports.end(), [](const CrashReport *report) { return report->evidence; }));
    return this->learned || evidence >= this->limits.minimumTargets;
}

bool Quarantine::qualifies(const Candidate &candidate) const
{
    const auto ends = static_cast<double>(candidate.endedAt.size());
    return candidate.endedAt.size() >= this->limits.minimumTargets
        && candidate.moments >= this->limits.minimumMoments
        && candidate.targetsByRequest.size() >= this->limits.minimumRequests
        && static_cast<double>(candidate.mostTargetsOfOneRequest())
        <= this->limits.maximumShareOfIdentity * ends
        && this->isEvident(candidate);
}

bool Quarantine::qualifiesByIdentity(const Candidate &candidate) const
{
    return candidate.endedAt.size() >= this->limits.minimumTargets
        && candidate.attempts.size() >= this->limits.minimumRequests && this->isEvident(candidate);
}

std::vector<Quarantine::Candidate> Quarantine::identityCandidates() const
{
    std::map<std::uint64_t, std::vector<const CrashReport *>> byIdentity;
    for (const auto &[key, report] : this->byKey) {
        if (report.identity != 0) {
            byIdentity[report.identity].push_back(&report);
        }
    }
    std::vector<Candidate> result;
    for (auto &[identity, reports] : byIdentity) {
        Candidate candidate = this->makeCandidate(std::move(reports));
        if (this->qualifiesByIdentity(candidate)) {
            candidate.identity = identity;
            candidate.parts.clear();
            result.push_back(std::move(candidate));
        }
    }
    return result;
}

std::optional<Quarantine::Candidate> Quarantine::strongestCandidate(
    const std::vector<const CrashReport *> &unexplained) const
{
    std::set<std::uint64_t> parts;
    for (const CrashReport *report : unexplained) {
        parts.insert(report->parts.begin(), report->parts.end());
    }
    std::optional<Candidate> strongest;
    for (const std::uint64_t part : parts) {
        std::vector<const CrashReport *> withPart;
        std::copy_if(unexplained.begin(), unexplained.end(), std::back_inserter(withPart),
            [part](const CrashReport *report) {
                return std::binary_search(report->parts.begin(), report->parts.end(), part);
            });
        Candidate candidate = this->makeCandidate(std::move(withPart));
        if (this->qualifies(candidate) && (!strongest || candidate.isStrongerThan(*strongest))) {
            strongest = std::move(candidate);
        }
    }
    return strongest;
}

void Quarantine::keepEvidence(const Candidate &candidate)
{
    std::vector<const CrashReport *> oldestFirst = candidate.reports;
    std::sort(oldestFirst.begin(), oldestFirst.end(),
        [](const CrashReport *left, const CrashReport *right) { return left->at < right->at; });
    std::size_t kept = 0;
    std::map<std::uint64_t, std::size_t> keptOfRequest;
    std::set<std::uint64_t> keptTargets;
    std::optional<TimePoint> last;
    for (const CrashReport *report : oldestFirst) {
        // For an identity, ends of one moment count each.
        const bool isNew = candidate.identity != 0
            ? !keptTargets.contains(report->target)
            : !last || report->at - *last >= this->limits.momentGap;
        const bool adds = isNew && kept < this->limits.evidencePerHold
            && keptOfRequest[report->request] < this->limits.evidencePerRequest;
        if (report->evidence || adds) {
            this->byKey.at({ report->target, report->request }).evidence = true;
            ++keptOfRequest[report->request];
            keptTargets.insert(report->target);
            ++kept;
            last = report->at;
        }
    }
}

Hold Quarantine::makeHold(const Candidate &candidate) const
{
    Hold hold;
    hold.identity = candidate.identity;
    hold.parts = candidate.parts;
    hold.id = hashOf(hold.parts, hold.identity);
    hold.targets = candidate.endedAt.size();
    hold.requests
        = candidate.identity != 0 ? candidate.attempts.size() : candidate.targetsByRequest.size();
    for (const CrashReport *report : candidate.reports) {
        hold.organisations.insert(report->organisation);
        hold.since = std::max(hold.since, report->evidence ? report->at : hold.since);
    }
    return hold;
}

void Quarantine::update(TimePoint now)
{
    this->learned = this->hasLearned(now);
    this->currentHolds.clear();
    for (const Candidate &candidate : this->identityCandidates()) {
        this->keepEvidence(candidate);
        this->currentHolds.push_back(this->makeHold(candidate));
    }
    std::vector<const CrashReport *> unexplained;
    unexplained.reserve(this->byKey.size());
    for (const auto &[key, report] : this->byKey) {
        unexplained.push_back(&report);
    }
    while (const auto candidate = this->strongestCandidate(unexplained)) {
        this->keepEvidence(*candidate);
        this->currentHolds.push_back(this->makeHold(*candidate));
        std::erase_if(unexplained, [&candidate](const CrashReport *report) {
            return candidate->endedAt.contains(report->target);
        });
    }
    this->currentDigest = 0;
    for (const auto &[key, report] : this->byKey) {
        this->currentDigest ^= hashOf(report);
    }
}

const Hold *Quarantine::findHold(const RequestTraits &request) const
{
    for (const Hold &hold : this->currentHolds) {
        if (hold.identity != 0) {
            if (hold.identity == request.identity) {
                return &hold;
            }
            continue;
        }
        const bool concerns
            = hold.organisations.size() > 1 || hold.organisations.contains(request.organisation);
        if (concerns && isSubset(hold.parts, request.parts)) {
            return &hold;
        }
    }
    return nullptr;
}

bool Quarantine::isSuspected(
    std::uint64_t attempt, const RequestTraits &request, TimePoint now) const
{
    const RequestTraits open = this->unanswered(request, now);
    return std::any_of(this->byKey.begin(), this->byKey.end(), [&](const auto &record) {
        const CrashReport &report = record.second;
        const bool isSame = open.identity != 0 && report.identity == open.identity;
        return report.request != attempt
            && (isSame || !intersection(report.parts, open.parts).empty());
    });
}

RequestTraits Quarantine::unanswered(RequestTraits request, TimePoint now) const
{
    std::erase_if(request.parts,
        [this, now](std::uint64_t part) { return this->answeredParts.contains(part, now); });
    if (this->answeredIdentities.contains(request.identity, now)) {
        request.identity = 0;
    }
    return request;
}

std::vector<CrashReport> Quarantine::reports() const
{
    std::vector<CrashReport> result;
    result.reserve(this->byKey.size());
    for (const auto &[key, report] : this->byKey) {
        result.push_back(report);
    }
    return result;
}

void UnconfirmedCrashes::record(const std::string &targetId, CrashReport report, TimePoint now)
{
    this->expire(now);
    if (this->reports.size() < maximumReports) {
        this->reports.emplace(targetId, std::move(report));
    }
}

void UnconfirmedCrashes::expire(TimePoint now)
{
    std::erase_if(this->reports,
        [now](const auto &record) { return now - record.second.at > confirmationTime; });
}

std::vector<CrashReport> UnconfirmedCrashes::confirm(const std::string &targetId, TimePoint now)
{
    std::vector<CrashReport> result;
    const auto [begin, end] = this->reports.equal_range(targetId);
    for (auto record = begin; record != end; ++record) {
        if (now - record->second.at <= confirmationTime) {
            result.push_back(std::move(record->second));
        }
    }
    this->reports.erase(begin, end);
    return result;
}

} // namespace wigeonsill
