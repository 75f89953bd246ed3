/// \file inforce.cpp
/// Finds out on which entries a revision is in force.
#include "inforce.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iostream>
#include <set>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration queryInterval = milliseconds(100);
constexpr std::size_t maximumExtraEntries = 2;

bool isActiveEntry(const ListedInstance &instance)
{
    return instance.role == "entry" && !instance.leaving;
}

} // namespace

InForceSurvey::InForceSurvey(asio::io_context &surveyContext, InstanceList &list)
    : context(surveyContext)
    , instances(list)
    , loop(surveyContext)
{
}

asio::awaitable<void> InForceSurvey::queryEntry(asio::ip::tcp::endpoint endpoint)
{
    PeerConnection connection(this->loop);
    const Result<void> connected = co_await connection.connect(endpoint);
    if (!connected) {
        co_return;
    }
    const Result<std::vector<RevisionReport>> reports = co_await connection.fetchReports();
    if (!reports) {
        co_return;
    }
    for (const RevisionReport &report : reports.value()) {
        std::uint64_t &highest = this->reportedRevisions[report.instance];
        highest = std::max(highest, report.revision);
    }
}

std::vector<ListedInstance> InForceSurvey::selectEntries(
    const std::vector<ListedInstance> &entries, std::uint64_t revision) const
{
    std::vector<ConfigurationMember> members;
    std::set<std::string> regions;
    for (const ListedInstance &entry : entries) {
        members.push_back({ entry.name, entry.region });
        regions.insert(entry.region);
    }
    std::set<std::string> selectedNames;
    for (const std::string &region : regions) {
        const auto watchers = watchersOf(members, region, FollowerLimits().watchersPerRegion);
        selectedNames.insert(watchers.begin(), watchers.end());
    }
    std::size_t extraEntries = 0;
    for (const ListedInstance &entry : entries) {
        const auto found = this->reportedRevisions.find(entry.name);
        const bool isBehind = found == this->reportedRevisions.end() || found->second < revision;
        if (isBehind && extraEntries < maximumExtraEntries) {
            extraEntries += selectedNames.insert(entry.name).second ? 1 : 0;
        }
    }
    std::vector<ListedInstance> selected;
    for (const ListedInstance &entry : entries) {
        if (selectedNames.contains(entry.name)) {
            selected.push_back(entry);
        }
    }
    return selected;
}

InForceReport InForceSurvey::summarize(
    const std::vector<ListedInstance> &entries, std::uint64_t revision) const
{
    InForceReport report;
    report.instances = entries.size();
    for (const ListedInstance &entry : entries) {
        const auto found = this->reportedRevisions.find(entry.name);
        if (found != this->reportedRevisions.end() && found->second >= revision) {
            ++report.reached;
        } else {
            report.behind.push_back(entry.name);
        }
    }
    return report;
}

asio::awaitable<Result<InForceReport>> InForceSurvey::query(std::uint64_t revision)
{
    const Result<std::vector<ListedInstance>> listed = co_await this->instances.fetch();
    if (!listed) {
        co_return listed.error();
    }
    std::vector<ListedInstance> entries;
    for (const ListedInstance &instance : listed.value()) {
        if (isActiveEntry(instance)) {
            entries.push_back(instance);
        }
    }
    const std::vector<ListedInstance> selected = this->selectEntries(entries, revision);
    for (const ListedInstance &entry : selected) {
        if (entry.peer) {
            co_await this->queryEntry(*entry.peer);
        }
        if (this->summarize(entries, revision).isEverywhere()) {
            break;
        }
    }
    co_return this->summarize(entries, revision);
}

asio::awaitable<Result<InForceReport>> InForceSurvey::waitUntilEverywhere(
    std::uint64_t revision, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string lastProgress;
    boost::system::error_code ignored;
    for (;;) {
        const Result<InForceReport> report = co_await this->query(revision);
        const bool timedOut = std::chrono::steady_clock::now() >= deadline;
        if (timedOut || (report && report.value().isEverywhere())) {
            co_return report;
        }
        const std::string progress
            = report ? toString(report.value()) : "the instance list is unavailable";
        if (progress != lastProgress) {
            std::cerr << "waiting: " << progress << "\n";
            lastProgress = progress;
        }
        asio::steady_timer timer(this->context, queryInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::string toString(const InForceReport &report)
{
    return "in force on " + std::to_string(report.reached) + " of "
        + std::to_string(report.instances) + " instances";
}

} // namespace wigeonsill
