/// \file messagehead_test.cpp
/// Tests of what a sound head of an answer is, whatever the pieces in which it is received.
#include "wigeonsill/http.h"

#include <gtest/gtest.h>

#include <cctype>

namespace wigeonsill {
namespace {

using boost::system::error_code;

/// Whether a head is read as one, the same in pieces of each size.
bool isAccepted(const std::string &head)
{
    std::optional<bool> result;
    for (const std::size_t size : { head.size(), std::size_t{ 1 }, std::size_t{ 7 } }) {
        AnswerReader reader(65'536, 65'536);
        std::string pending;
        error_code error;
        for (std::size_t at = 0; at < head.size() && !error; at += size) {
            pending += head.substr(at, size);
            pending.erase(0, reader.consume(pending, error));
        }
        const bool accepted = reader.isHeadComplete() && !error;
        EXPECT_FALSE(error && reader.isHeadComplete()) << "a head with an error is complete";
        EXPECT_EQ(result.value_or(accepted), accepted) << "in pieces of " << size;
        result = accepted;
    }
    return *result;
}

std::string headWith(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\nServer: x\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}

TEST(AnswerHead, statusIsOneOfTheProtocol)
{
    for (int status = 0; status < 1'000; ++status) {
        std::array<char, 4> digits{};
        std::snprintf(digits.data(), digits.size(), "%03d", status);
        const bool isValid = status >= 100 && status < 600 && status != 101;
        EXPECT_EQ(isAccepted("HTTP/1.1 " + std::string(digits.data()) + " Status\r\n\r\n"), isValid)
            << status;
    }
}

TEST(AnswerHead, nameConsistsOfTokenCharacters)
{
    const std::string otherTokenCharacters = "!#$%&'*+-.^_`|~";
    for (int code = 0; code < 256; ++code) {
        const char byte = static_cast<char>(code);
        const bool isToken = (code < 128 && std::isalnum(code) != 0)
            || (code != 0 && otherTokenCharacters.find(byte) != std::string::npos);
        if (byte == ':') {
            continue; // Ends the name, so that the rest belongs to the value.
        }
        const std::string odd(1, byte);
        EXPECT_EQ(isAccepted(headWith(odd + "Name: 1")), isToken) << code << " at the begin";
        EXPECT_EQ(isAccepted(headWith("Na" + odd + "me: 1")), isToken) << code << " within";
        EXPECT_EQ(isAccepted(headWith("Name" + odd + ": 1")), isToken) << code << " at the end";
    }
}

TEST(AnswerHead, lineMayNotContinueTheOneBeforeIt)
{
    EXPECT_FALSE(isAccepted(headWith(" Content-Length: 5")));
    EXPECT_FALSE(isAccepted(headWith("\tfolded")));
    EXPECT_FALSE(isAccepted(headWith("Name: a\r\n b")));
    EXPECT_FALSE(isAccepted("HTTP/1.1 200 OK\r\n Server: x\r\n\r\n"));
    EXPECT_TRUE(isAccepted(headWith("Name: \t a \t b")));
    EXPECT_TRUE(isAccepted(headWith("Name:")));
}

TEST(AnswerHead, onlyCodingIsChunked)
{
    for (const char *value : { "gzip", "xchunked", "gzip, chunked", "chunked, gzip", "identity",
             "chunked, chunked", "chunked;a=b", "", "chunked,", "\"chunked\"" }) {
        EXPECT_FALSE(
            isAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(value) + "\r\n\r\n"))
            << value;
    }
    const std::string field = "Transfer-Encoding: chunked\r\n";
    EXPECT_TRUE(isAccepted("HTTP/1.1 200 OK\r\n" + field + "\r\n"));
    EXPECT_TRUE(isAccepted("HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked \r\n\r\n"));
    EXPECT_FALSE(isAccepted("HTTP/1.0 200 OK\r\n" + field + "\r\n"));
    EXPECT_FALSE(isAccepted("HTTP/1.1 200 OK\r\n" + field + field + "\r\n"));
    EXPECT_FALSE(isAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + field + "\r\n"));
    EXPECT_FALSE(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\n"));
    EXPECT_FALSE(
        isAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\n"));
}

TEST(AnswerHead, lengthIsOneNumber)
{
    for (const char *value :
        { "", "-1", "+1", "0x5", "5 5", "5, 6", "5;", "99999999999999999999" }) {
        EXPECT_FALSE(
            isAccepted("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(value) + "\r\n\r\n"))
            << value;
    }
    EXPECT_FALSE(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"));
    EXPECT_TRUE(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
}

} // namespace
} // namespace wigeonsill
