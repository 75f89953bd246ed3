/// \file gateway.h
/// Public header of the gateway library: the decisions of forwarding an HTTP request to a target
/// without an agent in its path. Routes, organisations and their keys, token quotas, repeat
/// budgets, choice of a target, and the admission that an agent grants for its target.
/// No sockets, no timers, no clock: the time is always an argument. Nothing is thread-safe unless
/// it says so.
#pragma once

#include "wigeonsill/util.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Configuration in force

/// What may be repeated.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered by events; runs at most once unless the route is resumable.
};
inline constexpr std::array repeatabilityNames = {
    EnumName<Repeatability>{ Repeatability::Idempotent, "idempotent" },
    EnumName<Repeatability>{ Repeatability::NonIdempotent, "non-idempotent" },
    EnumName<Repeatability>{ Repeatability::Stream, "stream" },
};

/// One service that a route may choose, with its weight.
struct RouteChoice
{
    std::string service;
    double weight = 1;
};

/// How requests of one host and path prefix are handled.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::NonIdempotent;
    std::vector<RouteChoice> services; ///< At least one.
    Duration timeout = seconds(30); ///< Longest time until the final answer.
    Duration targetLatency = seconds(1); ///< Until the first event of a stream, else the answer.
    Duration longestPause = seconds(1); ///< Between two events of a stream that counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    int maximumAttempts = 1; ///< Targets that one request may be sent to.
    bool anonymous = false; ///< Needs no key.
    bool resumable = false; ///< A broken stream may go on at another target.

    /// Whether a second run of a request does no harm.
    bool isRepeatable() const
    {
        return this->repeatability == Repeatability::Idempotent
            || (this->repeatability == Repeatability::Stream && this->resumable);
    }
};

/// A service that routes lead to.
struct ServiceProfile
{
    std::string name;
    std::string healthPath;
    int maximumConnections = 100; ///< Of one target, from all callers together.
    bool isEngine = false; ///< Its targets are model engines with an agent beside each.
    int tokensPerEvent = 1; ///< Tokens that one event of a stream holds.
};

/// A customer organisation with its keys and its quota.
struct OrganisationAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's priority.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0;
    bool countsTokens = false; ///< The quota counts tokens in place of requests.
    double plainCost = 1; ///< Counted for a request that states no tokens.
};

/// What callers may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    Duration headerTime = seconds(3);
    Duration idleTime = seconds(15);
};

/// One accepted revision of the configuration. Immutable once built, so const access is
/// thread-safe.
class ServingConfiguration
{
public:
    class Builder;

    std::uint64_t version() const { return this->revision; }
    const CallerLimits &limits() const { return this->callerLimits; }
    /// The route of the longest prefix of the host that begins the path; nullptr when none does.
    /// \param host Value of the Host field; a port is ignored. \param path Without the query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds a key; nullptr when none does.
    const OrganisationAccount *findOrganisation(std::string_view key) const;
    /// nullptr for a service that is not declared.
    const ServiceProfile *findService(std::string_view name) const;
    const std::vector<OrganisationAccount> &organisations() const { return this->owners; }
    std::size_t routeCount() const;

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template <class T>
    using ByName = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

    std::uint64_t revision = 0;
    CallerLimits callerLimits;
    ByName<std::vector<Route>> routesByHost; ///< Longest prefix first.
    std::vector<OrganisationAccount> owners;
    ByName<std::size_t> ownerByKey;
    ByName<ServiceProfile> services;
};

/// Collects the parts of a revision. build() may be called once.
class ServingConfiguration::Builder
{
public:
    Builder &version(std::uint64_t value);
    Builder &limits(const CallerLimits &value);
    Builder &addRoute(Route route);
    Builder &addService(ServiceProfile service);
    Builder &addOrganisation(OrganisationAccount organisation);
    /// Errors: SettingsOutOfRange for a route without a service or with a bad prefix.
    Result<std::shared_ptr<const ServingConfiguration>> build();

private:
    std::shared_ptr<ServingConfiguration> result = std::make_shared<ServingConfiguration>();
    std::string firstProblem;
};

