#include <ggv/protocol/codec/claim_codec.hpp>

#include <ggv/state/core/error.hpp>

#include <cstddef>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace ggv {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Limits that protect against length prefixes larger than the actual content.
constexpr std::size_t MaxArrayElements = 10'000;
constexpr std::size_t MaxDepth = 16;

// Type tags of the alternatives on the wire; values are never reused.
enum class WireTag : std::uint8_t {
    Request = 1,
    Completion = 2,
    Release = 3,
    Probe = 4,
    Outcome = 5,
    Settlement = 6,
};

[[noreturn]] void throwViolation(const std::string &reason)
{
    throw Error(ResultCode::ProtocolViolation, "claim message: " + reason);
}

// Reads the fields of a msgpack array in order; finish() checks that all fields were read.
class ArrayReader
{
public:
    explicit ArrayReader(const msgpack::object &object)
        : m_array(object.as<std::vector<msgpack::object>>())
    { }

    [[nodiscard]] const msgpack::object &next()
    {
        if (m_index == m_array.size())
            throwViolation("missing field");
        return m_array[m_index++];
    }

    template <typename Value>
    [[nodiscard]] Value readNext()
    {
        return next().as<Value>();
    }

    template <typename Enum>
    [[nodiscard]] Enum readNextEnum(Enum last)
    {
        const auto number = readNext<std::underlying_type_t<Enum>>();
        if (number > static_cast<std::underlying_type_t<Enum>>(last))
            throwViolation("enumerator out of range");
        return static_cast<Enum>(number);
    }

    void finish() const
    {
        if (m_index != m_array.size())
            throwViolation("unexpected additional field");
    }

private:
    std::vector<msgpack::object> m_array;
    std::size_t m_index = 0;
};

template <typename... Values>
void packArray(Packer &packer, const Values &...values)
{
    packer.pack_array(sizeof...(values));
    (packer.pack(values), ...);
}

void packBytes(Packer &packer, const Bytes &bytes)
{
    const auto size = static_cast<std::uint32_t>(bytes.size());
    packer.pack_bin(size);
    packer.pack_bin_body(reinterpret_cast<const char *>(bytes.data()), size);
}

void packKey(Packer &packer, const KeyDigest &key) { packArray(packer, key.high, key.low); }

KeyDigest readKey(const msgpack::object &object)
{
    ArrayReader reader(object);
    KeyDigest key;
    key.high = reader.readNext<std::uint64_t>();
    key.low = reader.readNext<std::uint64_t>();
    reader.finish();
    return key;
}

// Packs a ClaimId or ClaimCallId: a process and a sequence number within the process.
void packId(Packer &packer, std::uint64_t process, std::uint64_t sequence)
{
    packArray(packer, process, sequence);
}

template <typename Id>
Id readId(const msgpack::object &object)
{
    ArrayReader reader(object);
    const auto process = reader.readNext<std::uint64_t>();
    const auto sequence = reader.readNext<std::uint64_t>();
    reader.finish();
    return { process, sequence };
}

void packAnswer(Packer &packer, const StoredAnswer &answer)
{
    packer.pack_array(4);
    packer.pack(answer.status);
    packer.pack(answer.headers);
    packBytes(packer, answer.body);
    packer.pack(answer.complete);
}

StoredAnswer readAnswer(const msgpack::object &object)
{
    ArrayReader reader(object);
    StoredAnswer answer;
    answer.status = reader.readNext<std::uint16_t>();
    answer.headers = reader.readNext<std::vector<HeaderField>>();
    answer.body = reader.readNext<Bytes>();
    answer.complete = reader.readNext<bool>();
    reader.finish();
    return answer;
}

void packTag(Packer &packer, WireTag tag) { packer.pack(static_cast<std::uint8_t>(tag)); }

// Packs each alternative as an array whose first element is its type tag.
struct ContentPacker
{
    Packer &packer;

    void operator()(const ClaimRequest &request) const
    {
        packer.pack_array(6);
        packTag(packer, WireTag::Request);
        packKey(packer, request.key);
        packId(packer, request.claim.host, request.claim.sequence);
        packer.pack(request.fingerprint);
        packer.pack(request.keyTime);
        packer.pack(request.seenPosition);
    }

    void operator()(const ClaimCompletion &completion) const
    {
        packer.pack_array(4);
        packTag(packer, WireTag::Completion);
        packKey(packer, completion.key);
        packId(packer, completion.claim.host, completion.claim.sequence);
        packAnswer(packer, completion.answer);
    }

    void operator()(const ClaimRelease &release) const
    {
        packer.pack_array(3);
        packTag(packer, WireTag::Release);
        packKey(packer, release.key);
        packId(packer, release.claim.host, release.claim.sequence);
    }

    void operator()(const ClaimProbe &) const
    {
        packer.pack_array(1);
        packTag(packer, WireTag::Probe);
    }

    void operator()(const ClaimOutcome &outcome) const
    {
        packer.pack_array(3);
        packTag(packer, WireTag::Outcome);
        packer.pack(static_cast<std::uint8_t>(outcome.decision));
        if (outcome.answer)
            packAnswer(packer, *outcome.answer);
        else
            packer.pack_nil();
    }

    void operator()(const ClaimSettlement &settlement) const
    {
        packer.pack_array(2);
        packTag(packer, WireTag::Settlement);
        packer.pack(settlement.accepted);
    }
};

ClaimRequest readRequest(ArrayReader &reader)
{
    ClaimRequest request;
    request.key = readKey(reader.next());
    request.claim = readId<ClaimId>(reader.next());
    request.fingerprint = reader.readNext<std::uint64_t>();
    request.keyTime = reader.readNext<UnixMillis>();
    request.seenPosition = reader.readNext<std::uint64_t>();
    return request;
}

