/// \file joinedanswers.cpp
/// Recognises bodies that were cut and filled with another answer.
#include "wigeonsill/http.h"

#include <algorithm>
#include <limits>

namespace wigeonsill {

namespace {

constexpr std::uint32_t headLimit = 65'536;
constexpr std::uint64_t noBodyLimit = std::numeric_limits<std::uint64_t>::max();
/// Bounds the work on a body that quotes many heads. The oldest candidates give way.
constexpr std::size_t maximumCandidates = 32;

/// Whether the lines of a text end with CR and LF. The last byte may be the CR of an incomplete
/// end.
bool endsLinesWithCrLf(std::string_view text)
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isBareFeed = text[i] == '\n' && (i == 0 || text[i - 1] != '\r');
        const bool isBareReturn = text[i] == '\r' && i + 1 < text.size() && text[i + 1] != '\n';
        if (isBareFeed || isBareReturn) {
            return false;
        }
    }
    return true;
}

} // namespace

/// A place within the body from which on all bytes may be other answers, one behind the other.
class JoinedAnswerScanner::Candidate
{
public:
    void feed(std::string_view bytes, const HeadPredicate &predicate)
    {
        this->fedBytes += bytes.size();
        this->unread += bytes;
        while (!this->unread.empty() && !this->refuted && this->readOn(predicate)) { }
    }
    bool isRefuted() const { return this->refuted; }
    /// Whether the bytes end exactly where the last answer does.
    bool hasEnded() const { return this->answers > 0 && !this->reader && this->unread.empty(); }
    std::uint64_t size() const { return this->fedBytes; }

private:
    /// Returns whether there may be more to read.
    bool readOn(const HeadPredicate &predicate)
    {
        if (!this->reader) {
            this->refuted = !mayBeginStatusLine(this->unread);
            if (this->refuted || this->unread.size() < statusLineMarkSize) {
                return false;
            }
            this->reader = std::make_unique<AnswerReader>(headLimit, noBodyLimit);
        }
        // The parser waits for CR and LF behind other ends of lines.
        this->refuted = !this->headRead && !endsLinesWithCrLf(this->unreadHead());
        if (this->refuted) {
            return false;
        }
        boost::system::error_code error;
        const std::size_t consumed = this->reader->consume(this->unread, error);
        this->unread.erase(0, consumed);
        this->reader->body().clear();
        this->refuted = static_cast<bool>(error);
        if (!this->refuted && !this->headRead && this->reader->isHeadComplete()) {
            this->headRead = true;
            ++this->answers;
            this->refuted = !predicate(this->reader->head());
        }
        if (this->reader->isComplete()) {
            this->reader.reset();
            this->headRead = false;
            return true;
        }
        return consumed > 0;
    }

    std::string_view unreadHead() const
    {
        constexpr std::string_view emptyLine = "\r\n";
        if (this->unread.starts_with(emptyLine)) {
            return emptyLine; // The lines before it were read.
        }
        constexpr std::string_view headEnd = "\r\n\r\n";
        const std::size_t end = this->unread.find(headEnd);
        return std::string_view(this->unread)
            .substr(0, end == std::string::npos ? end : end + headEnd.size());
    }

    std::string unread; ///< Incomplete lines.
    std::unique_ptr<AnswerReader> reader; ///< Of the answer that has begun.
    bool headRead = false; ///< Of that answer.
    std::size_t answers = 0;
    bool refuted = false;
    std::uint64_t fedBytes = 0;
};

JoinedAnswerScanner::JoinedAnswerScanner(HeadPredicate answerPredicate)
    : isAnswer(std::move(answerPredicate))
{
}

JoinedAnswerScanner::~JoinedAnswerScanner() = default;

void JoinedAnswerScanner::feedCandidates(std::string_view bytes)
{
    for (const auto &candidate : this->candidates) {
        candidate->feed(bytes, this->isAnswer);
    }
    std::erase_if(this->candidates, [](const auto &candidate) { return candidate->isRefuted(); });
}

void JoinedAnswerScanner::addCandidate(std::string_view bytes)
{
    auto candidate = std::make_unique<Candidate>();
    candidate->feed(bytes, this->isAnswer);
    if (candidate->isRefuted()) {
        return;
    }
    if (this->candidates.size() == maximumCandidates) {
        this->candidates.erase(this->candidates.begin());
    }
    this->candidates.push_back(std::move(candidate));
}

void JoinedAnswerScanner::feedBody(std::string_view bytes)
{
    this->feedCandidates(bytes);
    for (std::size_t at = findPossibleStatusLine(bytes); at != std::string_view::npos;
         at = findPossibleStatusLine(bytes, at + 1)) {
        this->addCandidate(bytes.substr(at));
    }
    this->findQuote(bytes);
}

void JoinedAnswerScanner::findQuote(std::string_view bytes)
{
    this->bodySize += bytes.size();
    if (this->quoteAt) {
        return;
    }
    const std::string joined = this->openMark.empty() ? "" : this->openMark + std::string(bytes);
    const std::string_view text = joined.empty() ? bytes : joined;
    const std::size_t at = findPossibleStatusLine(text);
    this->openMark.clear();
    if (at == std::string_view::npos) {
        return;
    }
    if (text.size() - at >= statusLineMarkSize) {
        this->quoteAt = this->bodySize - (text.size() - at);
    } else {
        this->openMark = text.substr(at);
    }
}

std::uint64_t JoinedAnswerScanner::quoteStart() const
{
    return this->quoteAt.value_or(this->bodySize - this->openMark.size());
}

std::uint64_t JoinedAnswerScanner::answersSize() const
{
    return this->candidates.empty() ? 0 : this->candidates.front()->size();
}

void JoinedAnswerScanner::feedFollowing(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    this->endedWithAnswers = this->endedWithAnswers || this->endingAnswersSize() > 0;
    this->following += bytes.substr(
        0, statusLineMarkSize - std::min(statusLineMarkSize, this->following.size()));
}

bool JoinedAnswerScanner::isFollowedByAnswer() const
{
    return this->following.size() == statusLineMarkSize && mayBeginStatusLine(this->following);
}

BodyVerdict JoinedAnswerScanner::verdict() const
{
    const bool isOtherBehind = !mayBeginStatusLine(this->following);
    const bool isQuoting = this->quotedSize() > 0;
    if (this->endedWithAnswers || this->endingAnswersSize() > 0 || (isQuoting && isOtherBehind)) {
        return BodyVerdict::Joined;
    }
    if (isQuoting) {
        return BodyVerdict::Quoting;
    }
    // Some targets send an empty line behind a body. An empty body can't be cut.
    const bool isLineBehind = this->following.find_first_not_of("\r\n") == std::string::npos;
    return isOtherBehind && !isLineBehind && this->bodySize > 0 ? BodyVerdict::Followed
                                                                : BodyVerdict::Whole;
}

std::uint64_t JoinedAnswerScanner::endingAnswersSize() const
{
    for (const auto &candidate : this->candidates) {
        if (this->following.empty() && candidate->hasEnded()) {
            return candidate->size();
        }
    }
    return 0;
}

} // namespace wigeonsill