/// Draws one of a route's services by weight. \param draw Uniform in [0, 1).
const std::string &drawService(const Route &route, double draw);

// ---------------------------------------------------------------------------------------------
// Requests

/// One part of a prompt that requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller states about its request, decoded from the wire once.
struct RequestFacts
{
    std::string id; ///< Of this attempt of the caller.
    std::string key; ///< Empty when it brought none.
    std::optional<Duration> deadline; ///< How long the caller waits from now.
    std::uint32_t promptTokens = 0; ///< 0 when it states none.
    std::uint32_t outputTokens = 0; ///< Most that it may generate.
    std::optional<std::uint32_t> expectedOutput; ///< The caller's own estimate.
    std::vector<PromptPart> parts;
    std::string resumeAfter; ///< Last event that the caller has; empty for a new stream.

    bool statesTokens() const { return this->promptTokens + this->outputTokens > 0; }
    /// Tokens that it is likely to generate.
    std::uint32_t likelyOutput() const;
};

/// How long a caller has been trying, as far as its deadline shows: zero for a first attempt.
/// Callers of one route do not all wait equally long, so only a deadline well below the longest one
/// is taken for a return. \param longest Deadline seen on the route. \param stated By this attempt.
Duration timeSpentBefore(Duration longest, Duration stated);

/// Amount that a request takes from an organisation's quota.
double quotaCost(const OrganisationAccount &organisation, const RequestFacts &request);

// ---------------------------------------------------------------------------------------------
// Targets

/// A running target as the platform lists it.
struct Target
{
    std::string id; ///< Of this incarnation.
    std::string service;
    std::string address; ///< "IP:PORT".
    std::string failureDomain;
    std::string region;
    int slots = 1; ///< Requests that it runs at once.
    bool leaving = false;
    std::int64_t startedMs = 0; ///< Unix time of this incarnation's start; 0 when it states none.
};

/// The targets that may be sent to. Pure bookkeeping.
/// Answers the load after many targets lost power at once: their entries outlive them by seconds
/// while new incarnations are listed at the same addresses.
class TargetDirectory
{
public:
    /// Takes a complete list.
    /// \param mayHaveLapsed Entries may be missing though their targets live, since the store was
    /// away. Known targets that no list has shown since then are kept until a list comes for which
    /// this is false; one that was shown and is missing now is gone.
    void replace(std::vector<Target> listed, bool mayHaveLapsed);
    /// Another target answers at this one's address, so it is not used while the list still shows
    /// it there.
    void replacedAtItsAddress(const std::string &id);
    /// The targets of a service that take new work.
    std::vector<const Target *> usable(std::string_view service) const;
    /// nullptr when it is not listed.
    const Target *find(std::string_view id) const;
    std::size_t size() const { return this->targets.size(); }
    const std::map<std::string, Target, std::less<>> &all() const { return this->targets; }

private:
    void findOutdated();

    std::map<std::string, Target, std::less<>> targets;
    std::set<std::string, std::less<>> shown; ///< Since the store was last away.
    std::set<std::string, std::less<>> outdated; ///< A younger one is listed at the same address.
    std::map<std::string, std::string, std::less<>> replaced; ///< Address by id.
};

/// Tells whether the store was away for all, so that entries of live targets may have lapsed, or
/// only for this process. While the store serves, each target rewrites its entry at every
/// heartbeat, and the store's revision grows by as much.
class OutageJudge
{
public:
    explicit OutageJudge(Duration heartbeatInterval)
        : heartbeat(heartbeatInterval)
    {
    }
    /// A list was read. \param revision Of the store. \param entries Number of them.
    void listed(std::uint64_t revision, std::size_t entries, TimePoint now);
    /// Whether entries may be missing from the list that was just read.
    bool mayHaveLapsed(TimePoint now) const { return now < this->lapsedUntil; }
    /// When a list can be trusted again; the list should be read at that moment.
    TimePoint trustedFrom() const { return this->lapsedUntil; }

private:
    Duration heartbeat;
    std::uint64_t lastRevision = 0;
    std::size_t lastEntries = 0;
    std::optional<TimePoint> lastListed;
    TimePoint lapsedUntil;
};

