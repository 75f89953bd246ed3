/// \file peer_test.cpp
/// Calls between a peer connection and a peer server over TCP sockets, in one thread.
#include "wigeonsill/http.h"
#include "wigeonsill/peer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace wigeonsill {
namespace {

namespace asio = boost::asio;

class FakeSource : public ConfigurationSource
{
public:
    PeerRoot root() const override { return this->current; }
    std::shared_ptr<const std::string> part(const std::string &id) const override
    {
        return id == "none" ? nullptr : std::make_shared<const std::string>(this->partText + id);
    }
    void recordCallerRevision(const std::string &instance, std::uint64_t revision) override
    {
        this->callers.push_back({ instance, revision, milliseconds(5) });
    }
    std::vector<RevisionReport> reports() const override { return this->callers; }

    PeerRoot current{ 3, "root three" };
    std::string partText = "text of ";
    std::vector<RevisionReport> callers;
};

class Peer : public testing::Test
{
protected:
    using Steps = std::function<asio::awaitable<void>(PeerConnection &)>;

    /// Runs the steps on a connection to the server, then stops the event loop.
    void run(const Steps &steps)
    {
        this->server.start();
        const auto task = [this, &steps]() -> asio::awaitable<void> {
            PeerConnection connection(this->loop);
            const Result<void> connected = co_await connection.connect(this->server.endpoint());
            EXPECT_TRUE(connected);
            co_await steps(connection);
            this->finished = true;
            this->io.stop();
        };
        spawn(this->io, task());
        this->io.run();
        EXPECT_TRUE(this->finished);
    }

    asio::io_context io;
    RpcLoop loop{ io };
    FakeSource source;
    PeerServer server{ loop, { asio::ip::make_address("127.0.0.1"), 0 }, source };
    bool finished = false;
};

TEST_F(Peer, returnsRootOnlyIfNewer)
{
    this->run([](PeerConnection &connection) -> asio::awaitable<void> {
        const auto newer = co_await connection.fetchRoot("me", 2, Duration::zero());
        EXPECT_EQ(newer.value().revision, 3U);
        EXPECT_EQ(newer.value().text, "root three");
        const auto same = co_await connection.fetchRoot("me", 3, milliseconds(10));
        EXPECT_EQ(same.value().revision, 3U);
        EXPECT_EQ(same.value().text, "");
        const auto reports = co_await connection.fetchReports();
        EXPECT_EQ(reports.value().size(), 2U);
        EXPECT_EQ(reports.value().back().instance, "me");
        EXPECT_EQ(reports.value().back().revision, 3U);
    });
}

TEST_F(Peer, waitingCallReturnsOnRootChange)
{
    this->run([this](PeerConnection &connection) -> asio::awaitable<void> {
        const auto change = [this]() -> asio::awaitable<void> {
            while (this->source.callers.empty()) {
                co_await asio::post(this->io, asio::use_awaitable);
            }
            this->source.current = { 4, "root four" };
            this->server.rootChanged();
        };
        spawn(this->io, change());
        const auto root = co_await connection.fetchRoot("me", 3, seconds(50));
        EXPECT_EQ(root.value().text, "root four");
    });
}

TEST_F(Peer, largePartsNeedSeveralCalls)
{
    this->source.partText = std::string(700'000, 'x');
    this->run([](PeerConnection &connection) -> asio::awaitable<void> {
        std::vector<std::string> ids{ "a", "none", "b" };
        const auto first = co_await connection.fetchParts(ids);
        EXPECT_EQ(first.value().size(), 1U);
        EXPECT_EQ(first.value().front().id, "a");
        EXPECT_EQ(first.value().front().text.size(), 700'001U);
        ids = { "b" };
        const auto second = co_await connection.fetchParts(ids);
        EXPECT_EQ(second.value().front().id, "b");
    });
}

} // namespace
} // namespace wigeonsill
