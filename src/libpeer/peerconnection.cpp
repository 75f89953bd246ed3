/// \file peerconnection.cpp
/// Calls to one peer.
#include "asioeventport.h"
#include "peer.capnp.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <capnp/rpc-twoparty.h>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr Duration connectTimeout = seconds(2);
constexpr Duration answerTimeout = seconds(5);

std::string toText(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

/// An answer on its way; the timer ends the wait for it.
template <class T>
struct Pending
{
    explicit Pending(asio::io_context &context)
        : timer(context)
    {
    }

    std::optional<T> value;
    std::string failure = "no answer in time";
    asio::steady_timer timer;
};

/// Waits for a promise of a value. The task that follows the promise is kept at the given place and
/// not in the coroutine, whose frame may outlive the event loop.
template <class T>
asio::awaitable<Result<T>> await(asio::io_context &context, kj::Maybe<kj::Promise<void>> &task,
    kj::Promise<T> promise, Duration timeout)
{
    const auto pending = std::make_shared<Pending<T>>(context);
    pending->timer.expires_after(timeout);
    task = promise
               .then(
                   [pending](T &&value) {
                       pending->value = std::move(value);
                       pending->timer.cancel();
                   },
                   [pending](kj::Exception &&exception) {
                       pending->failure = exception.getDescription().cStr();
                       pending->timer.cancel();
                   })
               .eagerlyEvaluate(nullptr);
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!pending->value) {
        co_return Error{ ResultCode::ConnectionClosed, pending->failure };
    }
    co_return std::move(*pending->value);
}

} // namespace

struct PeerConnection::Private
{
    explicit Private(asio::io_context &connectionContext)
        : context(connectionContext)
    {
    }

    asio::io_context &context;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    std::optional<schema::ConfigurationPeer::Client> peer;
    kj::Maybe<kj::Promise<void>> task; ///< Of the one call in progress.
};

PeerConnection::PeerConnection(RpcLoop &loop)
    : d(std::make_unique<Private>(loop.context()))
{
}

PeerConnection::~PeerConnection() = default;

asio::awaitable<Result<void>> PeerConnection::connect(asio::ip::tcp::endpoint endpoint)
{
    boost::beast::tcp_stream stream(this->d->context);
    stream.expires_after(connectTimeout);
    auto [error] = co_await stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return Error{ ResultCode::ConnectionFailed, error.message() };
    }
    this->d->stream = makeAsioStream(stream.release_socket());
    this->d->client = kj::heap<capnp::TwoPartyClient>(*this->d->stream);
    this->d->peer = this->d->client->bootstrap().castAs<schema::ConfigurationPeer>();
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<PeerRoot>> PeerConnection::fetchRoot(
    std::string instance, std::uint64_t haveRevision, Duration wait)
{
    auto request = this->d->peer->fetchRootRequest();
    request.setInstance(instance);
    request.setHaveRevision(haveRevision);
    request.setWaitMs(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count()));
    kj::Promise<PeerRoot> promise = request.send().then([](auto &&response) {
        return PeerRoot{ response.getRevision(), toText(response.getRoot()) };
    });
    co_return co_await await<PeerRoot>(
        this->d->context, this->d->task, kj::mv(promise), wait + answerTimeout);
}

asio::awaitable<Result<std::vector<PeerPart>>> PeerConnection::fetchParts(
    std::vector<std::string> ids)
{
    auto request = this->d->peer->fetchPartsRequest();
    auto list = request.initIds(static_cast<unsigned>(ids.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, ids[i]);
    }
    kj::Promise<std::vector<PeerPart>> promise = request.send().then([](auto &&response) {
        std::vector<PeerPart> parts;
        for (const auto part : response.getParts()) {
            parts.push_back({ part.getId().cStr(), toText(part.getText()) });
        }
        return parts;
    });
    co_return co_await await<std::vector<PeerPart>>(
        this->d->context, this->d->task, kj::mv(promise), answerTimeout);
}

asio::awaitable<Result<std::vector<RevisionReport>>> PeerConnection::fetchReports()
{
    auto request = this->d->peer->reportsRequest();
    kj::Promise<std::vector<RevisionReport>> promise = request.send().then([](auto &&response) {
        std::vector<RevisionReport> reports;
        for (const auto row : response.getReports()) {
            reports.push_back(
                { row.getInstance().cStr(), row.getRevision(), milliseconds(row.getAgeMs()) });
        }
        return reports;
    });
    co_return co_await await<std::vector<RevisionReport>>(
        this->d->context, this->d->task, kj::mv(promise), answerTimeout);
}

} // namespace wigeonsill
