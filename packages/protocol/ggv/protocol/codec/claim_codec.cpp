#include <ggv/protocol/codec/claim_codec.hpp>

#include <ggv/state/core/error.hpp>

#include <cstddef>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace ggv {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Bounds against bytes that announce more than they hold.
constexpr std::size_t MaxArrayElements = 10'000;
constexpr std::size_t MaxDepth = 16;

// Alternatives on the wire; numbers are never reused.
enum class WireKind : std::uint8_t {
    Request = 1,
    Completion = 2,
    Release = 3,
    Probe = 4,
    Outcome = 5,
    Settlement = 6,
};

[[noreturn]] void fail(const std::string &reason)
{
    throw Error(ResultCode::ProtocolViolation, "claim message: " + reason);
}

// Fields of a msgpack array, taken one after the other; all of them must be taken.
class Fields
{
public:
    explicit Fields(const msgpack::object &object)
        : m_array(object.as<std::vector<msgpack::object>>())
    { }

    [[nodiscard]] const msgpack::object &next()
    {
        if (m_taken == m_array.size())
            fail("field is missing");
        return m_array[m_taken++];
    }

    template <typename Value>
    [[nodiscard]] Value take()
    {
        return next().as<Value>();
    }

    template <typename Enum>
    [[nodiscard]] Enum takeEnum(Enum last)
    {
        const auto number = take<std::underlying_type_t<Enum>>();
        if (number > static_cast<std::underlying_type_t<Enum>>(last))
            fail("number is out of range");
        return static_cast<Enum>(number);
    }

    void finish() const
    {
        if (m_taken != m_array.size())
            fail("unknown field");
    }

private:
    std::vector<msgpack::object> m_array;
    std::size_t m_taken = 0;
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
    Fields fields(object);
    KeyDigest key;
    key.high = fields.take<std::uint64_t>();
    key.low = fields.take<std::uint64_t>();
    fields.finish();
    return key;
}

// ClaimId and ClaimCallId: a process and a number within it.
void packId(Packer &packer, std::uint64_t process, std::uint64_t sequence)
{
    packArray(packer, process, sequence);
}

template <typename Id>
Id readId(const msgpack::object &object)
{
    Fields fields(object);
    const auto process = fields.take<std::uint64_t>();
    const auto sequence = fields.take<std::uint64_t>();
    fields.finish();
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
    Fields fields(object);
    StoredAnswer answer;
    answer.status = fields.take<std::uint16_t>();
    answer.headers = fields.take<std::vector<HeaderField>>();
    answer.body = fields.take<Bytes>();
    answer.complete = fields.take<bool>();
    fields.finish();
    return answer;
}

void packKind(Packer &packer, WireKind kind) { packer.pack(static_cast<std::uint8_t>(kind)); }

// Packs each alternative as an array that begins with its kind.
struct ContentPacker
{
    Packer &packer;

    void operator()(const ClaimRequest &request) const
    {
        packer.pack_array(6);
        packKind(packer, WireKind::Request);
        packKey(packer, request.key);
        packId(packer, request.claim.host, request.claim.sequence);
        packer.pack(request.fingerprint);
        packer.pack(request.keyTime);
        packer.pack(request.seenPosition);
    }

    void operator()(const ClaimCompletion &completion) const
    {
        packer.pack_array(4);
        packKind(packer, WireKind::Completion);
        packKey(packer, completion.key);
        packId(packer, completion.claim.host, completion.claim.sequence);
        packAnswer(packer, completion.answer);
    }

    void operator()(const ClaimRelease &release) const
    {
        packer.pack_array(3);
        packKind(packer, WireKind::Release);
        packKey(packer, release.key);
        packId(packer, release.claim.host, release.claim.sequence);
    }

    void operator()(const ClaimProbe &) const
    {
        packer.pack_array(1);
        packKind(packer, WireKind::Probe);
    }

    void operator()(const ClaimOutcome &outcome) const
    {
        packer.pack_array(3);
        packKind(packer, WireKind::Outcome);
        packer.pack(static_cast<std::uint8_t>(outcome.decision));
        if (outcome.answer)
            packAnswer(packer, *outcome.answer);
        else
            packer.pack_nil();
    }

    void operator()(const ClaimSettlement &settlement) const
    {
        packer.pack_array(2);
        packKind(packer, WireKind::Settlement);
        packer.pack(settlement.accepted);
    }
};

ClaimRequest readRequest(Fields &fields)
{
    ClaimRequest request;
    request.key = readKey(fields.next());
    request.claim = readId<ClaimId>(fields.next());
    request.fingerprint = fields.take<std::uint64_t>();
    request.keyTime = fields.take<UnixMillis>();
    request.seenPosition = fields.take<std::uint64_t>();
    return request;
}

