/// \file codec.cpp
/// Conversion between messages and Cap'n Proto.
#include "wigeonsill.capnp.h"
#include "wigeonsill/wire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace wigeonsill {

namespace {

// Encoding --------------------------------------------------------------------------------------

void write(schema::Incarnation::Builder out, const Incarnation &value)
{
    out.setHigh(value.high);
    out.setLow(value.low);
}

void write(schema::RequestId::Builder out, const RequestId &value)
{
    write(out.initEntry(), value.entry);
    out.setSequence(value.sequence);
}

void write(schema::Location::Builder out, const Location &value)
{
    out.setInstance(value.instance);
    out.setRegion(value.region);
    out.setFailureDomain(value.failureDomain);
}

void write(capnp::List<schema::Header>::Builder out, const Headers &headers)
{
    for (unsigned i = 0; i < headers.size(); ++i) {
        out[i].setName(headers[i].name);
        out[i].setValue(headers[i].value);
    }
}

void write(capnp::List<schema::PoolFloor>::Builder out, const std::vector<PoolFloor> &floors)
{
    for (unsigned i = 0; i < floors.size(); ++i) {
        out[i].setPool(floors[i].pool);
        out[i].setLowestServed(static_cast<std::uint8_t>(floors[i].lowestServed));
        out[i].setRemainingUs(floors[i].remaining.count());
    }
}

capnp::Data::Reader toData(const std::string &bytes)
{
    return { reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size() };
}

void write(schema::RequestProfile::Builder out, const RequestProfile &value)
{
    write(out.initId(), value.id);
    out.setTier(static_cast<std::uint8_t>(value.tier));
    out.setOrganisation(value.organisation);
    out.setPool(value.pool);
    out.setWeight(value.weight);
    out.setPromptTokens(value.promptTokens);
    out.setOutputTokens(value.outputTokens);
    auto hashes = out.initPrefixHashes(static_cast<unsigned>(value.prefixHashes.size()));
    for (unsigned i = 0; i < value.prefixHashes.size(); ++i) {
        hashes.set(i, value.prefixHashes[i]);
    }
    out.setTimeLeftUs(value.timeLeft.count());
    out.setNonIdempotent(value.nonIdempotent);
    out.setPreemption(static_cast<std::uint8_t>(value.preemption));
    out.setService(value.service);
    out.setWeighting(static_cast<std::uint8_t>(value.weighting));
}

void write(schema::ForwardedRequest::Builder out, const ForwardedRequest &value)
{
    out.setMethod(value.method);
    out.setPath(value.path);
    write(out.initHeaders(static_cast<unsigned>(value.headers.size())), value.headers);
    out.setBody(toData(value.body));
}

struct EntryFrameWriter
{
    schema::EntryFrame::Builder out;

    void operator()(const EntryHello &message)
    {
        auto hello = this->out.initHello();
        write(hello.initIncarnation(), message.incarnation);
        write(hello.initLocation(), message.location);
    }
    void operator()(const EntryMessage &message) { std::visit(*this, message); }
    void operator()(const Reserve &message) { write(this->out.initReserve(), message.profile); }
    void operator()(const Withdraw &message) { write(this->out.initWithdraw(), message.id); }
    void operator()(const Bind &message)
    {
        auto bind = this->out.initBind();
        write(bind.initProfile(), message.profile);
        write(bind.initRequest(), message.request);
    }
    void operator()(const Decline &message) { write(this->out.initDecline(), message.id); }
    void operator()(const CancelRun &message) { write(this->out.initCancelRun(), message.id); }
    void operator()(const Resume &message)
    {
        auto resume = this->out.initResume();
        write(resume.initId(), message.id);
        resume.setOffset(message.offset);
        resume.setNeedHead(message.needHead);
    }
    void operator()(const Acknowledge &message)
    {
        auto acknowledge = this->out.initAcknowledge();
        write(acknowledge.initId(), message.id);
        acknowledge.setOffset(message.offset);
        acknowledge.setFinal(message.final);
    }
    void operator()(const EntryHeartbeat &message)
    {
        auto heartbeat = this->out.initHeartbeat();
        heartbeat.setConfigurationRevision(message.configurationRevision);
        write(heartbeat.initFloors(static_cast<unsigned>(message.floors.size())), message.floors);
        heartbeat.setFloorSequence(message.floorSequence);
    }
};

struct AgentFrameWriter
{
    schema::AgentFrame::Builder out;

