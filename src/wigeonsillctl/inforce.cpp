/// \file inforce.cpp
/// Finds out where a revision is in force.
#include "inforce.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iostream>
#include <set>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration roundInterval = milliseconds(100);
constexpr std::size_t othersPerRound = 2;

bool isFollower(const ListedInstance &instance)
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

asio::awaitable<void> InForceSurvey::askOne(asio::ip::tcp::endpoint endpoint)
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
        std::uint64_t &highest = this->known[report.instance];
        highest = std::max(highest, report.revision);
    }
}

std::vector<ListedInstance> InForceSurvey::chooseEntries(
    const std::vector<ListedInstance> &entries, std::uint64_t revision) const
{
    std::vector<ConfigurationMember> members;
    std::set<std::string> regions;
    for (const ListedInstance &entry : entries) {
        members.push_back({ entry.name, entry.region });
        regions.insert(entry.region);
    }
    std::set<std::string> wanted;
    for (const std::string &region : regions) {
        const auto watchers = watchersOf(members, region, FollowerLimits().watchersPerRegion);
        wanted.insert(watchers.begin(), watchers.end());
    }
    std::size_t others = 0;
    for (const ListedInstance &entry : entries) {
        const auto found = this->known.find(entry.name);
        const bool isBehind = found == this->known.end() || found->second < revision;
        if (isBehind && others < othersPerRound) {
            others += wanted.insert(entry.name).second ? 1 : 0;
        }
    }
    std::vector<ListedInstance> chosen;
    for (const ListedInstance &entry : entries) {
        if (wanted.contains(entry.name)) {
            chosen.push_back(entry);
        }
    }
    return chosen;
}

InForceReport InForceSurvey::summarize(
    const std::vector<ListedInstance> &entries, std::uint64_t revision) const
{
    InForceReport report;
    report.instances = entries.size();
    for (const ListedInstance &entry : entries) {
        const auto found = this->known.find(entry.name);
        if (found != this->known.end() && found->second >= revision) {
            ++report.reached;
        } else {
            report.behind.push_back(entry.name);
        }
    }
    return report;
}

asio::awaitable<Result<InForceReport>> InForceSurvey::ask(std::uint64_t revision)
{
    const Result<std::vector<ListedInstance>> listed = co_await this->instances.fetch();
    if (!listed) {
        co_return listed.error();
    }
    std::vector<ListedInstance> entries;
    for (const ListedInstance &instance : listed.value()) {
        if (isFollower(instance)) {
            entries.push_back(instance);
        }
    }
    const std::vector<ListedInstance> chosen = this->chooseEntries(entries, revision);
    for (const ListedInstance &entry : chosen) {
        if (entry.peer) {
            co_await this->askOne(*entry.peer);
        }
        if (this->summarize(entries, revision).isEverywhere()) {
            break;
        }
    }
    co_return this->summarize(entries, revision);
}

asio::awaitable<Result<InForceReport>> InForceSurvey::wait(std::uint64_t revision, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string printed;
    boost::system::error_code ignored;
    for (;;) {
        const Result<InForceReport> report = co_await this->ask(revision);
        const bool isOver = std::chrono::steady_clock::now() >= deadline;
        if (isOver || (report && report.value().isEverywhere())) {
            co_return report;
        }
        const std::string progress
            = report ? toString(report.value()) : "the instance list does not answer";
        if (progress != printed) {
            std::cerr << "waiting: " << progress << "\n";
            printed = progress;
        }
        asio::steady_timer timer(this->context, roundInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::string toString(const InForceReport &report)
{
    return "in force on " + std::to_string(report.reached) + " of "
        + std::to_string(report.instances) + " instances";
}

} // namespace wigeonsill
