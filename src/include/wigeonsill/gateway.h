/// \file gateway.h
/// Public header of the gateway library: the decisions of an entry that forwards HTTP requests
/// directly to targets, and of the agent that admits requests to its target. Covers routes,
/// organisations and their API keys, quotas, retry budgets, target selection and admission.
/// The library opens no sockets, sets no timers and reads no clock: callers pass the current time
/// as an argument. Nothing is thread-safe unless its comment says so.
#pragma once

#include "wigeonsill/capacity.h"
#include "wigeonsill/rates.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace wigeonsill {

// ---------------------------------------------------------------------------------------------
// Active configuration

/// Type of the requests of a route: whether they may run more than once and whether their answers
/// are event streams.
enum class RouteType : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered by a stream of events; runs at most once unless the route is resumable.
};
inline constexpr std::array routeTypeNames = {
    EnumName<RouteType>{ RouteType::Idempotent, "idempotent" },
    EnumName<RouteType>{ RouteType::NonIdempotent, "non-idempotent" },
    EnumName<RouteType>{ RouteType::Stream, "stream" },
};

/// A service that a route may select, with its weight in the selection.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// How requests for one host and path prefix are handled.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RouteType routeType = RouteType::NonIdempotent;
    std::vector<WeightedService> services; ///< At least one.
    Duration timeout = seconds(30); ///< Maximum time until the answer is complete.
    /// Objective for the first event of a stream, or for the complete answer of another request.
    Duration latencyObjective = seconds(1);
    Duration eventGapObjective
        = seconds(1); ///< Objective for the time between two events of a stream.
    int priority = 0; ///< Priority class of the requests; 0 is the most urgent.
    int maximumAttempts = 1; ///< Number of targets that one request may be sent to.
    bool anonymous = false; ///< Requests need no API key.
    bool resumable = false; ///< An interrupted stream may be resumed at another target.

    /// Whether a request may safely run more than once.
    bool isRetrySafe() const
    {
        return this->routeType == RouteType::Idempotent
            || (this->routeType == RouteType::Stream && this->resumable);
    }
};

/// Settings of a service that routes refer to.
struct ServiceProfile
{
    std::string name;
    std::string healthPath;
    int maximumConnections = 100; ///< Limit of one target for the connections of all callers.
    bool isEngine = false; ///< Its targets are model engines, each with an agent beside it.
    int tokensPerEvent = 1; ///< Output tokens in one event of a stream.
};

/// A customer organisation with its API keys and its quota.
struct OrganisationAccount
{
    std::string name;
    std::vector<std::string> keys;
    /// Reduces the utility of its answers in addition to the route's priority; 0, the most urgent,
    /// when absent.
    std::optional<int> priority;
    double ratePerSecond = 0; ///< Quota in requests or tokens per second; 0 for no limit.
    double burst = 0; ///< Amount allowed beyond the rate in one quota window.
    bool countsTokens = false; ///< The quota counts tokens instead of requests.
    double defaultTokenCost = 1; ///< Tokens charged for a request that states no token counts.
};

/// Limits on what callers may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    Duration headerTimeout = seconds(3); ///< For receiving a request header.
    Duration idleTimeout = seconds(15); ///< For an idle connection, or receiving a request body.
};

/// One accepted revision of the configuration. Immutable once built, so const access is
/// thread-safe.
class ServingConfiguration
{
public:
    class Builder;