// ---------------------------------------------------------------------------------------------
// Budgets and quotas that all entries share

/// Bounds the second sends to a service: at most a share of the requests for it in a window.
/// Answers the load in which targets fail many requests and each would be sent twice.
class RepeatBudget
{
public:
    struct Limits
    {
        double ratio = 0.2; ///< Second sends for each request.
        double spare = 5; ///< Second sends that a quiet window may hold beside.
        Duration window = seconds(10);
    };
    explicit RepeatBudget(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// A request for the service arrived.
    void arrived(const std::string &service, TimePoint now);
    /// Takes one second send; false when the window's share is used up.
    bool take(const std::string &service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> arrivals;
        std::deque<TimePoint> repeats;
    };
    void forgetOld(Window &window, TimePoint now) const;

    Limits limits;
    std::map<std::string, Window, std::less<>> windows;
};

/// What the entries of a deployment used of the quotas, as one collector heard it.
struct UsageReport
{
    std::map<std::string, double> othersUse; ///< In the window, by organisation.
    int entries = 1; ///< Entries that share the quotas, the asking one included.
    Duration memory = {}; ///< How long the collector has been collecting.
    std::map<std::string, double> othersDemand; ///< Asked for each second, by organisation.
};

/// What one entry admitted for an organisation.
struct UsageEntry
{
    double inWindow = 0; ///< In the quota's window.
    double total = 0; ///< Since the entry's start.
    double demand = 0; ///< Asked for each second of late, admitted or not.
};
using UsageByOrganisation = std::map<std::string, UsageEntry>;

/// Adds up the entries' reports. An entry that was killed cannot report what leaves the window, so
/// the collector keeps the reports of a window.
class UsageCollector
{
public:
    /// \param now When the collecting begins.
    UsageCollector(Duration slidingWindow, TimePoint now)
        : window(slidingWindow)
        , startedAt(now)
    {
    }

    /// \param entry Number drawn at the entry's start.
    void take(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now);
    /// What all entries but one used in the window.
    UsageReport reportFor(std::uint64_t entry, TimePoint now);
    std::size_t entryCount() const { return this->entries.size(); }

private:
    struct Sample
    {
        TimePoint at;
        std::map<std::string, double> totals;
        std::map<std::string, double> demands;
    };
    /// Oldest first. The first sample holds what was used before the window.
    using Samples = std::deque<Sample>;
    void forgetOld(TimePoint now);

