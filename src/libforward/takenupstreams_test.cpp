/// \file takenupstreams_test.cpp
/// Tests of streams whose callers have a part of them, with agents that act only when told to.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

class TakenUpStream : public Reservations
{
protected:
    TakenUpStream()
        : Reservations({ .waitShare = 0.2, .resumable = true })
        , caller(this->io)
    {
        this->entry->setTargetsConfirmationHandler([this] { ++this->readsWanted; });
    }
    void takeUp()
    {
        this->sendRequest(
            this->caller, "HTTP/1.1", "Test-Last-Event: 3\r\nTest-Resumes: request-0\r\n");
        this->runFor(milliseconds(50));
    }
    /// Takes a stream up, and has the list of targets read since.
    ReservationProfile reserve()
    {
        this->takeUp();
        this->entry->confirmTargets(currentTime());
        return this->nextMessage(GrantKind::Reserve).second.profile;
    }

    asio::ip::tcp::socket caller;
    int readsWanted = 0;
};

/// ORDER: an entry with an older list went on at the only version that it knew.
TEST_F(TakenUpStream, isNotSentByAListFromBeforeItCame)
{
    const TimePoint before = currentTime();
    this->takeUp();
    EXPECT_EQ(this->readsWanted, 1);
    this->entry->confirmTargets(before);
    this->runFor(milliseconds(50));
    for (const auto &agent : this->agents) {
        EXPECT_FALSE(agent->receive(GrantKind::Reserve));
    }
    this->entry->confirmTargets(currentTime());
    this->nextMessage(GrantKind::Reserve);
}

/// LOST, review case 9: an entry told nobody of its streams while it knew one version.
TEST_F(BegunStream, isKnownToAgentsBeforeASecondVersionIs)
{
    const GrantMessage record = this->nextMessage(GrantKind::StreamBegan).second;
    EXPECT_EQ(record.stream, streamHash("request-1"));
    EXPECT_TRUE(record.isOnlyVersion);
}

/// Three such datagrams for each stream are a part of what a daemon spends on control.
TEST(StreamRecord, takesFewBytes)
{
    GrantMessage record;
    record.kind = GrantKind::StreamBegan;
    record.sender = ~std::uint64_t(0);
    record.stream = ~std::uint64_t(0);
    record.version = "2026.11.3";
    record.isOnlyVersion = true;
    // docs/CAPACITY.md: 2.6 KB a second are left of 14, for 8.2 streams a second.
    EXPECT_LE(3 * 8.2 * (static_cast<double>(encode(record).size()) + 28), 2.6 * 1'024);
    const auto decoded = decodeGrantMessage(encode(record));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->stream, record.stream);
    EXPECT_EQ(decoded->version, record.version);
    EXPECT_TRUE(decoded->isOnlyVersion);
}

/// LOST: callers that had a part of their stream waited behind those that had nothing.
TEST_F(TakenUpStream, isWaitedForAsTheRestOfAnAnswer)
{
    const ReservationProfile profile = this->reserve();
    EXPECT_EQ(profile.lateShare, 1) << "its caller would lose what it has";
    EXPECT_GT(profile.waitLeft, milliseconds(1'500));
}

/// LOST: streams that were nearly whole waited behind new ones, as if all of them were to be made.
TEST_F(TakenUpStream, costsWhatItsCallerLacks)
{
    const auto profileOf = [this](const char *lastEvent) {
        asio::ip::tcp::socket other(this->io);
        this->sendRequest(other, "HTTP/1.1",
            "Test-Output-Tokens: 40\r\nTest-Resumes: request-0\r\nTest-Last-Event: "
                + std::string(lastEvent) + "\r\n");
        this->runFor(milliseconds(50));
        this->entry->confirmTargets(currentTime());
        return this->nextMessage(GrantKind::Reserve).second.profile;
    };
    const ReservationProfile profile = profileOf("30");
    EXPECT_EQ(profile.outputTokens, 10U);
    EXPECT_EQ(profile.promptTokens, 130U) << "its target reads the part that there is";
    for (const char *unusable : { "abc", "99999999999999999999" }) {
        EXPECT_EQ(profileOf(unusable).outputTokens, 40U) << unusable;
    }
    EXPECT_EQ(profileOf("4000").outputTokens, 1U);
}

TEST_F(Reservations, ofANewStreamWaitAsLongAsItsRouteSays)
{
    asio::ip::tcp::socket caller(this->io);
    this->sendRequest(caller);
    EXPECT_LT(this->nextMessage(GrantKind::Reserve).second.profile.lateShare, 1);
}

} // namespace
} // namespace wigeonsill