    std::uint64_t version() const { return this->revision; }
    const CallerLimits &limits() const { return this->callerLimits; }
    /// Finds the route of the host with the longest prefix that matches the path; nullptr when
    /// there is none. \param host Value of the Host field; a port is ignored.
    /// \param path Without the query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Finds the organisation that owns an API key; nullptr when there is none.
    const OrganisationAccount *findOrganisation(std::string_view key) const;
    /// Returns nullptr for an undeclared service.
    const ServiceProfile *findService(std::string_view name) const;
    const std::vector<OrganisationAccount> &organisations() const
    {
        return this->organisationAccounts;
    }
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
    std::vector<OrganisationAccount> organisationAccounts;
    ByName<std::size_t> accountIndexByKey;
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
    /// Errors: SettingsOutOfRange for a route without a service or with a prefix that does not
    /// begin and end with a slash.
    Result<std::shared_ptr<const ServingConfiguration>> build();

private:
    std::shared_ptr<ServingConfiguration> result = std::make_shared<ServingConfiguration>();
    std::string lastProblem;
};

/// Selects one of a route's services at random by weight.
/// \param uniformRandom Uniformly distributed in [0, 1).
const std::string &selectService(const Route &route, double uniformRandom);

// ---------------------------------------------------------------------------------------------
// Requests

/// A part of a prompt that several requests may have in common.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller states about its request, decoded once from the HTTP header.
struct RequestMetadata
{
    std::string id; ///< Of this request; a caller retry has another one.
    std::string key; ///< API key; empty when the request carries none.
    std::optional<Duration> deadline; ///< How long the caller waits, from the request's arrival.
    std::uint32_t promptTokens = 0; ///< 0 when not stated.
    std::uint32_t outputTokens = 0; ///< Maximum number of tokens to generate; 0 when not stated.
    std::optional<std::uint32_t> callerOutputEstimate; ///< Output tokens that the caller expects.
    std::vector<PromptPart> parts;
    std::string lastEventId; ///< Last event that the caller received; empty for a new stream.
    /// Id of the request that brought the first event of the stream that the caller takes up.
    std::string resumedRequest;
    /// The caller sets a condition that a target may reject as it rejects requests for others.
    bool hasCondition = false;

    bool hasTokenCounts() const { return this->promptTokens + this->outputTokens > 0; }
    /// The caller's estimate of the output in tokens if it gave one, else the maximum.
    std::uint32_t estimatedOutputTokens() const;
};

/// Estimates how long a caller has been trying before this request, from its remaining deadline;
/// zero for a first attempt. Deadlines of first attempts on one route differ, so only a deadline
/// well below the longest one indicates a caller retry.
/// \param longestDeadline Longest deadline seen on the route.
/// \param statedDeadline Deadline of this request.
Duration estimateTimeAlreadySpent(Duration longestDeadline, Duration statedDeadline);

/// Amount that a request consumes from an organisation's quota, in tokens or requests.
double quotaCost(const OrganisationAccount &organisation, const RequestMetadata &request);

// ---------------------------------------------------------------------------------------------
// Retry budgets and quotas

/// Limits the retries for a service to a share of its requests in a sliding window. Prevents
/// retries from doubling the load while targets fail many requests.
class ServiceRetryBudget
{
public:
    struct Limits
    {
        double retryRatio = 0.2; ///< Retries per request.
        /// Retries that all entries together may send in a window in addition to the ratio.
        double retrySlack = 5;
        Duration window = seconds(10);
    };
    explicit ServiceRetryBudget(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Counts a new request for the service.
    void recordRequest(const std::string &service, TimePoint now);
    /// Consumes one retry; returns false when the window's budget is exhausted.
    bool tryAcquire(const std::string &service, TimePoint now);
    /// Returns the latest retry that was acquired but not sent.
    void refund(const std::string &service);
    /// Sets the number of entries that share the slack, this one included. \pre entries > 0.
    void setSharingEntries(int entries) { this->sharingEntryCount = entries; }

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    void removeExpired(Window &window, TimePoint now) const;

    Limits limits;
    int sharingEntryCount = 1;
    std::map<std::string, Window, std::less<>> windows;
};

/// The quota usage of a deployment's entries, as reported to one collector.
struct UsageReport
{
    /// Usage of the other entries in the window, by organisation.
    std::map<std::string, double> othersUsage;
    int sharingEntries = 1; ///< Number of entries that share the quotas, including the recipient.
    Duration collectorAge = {}; ///< How long the collector has been running.
    /// Amount requested per second at the other entries, by organisation.
    std::map<std::string, double> othersDemand;
    std::uint64_t collector = 0; ///< Random id of the collector's process.
    /// Share of the entries that the collector hears of now. The others may be cut off and use up
    /// their share of the quotas.
    double reachedShare = 1;
};

/// Quota usage of an organisation at one entry.
struct OrganisationUsage
{
    double inWindow = 0; ///< Admitted in the quota's window.
    double total = 0; ///< Admitted since the entry's start.
    double demand = 0; ///< Recently requested per second, admitted or not.
};
using UsageByOrganisation = std::map<std::string, OrganisationUsage>;

/// Sums up the usage reports of all entries. Keeps the samples of a whole window, since an entry
/// that was killed cannot report which part of its usage has left the window. The sums are kept up
/// to date with each report, so that the work for a report does not grow with the number of
/// entries.
class UsageCollector
{
public:
    /// \param now Start of the collection.
    UsageCollector(Duration slidingWindow, TimePoint now)
        : window(slidingWindow)
        , startedAt(now)
    {
    }