    void operator()(const AgentHello &message)
    {
        auto hello = this->out.initHello();
        write(hello.initIncarnation(), message.incarnation);
        write(hello.initLocation(), message.location);
        auto pools = hello.initPools(static_cast<unsigned>(message.pools.size()));
        for (unsigned i = 0; i < message.pools.size(); ++i) {
            pools.set(i, message.pools[i]);
        }
        hello.setDraining(message.draining);
    }
    void operator()(const Pull &message) { write(this->out.initPull(), message.id); }
    void operator()(const ReservationEnded &message)
    {
        auto ended = this->out.initReservationEnded();
        write(ended.initId(), message.id);
        ended.setReason(static_cast<std::uint16_t>(message.reason));
        write(ended.initFloors(static_cast<unsigned>(message.floors.size())), message.floors);
    }
    void operator()(const AnswerHead &message)
    {
        auto head = this->out.initAnswerHead();
        write(head.initId(), message.id);
        head.setStatus(message.status);
        write(head.initHeaders(static_cast<unsigned>(message.headers.size())), message.headers);
    }
    void operator()(const AnswerBytes &message)
    {
        auto bytes = this->out.initAnswerBytes();
        write(bytes.initId(), message.id);
        bytes.setOffset(message.offset);
        bytes.setBytes(toData(message.bytes));
    }
    void operator()(const AnswerEnd &message)
    {
        auto end = this->out.initAnswerEnd();
        write(end.initId(), message.id);
        end.setResult(static_cast<std::uint16_t>(message.result));
        end.setTotalBytes(message.totalBytes);
        end.setPromptTokens(message.promptTokens);
        end.setCachedTokens(message.cachedTokens);
        end.setOutputTokens(message.outputTokens);
    }
    void operator()(const NotRun &message)
    {
        auto notRun = this->out.initNotRun();
        write(notRun.initId(), message.id);
        notRun.setReason(static_cast<std::uint16_t>(message.reason));
    }
    void operator()(const StillRunning &message)
    {
        write(this->out.initStillRunning(), message.id);
    }
    void operator()(const AgentHeartbeat &message)
    {
        auto heartbeat = this->out.initHeartbeat();
        heartbeat.setConfigurationRevision(message.configurationRevision);
        heartbeat.setDraining(message.draining);
        heartbeat.setTokensInFlight(message.tokensInFlight);
        heartbeat.setTokenLimit(message.tokenLimit);
        heartbeat.setRunning(message.running);
        heartbeat.setWaiting(message.waiting);
        write(heartbeat.initFloors(static_cast<unsigned>(message.floors.size())), message.floors);
        heartbeat.setFloorSequence(message.floorSequence);
        heartbeat.setTokensPerSecond(message.tokensPerSecond);
        auto waits = heartbeat.initExpectedWaitUs(tierCount);
        for (unsigned i = 0; i < tierCount; ++i) {
            waits.set(i, message.expectedWait[i].count());
        }
    }
};

std::string toBytes(capnp::MallocMessageBuilder &builder)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

// Decoding --------------------------------------------------------------------------------------

std::string toText(capnp::Text::Reader text)
{
    return { text.begin(), text.size() };
}

std::string toBytes(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

Incarnation read(schema::Incarnation::Reader in)
{
    return { in.getHigh(), in.getLow() };
}

RequestId read(schema::RequestId::Reader in)
{
    return { read(in.getEntry()), in.getSequence() };
}

Location read(schema::Location::Reader in)
{
    return { toText(in.getInstance()), toText(in.getRegion()), toText(in.getFailureDomain()) };
}

Headers read(capnp::List<schema::Header>::Reader in)
{
    Headers headers;
    headers.reserve(in.size());
    for (const auto header : in) {
        headers.push_back({ toText(header.getName()), toText(header.getValue()) });
    }
    return headers;
}

/// Maps values above the last enumerator to the last enumerator.
template <class E>
E toEnum(std::uint8_t value, E last)
{
    return static_cast<E>(std::min(value, static_cast<std::uint8_t>(last)));
}

std::vector<PoolFloor> read(capnp::List<schema::PoolFloor>::Reader in)
{
    std::vector<PoolFloor> floors;
    floors.reserve(in.size());
    for (const auto floor : in) {
        floors.push_back({ toText(floor.getPool()), toEnum(floor.getLowestServed(), Tier::Bulk),
            Duration(floor.getRemainingUs()) });
    }
    return floors;
}

RequestProfile read(schema::RequestProfile::Reader in)
{
    RequestProfile profile;
    profile.id = read(in.getId());
    profile.tier = toEnum(in.getTier(), Tier::Bulk);
    profile.organisation = toText(in.getOrganisation());
    profile.pool = toText(in.getPool());
    profile.weight = in.getWeight();
    profile.promptTokens = in.getPromptTokens();
    profile.outputTokens = in.getOutputTokens();
    for (const std::uint64_t hash : in.getPrefixHashes()) {
        profile.prefixHashes.push_back(hash);
    }
    profile.timeLeft = Duration(in.getTimeLeftUs());
    profile.nonIdempotent = in.getNonIdempotent();
    profile.preemption = toEnum(in.getPreemption(), Preemption::IdempotentOnly);
    profile.service = toText(in.getService());
    profile.weighting = toEnum(in.getWeighting(), Weighting::Prefill);
    return profile;
}

ForwardedRequest read(schema::ForwardedRequest::Reader in)
{
    return { toText(in.getMethod()), toText(in.getPath()), read(in.getHeaders()),
        toBytes(in.getBody()) };
}

ResultCode toResultCode(std::uint16_t value)
{
    return static_cast<ResultCode>(value);
}

EntryFrame read(schema::EntryFrame::Reader in)
{
    switch (in.which()) {
    case schema::EntryFrame::HELLO:
        return EntryHello{ read(in.getHello().getIncarnation()),
            read(in.getHello().getLocation()) };
    case schema::EntryFrame::RESERVE:
        return Reserve{ read(in.getReserve()) };
    case schema::EntryFrame::WITHDRAW:
        return Withdraw{ read(in.getWithdraw()) };
    case schema::EntryFrame::BIND:
        return Bind{ read(in.getBind().getProfile()), read(in.getBind().getRequest()) };
    case schema::EntryFrame::DECLINE:
        return Decline{ read(in.getDecline()) };
    case schema::EntryFrame::CANCEL_RUN:
        return CancelRun{ read(in.getCancelRun()) };
    case schema::EntryFrame::RESUME:
        return Resume{ read(in.getResume().getId()), in.getResume().getOffset(),
            in.getResume().getNeedHead() };
    case schema::EntryFrame::ACKNOWLEDGE:
        return Acknowledge{ read(in.getAcknowledge().getId()), in.getAcknowledge().getOffset(),
            in.getAcknowledge().getFinal() };
    case schema::EntryFrame::HEARTBEAT:
        return EntryHeartbeat{ in.getHeartbeat().getConfigurationRevision(),
            read(in.getHeartbeat().getFloors()), in.getHeartbeat().getFloorSequence() };
    }
    KJ_FAIL_REQUIRE("unknown message kind");
}

AgentHello read(schema::AgentHello::Reader in)
{
    AgentHello hello{ read(in.getIncarnation()), read(in.getLocation()), {}, in.getDraining() };
    for (const auto pool : in.getPools()) {
        hello.pools.push_back(toText(pool));
    }
    return hello;
}

AgentHeartbeat read(schema::AgentHeartbeat::Reader in)
{
    AgentHeartbeat heartbeat;
    heartbeat.configurationRevision = in.getConfigurationRevision();
    heartbeat.draining = in.getDraining();
    heartbeat.tokensInFlight = in.getTokensInFlight();
    heartbeat.tokenLimit = in.getTokenLimit();
    heartbeat.running = in.getRunning();
    heartbeat.waiting = in.getWaiting();
    heartbeat.floors = read(in.getFloors());
    heartbeat.floorSequence = in.getFloorSequence();
    heartbeat.tokensPerSecond = in.getTokensPerSecond();
    const auto waits = in.getExpectedWaitUs();
    for (unsigned i = 0; i < std::min<unsigned>(waits.size(), tierCount); ++i) {
        heartbeat.expectedWait[i] = Duration(waits[i]);
    }
    return heartbeat;
}

AnswerEnd read(schema::AnswerEnd::Reader in)
{
    return { read(in.getId()), toResultCode(in.getResult()), in.getTotalBytes(),
        in.getPromptTokens(), in.getCachedTokens(), in.getOutputTokens() };
}

AgentMessage read(schema::AgentFrame::Reader in)
{
    switch (in.which()) {
    case schema::AgentFrame::HELLO:
        return read(in.getHello());
    case schema::AgentFrame::PULL:
        return Pull{ read(in.getPull()) };
    case schema::AgentFrame::RESERVATION_ENDED:
        return ReservationEnded{ read(in.getReservationEnded().getId()),
            toResultCode(in.getReservationEnded().getReason()),
            read(in.getReservationEnded().getFloors()) };
    case schema::AgentFrame::ANSWER_HEAD:
        return AnswerHead{ read(in.getAnswerHead().getId()), in.getAnswerHead().getStatus(),
            read(in.getAnswerHead().getHeaders()) };
    case schema::AgentFrame::ANSWER_BYTES:
        return AnswerBytes{ read(in.getAnswerBytes().getId()), in.getAnswerBytes().getOffset(),
            toBytes(in.getAnswerBytes().getBytes()) };
    case schema::AgentFrame::ANSWER_END:
        return read(in.getAnswerEnd());
    case schema::AgentFrame::NOT_RUN:
        return NotRun{ read(in.getNotRun().getId()), toResultCode(in.getNotRun().getReason()) };
    case schema::AgentFrame::STILL_RUNNING:
        return StillRunning{ read(in.getStillRunning()) };
    case schema::AgentFrame::HEARTBEAT:
        return read(in.getHeartbeat());
    }
    KJ_FAIL_REQUIRE("unknown message kind");
}

/// Decodes one message. Converts the exceptions by which Cap'n Proto reports errors to a result.
template <class Schema, class T>
Result<T> decode(std::string_view bytes)
{
    if (bytes.size() % sizeof(capnp::word) != 0) {
        return Error{ ResultCode::MessageMalformed,
            "length is not a multiple of the Cap'n Proto word size" };
    }
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::copy(bytes.begin(), bytes.end(), words.asBytes().begin());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 4 * maximumFrameBytes / sizeof(capnp::word);
        capnp::FlatArrayMessageReader reader(words, options);
        return T(read(reader.getRoot<Schema>()));
    } catch (const kj::Exception &exception) {
        return Error{ ResultCode::MessageMalformed, exception.getDescription().cStr() };
    }
}

} // namespace

std::string encodeFrame(const EntryFrame &frame)
{
    capnp::MallocMessageBuilder builder;
    std::visit(EntryFrameWriter{ builder.initRoot<schema::EntryFrame>() }, frame);
    return toBytes(builder);
}

std::string encodeFrame(const AgentMessage &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(AgentFrameWriter{ builder.initRoot<schema::AgentFrame>() }, message);
    return toBytes(builder);
}

Result<EntryFrame> decodeEntryFrame(std::string_view bytes)
{
    return decode<schema::EntryFrame, EntryFrame>(bytes);
}

Result<AgentMessage> decodeAgentFrame(std::string_view bytes)
{
    return decode<schema::AgentFrame, AgentMessage>(bytes);
}

} // namespace wigeonsill