ClaimCompletion readCompletion(Fields &fields)
{
    ClaimCompletion completion;
    completion.key = readKey(fields.next());
    completion.claim = readId<ClaimId>(fields.next());
    completion.answer = readAnswer(fields.next());
    return completion;
}

ClaimRelease readRelease(Fields &fields)
{
    ClaimRelease release;
    release.key = readKey(fields.next());
    release.claim = readId<ClaimId>(fields.next());
    return release;
}

ClaimCommand readCommandOf(WireKind kind, Fields &fields)
{
    switch (kind) {
    case WireKind::Request:
        return readRequest(fields);
    case WireKind::Completion:
        return readCompletion(fields);
    case WireKind::Release:
        return readRelease(fields);
    case WireKind::Probe:
        return ClaimProbe {};
    default:
        fail("unknown command");
    }
}

ClaimCommand readCommand(const msgpack::object &object)
{
    Fields fields(object);
    const auto kind = fields.takeEnum(WireKind::Settlement);
    auto command = readCommandOf(kind, fields);
    fields.finish();
    return command;
}

ClaimOutcome readOutcome(Fields &fields)
{
    ClaimOutcome outcome;
    outcome.decision = fields.takeEnum(ClaimDecision::Stale);
    const auto &answer = fields.next();
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
    Fields fields(object);
    ClaimReply reply;
    reply.position = fields.take<std::uint64_t>();
    Fields content(fields.next());
    const auto kind = content.takeEnum(WireKind::Settlement);
    if (kind == WireKind::Outcome)
        reply.content = readOutcome(content);
    else if (kind == WireKind::Settlement)
        reply.content = ClaimSettlement { content.take<bool>() };
    else
        fail("unknown reply");
    content.finish();
    fields.finish();
    return reply;
}

template <typename Pack>
Bytes packed(Pack pack)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    pack(packer);
    const auto *const begin = reinterpret_cast<const std::uint8_t *>(buf.data());
    return { begin, begin + buf.size() };
}

// Reads one msgpack value that must fill the bytes.
template <typename Read>
auto unpacked(ByteView bytes, Read read)
{
    try {
        std::size_t offset = 0;
        const auto *const data = reinterpret_cast<const char *>(bytes.data());
        const msgpack::unpack_limit limit(MaxArrayElements, 0, bytes.size(), bytes.size(), 0,
                                          MaxDepth);
        const auto handle = msgpack::unpack(data, bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            fail("trailing bytes");
        return read(handle.get());
    } catch (const msgpack::type_error &) {
        fail("field of another type");
    } catch (const msgpack::unpack_error &) {
        fail("not msgpack");
    }
}

} // namespace

Bytes encodeClaimLogEntry(const ClaimLogEntry &entry)
{
    return packed([&entry](Packer &packer) {
        packer.pack_array(2);
        packer.pack(entry.time);
        std::visit(ContentPacker { packer }, entry.command);
    });
}

ClaimLogEntry decodeClaimLogEntry(ByteView bytes)
{
    return unpacked(bytes, [](const msgpack::object &object) {
        Fields fields(object);
        ClaimLogEntry entry;
        entry.time = fields.take<UnixMillis>();
        entry.command = readCommand(fields.next());
        fields.finish();
        return entry;
    });
}

Bytes encodeClaimReply(const ClaimReply &reply)
{
    return packed([&reply](Packer &packer) { packReply(packer, reply); });
}

ClaimReply decodeClaimReply(ByteView bytes) { return unpacked(bytes, readReply); }

Bytes encodeClaimCall(const ClaimCall &call)
{
    return packed([&call](Packer &packer) {
        packer.pack_array(2);
        packId(packer, call.id.process, call.id.sequence);
        std::visit(ContentPacker { packer }, call.command);
    });
}

ClaimCall decodeClaimCall(ByteView bytes)
{
    return unpacked(bytes, [](const msgpack::object &object) {
        Fields fields(object);
        ClaimCall call;
        call.id = readId<ClaimCallId>(fields.next());
        call.command = readCommand(fields.next());
        fields.finish();
        return call;
    });
}

Bytes encodeClaimCallAnswer(const ClaimCallAnswer &answer)
{
    return packed([&answer](Packer &packer) {
        packer.pack_array(4);
        packId(packer, answer.id.process, answer.id.sequence);
        packer.pack(static_cast<std::uint16_t>(answer.code));
        packer.pack(answer.leader);
        packReply(packer, answer.reply);
    });
}

ClaimCallAnswer decodeClaimCallAnswer(ByteView bytes)
{
    return unpacked(bytes, [](const msgpack::object &object) {
        Fields fields(object);
        ClaimCallAnswer answer;
        answer.id = readId<ClaimCallId>(fields.next());
        answer.code = static_cast<ResultCode>(fields.take<std::uint16_t>());
        answer.leader = fields.take<MemberId>();
        answer.reply = readReply(fields.next());
        fields.finish();
        return answer;
    });
}

} // namespace ggv