    /// Adds a usage report. \param entry Random id of the entry's incarnation.
    void addReport(std::uint64_t entry, const UsageByOrganisation &usage, TimePoint now);
    /// Removes an entry whose usage another collector counts from now on.
    void remove(std::uint64_t entry);
    /// Sums up the usage in the window of all entries but the given one.
    UsageReport reportFor(std::uint64_t entry, TimePoint now);
    std::size_t entryCount() const { return this->entries.size(); }
    /// The entries that reported lately, and so share the quotas.
    std::vector<std::uint64_t> reportingEntryIds(TimePoint now) const;

private:
    struct Amounts
    {
        double usage = 0; ///< In the window.
        double demand = 0; ///< Requested per second.
    };
    using AmountsByOrganisation = std::map<std::string, Amounts, std::less<>>;
    /// An organisation's total at an entry.
    struct Total
    {
        double value = 0; ///< Highest that was reported lately.
        TimePoint at; ///< When a report last stated this value.
    };
    struct Sample
    {
        TimePoint at;
        std::map<std::string, double, std::less<>> totals;
    };
    struct Entry
    {
        /// Oldest first. The first sample is the baseline: the totals at the start of the window.
        std::deque<Sample> samples;
        UsageByOrganisation latest;
        /// By organisation. A report that was overtaken by a newer one states a lower total.
        std::map<std::string, Total, std::less<>> totals;
        AmountsByOrganisation counted; ///< The part of the sums that is this entry's.
        bool reporting = false; ///< Counted as sharing the quotas.
    };
    void removeExpired(TimePoint now);
    /// Adopts the totals of a report, unless it may have been overtaken by the one before.
    static void adoptTotals(Entry &entry, const UsageByOrganisation &usage, TimePoint now);
    /// Removes samples that are older than the window, all but one, which is the baseline.
    void removeExpiredSamples(Entry &entry, TimePoint now) const;
    /// Replaces the entry's part of the sums.
    void recount(Entry &entry, TimePoint now);
    void discount(Entry &entry);

