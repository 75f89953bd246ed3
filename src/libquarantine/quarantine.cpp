/// \file quarantine.cpp
/// Which prompt parts are held back.
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
    const PartSet marks
        = { report.target, report.request, report.evidence ? 1U : 0U, report.released ? 1U : 0U };
    return hashOf(report.parts, hashOf(marks));
}

} // namespace

struct Quarantine::Candidate
{
    PartSet parts;
    std::vector<const CrashReport *> reports; ///< Whose requests have all the parts.
    std::map<std::uint64_t, TimePoint> endedAt; ///< By target.
    std::set<std::uint64_t> requests;
    std::size_t moments = 0;

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

void Quarantine::recordAnswered(std::uint64_t organisation, const PartSet &parts, TimePoint now)
{
    this->answered.record(organisation, parts, now);
    this->firstAnswerAt = this->firstAnswerAt.value_or(now);
    bool changed = false;
    for (auto &[key, report] : this->byKey) {
        changed = std::erase_if(report.parts,
                      [&parts](std::uint64_t part) {
                          return std::binary_search(parts.begin(), parts.end(), part);
                      })
                > 0
            || changed;
    }
    if (changed) {
        this->update(now);
    }
}

bool Quarantine::mergeReport(const CrashReport &received, TimePoint now)
{
    CrashReport report = received;
    report.parts = this->unansweredParts(std::move(report.parts), now);
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
    std::map<std::uint64_t, TimePoint> lastReportOf;
    for (const auto &[key, report] : this->byKey) {
        TimePoint &last = lastReportOf[report.organisation];
        last = std::max(last, report.at);
        if (report.organisation == organisation) {
            own.push_back(&report);
        }
    }
    if (lastReportOf.size() > this->limits.maximumOrganisations) {
        const auto oldest = std::min_element(lastReportOf.begin(), lastReportOf.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        std::erase_if(this->byKey,
            [oldest](const auto &record) { return record.second.organisation == oldest->first; });
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
            : !(report.evidence && !report.parts.empty()) && age > this->limits.reportTime;
    });
    if (removed > 0 || this->learned != this->hasLearned(now)) {
        this->update(now);
    }
}

bool Quarantine::release(std::uint64_t holdId, TimePoint now)
{
    const auto hold = std::find_if(this->currentHolds.begin(), this->currentHolds.end(),
        [holdId](const PartHold &record) { return record.id == holdId; });
    if (hold == this->currentHolds.end()) {
        return false;
    }
    const PartSet parts = hold->parts;
    for (auto &[key, report] : this->byKey) {
        if (isSubset(parts, report.parts)) {
            report.parts.clear();
            report.released = true;
            report.at = now;
        }
    }
    this->update(now);
    return true;
}

Quarantine::Candidate Quarantine::makeCandidate(
    std::uint64_t part, const std::vector<const CrashReport *> &reports) const
{
    Candidate candidate;
    for (const CrashReport *report : reports) {
        if (!std::binary_search(report->parts.begin(), report->parts.end(), part)) {
            continue;
        }
        candidate.parts = candidate.reports.empty() ? report->parts
                                                    : intersection(candidate.parts, report->parts);
        candidate.reports.push_back(report);
        candidate.requests.insert(report->request);
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

bool Quarantine::qualifies(const Candidate &candidate) const
{
    const auto evidence = static_cast<std::size_t>(std::count_if(candidate.reports.begin(),
        candidate.reports.end(), [](const CrashReport *report) { return report->evidence; }));
    return candidate.endedAt.size() >= this->limits.minimumTargets
        && candidate.moments >= this->limits.minimumMoments
        && candidate.requests.size() >= this->limits.minimumRequests
        && (this->learned || evidence >= this->limits.minimumTargets);
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
        Candidate candidate = this->makeCandidate(part, unexplained);
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
    std::optional<TimePoint> last;
    for (const CrashReport *report : oldestFirst) {
        const bool addsMoment = (!last || report->at - *last >= this->limits.momentGap)
            && kept < this->limits.evidencePerHold
            && keptOfRequest[report->request] < this->limits.evidencePerRequest;
        if (report->evidence || addsMoment) {
            this->byKey.at({ report->target, report->request }).evidence = true;
            ++keptOfRequest[report->request];
            ++kept;
            last = report->at;
        }
    }
}

void Quarantine::update(TimePoint now)
{
    this->learned = this->hasLearned(now);
    this->currentHolds.clear();
    std::vector<const CrashReport *> unexplained;
    unexplained.reserve(this->byKey.size());
    for (const auto &[key, report] : this->byKey) {
        unexplained.push_back(&report);
    }
    while (const auto candidate = this->strongestCandidate(unexplained)) {
        PartHold hold;
        hold.parts = candidate->parts;
        hold.id = hashOf(hold.parts);
        hold.targets = candidate->endedAt.size();
        hold.requests = candidate->requests.size();
        this->keepEvidence(*candidate);
        for (const CrashReport *report : candidate->reports) {
            hold.organisations.insert(report->organisation);
            hold.since = std::max(hold.since, report->evidence ? report->at : hold.since);
        }
        this->currentHolds.push_back(std::move(hold));
        std::erase_if(unexplained, [&candidate](const CrashReport *report) {
            return candidate->endedAt.contains(report->target);
        });
    }
    this->currentDigest = 0;
    for (const auto &[key, report] : this->byKey) {
        this->currentDigest ^= hashOf(report);
    }
}

const PartHold *Quarantine::findHold(std::uint64_t organisation, const PartSet &parts) const
{
    for (const PartHold &hold : this->currentHolds) {
        const bool concerns
            = hold.organisations.size() > 1 || hold.organisations.contains(organisation);
        if (concerns && isSubset(hold.parts, parts)) {
            return &hold;
        }
    }
    return nullptr;
}

bool Quarantine::isSuspected(std::uint64_t request, const PartSet &parts, TimePoint now) const
{
    const PartSet unanswered = this->unansweredParts(parts, now);
    return std::any_of(this->byKey.begin(), this->byKey.end(), [&](const auto &record) {
        const CrashReport &report = record.second;
        return report.request != request && !intersection(report.parts, unanswered).empty();
    });
}

PartSet Quarantine::unansweredParts(PartSet parts, TimePoint now) const
{
    std::erase_if(
        parts, [this, now](std::uint64_t part) { return this->answered.contains(part, now); });
    return parts;
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
    std::erase_if(this->reports,
        [now](const auto &record) { return now - record.second.at > confirmationTime; });
    if (this->reports.size() < maximumReports) {
        this->reports.emplace(targetId, std::move(report));
    }
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
