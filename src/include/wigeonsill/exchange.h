/// \file exchange.h
/// Public header of the exchange library: how hundreds of entries learn each other's usage of the
/// quotas without a process that hears all of them. docs/design/exchange.md has the arithmetic.
/// The library opens no sockets, sets no timers and reads no clock: callers pass the current time
/// as an argument. Nothing is thread-safe.
#pragma once

#include "wigeonsill/gateway.h"

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Sections

/// Usage of one organisation, of all entries that a section covers.
struct SectionAmounts
{
    double usage = 0; ///< In the quota's window.
    double demand = 0; ///< Requested per second.
    bool operator==(const SectionAmounts &) const = default;
};
using SectionUsage = std::map<std::string, SectionAmounts, std::less<>>;

/// What one process knows of one section. The amounts are absolute, so that a repeated update
/// changes nothing, and the newest one makes up for all that were lost.
struct SectionUpdate
{
    std::string section; ///< A group of entries, a region, or all but the recipient's group.
    std::uint64_t origin = 0; ///< Random id of the sending process's incarnation.
    std::uint64_t sequence = 0; ///< Of the state; grows with each change.
    /// The update holds what changed after this state of the same origin; 0 for all amounts.
    std::uint64_t since = 0;
    int entries = 0; ///< That share the quotas and report.
    int silentEntries = 0; ///< Of sections that have fallen silent lately.
    Duration coverage = {}; ///< All that was admitted in this time is in the amounts.
    SectionUsage amounts; ///< Zero usage and demand for an organisation that has left.
};

/// Turns the states of a section into updates that hold only what a recipient doesn't have.
class SectionPublisher
{
public:
    SectionPublisher(std::string sectionName, std::uint64_t originId)
        : section(std::move(sectionName))
        , origin(originId)
    {
    }

    /// Replaces the state. A demand that changed by less than a twentieth is not taken for a
    /// change, since demands decay all the time; usages are exact.
    void set(const SectionUsage &amounts, int entries, int silentEntries, Duration coverage);
    /// \param acknowledged Last state of this origin that the recipient has adopted; 0 for none.
    SectionUpdate updateSince(std::uint64_t acknowledged) const;
    std::uint64_t sequence() const { return this->state; }
    const std::string &sectionName() const { return this->section; }

private:
    struct Record
    {
        SectionAmounts amounts;
        std::uint64_t changedIn = 0; ///< State.
    };
    /// Drops organisations that left long ago; see keptStates.
    void removeOldest();

    std::string section;
    std::uint64_t origin;
    std::uint64_t state = 0;
    std::uint64_t removedUntil = 0; ///< A recipient with an older state gets all amounts.
    int entries = 0;
    int silentEntries = 0;
    Duration coverage = {};
    std::map<std::string, Record, std::less<>> records;
};

/// Sum of sections.
struct SectionSum
{
    SectionUsage amounts;
    int entries = 0; ///< Of the sections that are heard.
    int silentEntries = 0; ///< Of sections that were heard lately, but not now.
    Duration coverage = {}; ///< All that was admitted in this time is in the amounts.
};

/// Keeps the sections that other processes state. Several origins may state the same section, since
/// each group has two collectors; the highest usage counts, as one may have missed the last report
/// of an entry that was killed. What an origin that fell silent stated is counted until it has left
/// the window, unless another origin covers it: counting twice for a window is accepted, omitting
/// is not.
class SectionStore
{
public:
    /// \param listens The process that states a new section would have told it before if there had
    /// been any usage, so that the first statement of a section lacks nothing.
    SectionStore(Duration slidingWindow, bool listens)
        : window(slidingWindow)
        , infersFromSilence(listens)
    {
    }