    Duration window;
    TimePoint startedAt;
    TimePoint expiredAt; ///< Of the last call of removeExpired() that looked at all entries.
    std::map<std::uint64_t, Entry> entries;
    AmountsByOrganisation sums;
    int reportingEntries = 0;
};

/// Why a request was refused for its organisation's quota. Amounts are of all entries together.
struct QuotaRefusal
{
    Duration untilRoom = {}; ///< Expected time until a request of the same cost would fit.
    double allowance = 0; ///< In a window.
    double usage = 0; ///< In the window, as far as it is known.
    double demand = 0; ///< Requested per second.
    bool sharedByReports = false; ///< Otherwise the entry has only its own share of the quota.
    Duration collectorAge = {}; ///< A collector younger than the window allows only what accrued.
};

/// Enforces the organisations' quotas over a sliding window, together with the other entries. Each
/// entry knows the remaining quota and the total demand at all entries as of the last report, and
/// admits the fraction of its own requests that would use up the remaining quota over a short time.
/// Handles an organisation that sends many times its usual rate through all entries. The fraction
/// does not depend on a request's size, so that an organisation near its quota still gets its
/// longest prompts admitted, no matter how many entries share the quota.
class QuotaLimiter
{
public:
    struct Limits
    {
        Duration window = seconds(8); ///< Sliding window of the quota.
        double slack = 0; ///< Amount by which a window may exceed the quota.
        double excess = 0; ///< Share of the quota by which a window may exceed it.
    };
    explicit QuotaLimiter(const Limits &bounds)
        : limits(bounds)
    {
    }

    /// Admits a request of the given cost, or returns why not. A request of an organisation without
    /// a limit is always admitted.
    std::optional<QuotaRefusal> admit(
        const OrganisationAccount &organisation, double cost, TimePoint now);
    /// Refunds the cost of an admitted request that did not run.
    void refund(const std::string &organisation, double cost, TimePoint now);
    /// This entry's usage, by organisation, to be reported now.
    UsageByOrganisation ownUsage(TimePoint now);
    /// Whether so much was admitted since ownUsage() that the others have to know it before their
    /// next round: what an entry has not reported is not counted any more when it is killed.
    bool isReportDue() const { return this->reportDue; }
    /// Applies a report of the other entries' usage. A report of a collector that has run for less
    /// than a window is ignored while there is a recent one of a collector that has run longer.
    /// Without such a one, only the part of the quota that has accrued since the collector's start
    /// is available. Of recent reports of several collectors, the highest usage of an organisation
    /// counts, since a collector may have missed the last report of an entry that was killed.
    void applyReport(const UsageReport &report, TimePoint now);
    /// Number of entries that share the quotas, this one included.
    int sharingEntries() const { return this->sharingEntryCount; }
    /// Number of entries in the largest deployment. Assumed at first, since all entries may have
    /// been started together and not yet have reported.
    static constexpr int largestDeploymentEntries = 300;

private:
    struct Account
    {
        std::deque<std::pair<TimePoint, double>> admitted;
        double ownInWindow = 0; ///< Sum of the costs in admitted.
        double total = 0; ///< Admitted since the start.
        double reportedTotal = 0; ///< Of total, as of the last ownUsage().
        /// Usage of the other entries by collector, each with the time of its report.
        std::map<std::uint64_t, std::pair<TimePoint, double>> othersByCollector;
        double othersInWindow = 0; ///< Usage of the other entries.
        double othersDemand = 0; ///< Requested per second at the other entries.
        double requested = 0; ///< Sum of requested costs, decaying exponentially with their age.
        std::optional<TimePoint> firstRequestAt;
        TimePoint demandUpdatedAt;
        /// Grows by the admitted fraction with each request; one request is admitted for each 1.
        double admissionCredit = 0;
    };
    Account &accountFor(const std::string &name, TimePoint now);
    static void recordDemand(Account &account, double cost, TimePoint now);
    /// Requested cost per second.
    static double measureDemand(const Account &account, TimePoint now);
    /// Amount that all entries together may admit in a window.
    double windowAllowance(const OrganisationAccount &organisation, TimePoint now) const;
    /// Whether a recent report was applied.
    bool hasReport(TimePoint now) const;
    /// Whether the first report may still come. The usage in the window, of which a predecessor
    /// that was killed may have admitted a part, is unknown until then.
    bool awaitsFirstReport(TimePoint now);

