/// \file targetbody.cpp
/// Bodies of targets' answers: what is handed on, and what happens to one that may have been cut.
#include "targetpoolstate.h"

#include <algorithm>

namespace wigeonsill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time for which further bytes are awaited behind a body that may be cut, before the sending side
/// is closed. Some targets drop what they still have to send when that happens.
constexpr Duration restQuietTime = milliseconds(250);
/// Time within which a target has to close a connection whose sending side was closed. A body that
/// may be cut is discarded after it.
constexpr Duration restTimeLimit = seconds(2);
/// Largest part of a body that is held because it may belong to another answer, in bytes.
constexpr std::uint64_t heldBodyLimit = 262'144;

} // namespace

bool TargetConnection::endBody()
{
    // The end of a body in chunks shows by itself.
    const bool isFramed = !this->scanner || this->reader->head().chunked;
    switch (isFramed ? BodyVerdict::Whole : this->scanner->verdict()) {
    case BodyVerdict::Joined:
        if (this->scanner->endingAnswersSize() > 0) {
            return this->settleDoubt(BodyDoubt::EndsWithAnswers);
        }
        this->discardBody(
            TargetFailure::Truncated, "another answer takes the place of the rest of the body");
        return false;
    case BodyVerdict::Quoting:
        return this->settleDoubt(BodyDoubt::Quoting);
    case BodyVerdict::Followed:
        return this->settleDoubt(BodyDoubt::Followed);
    case BodyVerdict::Whole:
        break;
    }
    this->finishBody();
    return false;
}

bool TargetConnection::settleDoubt(BodyDoubt doubt)
{
    const auto self = this->shared_from_this();
    const bool isAwaited = this->isAwaitingRest();
    const DoubtStep step
        = isAwaited ? DoubtStep::AwaitRest : this->handler->settleDoubt(doubt, this->heldBody);
    this->reusable = false;
    if (step == DoubtStep::Discard) {
        this->discardBody(TargetFailure::Doubtful, "the body may be cut and filled");
        return false;
    }
    const bool isEnded = !this->reader->head().length || this->scanner->isFollowedByAnswer();
    if (step == DoubtStep::PassOn || isEnded) {
        this->finishBody();
        return false;
    }
    if (!isAwaited) {
        this->awaitRest();
    }
    return true;
}

void TargetConnection::awaitRest()
{
    this->bodyEnd = BodyEnd::AwaitingRest;
    this->readingPaused = false; // The handler has the whole body.
    this->pool.metrics.count("wigeonsill_bodies_held_total");
    this->startRestTimer(restQuietTime);
}

void TargetConnection::startRestTimer(Duration time)
{
    const auto self = this->shared_from_this();
    this->timer.expires_after(time);
    this->timer.async_wait([self](const error_code &error) {
        if (!error) {
            self->onRestTimeOver();
        }
    });
}

void TargetConnection::onRestTimeOver()
{
    if (this->handler == nullptr || !this->isAwaitingRest()) {
        return;
    }
    if (this->hasUnexpectedInput() || this->writing) {
        this->startRestTimer(restQuietTime); // The process was late, or the target reads on.
    } else if (this->bodyEnd == BodyEnd::AwaitingRest) {
        this->bodyEnd = BodyEnd::AwaitingEnd;
        error_code ignored; // The next read finds the end of the connection.
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->startRestTimer(restTimeLimit);
    } else {
        this->discardBody(TargetFailure::Doubtful, "kept open behind a body that may be cut");
    }
}

void TargetConnection::passOnBody(const std::string &bytes)
{
    if (!this->scanner) {
        this->handler->onAnswerBody(bytes);
        return;
    }
    this->scanner->feedBody(bytes);
    const std::uint64_t suspected
        = this->holdsQuotes ? this->scanner->quotedSize() : this->scanner->answersSize();
    if (suspected == 0 && this->heldBody.empty()) {
        this->handler->onAnswerBody(bytes);
        return;
    }
    this->heldBody += bytes;
    this->handler->onBodyHeld();
    this->releaseBody(std::min(suspected, heldBodyLimit));
}

void TargetConnection::releaseBody(std::uint64_t kept)
{
    if (this->heldBody.size() > kept) {
        const std::string released = this->heldBody.substr(0, this->heldBody.size() - kept);
        this->heldBody.erase(0, released.size());
        this->handler->onAnswerBody(released);
    }
}

void TargetConnection::finishBody()
{
    this->releaseBody(0);
    if (this->handler != nullptr) {
        this->finish();
    }
}

void TargetConnection::discardBody(TargetFailure failure, std::string_view why)
{
    const auto self = this->shared_from_this();
    if (failure == TargetFailure::Truncated) {
        this->pool.metrics.count("wigeonsill_joined_answers_total");
    }
    this->handler->onUnreadable(why);
    if (this->handler != nullptr) {
        this->fail(failure);
    }
}

void TargetConnection::startScanner(const MessageHead &head)
{
    if (this->request.id.empty()) {
        return;
    }
    // Events are handed on as they come, and have an end of their own.
    this->holdsQuotes = head.length && !isEventStream(head.fields);
    this->scanner = std::make_unique<JoinedAnswerScanner>(
        [&dialect = this->pool.dialect](const MessageHead &embedded) {
            return !dialect.decodeAnswer(embedded).requestId.empty();
        });
}

} // namespace wigeonsill
