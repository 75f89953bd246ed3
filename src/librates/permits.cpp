/// \file permits.cpp
/// Permits that keep the rate of a target among all processes that send to it.
#include "wigeonsill/rates.h"

#include <algorithm>

namespace wigeonsill {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double PermitBucket::capacity() const
{
    return std::max(minimumKept, this->rate() * keptSeconds);
}

double PermitBucket::available(TimePoint now) const
{
    const double gained = toSeconds(std::max<Duration>(now - this->updatedAt, {})) * this->rate();
    return std::min(this->permits + gained, this->capacity());
}

void PermitBucket::setRate(std::optional<double> rateStated, TimePoint now)
{
    const double left = this->isLimited() ? this->available(now) : 0;
    if (rateStated) {
        rateStated = std::max(*rateStated, minimumRate);
    }
    this->perSecond = rateStated;
    this->permits = std::min(left, this->capacity());
    this->updatedAt = now;
}

bool PermitBucket::tryTake(TimePoint now)
{
    if (!this->isLimited()) {
        return true;
    }
    this->permits = this->available(now);
    this->updatedAt = now;
    if (this->permits < 1) {
        return false;
    }
    this->permits -= 1;
    return true;
}

void PermitBucket::giveBack(TimePoint now)
{
    this->permits = std::min(this->available(now) + 1, this->capacity());
    this->updatedAt = now;
}

Duration PermitBucket::untilAvailable(std::size_t count, TimePoint now) const
{
    if (!this->isLimited()) {
        return {};
    }
    const double missing = static_cast<double>(count) - this->available(now);
    const std::chrono::duration<double> time(std::max(missing, 0.0) / *this->perSecond);
    return std::chrono::ceil<Duration>(time);
}

bool PermitShare::isAvailable(double perSecond, int entries, double uniformRandom, TimePoint now)
{
    const double rate = std::max(perSecond, PermitBucket::minimumRate);
    const auto slot = static_cast<std::int64_t>(toSeconds(now.time_since_epoch()) * rate);
    if (slot != this->drawnSlot) {
        this->drawnSlot = slot;
        this->available = uniformRandom < usedShare / entries;
    }
    return this->available;
}

PermitIssuer::Answer PermitIssuer::request(
    const RateStatement &statement, int wanted, bool asDeputy, TimePoint now)
{
    const Key key{ statement.targetId, statement.startedMs, asDeputy };
    if (!this->records.contains(key) && this->records.size() >= maximumTargets) {
        this->expire(now);
        if (this->records.size() >= maximumTargets) {
            return { 0, memoryTime };
        }
    }
    const auto [found, isNew] = this->records.try_emplace(key);
    Record &record = found->second;
    record.askedAt = now;
    if (isNew || statement.at > record.statement.at) {
        const bool changed = isNew || record.statement.perSecond != statement.perSecond;
        record.statement = statement;
        if (changed) {
            const double rate = statement.perSecond.value_or(maximumStatedRate);
            record.bucket.setRate(asDeputy ? rate * deputyShare : rate, now);
        }
    }
    Answer answer;
    while (answer.permits < wanted && record.bucket.tryTake(now)) {
        ++answer.permits;
    }
    answer.untilNext = record.bucket.untilAvailable(1, now);
    return answer;
}

void PermitIssuer::expire(TimePoint now)
{
    std::erase_if(this->records,
        [now](const auto &element) { return now - element.second.askedAt > memoryTime; });
}

int PermitStock::toAsk(TimePoint now) const
{
    const bool isWaiting = this->askedAt && !this->isUnanswered(now);
    if (this->demand == 0 || isWaiting || now < this->askAgainAt) {
        return 0;
    }
    return std::min(this->demand, maximumPerAsk);
}

void PermitStock::recordAsked(TimePoint now)
{
    this->askedAt = now;
    this->demand = 0;
}

void PermitStock::recordAnswer(const PermitIssuer::Answer &answer, TimePoint now)
{
    this->askedAt.reset();
    for (int i = 0; i < std::min(answer.permits, maximumPerAsk); ++i) {
        this->validUntil.push_back(now + permitTime);
    }
    this->askAgainAt = now + answer.untilNext;
}

bool PermitStock::isUnanswered(TimePoint now) const
{
    return this->askedAt && now - *this->askedAt > answerTime;
}

bool PermitStock::isAvailable(TimePoint now) const
{
    return !this->validUntil.empty() && this->validUntil.back() > now;
}

bool PermitStock::tryTake(TimePoint now)
{
    while (!this->validUntil.empty() && this->validUntil.front() <= now) {
        this->validUntil.pop_front();
    }
    if (this->validUntil.empty()) {
        return false;
    }
    this->validUntil.pop_front();
    return true;
}

} // namespace wigeonsill