    Limits limits;
    std::map<std::string, Account, std::less<>> accounts;
    int sharingEntryCount = largestDeploymentEntries;
    bool reportDue = false;
    std::optional<TimePoint> firstAskedAt; ///< Of the first call of admit() with a limit.
    std::optional<TimePoint> firstReportAt;
    TimePoint lastReportAt;
    Duration collectorAge = {}; ///< Of the last report that was applied.
    double reachedShare = 1; ///< Of the last report that was applied.
};

// ---------------------------------------------------------------------------------------------
// Fairness between priority classes and request sizes

/// Measures the recent share of requests that were served, by priority class and size, and raises
/// the utility of classes whose share is low. Without it, scheduling by utility alone would never
/// serve the lowest priority class or the largest requests of a class during long overload.
class ServedShareTracker
{
public:
    /// Records the outcome of a request.
    /// \param size Weighted prompt and output tokens, see generationSize().
    void recordOutcome(int priority, double size, bool served, TimePoint now);
    /// Factor for the utility of a request: 1, or more when its priority class or its size class
    /// was served too seldom.
    double utilityFactor(int priority, double size, TimePoint now);
    /// Size relative to the mean of the priority class; 1 while the mean is unknown.
    double relativeSize(int priority, double size) const;

private:
    /// Counts of requests, decaying exponentially with their age.
    struct ServedCounts
    {
        double requested = 0;
        double served = 0;
        TimePoint at; ///< Time of the last decay.
    };
    struct PriorityClass
    {
        ServedCounts overall;
        /// Size classes: below the mean, below twice the mean, larger.
        std::array<ServedCounts, 3> bySize;
        double meanSize = 0;
    };
    static void decay(ServedCounts &counts, TimePoint now);
    /// Index in PriorityClass::bySize.
    static std::size_t sizeClass(const PriorityClass &priorityClass, double size);

    std::map<int, PriorityClass> priorityClasses;
    ServedCounts all;
};

/// Weighted size of a generation: its prompt tokens plus ten times its output tokens, as the users
/// weigh them.
double generationSize(std::uint32_t promptTokens, std::uint32_t outputTokens);

/// Utility of the answer to a request, against other requests.
struct AnswerUtility
{
    double onTime = 1; ///< Of an answer on time.
    double lateShare = 0.3; ///< Utility of a late answer as a share of onTime.
};
/// Computes the utility from the priorities and the size, plus a part that every answer has.
/// \param relativeSize Size relative to the mean of the priority class.
/// \param callerRetry Whether the caller was refused before; it has no time left after a second
/// refusal.
AnswerUtility answerUtility(
    int routePriority, int organisationPriority, double relativeSize, bool callerRetry);

/// How long requests wait for a free slot before they are refused: the longer of the two times.
struct WaitPolicy
{
    double objectiveShare = 0.6; ///< Share of the route's latency objective.
    double limitShare = 0; ///< Share of the time until the answer must be complete.
};

// ---------------------------------------------------------------------------------------------
// Admission at the agent of a target

/// Identifies a request's reservation at an agent.
struct ReservationId
{
    std::uint64_t entry = 0; ///< Id of the entry process that handles the request.
    std::uint64_t number = 0; ///< Unique within the entry.
    auto operator<=>(const ReservationId &) const = default;
};

/// What the admission knows about a request with a reservation. Times are from the reservation on.
struct ReservationProfile
{
    ReservationId reservationId;
    std::string requestId; ///< For the log.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Estimated number.
    double utility = 1; ///< Utility of an answer on time, against other requests.
    double lateShare = 0.3; ///< Utility of a late answer as a share of that of one on time.
    Duration latencyLeft = {}; ///< Until the latency objective is missed; may be negative.
    Duration waitLeft = {}; ///< Maximum wait at this agent.
    Duration timeLeft = {}; ///< Until the answer must be complete.
    bool operator==(const ReservationProfile &) const = default;
};

/// Load of a target, which an agent reports with each answer to a reservation.
struct TargetLoad
{
    int freeSlots = 0;
    int waiting = 0; ///< Number of requests that wait at the agent.
    Duration startDelay = {}; ///< Expected wait of a request that is reserved now.
    double prefillTokensPerMs = 0; ///< Measured prompt tokens per millisecond.
    double decodeTokensPerMs = 0; ///< Measured output tokens of one request per millisecond.
    /// Unix time of the start of the incarnation that the agent sees; 0 when unknown.
    std::int64_t startedMs = 0;
    /// Until the target's rate leaves a permit for a request that is reserved now; zero without
    /// one.
    Duration untilPermit = {};
};

/// What an agent has learned about the speed, the limit and the memory of the engine beside it.
class LearnedEngine
{
public:
    /// Forgets everything: another incarnation of the engine answers.
    void reset() { *this = LearnedEngine(); }
    /// Records that the number of requests at the engine changes. \param running The number before.
    void recordRunning(int running, TimePoint now);
    /// Request time at the engine since the start, for meanRunning().
    double runningIntegralMs() const { return this->runningMs; }
    /// Mean number of requests at the engine since a time at which runningIntegralMs() was taken.
    double meanRunning(double integralMs, TimePoint since, TimePoint now) const;

