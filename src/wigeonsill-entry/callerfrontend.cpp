/// \file callerfront.cpp
/// The entry's side towards callers.
#include "callerfront.h"

#include "requestreader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// An answer of known length up to this many bytes is sent only when it is whole.
constexpr std::uint64_t heldAnswerLimit = 1'048'576;

HttpFields fieldsOf(const Headers &headers)
{
    HttpFields fields;
    fields.reserve(headers.size());
    for (const Header &header : headers) {
        fields.push_back({ header.name, header.value });
    }
    return fields;
}

void eraseField(HttpFields &fields, std::string_view name)
{
    std::erase_if(
        fields, [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); });
}

/// Whether an answer waits until it is whole: where its length says that it is short, or where it
/// has no body.
bool isHeld(const HttpFields &fields, int status, bool headOnly)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (headOnly || status == noContent || status == notModified) {
        return true;
    }
    const std::string text(fieldValue(fields, "Content-Length"));
    return !text.empty() && std::strtoull(text.c_str(), nullptr, 10) <= heldAnswerLimit;
}

} // namespace

struct CallerFront::Mailbox
{
    explicit Mailbox(asio::io_context &io)
        : news(io)
    {
        this->news.expires_at(asio::steady_timer::time_point::max());
    }

    RequestId id;
    Tier tier = Tier::Normal;
    TimePoint arrivedAt;
    std::optional<DeliverHead> head;
    std::string bytes; ///< Received and not yet written.
    std::optional<DeliverEnd> end;
    bool begun = false;
    bool held = false; ///< The answer waits until it is whole.
    bool headOnly = false; ///< The request's method is HEAD.
    bool callerGone = false;
    std::uint64_t taken = 0; ///< Bytes that the agent need not hold any more.
    asio::steady_timer news;
};

CallerFront::CallerFront(
    DaemonContext daemonContext, EntryCore &entryCore, std::function<void()> corePump)
    : context(daemonContext)
    , core(entryCore)
    , pump(std::move(corePump))
{
}

void CallerFront::setConfiguration(std::shared_ptr<const Configuration> value)
{
    this->current = std::move(value);
}

CallerFront::MailboxPointer CallerFront::find(const RequestId &id)
{
    const auto found = this->mailboxes.find(id.sequence);
    return found == this->mailboxes.end() ? nullptr : found->second;
}

void CallerFront::deliver(DeliverHead action)
{
    if (const MailboxPointer mailbox = this->find(action.id)) {
        mailbox->head = std::move(action);
        mailbox->news.cancel();
    }
}

void CallerFront::deliver(const DeliverBytes &action)
{
    if (const MailboxPointer mailbox = this->find(action.id)) {
        mailbox->bytes += action.bytes;
        mailbox->news.cancel();
    }
}

void CallerFront::deliver(const DeliverEnd &action)
{
    if (const MailboxPointer mailbox = this->find(action.id)) {
        mailbox->end = action;
        mailbox->news.cancel();
    }
}

asio::awaitable<void> CallerFront::handle(HttpRequest &request, HttpResponder &responder)
{
    if (!this->current) {
        co_await responder.respond(problemResponse(ResultCode::NoConfiguration, {}, seconds(1)));
        co_return;
    }
    Result<CallerRequest> read = readCallerRequest(*this->current, request);
    if (!read) {
        this->context.metrics.count("wigeonsill_entry_rejected_total",
            "code=\"" + std::string(infoOf(read.error().code).name) + "\"");
        co_await responder.respond(problemResponse(read.error().code, read.error().detail));
        co_return;
    }
    const auto mailbox = std::make_shared<Mailbox>(this->context.io);
    mailbox->tier = read.value().profile.tier;
    mailbox->arrivedAt = currentTime();
    mailbox->headOnly = request.method == "HEAD";
    // The core holds what the target gets; a waiting request must not be in memory twice.
    request = {};
    mailbox->id = this->core.arrive(mailbox->arrivedAt, std::move(read).value());
    LOG4CPLUS_DEBUG(logger("entry.front"), "Took request " << toString(mailbox->id) << ".");
    this->mailboxes.emplace(mailbox->id.sequence, mailbox);
    responder.whenCallerGone([this, mailbox] {
        mailbox->callerGone = true;
        this->core.callerGone(currentTime(), mailbox->id);
        mailbox->news.cancel();
        this->pump();
    });
    this->pump();
    co_await this->answer(mailbox, responder);
    this->mailboxes.erase(mailbox->id.sequence);
    this->countEnd(*mailbox);
}

