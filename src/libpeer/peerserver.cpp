/// \file peerserver.cpp
/// Server side of the peer calls.
#include "asioeventport.h"
#include "peer.capnp.h"

#include <boost/asio/steady_timer.hpp>
#include <capnp/rpc-twoparty.h>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

/// Maximum total size of the parts in one response; the first part is sent regardless of its size.
constexpr std::size_t maximumResponseBytes = 1'048'576;
constexpr std::int64_t maximumWaitMs = 60'000;

capnp::Data::Reader toData(const std::string &text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

/// A fetchRoot call that waits for a newer root.
struct Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    {
    }

    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    asio::steady_timer timer;
};

class PeerImplementation final : public schema::ConfigurationPeer::Server
{
public:
    PeerImplementation(asio::io_context &peerContext, ConfigurationSource &peerSource)
        : context(peerContext)
        , source(peerSource)
    {
    }

    PeerImplementation(const PeerImplementation &) = delete;
    PeerImplementation &operator=(const PeerImplementation &) = delete;

    ~PeerImplementation() noexcept(false)
    {
        for (const auto &waiter : this->waiters) {
            waiter->timer.cancel();
        }
    }

    kj::Promise<void> fetchRoot(FetchRootContext call) override
    {
        const auto parameters = call.getParams();
        const std::uint64_t knownRevision = parameters.getHaveRevision();
        this->source.recordCallerRevision(parameters.getInstance().cStr(), knownRevision);
        const auto waitMs = std::min<std::int64_t>(parameters.getWaitMs(), maximumWaitMs);
        if (waitMs == 0 || this->source.root().revision > knownRevision) {
            this->fillRootResults(call, knownRevision);
            return kj::READY_NOW;
        }
        return this->waitForChange(milliseconds(waitMs))
            .then([this, call, knownRevision]() mutable {
                this->fillRootResults(call, knownRevision);
            });
    }

    kj::Promise<void> fetchParts(FetchPartsContext call) override
    {
        std::vector<std::pair<std::string, std::shared_ptr<const std::string>>> foundParts;
        std::size_t total = 0;
        for (const auto id : call.getParams().getIds()) {
            const auto text = this->source.part(id.cStr());
            const bool exceedsLimit
                = !foundParts.empty() && text && total + text->size() > maximumResponseBytes;
            if (exceedsLimit) {
                break;
            }
            if (text) {
                total += text->size();
                foundParts.emplace_back(id.cStr(), text);
            }
        }
        auto parts = call.getResults().initParts(static_cast<unsigned>(foundParts.size()));
        for (unsigned i = 0; i < parts.size(); ++i) {
            parts[i].setId(foundParts[i].first);
            parts[i].setText(toData(*foundParts[i].second));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> reports(ReportsContext call) override
    {
        const std::vector<RevisionReport> revisionReports = this->source.reports();
        auto rows = call.getResults().initReports(static_cast<unsigned>(revisionReports.size()));
        for (unsigned i = 0; i < rows.size(); ++i) {
            rows[i].setInstance(revisionReports[i].instance);
            rows[i].setRevision(revisionReports[i].revision);
            rows[i].setAgeMs(static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(revisionReports[i].age).count()));
        }
        return kj::READY_NOW;
    }

    void rootChanged()
    {
        const auto notifiedWaiters = std::move(this->waiters);
        this->waiters.clear();
        for (const auto &waiter : notifiedWaiters) {
            waiter->timer.cancel();
            waiter->fulfiller->fulfill();
        }
    }

private:
    void fillRootResults(FetchRootContext &call, std::uint64_t knownRevision)
    {
        const PeerRoot root = this->source.root();
        auto results = call.getResults();
        results.setRevision(root.revision);
        if (root.revision > knownRevision) {
            results.setRoot(toData(root.text));
        }
    }

    kj::Promise<void> waitForChange(Duration wait)
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        const auto waiter = std::make_shared<Waiter>(this->context);
        waiter->fulfiller = kj::mv(pair.fulfiller);
        waiter->timer.expires_after(wait);
        this->waiters.push_back(waiter);
        waiter->timer.async_wait([this, waiter](const boost::system::error_code &error) {
            if (!error) {
                std::erase(this->waiters, waiter);
                waiter->fulfiller->fulfill();
            }
        });
        return kj::mv(pair.promise);
    }

    asio::io_context &context;
    ConfigurationSource &source;
    std::vector<std::shared_ptr<Waiter>> waiters;
};

} // namespace

struct PeerServer::Private
{
    Private(RpcLoop &loop, const asio::ip::tcp::endpoint &endpoint, ConfigurationSource &source)
        : acceptor(loop.context(), endpoint)
        , implementation(kj::heap<PeerImplementation>(loop.context(), source))
        , exportedImplementation(implementation.get())
        , server(schema::ConfigurationPeer::Client(kj::mv(implementation)))
    {
    }

    /// The completion handler holds a weak reference only, because the RPC system must be destroyed
    /// before its event loop.
    static void accept(const std::shared_ptr<Private> &self)
    {
        const std::weak_ptr<Private> weak = self;
        self->acceptor.async_accept(
            [weak](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
                const std::shared_ptr<Private> locked = weak.lock();
                if (!locked || error == asio::error::operation_aborted) {
                    return;
                }
                if (!error) {
                    locked->server.accept(makeAsioStream(std::move(socket)));
                }
                accept(locked);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    kj::Own<PeerImplementation> implementation;
    PeerImplementation *exportedImplementation; ///< Owned by server.
    capnp::TwoPartyServer server;
};

PeerServer::PeerServer(
    RpcLoop &loop, const asio::ip::tcp::endpoint &endpoint, ConfigurationSource &source)
    : d(std::make_shared<Private>(loop, endpoint, source))
{
}

PeerServer::~PeerServer() = default;

void PeerServer::start()
{
    Private::accept(this->d);
}

asio::ip::tcp::endpoint PeerServer::endpoint() const
{
    return this->d->acceptor.local_endpoint();
}

void PeerServer::rootChanged()
{
    this->d->exportedImplementation->rootChanged();
}

} // namespace wigeonsill
