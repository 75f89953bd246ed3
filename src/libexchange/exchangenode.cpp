/// \file exchangenode.cpp
/// An agent's part in the exchange: collector of groups and holder of a region.
#include "wigeonsill/exchange.h"

#include <algorithm>

namespace wigeonsill {

namespace {

const std::string groupPrefix = "g/";
const std::string regionPrefix = "r/";
/// Section of the entries that report to the two holders of everything.
const std::string ungroupedSection = "u/";
const std::string outsidePrefix = "o/";
/// A holder's sum of all sections is used for this long: a tenth of the reports' interval.
constexpr Duration totalAge = milliseconds(25);
/// A collector without a message for this long is not counted: four rounds.
constexpr Duration collectorTimeout = seconds(1);
/// A node without a message for this long is forgotten: its process has another id when it returns.
constexpr Duration neighbourTimeout = seconds(30);
/// A holder states nothing until it has listened for this long: two rounds of its collectors'
/// messages, and to collectors one round of its peers' more. Without it, each group took itself for
/// the only one after all processes were killed, and nothing was left for the next seconds.
constexpr Duration peerStatementAge = milliseconds(250);
constexpr Duration collectorStatementAge = milliseconds(400);
/// Reports of one entry that are closer than this are at once and not periodic.
constexpr Duration shortestPeriod = milliseconds(200);
/// This many reports at once within the period make the messages urgent. A group of an organisation
/// with 40 requests a second has two or three in a second, and 18 at 7.5 times that load.
constexpr std::size_t urgentReportCount = 3;
constexpr Duration urgencyPeriod = milliseconds(200);
/// Interval of urgent messages. At 100 ms, a jump to 7.5 times the load admitted 1.016 of what is
/// accepted.
constexpr Duration urgentInterval = milliseconds(40);
/// Entry id that no entry has: the collector's report for it leaves nobody out.
constexpr std::uint64_t noEntry = 0;

/// Ends with a slash, so that no name is the beginning of another.
std::string sectionName(const std::string &prefix, std::string_view name)
{
    return prefix + std::string(name) + "/";
}

std::string sectionOf(const std::string &group)
{
    return group.empty() ? ungroupedSection : sectionName(groupPrefix, group);
}

/// Whether entries report to the section, rather than holders state it.
bool isCollected(std::string_view section)
{
    return section.starts_with(groupPrefix) || section == ungroupedSection;
}

} // namespace

ExchangeNode::ExchangeNode(
    std::string regionName, std::uint64_t nodeId, Duration slidingWindow, TimePoint now)
    : region(std::move(regionName))
    , id(nodeId)
    , window(slidingWindow)
    , startedAt(now)
    , heard(slidingWindow, true)
    , outside(slidingWindow, false)
    , regionSum(sectionName(regionPrefix, this->region), nodeId)
    , toldInterval(exchangeInterval(0))
{
}

ExchangeNode::Group &ExchangeNode::groupFor(const std::string &name, TimePoint now)
{
    const auto found = this->groups.find(name);
    if (found != this->groups.end()) {
        return found->second;
    }
    return this->groups
        .emplace(name,
            Group{ UsageCollector(this->window, now), SectionPublisher(sectionOf(name), this->id),
                now })
        .first->second;
}

void ExchangeNode::addReport(
    const std::string &group, std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now)
{
    this->groupFor(group, now).collector.addReport(entry, usage, now);
    this->recordUrgency(entry, usage, now);
}

void ExchangeNode::recordUrgency(
    std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now)
{
    double admitted = 0;
    for (const auto &[organisation, use] : usage) {
        admitted += use.total;
    }
    LastReport &last = this->lastReports[entry];
    // A report without a higher total may have come twice.
    if (admitted > last.total && now - last.at < shortestPeriod) {
        this->urgentReports.push_back(now);
    }
    last = { now, std::max(admitted, last.total) };
    while (!this->urgentReports.empty() && now - this->urgentReports.front() > urgencyPeriod) {
        this->urgentReports.pop_front();
    }
    if (this->urgentReports.size() >= urgentReportCount) {
        this->urgentUntil = now + urgencyPeriod;
    }
}

Duration ExchangeNode::interval(TimePoint now) const
{
    return now < this->urgentUntil ? urgentInterval : this->toldInterval;
}

void ExchangeNode::removeEntry(const std::string &group, std::uint64_t entry)
{
    const auto found = this->groups.find(group);
    if (found != this->groups.end()) {
        found->second.collector.remove(entry);
    }
}

std::optional<UsageReport> ExchangeNode::reportFor(
    const std::string &group, std::uint64_t entry, TimePoint now)
{
    const SectionSum others = this->outside.sum(outsidePrefix + sectionOf(group), now);
    const bool unknown = others.coverage == Duration::max();
    if (unknown && (!group.empty() || this->heard.hasSection(groupPrefix))) {
        return std::nullopt;
    }
    UsageReport report = this->groupFor(group, now).collector.reportFor(entry, now);
    report.collector = this->id;
    // Before the first group was heard of, all entries reported here.
    report.collectorAge = group.empty() ? now - this->startedAt : others.coverage;
    if (unknown) {
        return report;
    }
    for (const auto &[organisation, use] : others.amounts) {
        report.othersUsage[organisation] += use.usage;
        report.othersDemand[organisation] += use.demand;
    }
    const int reached = report.sharingEntries + others.entries;
    report.sharingEntries = reached + others.silentEntries;
    report.reachedShare
        = report.sharingEntries > 0 ? static_cast<double>(reached) / report.sharingEntries : 1;
    return report;
}

void ExchangeNode::adoptOwnGroups(TimePoint now)
{
    for (auto &[name, group] : this->groups) {
        const UsageReport all = group.collector.reportFor(noEntry, now);
        SectionUsage amounts;
        for (const auto &[organisation, use] : all.othersUsage) {
            amounts[organisation] = { use, all.othersDemand.at(organisation) };
        }
        group.publisher.set(amounts, all.sharingEntries, 0, now - group.startedAt);
    }
    // A group without entries stays, so that the numbers of its states go on.
    std::erase_if(this->lastReports,
        [this, now](const auto &element) { return now - element.second.at > this->window; });
}

ExchangeNode::Message ExchangeNode::messageTo(std::uint64_t recipient) const
{
    Message message;
    message.sender = this->id;
    message.region = this->region;
    const auto found = this->neighbours.find(recipient);
    if (found != this->neighbours.end()) {
        message.acknowledged = found->second.adoptedOf;
    }
    return message;
}

void ExchangeNode::append(
    Message &message, std::uint64_t recipient, const SectionPublisher &publisher) const
{
    std::uint64_t acknowledged = 0;
    const auto found = this->neighbours.find(recipient);
    if (found != this->neighbours.end()) {
        const auto &adopted = found->second.adoptedHere;
        const auto state = adopted.find(publisher.sectionName());
        acknowledged = state == adopted.end() ? 0 : state->second;
    }
    message.updates.push_back(publisher.updateSince(acknowledged));
}

const SectionSum &ExchangeNode::totalHeard(TimePoint now)
{
    if (!this->totalAt || now - *this->totalAt >= totalAge) {
        this->total = this->heard.sum({}, now);
        this->totalAt = now;
    }
    return this->total;
}

std::size_t ExchangeNode::collectorCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->neighbours.begin(), this->neighbours.end(), [now](const auto &element) {
            const auto &at = element.second.collectedAt;
            return at && now - *at < collectorTimeout;
        }));
}