asio::awaitable<void> CallerFront::waitForMail(MailboxPointer mailbox)
{
    boost::system::error_code ignored;
    co_await mailbox->news.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> CallerFront::answer(MailboxPointer mailbox, HttpResponder &responder)
{
    while (!mailbox->callerGone) {
        if (mailbox->head && !mailbox->begun && !mailbox->held) {
            const bool begun = co_await this->beginAnswer(mailbox, responder);
            if (!begun) {
                co_return;
            }
        }
        if (mailbox->held && mailbox->taken < mailbox->bytes.size()) {
            // What is held here the agent need not hold, or its window would close for good.
            mailbox->taken = mailbox->bytes.size();
            this->core.callerTook(currentTime(), mailbox->id, mailbox->taken);
            this->pump();
            continue;
        }
        if (mailbox->begun && !mailbox->bytes.empty()) {
            const std::string piece = std::exchange(mailbox->bytes, {});
            const bool written = co_await responder.write(piece);
            if (!written) {
                co_return;
            }
            mailbox->taken += piece.size();
            this->core.callerTook(currentTime(), mailbox->id, mailbox->taken);
            this->pump();
            continue;
        }
        if (mailbox->end) {
            co_await this->endAnswer(mailbox, responder);
            co_return;
        }
        co_await this->waitForMail(mailbox);
    }
}

asio::awaitable<bool> CallerFront::beginAnswer(MailboxPointer mailbox, HttpResponder &responder)
{
    HttpFields fields = fieldsOf(mailbox->head->headers);
    if (isHeld(fields, mailbox->head->status, mailbox->headOnly)) {
        mailbox->held = true;
        co_return true;
    }
    // Only a chunked answer can say at its end how it went.
    eraseField(fields, "Content-Length");
    this->context.metrics.sample("wigeonsill_entry_first_byte_seconds", {},
        double((currentTime() - mailbox->arrivedAt).count()) / 1e6);
    fields.push_back({ "Wigeonsill-Request-Id", toString(mailbox->id) });
    fields.push_back({ "Wigeonsill-Outcome", "pending" });
    fields.push_back({ "Trailer", "Wigeonsill-Outcome" });
    mailbox->begun = true;
    co_return co_await responder.begin(mailbox->head->status, std::move(fields));
}

asio::awaitable<void> CallerFront::endAnswer(MailboxPointer mailbox, HttpResponder &responder)
{
    const ResultCode result = mailbox->end->result;
    if (!mailbox->begun) {
        HttpResponse response = problemResponse(result, {}, mailbox->end->retryAfter);
        if (result == ResultCode::Ok) {
            response = { mailbox->head->status, fieldsOf(mailbox->head->headers),
                std::move(mailbox->bytes) };
            response.fields.push_back(
                { "Wigeonsill-Outcome", std::string(nameOf(Outcome::Completed)) });
        }
        response.fields.push_back({ "Wigeonsill-Request-Id", toString(mailbox->id) });
        co_await responder.respond(std::move(response));
        co_return;
    }
    if (result == ResultCode::Ok) {
        HttpFields trailers;
        trailers.push_back({ "Wigeonsill-Outcome", std::string(nameOf(Outcome::Completed)) });
        co_await responder.finish(std::move(trailers));
        co_return;
    }
    // The head is out, so the only honest end is a connection that breaks.
    const HttpResponse problem = problemResponse(result);
    const HttpFields fields = fieldsOf(mailbox->head->headers);
    const bool isEventStream = fieldValue(fields, "Content-Type").starts_with("text/event-stream");
    if (isEventStream) {
        const std::string event = "event: error\ndata: " + problem.body + "\n";
        co_await responder.write(event);
    }
    responder.abort();
}

void CallerFront::countEnd(const Mailbox &mailbox)
{
    const ResultCode result = mailbox.end ? mailbox.end->result : ResultCode::CallerGone;
    const ResultInfo &info = infoOf(result);
    std::string labels = "tier=\"" + std::string(enumName(tierNames, mailbox.tier)) + "\"";
    labels += ",outcome=\"" + std::string(nameOf(info.outcome)) + "\"";
    labels += ",code=\"" + std::to_string(static_cast<int>(result)) + "\"";
    this->context.metrics.count("wigeonsill_entry_requests_total", labels);
    this->context.metrics.sample("wigeonsill_entry_request_seconds", {},
        double((currentTime() - mailbox.arrivedAt).count()) / 1e6);
    // What succeeds is the usual case; everything else is worth a line.
    const log4cplus::LogLevel level
        = result == ResultCode::Ok ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
    const log4cplus::Logger log = logger("entry.front");
    if (log.isEnabledFor(level)) {
        log.log(
            level, "Ended request " + toString(mailbox.id) + ": " + std::string(info.name) + ".");
    }
}

} // namespace wigeonsill