    void recordFirstEvent(
        std::uint32_t promptTokens, TimePoint grantedAt, bool behindPrompt, TimePoint now);
    /// Records a first event whose time does not show the engine's speed.
    void recordOtherFirstEvent(TimePoint now) { this->lastFirstEventAt = now; }
    void recordEnd(std::uint32_t generated, TimePoint firstEventAt, double running, TimePoint now);
    void recordPending(const PendingWork &pending, TimePoint now)
    {
        this->engineModel.recordPending(pending, now);
    }
    void recordNeed(const ReservationProfile &profile)
    {
        this->engineLimit.recordNeed(profile.outputTokens, profile.timeLeft);
    }
    /// When the engine could begin with a prompt that was granted then.
    TimePoint beginOf(TimePoint grantedAt) const
    {
        return std::max(grantedAt, this->lastFirstEventAt);
    }
    const EngineModel &model() const { return this->engineModel; }
    /// Evaluates the limit of concurrent requests; see EngineLimit::update().
    int updateLimit(int slots, bool isLoaded, TimePoint now)
    {
        return this->engineLimit.update(this->engineModel, slots, isLoaded, now);
    }

    /// Records the memory that the engine reports. \param total In tokens; empty when it does not
    /// state it. \param used In tokens. \param granted Tokens of all granted requests.
    void recordMemory(
        std::optional<std::int64_t> total, std::optional<std::int64_t> used, std::int64_t granted);
    /// Whether the engine's memory holds another request. A request that has the engine for itself
    /// may use all of it, others leave a tenth.
    bool hasMemory(std::int64_t granted, std::int64_t needed) const;
    std::optional<std::int64_t> memoryTokens() const { return this->memoryTotal; }

private:
    EngineModel engineModel;
    EngineLimit engineLimit;
    TimePoint lastFirstEventAt;
    double runningMs = 0;
    TimePoint runningAt;
    std::optional<std::int64_t> memoryTotal;
    std::int64_t memoryBeyondGrants = 0; ///< Used by requests that were not granted here.
};

/// Decides which waiting request is sent to the target next and when, so that the target's own
/// first-in, first-out queue stays empty. In a burst, the target would otherwise queue prompts for
/// seconds and answer all of them late.
class TargetAdmission
{
public:
    struct Limits
    {
        /// Maximum prompt work at the target that has not yielded a first token. Leaves time for
        /// decoding in the shortest first-event objective of the users' services, 300 ms.
        Duration prefillBacklog = milliseconds(120);
        /// Number of requests beyond the slots that may wait at the target, so that a slot does not
        /// stay idle for the round trip between agent and entry.
        int queueAhead = 0;
        /// A granted request is considered ended this long after its grant.
        Duration grantTimeout = seconds(16);
        /// The engine's speed, its limit of concurrent requests and its memory are learned and used
        /// in place of constants and slots.
        bool learnCapacity = false;
    };
    explicit TargetAdmission(const Limits &bounds)
        : limits(bounds)
    {
        if (bounds.learnCapacity) {
            this->learned.emplace();
        }
    }

