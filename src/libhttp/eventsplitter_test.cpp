/// \file eventsplitter_test.cpp
/// Tests of the extraction of events from streams, also from ones that never end an event.
#include "wigeonsill/http.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>

namespace wigeonsill {
namespace {

/// Processor time of feeding a number of bytes in small pieces, in clock ticks.
std::clock_t feedPieces(EventSplitter &splitter, std::size_t size)
{
    const std::string piece(16, 'a');
    const std::clock_t begin = std::clock();
    for (std::size_t fed = 0; fed < size; fed += piece.size()) {
        splitter.feed(piece);
    }
    return std::clock() - begin;
}

TEST(EventSplitter, eventsAreFoundWhereverThePiecesEnd)
{
    const std::string stream = "id: 1\ndata: a\n\n\n\nid: 2\n\nid:3\ndata: b\n\nrest";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        std::string found;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            found += splitter.feed(std::string_view(stream).substr(at, size));
        }
        EXPECT_EQ(found + splitter.remainder(), stream);
        EXPECT_EQ(splitter.remainder(), "rest");
        EXPECT_EQ(splitter.count(), 3U);
        EXPECT_EQ(splitter.lastId(), "3");
    }
}

/// Lines may end with LF, CRLF or CR, and a piece may end between CR and LF.
TEST(EventSplitter, allLineEndsAreRecognised)
{
    for (const std::string end : { "\n", "\r\n", "\r" }) {
        const auto lines = [&end](std::initializer_list<std::string_view> texts) {
            std::string joined;
            for (const std::string_view text : texts) {
                joined.append(text).append(end);
            }
            return joined;
        };
        const std::string events
            = lines({ "id: 1", "data: a", "", ": comment", "", "data: b", "id: 2", "" });
        const std::string rest = lines({ "id: 3" });
        const std::string stream = events + rest;
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            EventSplitter splitter;
            std::string found;
            for (std::size_t at = 0; at < stream.size(); at += size) {
                found += splitter.feed(std::string_view(stream).substr(at, size));
            }
            EXPECT_EQ(found, events);
            EXPECT_EQ(splitter.remainder(), rest);
            EXPECT_EQ(splitter.count(), 2U);
            EXPECT_EQ(splitter.firstId(), "1");
            EXPECT_EQ(splitter.lastId(), "2") << "the id of an incomplete event does not count";
        }
    }
}

TEST(EventSplitter, workPerByteDoesNotRiseWithWhatIsKept)
{
    constexpr std::size_t step = 131'072;
    EventSplitter splitter;
    const std::clock_t first = std::max<std::clock_t>(feedPieces(splitter, step), 1'000);
    feedPieces(splitter, EventSplitter::maximumEventSize - 2 * step);
    ASSERT_FALSE(splitter.isOversized());
    EXPECT_LE(feedPieces(splitter, step), 3 * first);
}

TEST(EventSplitter, eventWithoutEndIsNotKept)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\n\nid: 2\ndata: "), "id: 1\n\n");
    feedPieces(splitter, EventSplitter::maximumEventSize);
    EXPECT_TRUE(splitter.isOversized());
    EXPECT_TRUE(splitter.remainder().empty());
    EXPECT_TRUE(splitter.feed("\n\nid: 3\n\n").empty())
        << "nothing is joined with what was dropped";
    EXPECT_EQ(splitter.lastId(), "1");
    EventSplitter nextAttempt;
    EXPECT_FALSE(nextAttempt.isOversized());
    EXPECT_EQ(nextAttempt.feed("id: 2\n\n"), "id: 2\n\n");
}

/// The pieces of a stream that has many events are larger than one event may be.
TEST(EventSplitter, piecesOfManyEventsAreNotBounded)
{
    std::string events;
    while (events.size() <= EventSplitter::maximumEventSize) {
        events += "id: 1\ndata: a\n\n";
    }
    EventSplitter splitter;
    EXPECT_TRUE(splitter.feed(events) == events);
    EXPECT_FALSE(splitter.isOversized());
}

/// ORDER: the head of an error was relayed as an event, wherever the stream was broken off before.
TEST(EventSplitter, headBehindAStreamCutAtAnyByteIsFound)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\nevent: b\ndata: c\n\n: comment\n\n";
    const std::string head = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nerror";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        for (const std::size_t size : { 1UL, 5UL, 1'000UL }) {
            EventSplitter splitter;
            std::string found;
            const std::string bytes = stream.substr(0, cut) + head;
            for (std::size_t at = 0; at < bytes.size(); at += size) {
                found += splitter.feed(std::string_view(bytes).substr(at, size));
            }
            EXPECT_TRUE(splitter.containsHead()) << "cut at " << cut;
            EXPECT_TRUE(stream.starts_with(found)) << found;
            EXPECT_LE(found.size(), cut);
            EXPECT_TRUE(splitter.isInsideEvent()) << "the stream has no end";
        }
    }
}

TEST(EventSplitter, textAboutTheProtocolIsNoHead)
{
    for (const std::string stream :
        { "weights: 3\nid: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: x\n\n",
            "data: HTTP/1.1 200 OK\n\nweights: 3\ndata: b\n\n", "data: HTTP/1.1\nnote: HTTP/2\n\n",
            ": HTTP/1.1 200 OK\n\nweights: 3\n\n" }) {
        EventSplitter splitter;
        EXPECT_EQ(splitter.feed(stream), stream);
        EXPECT_FALSE(splitter.containsHead()) << stream;
    }
}

} // namespace
} // namespace wigeonsill
