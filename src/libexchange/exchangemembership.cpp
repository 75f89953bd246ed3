/// \file exchangemembership.cpp
/// The stages in which an entry moves between the two holders of everything and its group.
#include "wigeonsill/exchange.h"

namespace wigeonsill {

namespace {

/// A new report is known at all collectors after this long: the holders' interval at most, on
/// three hops, and a lost message.
constexpr Duration spreadTime = seconds(1);
/// Without an answer of its group for this long, an entry reports to the holders again.
constexpr Duration groupTimeout = seconds(2);

} // namespace

void ExchangeMembership::enter(Stage next, TimePoint now)
{
    this->stage = next;
    this->enteredAt = now;
}

void ExchangeMembership::recordHolderAnswer(int entries, TimePoint now)
{
    this->form.update(entries, now);
}

void ExchangeMembership::recordGroupAnswer(int entries, TimePoint now)
{
    this->form.update(entries, now);
    this->lastGroupAnswerAt = now;
    this->firstGroupAnswerAt = this->firstGroupAnswerAt.value_or(now);
}

ExchangeMembership::Destinations ExchangeMembership::destinations(TimePoint now)
{
    const bool isAnswered
        = this->firstGroupAnswerAt && now - this->lastGroupAnswerAt < groupTimeout;
    const bool returns = this->form.groups() == 1;
    switch (this->stage) {
    case Stage::Holders:
        if (!returns) {
            this->groups = this->form.groups();
            this->firstGroupAnswerAt.reset();
            this->leftGroupAt.reset();
            this->enter(Stage::Joining, now);
        }
        break;
    case Stage::Joining:
        if (returns) {
            this->leftGroupAt = now;
            this->enter(Stage::Holders, now);
        } else if (isAnswered && now - *this->firstGroupAnswerAt >= spreadTime) {
            this->enter(Stage::Joined, now);
        }
        break;
    case Stage::Joined:
    case Stage::Group:
        if (!isAnswered) {
            this->firstGroupAnswerAt.reset();
            this->enter(Stage::Joining, now);
        } else if (returns) {
            this->enter(Stage::Returning, now);
        } else if (this->stage == Stage::Joined
            && now - this->enteredAt >= this->window + spreadTime) {
            this->enter(Stage::Group, now);
        }
        break;
    case Stage::Returning:
        if (!returns) {
            this->enter(Stage::Joining, now);
        } else if (now - this->enteredAt >= spreadTime) {
            this->leftGroupAt = now;
            this->enter(Stage::Holders, now);
        }
        break;
    }
    Destinations result;
    result.holders = this->stage != Stage::Group;
    result.countedInGroup = this->stage == Stage::Joined;
    // Told for as long as a message may be lost.
    result.leavesGroup = this->stage == Stage::Holders && this->leftGroupAt
        && now - *this->leftGroupAt < spreadTime;
    result.group = this->stage != Stage::Holders || result.leavesGroup;
    result.groups = this->groups;
    return result;
}

} // namespace wigeonsill