    /// Adopts an update. \returns False when it is older than what is known, repeated, or lacks
    /// changes between; it then changes no amounts.
    bool adopt(const SectionUpdate &update, TimePoint now);
    /// Last state that was adopted; 0 without one.
    std::uint64_t acknowledged(const std::string &section, std::uint64_t origin) const;
    /// Sums up the sections whose names begin with the prefix. Work for each section and its
    /// organisations; coverage is Duration::max() when there is none.
    SectionSum sum(std::string_view prefix, TimePoint now);
    /// What an origin of a section doesn't know: all others, and what its own section has beyond
    /// its statement, as the last reports of a killed entry. The work doesn't grow with the
    /// sections. \param total Recent sum() of all sections.
    SectionSum unknownTo(const std::string &section, std::uint64_t origin, const SectionSum &total,
        TimePoint now) const;
    bool hasSection(std::string_view prefix) const
    {
        const auto found = this->sections.lower_bound(prefix);
        return found != this->sections.end() && found->first.starts_with(prefix);
    }
    /// Since the first update.
    Duration listeningTime(TimePoint now) const { return now - this->firstHeardAt.value_or(now); }

private:
    struct Origin
    {
        std::uint64_t sequence = 0;
        TimePoint heardAt;
        int entries = 0;
        int silentEntries = 0;
        Duration coverage = {};
        SectionUsage amounts;
    };
    struct Section
    {
        std::map<std::uint64_t, Origin> origins;
        TimePoint knownSince; ///< All that was admitted since then is known.
    };
    /// Removes origins whose statements have left the window.
    void expire(TimePoint now);
    SectionSum sumOf(const Section &section, TimePoint now) const;
    Duration coverageOf(const Section &section, TimePoint now) const;

    Duration window;
    bool infersFromSilence;
    std::optional<TimePoint> firstHeardAt;
    std::map<std::string, Section, std::less<>> sections;
};

// ---------------------------------------------------------------------------------------------
// Who reports to whom

/// Where an entry reports to.
struct ExchangePlace
{
    std::string group; ///< Section of the entry; empty in the form of two holders.
    std::vector<std::string> collectors; ///< Addresses of its group's collectors, two at most.
    /// Addresses of the holders of the entry's region, to which its collectors report.
    std::vector<std::string> regionHolders;
    std::vector<std::string> otherHolders; ///< Of the other regions.
};

/// Number of groups for a number of entries; a power of two, so that it changes seldom.
int groupCount(int entries);

/// Chooses the group of an entry among the engines of its failure domain, else of its region, else
/// of all. A pure function of its arguments; where processes disagree about the list or the number
/// of groups, an entry is still in one group at a time, whose section travels with its usage.
/// \param engines Targets with an agent. \param entry Random id of the entry's incarnation.
/// \param groups From groupCount(); 1 for the form of two holders.
ExchangePlace placeEntry(std::vector<const Target *> engines, const EntryLocation &location,
    std::uint64_t entry, int groups);

/// Decides when an entry moves between groups.
class FormSwitch
{
public:
    /// The form of two holders serves this number of entries; from then on groups are formed.
    static constexpr int largestFlatEntries = 40;
    /// Records the number of entries in a collector's answer. \returns The number of groups to use.
    int update(int entries, TimePoint now);
    int groups() const { return this->current; }

private:
    int current = 1;
    int wanted = 1;
    TimePoint wantedSince;
};

/// An entry's way from the two holders of everything to its group and back. At any time its usage
/// is in one section at least; in two for as long as the second has to become known everywhere.
class ExchangeMembership
{
public:
    explicit ExchangeMembership(Duration slidingWindow)
        : window(slidingWindow)
    {
    }

    /// Where reports go now.
    struct Destinations
    {
        bool holders = true; ///< The two holders of everything.
        bool countedInGroup = false; ///< Stated to the holders, which don't count the entry then.
        bool group = false;
        bool leavesGroup = false; ///< Stated to the group's collectors, which then drop the entry.
        int groups = 1; ///< For placeEntry().
    };
    Destinations destinations(TimePoint now);
    /// Records an answer of one of the two holders. \param entries That share the quotas.
    void recordHolderAnswer(int entries, TimePoint now);
    /// Records an answer of a collector of the group.
    void recordGroupAnswer(int entries, TimePoint now);

private:
    enum class Stage : std::uint8_t {
        Holders, ///< Reports to the two holders.
        Joining, ///< To both; the group's sum does not have its usage everywhere yet.
        Joined, ///< To both; the holders' reports have the longer coverage.
        Group, ///< To its group.
        Returning, ///< To both, and counted by both.
    };
    void enter(Stage next, TimePoint now);

    Duration window;
    FormSwitch form;
    Stage stage = Stage::Holders;
    TimePoint enteredAt;
    int groups = 1; ///< When it joined its group.
    std::optional<TimePoint> firstGroupAnswerAt; ///< Since it is joining.
    TimePoint lastGroupAnswerAt;
    std::optional<TimePoint> leftGroupAt;
};

/// Interval of a process's periodic messages to each of its neighbours, so that it sends and
/// receives a bounded number a second.
Duration exchangeInterval(std::size_t neighbours);

// ---------------------------------------------------------------------------------------------
// The decisions of one process

