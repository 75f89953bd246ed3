/// \file inforce.h
/// Finds out on which entries a revision is in force by querying a few of them: each entry knows
/// the revisions of other entries.
#pragma once

#include "wigeonsill/config.h"
#include "wigeonsill/peer.h"
#include "wigeonsill/platform.h"

namespace wigeonsill {

/// On how many entries a revision is in force.
struct InForceReport
{
    std::size_t instances = 0; ///< Listed entries that are not leaving.
    std::size_t reached = 0; ///< Entries where the revision, or a newer one, is in force.
    std::vector<std::string> behind; ///< Entries with an older or unknown revision.
    /// False if no entry is listed: an empty list proves nothing.
    bool isEverywhere() const { return this->instances > 0 && this->reached == this->instances; }
};

/// Queries entries in rounds and keeps the highest revision reported for each. Not thread-safe.
class InForceSurvey
{
public:
    InForceSurvey(boost::asio::io_context &context, InstanceList &instances);

    /// Runs one round: queries the watchers of each region and a few entries that are not known to
    /// have the revision.
    /// Errors: those of InstanceList::fetch().
    boost::asio::awaitable<Result<InForceReport>> query(std::uint64_t revision);
    /// Runs rounds until the revision is in force everywhere or the timeout expires, and prints the
    /// progress on standard error.
    boost::asio::awaitable<Result<InForceReport>> waitUntilEverywhere(
        std::uint64_t revision, Duration timeout);

private:
    boost::asio::awaitable<void> queryEntry(boost::asio::ip::tcp::endpoint endpoint);
    std::vector<ListedInstance> selectEntries(
        const std::vector<ListedInstance> &entries, std::uint64_t revision) const;
    InForceReport summarize(
        const std::vector<ListedInstance> &entries, std::uint64_t revision) const;

    boost::asio::io_context &context;
    InstanceList &instances;
    RpcLoop loop;
    /// Highest reported revision by instance name.
    std::map<std::string, std::uint64_t> reportedRevisions;
};

/// Text such as "in force on 2 of 3 instances".
std::string toString(const InForceReport &report);

} // namespace wigeonsill