ExchangeNode::Message ExchangeNode::messageToHolder(std::uint64_t holder, TimePoint now)
{
    this->adoptOwnGroups(now);
    Message message = this->messageTo(holder);
    message.urgent = now < this->urgentUntil;
    for (const auto &[name, group] : this->groups) {
        this->append(message, holder, group.publisher);
    }
    return message;
}

ExchangeNode::Message ExchangeNode::messageToCollector(std::uint64_t collector, TimePoint now)
{
    Message message = this->messageTo(collector);
    message.interval = exchangeInterval(this->collectorCount(now));
    const auto found = this->neighbours.find(collector);
    if (found == this->neighbours.end() || this->heard.listeningTime(now) < collectorStatementAge) {
        return message;
    }
    auto &publishers = found->second.outsideOf;
    for (const auto &[section, state] : found->second.adoptedOf) {
        if (!isCollected(section)) {
            continue;
        }
        const std::string name = outsidePrefix + section;
        SectionPublisher &publisher
            = publishers.try_emplace(name, SectionPublisher(name, this->id)).first->second;
        const SectionSum sum
            = this->heard.unknownTo(section, collector, this->totalHeard(now), now);
        publisher.set(sum.amounts, sum.entries, sum.silentEntries, sum.coverage);
        this->append(message, collector, publisher);
    }
    return message;
}

ExchangeNode::Message ExchangeNode::messageToPeer(std::uint64_t peer, TimePoint now)
{
    Message message = this->messageTo(peer);
    const SectionSum sum = this->heard.sum(groupPrefix, now);
    if (sum.coverage != Duration::max() && this->heard.listeningTime(now) >= peerStatementAge) {
        this->regionSum.set(sum.amounts, sum.entries, sum.silentEntries, sum.coverage);
        this->append(message, peer, this->regionSum);
    }
    const auto ungrouped = this->groups.find({});
    if (ungrouped != this->groups.end()) {
        this->append(message, peer, ungrouped->second.publisher);
    }
    return message;
}

void ExchangeNode::receive(const Message &message, TimePoint now)
{
    if (message.interval > Duration::zero()) {
        this->toldInterval = message.interval;
    }
    std::erase_if(this->neighbours,
        [now](const auto &element) { return now - element.second.heardAt > neighbourTimeout; });
    if (message.urgent) {
        this->urgentUntil = now + urgencyPeriod;
    }
    Neighbour &neighbour = this->neighbours[message.sender];
    neighbour.heardAt = now;
    for (const SectionUpdate &update : message.updates) {
        if (isCollected(update.section)) {
            neighbour.collectedAt = now;
        }
        SectionStore &store
            = update.section.starts_with(outsidePrefix) ? this->outside : this->heard;
        store.adopt(update, now);
        neighbour.adoptedOf[update.section] = store.acknowledged(update.section, update.origin);
    }
    for (const auto &[section, state] : message.acknowledged) {
        std::uint64_t &known = neighbour.adoptedHere[section];
        known = std::max(known, state);
    }
}

} // namespace wigeonsill
