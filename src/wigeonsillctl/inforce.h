/// \file inforce.h
/// Finds out where a revision is in force by asking a few entries, which know of the others.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/peer.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// How far a revision has come.
struct InForceReport
{
    std::size_t instances = 0; ///< Listed entries that are not leaving.
    std::size_t reached = 0;
    std::vector<std::string> behind; ///< Entries that are behind or not heard of.
    /// An empty list proves nothing.
    bool isEverywhere() const { return this->instances > 0 && this->reached == this->instances; }
};

/// Asks in rounds and remembers what it was told. Not thread-safe.
class InForceSurvey
{
public:
    InForceSurvey(boost::asio::io_context &context, InstanceList &instances);

    /// One round: the watchers of each region, and a few of those not heard of.
    /// Errors: those of InstanceList::fetch().
    boost::asio::awaitable<Result<InForceReport>> ask(std::uint64_t revision);
    /// Asks until the revision is in force everywhere or the time is over, and prints progress.
    boost::asio::awaitable<Result<InForceReport>> wait(std::uint64_t revision, Duration timeout);

private:
    boost::asio::awaitable<void> askOne(boost::asio::ip::tcp::endpoint endpoint);
    std::vector<ListedInstance> chooseEntries(
        const std::vector<ListedInstance> &entries, std::uint64_t revision) const;
    InForceReport summarize(
        const std::vector<ListedInstance> &entries, std::uint64_t revision) const;

    boost::asio::io_context &context;
    InstanceList &instances;
    RpcLoop loop;
    std::map<std::string, std::uint64_t> known; ///< Highest revision reported by instance.
};

/// Text such as "in force on 2 of 3 instances".
std::string toString(const InForceReport &report);

} // namespace wigeonsill
