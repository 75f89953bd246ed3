/// \file messagereader_test.cpp
/// Tests of the limits on what is read of a message.
#include "wigeonsill/http.h"

#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace wigeonsill {
namespace {

using boost::beast::http::error;
using ErrorCode = boost::system::error_code;

constexpr std::size_t headLimit = 65'536;
constexpr std::size_t bodyLimit = 1'048'576;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds a beginning and then pieces without end, as a connection does; stops at four times the
/// head limit.
struct EndlessMessage
{
    EndlessMessage(const std::string &begin, const std::string &piece)
        : pending(begin)
    {
        for (this->fed = begin.size(); this->fed < 4 * headLimit; this->fed += piece.size()) {
            this->pending.erase(0, this->reader.consume(this->pending, this->failure));
            this->largestPending = std::max(this->largestPending, this->pending.size());
            if (this->failure) {
                return;
            }
            this->pending += piece;
        }
    }

    AnswerReader reader{ headLimit, bodyLimit };
    std::string pending;
    std::size_t fed = 0;
    std::size_t largestPending = 0;
    ErrorCode failure;
};

TEST(MessageReader, headOfOneLineWithoutEndIsBounded)
{
    const EndlessMessage message("HTTP/1.1 200 OK\r\nX: ", std::string(512, 'a'));
    EXPECT_EQ(message.failure, error::header_limit);
    EXPECT_LE(message.fed, headLimit + 1'024);
}

TEST(MessageReader, headOfManyLinesWithoutEndIsBounded)
{
    const EndlessMessage message("HTTP/1.1 200 OK\r\n", "X: a\r\n");
    EXPECT_EQ(message.failure, error::header_limit);
    EXPECT_LE(message.fed, headLimit + 1'024);
}

TEST(MessageReader, chunkHeaderWithoutEndIsBounded)
{
    const EndlessMessage message(chunkedHead + "5", std::string(512, '0'));
    EXPECT_EQ(message.failure, error::buffer_overflow);
    EXPECT_LE(message.largestPending, AnswerReader::chunkFramingLimit + 1'024);
}

TEST(MessageReader, chunkExtensionsWithoutEndAreBounded)
{
    const EndlessMessage message(chunkedHead + "5\r\nwhole\r\n5", ";a=bcdef");
    EXPECT_EQ(message.failure, error::buffer_overflow);
    EXPECT_LE(message.largestPending, AnswerReader::chunkFramingLimit + 1'024);
}

TEST(MessageReader, trailersWithoutEndAreBounded)
{
    const EndlessMessage message(chunkedHead + "5\r\nwhole\r\n0\r\n", "X: a\r\n");
    EXPECT_EQ(message.failure, error::buffer_overflow);
    EXPECT_LE(message.largestPending, AnswerReader::chunkFramingLimit + 1'024);
}

/// What is within the limits is read whatever the pieces in which it comes.
TEST(MessageReader, messagesWithinTheLimitsAreReadInAnyPieces)
{
    const std::string message = "HTTP/1.1 200 OK\r\nX: " + std::string(60'000, 'a')
        + "\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(16'000, 'b')
        + "\r\nwhole\r\n0\r\nY: " + std::string(16'000, 'c') + "\r\n\r\n";
    for (const std::size_t size : { 1UL, 7UL, 8'192UL, message.size() }) {
        AnswerReader reader(headLimit, bodyLimit);
        std::string pending;
        ErrorCode failure;
        for (std::size_t at = 0; at < message.size() && !failure; at += size) {
            pending += message.substr(at, size);
            pending.erase(0, reader.consume(pending, failure));
        }
        EXPECT_FALSE(failure) << failure.message() << " in pieces of " << size;
        EXPECT_TRUE(reader.isComplete());
        EXPECT_EQ(reader.body(), "whole");
    }
}

/// A body is not held back, however much of it comes at once.
TEST(MessageReader, bodyIsNotBoundedAsChunkFraming)
{
    AnswerReader reader(headLimit, bodyLimit);
    ErrorCode failure;
    const std::string begin = chunkedHead + "80000\r\n" + std::string(400'000, 'a');
    EXPECT_EQ(reader.consume(begin, failure), begin.size());
    EXPECT_FALSE(failure);
    EXPECT_EQ(reader.body().size(), 400'000U);
}

/// A trailer "Model: other" reached the target as a field of the head.
TEST(MessageReader, trailersAreNoFieldsOfTheHead)
{
    RequestReader reader(8'192, 1'024);
    boost::system::error_code error;
    reader.consume("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n0\r\nModel: other\r\n\r\n",
        error);
    EXPECT_FALSE(error);
    EXPECT_TRUE(reader.isComplete());
    EXPECT_EQ(reader.body(), "abc");
    EXPECT_EQ(fieldValue(reader.head().fields, "Host"), "h");
    EXPECT_EQ(fieldValue(reader.head().fields, "Model"), "");
}

/// A target began a head, broke off and began another one on the same connection: what it answered
/// is not known.
TEST(MessageReader, headBehindHalfAHeadIsMalformed)
{
    AnswerReader reader(headLimit, bodyLimit);
    ErrorCode failure;
    reader.consume("HTTP/1.1 200 StHTTP/1.1 500 Status\r\nContent-Length: 0\r\n\r\n", failure);
    EXPECT_TRUE(failure);
    EXPECT_FALSE(reader.isHeadComplete());
}

/// MIXED: an answer that was broken off within a field's value was joined with the answer to
/// another caller's request. A head that is cut at any byte must not be joined with the next one.
TEST(MessageReader, headBehindAHeadCutAtAnyByteIsMalformed)
{
    const std::string first = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Stamp: 1.2\r\n"
                              "X-Empty:\r\nContent-Length: 4\r\n\r\n";
    const std::string second = "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t cut = 1; cut < first.size(); ++cut) {
        AnswerReader reader(headLimit, bodyLimit);
        ErrorCode failure;
        const std::string bytes = first.substr(0, cut) + second;
        reader.consume(bytes, failure);
        EXPECT_TRUE(failure) << "cut after " << first.substr(0, cut);
        EXPECT_FALSE(reader.isHeadComplete()) << "cut after " << first.substr(0, cut);
    }
}

TEST(MessageReader, fieldsThatNameAVersionOfTheProtocolAreRead)
{
    for (const char *value : { "HTTP/1.1 proxy", "HTTP/1.1", "HTTP/1.1 20", "HTTP/2.0 200" }) {
        AnswerReader reader(headLimit, bodyLimit);
        ErrorCode failure;
        const std::string bytes
            = "HTTP/1.1 200 OK\r\nVia: " + std::string(value) + "\r\nContent-Length: 0\r\n\r\n";
        reader.consume(bytes, failure);
        EXPECT_FALSE(failure) << value;
        EXPECT_TRUE(reader.isComplete()) << value;
    }
}

} // namespace
} // namespace wigeonsill
