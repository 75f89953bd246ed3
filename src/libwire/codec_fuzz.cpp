/// \file codec_fuzz.cpp
/// Fuzz target: frames between entries and agents of the product's own interface.
#include "wigeonsill/wire.h"

#include "fuzz/fuzztarget.h"

namespace wigeonsill {

std::vector<std::string> fuzzSeeds()
{
    return { encodeFrame(EntryFrame(EntryHello{})),
        encodeFrame(EntryFrame(EntryMessage(Reserve{}))),
        encodeFrame(EntryFrame(EntryMessage(Bind{}))), encodeFrame(AgentMessage(AgentHello{})),
        encodeFrame(AgentMessage(Pull{})) };
}

} // namespace wigeonsill

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wigeonsill;
    const std::string_view bytes = fuzzText(data, size);
    if (const auto frame = decodeEntryFrame(bytes)) {
        fuzzRequire(decodeEntryFrame(encodeFrame(frame.value())).has_value(),
            "a decoded frame of an entry can't be sent");
    }
    if (const auto frame = decodeAgentFrame(bytes)) {
        fuzzRequire(decodeAgentFrame(encodeFrame(frame.value())).has_value(),
            "a decoded frame of an agent can't be sent");
    }
    return 0;
}
