/// \file messagereader_fuzz.cpp
/// Fuzz target: HTTP messages of callers and targets. A whole message must not depend on the pieces
/// in which the bytes come.
#include "wigeonsill/http.h"

#include "fuzz/fuzztarget.h"

#include <algorithm>

namespace wigeonsill {
namespace {

constexpr std::uint32_t headLimit = 8'192;
constexpr std::uint64_t bodyLimit = 65'536;

struct ReadResult
{
    bool headComplete = false;
    bool complete = false;
    bool failed = false;
    int status = 0;
    std::size_t fieldCount = 0;
    std::string body;
    bool operator==(const ReadResult &) const = default;
};

/// Reads one message as a connection does.
template <typename Reader>
ReadResult readPieces(std::string_view bytes, std::size_t pieceSize)
{
    Reader reader(headLimit, bodyLimit);
    std::string pending;
    boost::system::error_code error;
    for (std::size_t at = 0; at < bytes.size() && !error && !reader.isComplete(); at += pieceSize) {
        pending += bytes.substr(at, pieceSize);
        const std::size_t consumed = reader.consume(pending, error);
        fuzzRequire(consumed <= pending.size(), "more bytes consumed than given");
        pending.erase(0, consumed);
    }
    ReadResult result;
    result.failed = error.failed();
    if (!result.failed) {
        result = { reader.isHeadComplete(), reader.isComplete(), false, reader.head().status,
            reader.isHeadComplete() ? reader.head().fields.size() : 0, reader.body() };
    }
    fuzzRequire(result.body.size() <= bodyLimit, "a body is larger than the limit");
    return result;
}

template <typename Reader>
void checkPieces(std::string_view bytes)
{
    // An error of a message that is not complete may be seen earlier or later.
    const ReadResult whole = readPieces<Reader>(bytes, bytes.size());
    for (const std::size_t size : { 1, 7, 64 }) {
        const ReadResult pieces = readPieces<Reader>(bytes, size);
        fuzzRequire(pieces.complete == whole.complete && (!whole.complete || pieces == whole),
            "the message depends on the pieces");
    }
}

/// What holds for each head that is taken for an answer's.
void checkSoundHead(std::string_view bytes)
{
    AnswerReader reader(headLimit, bodyLimit);
    boost::system::error_code error;
    reader.consume(bytes, error);
    if (!reader.isHeadComplete()) {
        return;
    }
    const MessageHead &head = reader.head();
    fuzzRequire(head.status >= 100 && head.status < 600, "a status is none of the protocol");
    fuzzRequire(!isAmbiguousHead(bytes.substr(0, bytes.find("\r\n\r\n") + 4)),
        "a line of a sound head continues another one, or ends without CRLF");
    for (const HttpField &field : head.fields) {
        const bool hasBlank = field.name.empty()
            || std::any_of(field.name.begin(), field.name.end(),
                [](char byte) { return byte <= ' ' || byte == '\x7f'; });
        fuzzRequire(!hasBlank, "the name of a field is empty, or holds a blank or a control byte");
        fuzzRequire(head.chunked || !equalsIgnoringCase(field.name, "Transfer-Encoding"),
            "a coding is ignored");
    }
}

} // namespace

std::vector<std::string> fuzzSeeds()
{
    const std::string chunkedRequest = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked";
    const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked";
    return {
        "GET /a?b HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
        chunkedRequest + "\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=3\r\n\r\nhello",
        chunkedAnswer + "\r\n\r\na\r\nid: 1\ndata\r\n2\r\n\n\n\r\n0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nRetry After: 1\r\nRetry\x01: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer: x\r\n Content-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    };
}

} // namespace wigeonsill

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wigeonsill;
    if (size > 0) {
        const std::string_view bytes = fuzzText(data, size);
        checkPieces<RequestReader>(bytes);
        checkPieces<AnswerReader>(bytes);
        checkSoundHead(bytes);
        isAmbiguousHead(bytes);
    }
    return 0;
}