    Duration window;
    TimePoint startedAt;
    std::map<std::uint64_t, Samples> entries;
};

/// Keeps the organisations within their quotas over a sliding window. Each entry knows what the
/// quota had left at the last report and what all entries together are asked for, and admits the
/// fraction of its own requests that uses up what is left over a short horizon.
/// Answers the load in which one organisation sends many times its usual rate through all entries.
/// The fraction does not depend on a request's size, so that an organisation near its quota still
/// gets its longest prompts through however many entries share it.
class QuotaLedger
{
public:
    struct Limits
    {
        Duration window = seconds(8); ///< Sliding window of the quota.
        double slack = 0; ///< What the operator accepts beyond a quota in a window.
        double excess = 0; ///< The same as a part of the quota.
    };
    explicit QuotaLedger(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Admits a cost or returns how long until there is likely room. An organisation without a
    /// limit is always admitted.
    std::optional<Duration> admit(
        const OrganisationAccount &organisation, double cost, TimePoint now);
    /// Returns a cost that was admitted and not used.
    void giveBack(const std::string &organisation, double cost, TimePoint now);
    /// What this entry admitted, by organisation.
    UsageByOrganisation ownUse(TimePoint now);
    /// Takes a report of the others' use in the window. A report whose collector remembers less
    /// than the window is passed over while there is a fuller one; where there is none, only the
    /// part of the quota that has accrued since the collector began is given out.
    void takeReport(const UsageReport &report, TimePoint now);

private:
    struct Account
    {
        std::deque<std::pair<TimePoint, double>> admitted;
        double own = 0; ///< Sum of what is in admitted.
        double total = 0; ///< Since the start.
        double others = 0;
        double othersDemand = 0; ///< For each second.
        double asked = 0; ///< Sum of costs asked for; older ones weigh less.
        std::optional<TimePoint> firstAsked;
        TimePoint askedAt;
        double credit = 0; ///< Requests that may be admitted; grows by a fraction with each.
    };
    Account &accountOf(const std::string &name, TimePoint now);
    static void noteDemand(Account &account, double cost, TimePoint now);
    static double demandOf(const Account &account, TimePoint now);
    /// What all entries may use in a window.
    double allowance(const OrganisationAccount &organisation, TimePoint now) const;
    bool hasReport(TimePoint now) const;

    /// Assumed at first, since all entries may have been started at this moment: as many as the
    /// largest deployment has.
    static constexpr int mostSharers = 30;

    Limits limits;
    std::map<std::string, Account, std::less<>> accounts;
    int sharers = mostSharers;
    std::optional<TimePoint> firstReport;
    TimePoint reportedAt;
    Duration memory = {}; ///< Of the collector of the last report taken.
};

// ---------------------------------------------------------------------------------------------
// Fairness between kinds and sizes

/// Tells which requests were served too seldom of late, so that they go first for a while.
/// Answers long overload, in which an order by worth alone would never serve the least worthy kind
/// or the largest requests of a kind.
class ServedShares
{
public:
    /// A request got its final answer. \param size Prompt and output in tokens, weighted.
    void note(int priority, double size, bool served, TimePoint now);
    /// Factor of the request's rank: 1, or more where its kind or its size lags behind.
    double boost(int priority, double size, TimePoint now);
    /// Size against the mean of the kind; 1 while that is not known.
    double relativeSize(int priority, double size) const;

private:
    struct Share
    {
        double asked = 0;
        double served = 0;
        TimePoint at;
    };
    struct Kind
    {
        Share whole;
        std::array<Share, 3> bySize; ///< Up to the mean, up to twice the mean, larger.
        double meanSize = 0;
    };
    static void decay(Share &share, TimePoint now);
    static std::size_t sizeClass(const Kind &kind, double size);

