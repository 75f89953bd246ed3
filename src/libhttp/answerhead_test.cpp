/// \file answerhead_test.cpp
/// Tests of what a sound head of an answer is, whatever the pieces in which it is received.
#include "wigeonsill/http.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace wigeonsill
