/// \file permits_test.cpp
/// Replays entries that share the rates of targets, with a simulated clock and network.
#include "wigeonsill/rates.h"

#include <gtest/gtest.h>

#include <random>

namespace wigeonsill {
namespace {

constexpr TimePoint start{ seconds(1'000) };
constexpr Duration window = seconds(4); ///< Of the users' rule.

/// Number of requests that the users allow in any window.
int allowedInWindow(double rate)
{
    constexpr double excess = 1.5;
    constexpr int slack = 5;
    return static_cast<int>(excess * rate * 4) + slack;
}

int mostInWindow(const std::vector<TimePoint> &sorted)
{
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < sorted.size(); ++last) {
        while (sorted[last] - sorted[first] > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
}

TEST(PermitBucket, issuesAtItsRateAndKeepsFew)
{
    for (const double rate : { 0.5, 2.9, 20.0, 200.0 }) {
        PermitBucket bucket;
        bucket.setRate(rate, start);
        std::vector<TimePoint> sent;
        for (Duration at{}; at < seconds(60); at += milliseconds(5)) {
            const bool isAsked = at < seconds(20) || at > seconds(40);
            while (isAsked && bucket.tryTake(start + at)) {
                sent.push_back(start + at);
            }
        }
        EXPECT_LE(mostInWindow(sent), allowedInWindow(rate)) << rate;
        EXPECT_GE(static_cast<double>(sent.size()), 0.9 * rate * 40 - 1) << rate;
    }
}

TEST(PermitBucket, issuesEachPermitWithoutARate)
{
    PermitBucket bucket;
    for (int i = 0; i < 1'000; ++i) {
        EXPECT_TRUE(bucket.tryTake(start));
    }
    bucket.setRate(2, start);
    EXPECT_FALSE(bucket.tryTake(start)) << "nothing has gathered before";
    bucket.setRate(std::nullopt, start);
    EXPECT_TRUE(bucket.tryTake(start));
}

/// Only an answer tells that a rate of zero is over.
TEST(PermitBucket, asksSeldomAtARateOfZero)
{
    PermitBucket bucket;
    bucket.setRate(0, start);
    std::vector<TimePoint> sent;
    for (Duration at{}; at < seconds(100); at += milliseconds(50)) {
        if (bucket.tryTake(start + at)) {
            sent.push_back(start + at);
        }
    }
    EXPECT_GE(sent.size(), 9U);
    EXPECT_LE(sent.size(), 10U);
    EXPECT_LE(mostInWindow(sent), allowedInWindow(0));
}

TEST(PermitBucket, rateThatFallsLeavesFewPermits)
{
    PermitBucket bucket;
    bucket.setRate(20, start);
    bucket.setRate(2, start + seconds(10));
    int taken = 0;
    while (bucket.tryTake(start + seconds(10))) {
        ++taken;
    }
    EXPECT_LE(taken, 2);
    EXPECT_EQ(bucket.untilAvailable(1, start + seconds(10)), milliseconds(500));
    bucket.giveBack(start + seconds(10));
    EXPECT_TRUE(bucket.tryTake(start + seconds(10)));
}

TEST(PermitIssuer, newestStatementHoldsAndAnIncarnationHasItsOwn)
{
    PermitIssuer issuer;
    const RateStatement old{ "a", 1, 100, start };
    const RateStatement fallen{ "a", 1, 1, start + seconds(1) };
    issuer.request(old, 1, false, start);
    issuer.request(fallen, 1, false, start + seconds(1));
    EXPECT_EQ(issuer.request(old, 16, false, start + seconds(2)).permits, 2)
        << "of the fallen rate";
    EXPECT_EQ(issuer.request({ "a", 2, 100, start }, 1, false, start + seconds(2)).untilNext,
        milliseconds(10));
    EXPECT_EQ(issuer.size(), 2U);
    issuer.expire(start + seconds(3) + PermitIssuer::memoryTime);
    EXPECT_EQ(issuer.size(), 0U);
}

TEST(PermitIssuer, memoryIsBounded)
{
    PermitIssuer issuer;
    for (std::size_t i = 0; i < 2 * PermitIssuer::maximumTargets; ++i) {
        issuer.request({ std::to_string(i), 1, 1, start }, 1, false, start);
    }
    EXPECT_EQ(issuer.size(), PermitIssuer::maximumTargets);
}

/// Entries without anyone who issues permits draw their slots.
TEST(PermitShare, sharesOfAllEntriesStayUnderTheRate)
{
    for (const int entries : { 2, 4, 40 }) {
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<PermitShare> shares(static_cast<std::size_t>(entries));
        std::vector<TimePoint> sent;
        for (Duration at = seconds(100); at < seconds(200); at += milliseconds(10)) {
            for (PermitShare &share : shares) {
                if (share.isAvailable(2.9, entries, uniform(random), start + at)) {
                    share.take();
                    sent.push_back(start + at);
                }
            }
        }
        EXPECT_LE(mostInWindow(sent), allowedInWindow(2.9)) << entries;
        EXPECT_GE(static_cast<double>(sent.size()), 0.8 * PermitShare::usedShare * 2.9 * 100)
            << entries;
    }
}

/// Entries with an issuer and its deputy, over a network that delays and loses datagrams.
/// Load pattern: all callers are at one entry, at some or at all; they move within a second; the
/// issuer falls silent for all or for some entries; its limit falls.
class SharedRate
{
public:
    explicit SharedRate(std::size_t entryCount, double rateStated, std::uint64_t seed)
        : entries(entryCount)
        , rate(rateStated)
        , random(seed)
    {
    }

    /// Requests reach the entries from begin to end (indexes), together so many a second.
    void play(Duration time, std::size_t begin, std::size_t end, double perSecond)
    {
        for (const TimePoint until = this->now + time; this->now < until;
             this->now += milliseconds(1)) {
            this->deliver();
            if (this->draw() < perSecond / 1'000) {
                this->arrive(begin
                    + static_cast<std::size_t>(this->draw() * static_cast<double>(end - begin)));
            }
        }
    }

    std::vector<PermitStock> entries;
    double rate;
    std::mt19937_64 random;
    double loss = 0.02;
    bool issuerSilent = false; ///< To entries with an even index if onlySome.
    bool onlySome = false;
    TimePoint now = start;
    TimePoint statedAt = start;
    std::vector<TimePoint> sent;

private:
    struct Message
    {
        TimePoint at;
        std::size_t entry;
        int wanted;
        bool isAnswer;
        bool asDeputy;
        PermitIssuer::Answer answer;
    };
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    TimePoint arrivalTime()
    {
        constexpr double longestDelayUs = 15'000;
        return this->now + milliseconds(1)
            + Duration(static_cast<std::int64_t>(this->draw() * longestDelayUs));
    }

    void arrive(std::size_t index)
    {
        PermitStock &stock = this->entries[index];
        stock.recordDemand();
        if (stock.tryTake(this->now)) {
            this->sent.push_back(this->now);
        }
        const int wanted = stock.toAsk(this->now);
        if (wanted > 0) {
            TimePoint &until = this->passedOverUntil[index];
            until = stock.isUnanswered(this->now) ? this->now + seconds(1) : until;
            stock.recordAsked(this->now);
            this->send({ this->arrivalTime(), index, wanted, false, this->now < until, {} });
        }
    }
    void send(const Message &message)
    {
        if (this->draw() >= this->loss) {
            this->messages.push_back(message);
        }
    }
    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(this->messages, [this, &due](const Message &message) {
            if (message.at <= this->now) {
                due.push_back(message);
            }
            return message.at <= this->now;
        });
        for (const Message &message : due) {
            if (message.isAnswer) {
                this->entries[message.entry].recordAnswer(message.answer, this->now);
                continue;
            }
            const bool silent = this->issuerSilent && (!this->onlySome || message.entry % 2 == 0);
            if (silent && !message.asDeputy) {
                continue;
            }
            PermitIssuer &issuer = message.asDeputy ? this->deputy : this->first;
            this->send({ this->arrivalTime(), message.entry, 0, true, message.asDeputy,
                issuer.request({ "a", 1, this->rate, this->statedAt }, message.wanted,
                    message.asDeputy, this->now) });
        }
    }

    PermitIssuer first;
    PermitIssuer deputy;
    std::map<std::size_t, TimePoint> passedOverUntil;
    std::vector<Message> messages;
};

TEST(SharedRate, sumStaysUnderTheRateAndIsNearlyUsed)
{
    for (const std::size_t count : { 1U, 2U, 4U, 40U }) {
        for (const double rate : { 0.5, 2.9, 20.0 }) {
            SharedRate shared(count, rate, count);
            shared.play(seconds(30), 0, count, 100);
            EXPECT_LE(mostInWindow(shared.sent), allowedInWindow(rate)) << count << ' ' << rate;
            EXPECT_GE(static_cast<double>(shared.sent.size()), 0.8 * rate * 30 - 1)
                << count << ' ' << rate;
        }
    }
}

TEST(SharedRate, loadThatMovesBetweenEntriesUsesTheRate)
{
    SharedRate shared(40, 5, 1);
    for (std::size_t turn = 0; turn < 30; ++turn) {
        shared.play(seconds(1), turn, turn + 1, 100);
    }
    EXPECT_LE(mostInWindow(shared.sent), allowedInWindow(5));
    EXPECT_GE(static_cast<double>(shared.sent.size()), 0.8 * 5 * 30);
}

TEST(SharedRate, burstsAtAllEntriesAfterAPauseStayUnderTheRate)
{
    SharedRate shared(40, 2.9, 2);
    for (int turn = 0; turn < 5; ++turn) {
        shared.play(seconds(2), 0, 40, 400);
        shared.play(seconds(5), 0, 40, 0);
    }
    EXPECT_LE(mostInWindow(shared.sent), allowedInWindow(2.9));
}

TEST(SharedRate, silentIssuerIsReplacedByItsDeputy)
{
    for (const bool onlySome : { false, true }) {
        SharedRate shared(4, 4, 3);
        shared.play(seconds(10), 0, 4, 100);
        shared.issuerSilent = true;
        shared.onlySome = onlySome;
        const std::size_t before = shared.sent.size();
        shared.play(seconds(20), 0, 4, 100);
        EXPECT_LE(mostInWindow(shared.sent), allowedInWindow(4)) << onlySome;
        EXPECT_GE(static_cast<double>(shared.sent.size() - before), 0.4 * 4 * 20) << onlySome;
    }
}

TEST(SharedRate, rateThatFallsHoldsWithinSeconds)
{
    SharedRate shared(4, 20, 4);
    shared.play(seconds(10), 0, 4, 100);
    shared.rate = 2;
    shared.statedAt = shared.now;
    shared.play(seconds(3), 0, 4, 100);
    shared.sent.clear();
    shared.play(seconds(20), 0, 4, 100);
    EXPECT_LE(mostInWindow(shared.sent), allowedInWindow(2));
    EXPECT_GE(shared.sent.size(), 32U);
}

} // namespace
} // namespace wigeonsill