    std::map<int, Kind> kinds;
    Share all;
};

/// Size of a generation as the users weigh it: prompt tokens and ten for each output token.
double generationSize(std::uint32_t promptTokens, std::uint32_t outputTokens);

/// What the answer to a request is worth, against other requests.
struct AnswerWorth
{
    double onTime = 1;
    double lateShare = 0.3; ///< Part of it that a late answer is worth.
};
/// By the operator's ranks and by its size, and a part that every answer is worth.
/// \param relativeSize Against the mean of its kind. \param returned Whether its caller was refused
/// before, and has nothing left after a second refusal.
AnswerWorth answerWorth(
    int routePriority, int organisationPriority, double relativeSize, bool returned);

/// How long requests wait for room before they are refused.
struct WaitPolicy
{
    double objectiveShare = 0.6; ///< Of the route's objective, at least.
    double limitShare = 0; ///< Of the time until the answer must be there, at least.
};

// ---------------------------------------------------------------------------------------------
// Admission beside a target

/// A request that waits for room at a target or runs there.
struct Ticket
{
    std::uint64_t entry = 0; ///< Process that holds the request.
    std::uint64_t number = 0; ///< Unique within the entry.
    auto operator<=>(const Ticket &) const = default;
};

/// What the admission knows of one request.
struct TicketProfile
{
    Ticket ticket;
    std::string requestId; ///< For the log.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Likely number.
    double worth = 1; ///< Of an answer on time, against other requests.
    double lateShare = 0.3; ///< Part of it that a late answer is worth.
    Duration latencyLeft = {}; ///< Until the first event would be late; may be negative.
    Duration waitLeft = {}; ///< How long the request may wait here.
    Duration timeLeft = {}; ///< Until its answer must be complete.
    bool operator==(const TicketProfile &) const = default;
};

/// Answer to a reservation, and what an entry learns of the target by it.
struct TargetLoad
{
    int freeSlots = 0;
    int waiting = 0;
    Duration startDelay = {}; ///< Expected wait of a request that is reserved now.
    double prefillPerMs = 0; ///< Learned prompt tokens per millisecond.
    double decodePerMs = 0; ///< Learned output tokens of one request per millisecond.
    std::int64_t startedMs = 0; ///< Of the incarnation that the agent sees; 0 when not known.
};

/// Decides which waiting request its target gets next and when, so that the target's own queue in
/// order of arrival stays empty. Answers bursts, in which a target would otherwise hold seconds of
/// prompts and serve all of them late.
class TargetAdmission
{
public:
    struct Limits
    {
        /// Prompt work that may lie at the target before its first token. A quarter of the
        /// shortest first-event objective of the users' services, 300 ms, leaves room for decode.
        Duration prefillBacklog = milliseconds(120);
        /// Requests beyond the slots that may wait at the target, so that a slot does not stay
        /// empty for the round trip of the messages.
        int queueAhead = 0;
        /// A granted request of which nothing is heard is taken as ended after this.
        Duration grantLapse = seconds(16);
    };
    explicit TargetAdmission(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Puts a request in the queue; a repeated reservation changes nothing.
    void reserve(const TicketProfile &profile, int slots, TimePoint now);
    /// The request went elsewhere, was given up, or ended. \param generated Output tokens of a
    /// request that ended here.
    void release(const Ticket &ticket, std::uint32_t generated, TimePoint now);
    /// Its first event arrived.
    void began(const Ticket &ticket, TimePoint now);
    /// Takes the requests that may be sent now out of the queue, best first.
    std::vector<TicketProfile> grant(TimePoint now);
    /// Takes out what waited to the end of its time.
    std::vector<TicketProfile> expire(TimePoint now);
    /// Compares with what the target itself reports to run and to hold in its queue.
    void observe(int running, int waiting, TimePoint now);

    bool isGranted(const Ticket &ticket) const { return this->granted.contains(ticket); }
    bool isWaiting(const Ticket &ticket) const { return this->waiting.contains(ticket); }
    std::size_t waitingCount() const { return this->waiting.size(); }
    std::size_t grantedCount() const { return this->granted.size(); }
    TargetLoad load(TimePoint now) const;

private:
    struct Waiting
    {
        TicketProfile profile;
        TimePoint arrived;
    };
    struct Granted
    {
        TicketProfile profile;
        TimePoint at;
        std::optional<TimePoint> begun;
        bool alone = false; ///< Nothing was ahead of its prompt.
    };

    /// Time until the target has read the prompts that it was granted.
    double prefillAheadMs(TimePoint now) const;
    int occupied() const;
    double rankOf(const Waiting &row, double aheadMs, TimePoint now) const;

    Limits limits;
    int slots = 1;
    std::map<Ticket, Waiting> waiting;
    std::map<Ticket, Granted> granted;
    double prefillPerMs = 60; ///< First guess: half of the users' published rate.
    double decodedTokens = 150; ///< Recent output; first guess: a token each 5 ms.
    double decodedMs = 750; ///< Time that one request needed for it.
    int strangers = 0; ///< Requests at the target that were not granted here.
    int missing = 0; ///< Reports in a row that showed fewer requests than were granted.
};

// ---------------------------------------------------------------------------------------------
// Choice of a target

/// What an entry knows of one target.
struct TargetView
{
    const Target *target = nullptr;
    int ownRequests = 0; ///< Of this entry, reserved or running there.
    std::optional<TargetLoad> load; ///< As of loadAge ago.
    Duration loadAge = {};
    bool agentSilent = false; ///< Its agent did not answer lately.
    bool failing = false; ///< Requests failed there lately.
    bool holdsPrefix = false; ///< It read this session's prompt lately.
};

/// Where the entry stands, and what crossing costs.
struct EntryPlace
{
    std::string failureDomain;
    std::string region;
};

/// Orders the targets of a service from the best to the worst for a request.
/// \param draw Uniform in [0, 1); breaks ties differently in each call.
std::vector<const TargetView *> rankTargets(const std::vector<TargetView> &views,
    const RequestFacts &request, const EntryPlace &place, std::uint64_t draw);

} // namespace wigeonsill