    /// Adds a request to the queue; repeating a reservation has no effect. \pre !isClosed(now).
    void reserve(const ReservationProfile &profile, int slots, TimePoint now);
    /// Records what the target states about itself in an answer. A target that is leaving gets no
    /// grants until another incarnation answers in its place.
    /// \param startedMs As TargetReport::startedMs; empty when the answer does not tell it.
    void recordTargetState(std::optional<std::int64_t> startedMs, bool leaving);
    /// Records that the target wants no requests for a time, of which QuietTargets::longestTime is
    /// believed. A time that is already running is not shortened.
    void recordQuiet(Duration time, TimePoint now);
    /// Records the requests a second that the target states it takes, from this agent's report or
    /// from an entry's answer; empty when it stopped stating a rate. Each grant then needs a
    /// permit. \param at When the answer was received; an older one than the last is ignored.
    /// \returns Whether the rate changed.
    bool recordRate(std::optional<double> perSecond, TimePoint at, TimePoint now);
    bool isLimited() const { return this->permits.isLimited(); }
    double ratePerSecond() const { return this->permits.rate(); }
    bool isQuiet(TimePoint now) const { return now < this->quietUntil; }
    bool isLeaving() const { return this->leaving; }
    /// Whether the target takes no requests at this time: nothing is granted.
    bool isClosed(TimePoint now) const { return this->leaving || this->isQuiet(now); }
    /// Removes all waiting requests and returns them.
    std::vector<ReservationProfile> removeWaiting();
    /// Removes a request that was sent to another target, was given up or has ended.
    /// \param generated Output tokens of a request that ended at this target, else 0.
    /// \param unused The request was not sent to the target, so that a grant's permit is left.
    void release(
        const ReservationId &reservationId, std::uint32_t generated, bool unused, TimePoint now);
    /// Records that the first event of a granted request arrived.
    void recordFirstEvent(const ReservationId &reservationId, TimePoint now);
    /// Removes the requests that may be sent now from the queue and returns them, best first.
    std::vector<ReservationProfile> grant(TimePoint now);
    /// Removes the waiting requests whose maximum wait is over, or will be before the target's rate
    /// leaves them a permit, and returns them. Also drops grants that timed out.
    std::vector<ReservationProfile> expire(TimePoint now);
    /// Compares the grants with the numbers of running and queued requests that the target reports.
    /// Requests beyond the grants occupy slots; grants that are missing from several reports in a
    /// row are dropped.
    void reconcile(int running, int waiting, TimePoint now);
    /// Records the memory that the target reports, in tokens. Has no effect without learnCapacity.
    void recordMemory(std::optional<std::int64_t> total, std::optional<std::int64_t> used);
    /// What was learned about the target; null without learnCapacity.
    const LearnedEngine *learnedEngine() const { return this->learned ? &*this->learned : nullptr; }
    /// Number of requests that may be granted at once, apart from the queue ahead.
    int concurrencyLimit() const { return this->learned ? this->learnedLimit : this->slots; }
    /// Prompt and output tokens of all granted requests.
    std::int64_t grantedTokens() const;

