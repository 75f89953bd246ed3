/// \file peerconnection.cpp
/// Client side of the peer calls.
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
constexpr Duration responseTimeout = seconds(5);

std::string toText(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

/// A call in progress. The timer ends the wait, on a timeout or by cancellation when the call ends.
template <class T>
struct PendingCall
{
    explicit PendingCall(asio::io_context &context)
        : timer(context)
    {
    }

    std::optional<T> value;
    std::string failure = "the peer did not respond in time";
    asio::steady_timer timer;
};

/// Waits for a promise. The continuation of the promise is stored in task and not in the coroutine,
/// whose frame may outlive the event loop.
template <class T>
asio::awaitable<Result<T>> awaitPromise(asio::io_context &context,
    kj::Maybe<kj::Promise<void>> &task, kj::Promise<T> promise, Duration timeout)
{
    const auto call = std::make_shared<PendingCall<T>>(context);
    call->timer.expires_after(timeout);
    task = promise
               .then(
                   [call](T &&value) {
                       call->value = std::move(value);
                       call->timer.cancel();
                   },
                   [call](kj::Exception &&exception) {
                       call->failure = exception.getDescription().cStr();
                       call->timer.cancel();
                   })
               .eagerlyEvaluate(nullptr);
    boost::system::error_code ignored;
    co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!call->value) {
        co_return Error{ ResultCode::ConnectionClosed, call->failure };
    }
    co_return std::move(*call->value);
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
    kj::Maybe<kj::Promise<void>> task; ///< Continuation of the call in progress.
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
    std::string instance, std::uint64_t knownRevision, Duration wait)
{
    auto request = this->d->peer->fetchRootRequest();
    request.setInstance(instance);
    request.setHaveRevision(knownRevision);
    request.setWaitMs(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count()));
    kj::Promise<PeerRoot> promise = request.send().then([](auto &&response) {
        return PeerRoot{ response.getRevision(), toText(response.getRoot()) };
    });
    co_return co_await awaitPromise<PeerRoot>(
        this->d->context, this->d->task, kj::mv(promise), wait + responseTimeout);
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
    co_return co_await awaitPromise<std::vector<PeerPart>>(
        this->d->context, this->d->task, kj::mv(promise), responseTimeout);
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
    co_return co_await awaitPromise<std::vector<RevisionReport>>(
        this->d->context, this->d->task, kj::mv(promise), responseTimeout);
}

} // namespace wigeonsill