ClaimCompletion readCompletion(ArrayReader &reader)
{
    ClaimCompletion completion;
    completion.key = readKey(reader.next());
    completion.claim = readId<ClaimId>(reader.next());
    completion.answer = readAnswer(reader.next());
    return completion;
}

ClaimRelease readRelease(ArrayReader &reader)
{
    ClaimRelease release;
    release.key = readKey(reader.next());
    release.claim = readId<ClaimId>(reader.next());
    return release;
}

ClaimCommand readCommandBody(WireTag tag, ArrayReader &reader)
{
    switch (tag) {
    case WireTag::Request:
        return readRequest(reader);
    case WireTag::Completion:
        return readCompletion(reader);
    case WireTag::Release:
        return readRelease(reader);
    case WireTag::Probe:
        return ClaimProbe {};
    default:
        throwViolation("unknown command type");
    }
}

ClaimCommand readCommand(const msgpack::object &object)
{
    ArrayReader reader(object);
    const auto tag = reader.readNextEnum(WireTag::Settlement);
    auto command = readCommandBody(tag, reader);
    reader.finish();
    return command;
}

ClaimOutcome readOutcome(ArrayReader &reader)
{
    ClaimOutcome outcome;
    outcome.decision = reader.readNextEnum(ClaimDecision::Stale);
    const auto &answer = reader.next();
    if (!answer.is_nil())
        outcome.answer = readAnswer(answer);
    return outcome;
}

void packReply(Packer &packer, const ClaimReply &reply)
{
    packer.pack_array(2);
    packer.pack(reply.position);
    std::visit(ContentPacker { packer }, reply.content);
}

ClaimReply readReply(const msgpack::object &object)
{
    ArrayReader reader(object);
    ClaimReply reply;
    reply.position = reader.readNext<std::uint64_t>();
    ArrayReader content(reader.next());
    const auto tag = content.readNextEnum(WireTag::Settlement);
    if (tag == WireTag::Outcome)
        reply.content = readOutcome(content);
    else if (tag == WireTag::Settlement)
        reply.content = ClaimSettlement { content.readNext<bool>() };
    else
        throwViolation("unknown reply type");
    content.finish();
    reader.finish();
    return reply;
}

template <typename Pack>
Bytes encodeWith(Pack pack)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    pack(packer);
    const auto *const begin = reinterpret_cast<const std::uint8_t *>(buffer.data());
    return { begin, begin + buffer.size() };
}

// Decodes a single msgpack value; rejects trailing bytes.
template <typename Read>
auto decodeWith(ByteView bytes, Read read)
{
    try {
        std::size_t offset = 0;
        const auto *const data = reinterpret_cast<const char *>(bytes.data());
        const msgpack::unpack_limit limit(MaxArrayElements, 0, bytes.size(), bytes.size(), 0,
                                          MaxDepth);
        const auto handle = msgpack::unpack(data, bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            throwViolation("trailing bytes after the message");
        return read(handle.get());
    } catch (const msgpack::type_error &) {
        throwViolation("field has an unexpected type");
    } catch (const msgpack::unpack_error &) {
        throwViolation("invalid msgpack encoding");
    }
}

} // namespace

Bytes encodeClaimLogEntry(const ClaimLogEntry &entry)
{
    return encodeWith([&entry](Packer &packer) {
        packer.pack_array(2);
        packer.pack(entry.time);
        std::visit(ContentPacker { packer }, entry.command);
    });
}

ClaimLogEntry decodeClaimLogEntry(ByteView bytes)
{
    return decodeWith(bytes, [](const msgpack::object &object) {
        ArrayReader reader(object);
        ClaimLogEntry entry;
        entry.time = reader.readNext<UnixMillis>();
        entry.command = readCommand(reader.next());
        reader.finish();
        return entry;
    });
}

Bytes encodeClaimReply(const ClaimReply &reply)
{
    return encodeWith([&reply](Packer &packer) { packReply(packer, reply); });
}

ClaimReply decodeClaimReply(ByteView bytes) { return decodeWith(bytes, readReply); }

Bytes encodeClaimCall(const ClaimCall &call)
{
    return encodeWith([&call](Packer &packer) {
        packer.pack_array(2);
        packId(packer, call.id.process, call.id.sequence);
        std::visit(ContentPacker { packer }, call.command);
    });
}

ClaimCall decodeClaimCall(ByteView bytes)
{
    return decodeWith(bytes, [](const msgpack::object &object) {
        ArrayReader reader(object);
        ClaimCall call;
        call.id = readId<ClaimCallId>(reader.next());
        call.command = readCommand(reader.next());
        reader.finish();
        return call;
    });
}

Bytes encodeClaimCallAnswer(const ClaimCallAnswer &answer)
{
    return encodeWith([&answer](Packer &packer) {
        packer.pack_array(4);
        packId(packer, answer.id.process, answer.id.sequence);
        packer.pack(static_cast<std::uint16_t>(answer.code));
        packer.pack(answer.leader);
        packReply(packer, answer.reply);
    });
}

ClaimCallAnswer decodeClaimCallAnswer(ByteView bytes)
{
    return decodeWith(bytes, [](const msgpack::object &object) {
        ArrayReader reader(object);
        ClaimCallAnswer answer;
        answer.id = readId<ClaimCallId>(reader.next());
        answer.code = static_cast<ResultCode>(reader.readNext<std::uint16_t>());
        answer.leader = reader.readNext<MemberId>();
        answer.reply = readReply(reader.next());
        reader.finish();
        return answer;
    });
}

} // namespace ggv