/// One agent's part: collector of the groups whose entries report to it, and holder of a region if
/// collectors report to it.
class ExchangeNode
{
public:
    /// What passes between two nodes.
    struct Message
    {
        std::uint64_t sender = 0; ///< Random id of the process.
        std::string region;
        std::vector<SectionUpdate> updates;
        bool urgent = false; ///< Entries admit so much that the others have to know it soon.
        /// In a holder's message to a collector: interval at which it wants to be told.
        Duration interval = {};
        /// The last states that the sender has adopted from the recipient, by section.
        std::map<std::string, std::uint64_t, std::less<>> acknowledged;
    };

    ExchangeNode(
        std::string regionName, std::uint64_t nodeId, Duration slidingWindow, TimePoint now);

    /// Adds an entry's report. \param entry Random id of the entry's incarnation. \param group
    /// Empty for the entries that report to the two holders of everything. They are a section of
    /// their own, which the holders state to all others.
    void addReport(const std::string &group, std::uint64_t entry, const UsageByOrganisation &usage,
        TimePoint now);
    /// Removes an entry that has reported to another group for a while. It may go on asking for
    /// reports.
    void removeEntry(const std::string &group, std::uint64_t entry);
    /// Usage of all entries but the given one. Empty while no holder has stated what is outside of
    /// the group: entries without a report keep to an even share. Where no group has been heard of,
    /// the report to entries without a group is that of the form of two holders.
    std::optional<UsageReport> reportFor(
        const std::string &group, std::uint64_t entry, TimePoint now);
    /// To a holder of the own region: the groups that this node collects. A node that is its own
    /// holder receives its message itself.
    Message messageToHolder(std::uint64_t holder, TimePoint now);
    /// To a collector of the own region: what is outside each of its groups.
    Message messageToCollector(std::uint64_t collector, TimePoint now);
    /// To a holder of another region: the sum of the own region, and the entries without a group.
    Message messageToPeer(std::uint64_t peer, TimePoint now);
    void receive(const Message &message, TimePoint now);
    /// Interval of the messages to the region's holders and to those of other regions. Short while
    /// several entries report at once, as they do when they have admitted much.
    Duration interval(TimePoint now) const;
    /// Number of processes that report to this node as a holder.
    std::size_t collectorCount(TimePoint now) const;
    bool isCollector() const { return !this->groups.empty(); }

private:
    struct Group;
    Group &groupFor(const std::string &name, TimePoint now);
    /// Records whether an entry reported at once, since it admitted much.
    void recordUrgency(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now);
    struct Group
    {
        UsageCollector collector;
        SectionPublisher publisher;
        TimePoint startedAt;
    };
    /// Adopts the state of the own groups, as that of any other collector.
    void adoptOwnGroups(TimePoint now);
    Message messageTo(std::uint64_t recipient) const;
    /// Sum of all that was heard, at most totalAge old.
    const SectionSum &totalHeard(TimePoint now);
    /// Appends the sections whose changes the recipient doesn't have.
    void append(Message &message, std::uint64_t recipient, const SectionPublisher &publisher) const;

    std::string region;
    std::uint64_t id;
    Duration window;
    TimePoint startedAt;
    std::map<std::string, Group, std::less<>> groups; ///< Whose entries report here.
    SectionStore heard; ///< Groups of the own region and sums of the others.
    SectionStore outside; ///< What the region's holders state of all but a group.
    SectionPublisher regionSum;
    SectionSum total;
    std::optional<TimePoint> totalAt;
    Duration toldInterval;
    struct LastReport
    {
        TimePoint at;
        double total = 0; ///< Of all organisations.
    };
    std::map<std::uint64_t, LastReport> lastReports; ///< By entry.
    std::deque<TimePoint> urgentReports; ///< Within the urgency period.
    TimePoint urgentUntil;
    /// A node that messages came from.
    struct Neighbour
    {
        TimePoint heardAt;
        std::optional<TimePoint> collectedAt; ///< Of its last message as a collector.
        /// By section: last state that it has adopted of this node.
        std::map<std::string, std::uint64_t, std::less<>> adoptedHere;
        /// By section: last state that this node has adopted of it.
        std::map<std::string, std::uint64_t, std::less<>> adoptedOf;
        /// By group: what is outside of it, as a holder states it to this collector.
        std::map<std::string, SectionPublisher, std::less<>> outsideOf;
    };
    std::map<std::uint64_t, Neighbour> neighbours;
};

} // namespace wigeonsill
