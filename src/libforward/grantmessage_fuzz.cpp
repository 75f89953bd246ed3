/// \file grantmessage_fuzz.cpp
/// Fuzz target: datagrams between entries and agents.
#include "grantmessage.h"

#include "fuzz/fuzztarget.h"

namespace wigeonsill {

std::vector<std::string> fuzzSeeds()
{
    std::vector<std::string> seeds;
    for (int kind = 0; kind <= static_cast<int>(GrantKind::Permits); ++kind) {
        GrantMessage message;
        message.kind = static_cast<GrantKind>(kind);
        message.sender = 7;
        message.profile.reservationId.number = 11;
        message.load.startedMs = 1'000;
        message.ownUsage["hot"] = { 100, 5'100, 20 };
        message.usage.othersUsage["hot"] = 300;
        message.usage.othersDemand["hot"] = 30;
        message.usage.sharingEntries = 3;
        message.targetId = "engine-1.1";
        seeds.push_back(encode(message));
    }
    return seeds;
}

} // namespace wigeonsill

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wigeonsill;
    constexpr std::size_t largestDatagram = 8'192;
    if (size > largestDatagram) {
        return 0;
    }
    const auto message = decodeGrantMessage(fuzzText(data, size));
    if (message) {
        const auto again = decodeGrantMessage(encode(*message));
        fuzzRequire(again.has_value(), "what was decoded can't be sent");
        fuzzRequire(again->kind == message->kind && again->sender == message->sender
                && again->profile.reservationId == message->profile.reservationId,
            "what was decoded is sent as something else");
    }
    return 0;
}
