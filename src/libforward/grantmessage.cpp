/// \file grantmessage.cpp
/// Encoding and decoding of grant messages with Cap'n Proto.
#include "grantmessage.h"

#include "grant.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace wigeonsill {

std::string encode(const GrantMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::GrantMessage>();
    root.setKind(static_cast<schema::GrantKind>(message.kind));
    root.setSender(message.sender);
    root.setTicket(message.profile.reservationId.number);
    root.setRequestId(message.profile.requestId.c_str());
    root.setPromptTokens(message.profile.promptTokens);
    root.setOutputTokens(message.profile.outputTokens);
    root.setGenerated(message.generated);
    root.setLatencyLeftUs(message.profile.latencyLeft.count());
    root.setWaitLeftUs(message.profile.waitLeft.count());
    root.setTimeLeftUs(message.profile.timeLeft.count());
    root.setSlots(static_cast<std::uint32_t>(message.slots));
    root.setFreeSlots(static_cast<std::uint32_t>(message.load.freeSlots));
    root.setWaiting(static_cast<std::uint32_t>(message.load.waiting));
    root.setStartDelayUs(message.load.startDelay.count());
    root.setPrefillPerMs(message.load.prefillTokensPerMs);
    root.setDecodePerMs(message.load.decodeTokensPerMs);
    root.setTargetStartedMs(message.load.startedMs);
    root.setWorth(message.profile.utility);
    root.setLateShare(message.profile.lateShare);
    root.setEntries(static_cast<std::uint32_t>(message.usage.sharingEntries));
    root.setMemoryUs(message.usage.collectorAge.count());
    const std::size_t count = message.ownUsage.size() + message.usage.othersUsage.size();
    auto uses = root.initUses(static_cast<unsigned>(count));
    unsigned index = 0;
    for (const auto &[organisation, use] : message.ownUsage) {
        uses[index].setOrganisation(organisation.c_str());
        uses[index].setAmount(use.inWindow);
        uses[index].setTotal(use.total);
        uses[index].setDemand(use.demand);
        ++index;
    }
    for (const auto &[organisation, amount] : message.usage.othersUsage) {
        uses[index].setOrganisation(organisation.c_str());
        uses[index].setAmount(amount);
        const auto demand = message.usage.othersDemand.find(organisation);
        uses[index].setDemand(demand == message.usage.othersDemand.end() ? 0 : demand->second);
        ++index;
    }
    // Packed encoding: traffic between failure domains is charged, and most fields are zero.
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const auto bytes = packed.getArray().asChars();
    return { bytes.begin(), bytes.size() };
}

std::optional<GrantMessage> decodeGrantMessage(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const kj::byte *>(bytes.data());
    try {
        kj::ArrayInputStream packed(kj::ArrayPtr<const kj::byte>(data, bytes.size()));
        capnp::PackedMessageReader reader(packed);
        const auto root = reader.getRoot<schema::GrantMessage>();
        GrantMessage message;
        message.kind = static_cast<GrantKind>(root.getKind());
        message.sender = root.getSender();
        message.profile.reservationId.number = root.getTicket();
        message.profile.requestId = root.getRequestId().cStr();
        message.profile.promptTokens = root.getPromptTokens();
        message.profile.outputTokens = root.getOutputTokens();
        message.generated = root.getGenerated();
        message.profile.latencyLeft = Duration(root.getLatencyLeftUs());
        message.profile.waitLeft = Duration(root.getWaitLeftUs());
        message.profile.timeLeft = Duration(root.getTimeLeftUs());
        message.slots = static_cast<int>(root.getSlots());
        message.load.freeSlots = static_cast<int>(root.getFreeSlots());
        message.load.waiting = static_cast<int>(root.getWaiting());
        message.load.startDelay = Duration(root.getStartDelayUs());
        message.load.prefillTokensPerMs = root.getPrefillPerMs();
        message.load.decodeTokensPerMs = root.getDecodePerMs();
        message.load.startedMs = root.getTargetStartedMs();
        message.profile.utility = root.getWorth();
        message.profile.lateShare = root.getLateShare();
        message.usage.sharingEntries = static_cast<int>(root.getEntries());
        message.usage.collectorAge = Duration(root.getMemoryUs());
        for (const auto &use : root.getUses()) {
            const std::string organisation = use.getOrganisation().cStr();
            if (message.kind == GrantKind::Usage) {
                message.ownUsage[organisation]
                    = { use.getAmount(), use.getTotal(), use.getDemand() };
            } else {
                message.usage.othersUsage[organisation] = use.getAmount();
                message.usage.othersDemand[organisation] = use.getDemand();
            }
        }
        return message;
    } catch (const kj::Exception &) {
        return std::nullopt; // Callers count malformed datagrams.
    }
}

} // namespace wigeonsill