    bool isGranted(const ReservationId &reservationId) const
    {
        return this->granted.contains(reservationId);
    }
    bool isWaiting(const ReservationId &reservationId) const
    {
        return this->waiting.contains(reservationId);
    }
    std::size_t waitingCount() const { return this->waiting.size(); }
    std::size_t grantedCount() const { return this->granted.size(); }
    TargetLoad load(TimePoint now) const;

private:
    struct Waiting
    {
        ReservationProfile profile;
        TimePoint reservedAt;
    };
    struct Granted
    {
        ReservationProfile profile;
        TimePoint at; ///< Of the grant.
        std::optional<TimePoint> firstEventAt;
        bool nothingAhead = false; ///< No other prompt was pending at the target at the grant.
        std::int64_t targetStartedMs = 0; ///< Incarnation to which it was granted.
        /// All slots were taken at the grant, so its prompt waits for the end of another request.
        bool waitsForSlot = false;
        double runningIntegralMs = 0; ///< LearnedEngine::runningIntegralMs() at the first event.
    };

    /// Time for which a prompt occupies the target.
    double promptMs(double tokens) const;
    /// Time from first event to end of one more request.
    double decodeMs(std::uint32_t outputTokens) const;
    /// prefillAheadMs() by what was learned.
    double learnedAheadMs(TimePoint now) const;
    void recordRunning(TimePoint now);
    void recordPending(TimePoint now);
    void updateLimit(TimePoint now);
    bool hasMemoryFor(const ReservationProfile &profile) const;
    /// Waiting request with the highest score that the target's memory holds.
    std::map<ReservationId, Waiting>::iterator bestWaiting(double aheadMs, TimePoint now);
    /// Expected time until the target has processed the prompts of the granted requests.
    double prefillAheadMs(TimePoint now) const;
    int occupiedSlots() const;
    /// Removes the waiting requests that get no permit within their wait, least useful ones first.
    std::vector<ReservationProfile> removeBeyondRate(TimePoint now);
    /// Score of a waiting request in grant(): expected utility per unit of cost.
    double scoreOf(const Waiting &record, double aheadMs, TimePoint now) const;

    Limits limits;
    int slots = 1;
    std::optional<LearnedEngine> learned;
    int learnedLimit = 1;
    std::int64_t targetStartedMs = 0;
    bool leaving = false; ///< Stated by this incarnation of the target.
    TimePoint quietUntil; ///< Stated by this incarnation of the target.
    PermitBucket permits; ///< At the rate that this incarnation of the target stated.
    std::optional<double> statedRate;
    std::optional<TimePoint> rateStatedAt; ///< When the answer was received that stated it last.
    std::map<ReservationId, Waiting> waiting;
    std::map<ReservationId, Granted> granted;
    double prefillTokensPerMs = 60; ///< Initial value: half of the rate that the users published.
    double decodedTokens = 150; ///< Recent output; initial value: one token every 5 ms.
    double decodedMs = 750; ///< Time in which one request generated decodedTokens.
    int untrackedRequests = 0; ///< Requests at the target that were not granted here.
    int consecutiveShortReports = 0; ///< Reports in a row with fewer requests than were granted.
};

// ---------------------------------------------------------------------------------------------
// Target selection

/// What an entry knows about a target.
struct TargetView
{
    const Target *target = nullptr;
    int ownRequests = 0; ///< Requests of this entry that are reserved or running there.
    std::optional<TargetLoad> load; ///< Last load that its agent reported.
    Duration loadAge = {}; ///< Time since that report.
    bool agentUnresponsive = false; ///< Its agent left a recent reservation unanswered.
    bool failing = false; ///< Recent requests failed there.
    bool hasPermit = false; ///< It states a rate, which leaves room for one request of this entry.
    bool hasCachedPrefix = false; ///< It recently processed the prompt of the same session.
};

/// Location of an entry, which determines the cost of reaching a target.
struct EntryLocation
{
    std::string failureDomain;
    std::string region;
};

/// Orders the targets of a service from the best to the worst for a request.
/// \param seed Random number that varies the order of similar targets between calls.
std::vector<const TargetView *> rankTargets(const std::vector<TargetView> &views,
    const RequestMetadata &request, const EntryLocation &location, std::uint64_t seed);

} // namespace wigeonsill
