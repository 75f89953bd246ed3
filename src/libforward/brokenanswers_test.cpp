/// \file brokenanswers_test.cpp
/// Regression tests of MIXED: what a target in trouble sends must not reach a caller as an answer.
#include "onetargetfixture.h"

namespace wigeonsill {
namespace {

constexpr std::size_t shortUpload = 10;

struct BrokenBytes
{
    std::string name;
    std::string bytes; ///< That the target sends before it closes the connection in order.
};
std::ostream &operator<<(std::ostream &out, const BrokenBytes &sent)
{
    return out << testing::PrintToString(sent.bytes);
}

class BrokenAnswer
    : public OneTarget,
      public testing::WithParamInterface<std::tuple<RouteToTarget, BrokenBytes, std::size_t>>
{
public:
    BrokenAnswer()
        : OneTarget(std::get<0>(GetParam()))
    {
    }
    static std::string nameOf(const testing::TestParamInfo<ParamType> &info)
    {
        const auto &[route, sent, pieceSize] = info.param;
        return route.name + sent.name + (pieceSize == 0 ? "" : "InPieces");
    }
};

TEST_P(BrokenAnswer, reachesNoCaller)
{
    const auto &[route, sent, pieceSize] = GetParam();
    ASSERT_NO_FATAL_FAILURE(this->sendUpload(shortUpload));
    this->readUpload();
    this->write(sent.bytes, pieceSize);
    this->connection.close();
    const CallerOutcome outcome = this->outcome();
    EXPECT_EQ(outcome.status, 502) << "with the body \"" << outcome.body << "\"";
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.body, "");
}

/// Combines bytes with all routes, at once and in single bytes.
auto onAllRoutes(const std::vector<BrokenBytes> &sent)
{
    return testing::Combine(testing::ValuesIn(allRoutesToTargets), testing::ValuesIn(sent),
        testing::Values(std::size_t{ 0 }, std::size_t{ 1 }));
}

const std::string sizedBody = "Content-Length: 5\r\n\r\nwhole";
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\n" + sizedBody;
const std::string interimHead = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(Status, BrokenAnswer,
    onAllRoutes({
        { "Sized000", "HTTP/1.1 000 Trouble\r\n" + sizedBody },
        { "Sized042", "HTTP/1.1 042 Trouble\r\n" + sizedBody },
        { "Sized099", "HTTP/1.0 099 Trouble\r\n" + sizedBody },
        { "UntilClose000", "HTTP/1.1 000 Trouble\r\n\r\nwhole" },
        { "Chunked001", "HTTP/1.1 001 Trouble\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        { "BehindInterim000", interimHead + "HTTP/1.1 000 Trouble\r\n" + sizedBody },
        { "BeforeAnswer000", "HTTP/1.1 000 Trouble\r\n\r\n" + wholeAnswer },
        { "BeforeInterim099", "HTTP/1.1 099 Trouble\r\n\r\n" + interimHead + wholeAnswer },
        { "Sized600", "HTTP/1.1 600 Trouble\r\n" + sizedBody },
        { "Sized999", "HTTP/1.1 999 Trouble\r\n" + sizedBody },
        { "SwitchedProtocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + wholeAnswer },
    }),
    BrokenAnswer::nameOf);

/// The codings of a body that is sent in one chunk.
std::string coded(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n";
}

INSTANTIATE_TEST_SUITE_P(Coding, BrokenAnswer,
    onAllRoutes({
        { "Gzip", coded("Transfer-Encoding: gzip\r\n") },
        { "Xchunked", coded("Transfer-Encoding: xchunked\r\n") },
        { "GzipThenChunked", coded("Transfer-Encoding: gzip, chunked\r\n") },
        { "ChunkedThenGzip", coded("Transfer-Encoding: chunked, gzip\r\n") },
        { "ChunkedTwice", coded("Transfer-Encoding: chunked, chunked\r\n") },
        { "ChunkedWithParameter", coded("Transfer-Encoding: chunked;a=b\r\n") },
        { "TwoFields", coded("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") },
        { "Identity", coded("Transfer-Encoding: identity\r\n") },
        { "NoCoding", coded("Transfer-Encoding:\r\n") },
        { "GzipWithLength", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + sizedBody },
        { "LengthThenGzip",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\nwhole" },
        { "ChunkedBeforeVersion11",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    }),
    BrokenAnswer::nameOf);

/// An answer whose head has this line before its other fields.
std::string withLine(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\nServer: x\r\n" + line + "\r\n" + sizedBody;
}

INSTANTIATE_TEST_SUITE_P(FieldName, BrokenAnswer,
    onAllRoutes({
        { "BlankWithin", withLine("Retry After: 1") },
        { "BlankBeforeColon", withLine("Retry-After : 1") },
        { "TabBeforeColon", withLine("Retry-After\t: 1") },
        { "BlankBeforeLength", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nwhole" },
        { "BlankBeforeCoding", coded("Transfer-Encoding : chunked\r\n") },
        { "ControlByte", withLine("Retry\x01-After: 1") },
        { "ZeroByte", withLine(std::string("Retry\0After: 1", 14)) },
        { "Delete", withLine("Retry-After\x7f: 1") },
        { "Empty", withLine(": 1") },
        { "NoColon", withLine("Retry-After") },
        { "LeadingBlank", withLine(" Retry-After: 1") },
        { "LeadingTab", withLine("\tRetry-After: 1") },
        { "LeadingBlankInFirstLine", "HTTP/1.1 200 OK\r\n Server: x\r\n" + sizedBody },
        { "LeadingBlankBeforeLength",
            "HTTP/1.1 200 OK\r\nServer: x\r\n Content-Length: 2\r\n\r\nwhole" },
        { "LeadingBlankBeforeCoding", coded("Server: x\r\n Transfer-Encoding: chunked\r\n") },
        { "BareLineFeed", "HTTP/1.1 200 OK\nServer: x\r\n" + sizedBody },
        { "BareLineFeedInField", withLine("Server: x\nRetry-After: 1") },
        { "BareCarriageReturn", withLine("Server: x\rRetry-After: 1") },
    }),
    BrokenAnswer::nameOf);

} // namespace
} // namespace wigeonsill
