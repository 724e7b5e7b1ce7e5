#include <ggv/state/claim/table_codec.hpp>

#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <type_traits>
#include <utility>

#include <xxhash.h>

namespace ggv::detail {

namespace {

constexpr std::uint32_t TableMagic = 0x31434747; // "GGC1"
constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);
constexpr std::size_t FixedBytes = 64; // At least magic, clock, count and checksum.
constexpr std::size_t SmallestKeyBytes = 29; // Digest, fingerprint, minute, state.
constexpr unsigned BitsPerByte = 8;

[[noreturn]] void fail(const char *reason)
{
    throw Error(ResultCode::StorageCorrupt, std::string("claim table: ") + reason);
}

// Appends integers in little-endian order.
class Writer
{
public:
    template <typename Integer>
    void put(Integer value)
    {
        auto bits = static_cast<std::uint64_t>(value);
        std::array<std::uint8_t, sizeof(Integer)> buf {};
        for (auto &byte : buf) {
            byte = static_cast<std::uint8_t>(bits);
            bits >>= BitsPerByte;
        }
        m_bytes.insert(m_bytes.end(), buf.begin(), buf.end());
    }

    template <typename Range>
    void putSized(const Range &range)
    {
        put(static_cast<std::uint32_t>(range.size()));
        m_bytes.insert(m_bytes.end(), range.begin(), range.end());
    }

    void reserve(std::size_t size) { m_bytes.reserve(size); }

    [[nodiscard]] Bytes finish()
    {
        put(std::uint64_t { XXH3_64bits(m_bytes.data(), m_bytes.size()) });
        return std::move(m_bytes);
    }

private:
    Bytes m_bytes;
};

// Reads what Writer wrote; every read checks the bounds.
class Reader
{
public:
    explicit Reader(ByteView bytes)
        : m_rest(bytes)
    { }

    template <typename Integer>
    [[nodiscard]] Integer take()
    {
        const auto part = takeBytes(sizeof(Integer));
        std::uint64_t bits = 0;
        for (std::size_t it = sizeof(Integer); it > 0; --it)
            bits = (bits << BitsPerByte) | part[it - 1];
        return static_cast<Integer>(bits);
    }

    template <typename Range>
    [[nodiscard]] Range takeSized()
    {
        const auto part = takeBytes(take<std::uint32_t>());
        return Range(part.begin(), part.end());
    }

    [[nodiscard]] std::size_t remaining() const noexcept { return m_rest.size(); }

private:
    [[nodiscard]] ByteView takeBytes(std::size_t size)
    {
        if (size > m_rest.size())
            fail("too short");
        const auto part = m_rest.first(size);
        m_rest = m_rest.subspan(size);
        return part;
    }

    ByteView m_rest;
};

void putClock(Writer &writer, const TableClock &clock)
{
    writer.put(clock.now);
    writer.put(clock.position);
    writer.put(clock.floor);
    writer.put(clock.nextFloor);
    writer.put(clock.nextFloorTime);
}

TableClock takeClock(Reader &reader)
{
    TableClock clock;
    clock.now = reader.take<UnixMillis>();
    clock.position = reader.take<std::uint64_t>();
    clock.floor = reader.take<std::uint64_t>();
    clock.nextFloor = reader.take<std::uint64_t>();
    clock.nextFloorTime = reader.take<UnixMillis>();
    return clock;
}

void putAnswer(Writer &writer, const StoredAnswer &answer)
{
    writer.put(answer.status);
    writer.put(static_cast<std::uint8_t>(answer.complete));
    writer.put(static_cast<std::uint32_t>(answer.headers.size()));
    for (const auto &[name, value] : answer.headers) {
        writer.putSized(name);
        writer.putSized(value);
    }
    writer.putSized(answer.body);
}

StoredAnswer takeAnswer(Reader &reader)
{
    StoredAnswer answer;
    answer.status = reader.take<std::uint16_t>();
    answer.complete = reader.take<std::uint8_t>() != 0;
    const auto count = reader.take<std::uint32_t>();
    for (std::uint32_t it = 0; it < count; ++it) {
        auto name = reader.takeSized<std::string>();
        auto value = reader.takeSized<std::string>();
        answer.headers.emplace_back(std::move(name), std::move(value));
    }
    answer.body = reader.takeSized<Bytes>();
    return answer;
}

void putRecord(Writer &writer, KeyState state, const KeyRecord &record)
{
    writer.put(record.holder.host);
    writer.put(record.holder.sequence);
    if (state == KeyState::Held)
        return;
    writer.put(record.position);
    if (state == KeyState::Released)
        return;
    writer.put(record.time);
    putAnswer(writer, *record.answer);
}

KeyRecord takeRecord(Reader &reader, KeyState state)
{
    KeyRecord record;
    record.holder.host = reader.take<std::uint64_t>();
    record.holder.sequence = reader.take<std::uint64_t>();
    if (state == KeyState::Held)
        return record;
    record.position = reader.take<std::uint64_t>();
    if (state == KeyState::Released)
        return record;
    record.time = reader.take<UnixMillis>();
    record.answer = std::make_unique<StoredAnswer>(takeAnswer(reader));
    return record;
}

void putSlot(Writer &writer, const Slot &slot, const KeyStore &keys)
{
    writer.put(slot.key.high);
    writer.put(slot.key.low);
    writer.put(slot.fingerprint);
    writer.put(std::uint32_t { slot.keyMinute });
    writer.put(static_cast<std::uint8_t>(slot.state()));
    if (slot.state() != KeyState::Tombstone)
        putRecord(writer, slot.state(), keys.recordOf(slot));
}

// A key and its record, as read.
struct ReadKey
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t keyMinute = 0;
    KeyState state = KeyState::Empty;
    KeyRecord record;
};

ReadKey takeKey(Reader &reader)
{
    ReadKey read;
    read.key.high = reader.take<std::uint64_t>();
    read.key.low = reader.take<std::uint64_t>();
    read.fingerprint = reader.take<std::uint64_t>();
    read.keyMinute = reader.take<std::uint32_t>();
    const auto state = reader.take<std::uint8_t>();
    if (state == 0 || state > static_cast<std::uint8_t>(KeyState::Released))
        fail("unknown state of a key");
    if (read.keyMinute > MaxKeyMinute)
        fail("time of a key is out of range");
    read.state = static_cast<KeyState>(state);
    if (read.state != KeyState::Tombstone)
        read.record = takeRecord(reader, read.state);
    return read;
}

// Adds a key to the store; keys that are ordered by position must come in that order.
void addKey(KeyStore &keys, ReadKey read)
{
    if (keys.find(read.key) != nullptr)
        fail("a key occurs twice");
    auto &slot = keys.add(read.key, read.keyMinute);
    slot.fingerprint = read.fingerprint;
    if (read.state == KeyState::Held)
        keys.hold(slot, read.record.holder);
    if (read.state == KeyState::Released)
        keys.release(slot, read.record.holder, read.record.position);
    if (read.state == KeyState::Finished)
        keys.finish(slot, std::move(read.record));
}

ByteView verified(ByteView bytes)
{
    if (bytes.size() < ChecksumBytes)
        fail("too short");
    const auto content = bytes.first(bytes.size() - ChecksumBytes);
    Reader trailer(bytes.last(ChecksumBytes));
    if (trailer.take<std::uint64_t>() != XXH3_64bits(content.data(), content.size()))
        fail("wrong checksum");
    return content;
}

} // namespace

Bytes encodeTable(const TableClock &clock, const KeyStore &keys)
{
    Writer writer;
    writer.reserve(FixedBytes + keys.size() * SmallestKeyBytes + keys.answerBytes());
    writer.put(TableMagic);
    putClock(writer, clock);
    writer.put(keys.size());
    keys.forEachSorted([&](const Slot &slot) { putSlot(writer, slot, keys); });
    return writer.finish();
}

void decodeTable(ByteView bytes, TableClock &clock, KeyStore &keys)
{
    Reader reader(verified(bytes));
    if (reader.take<std::uint32_t>() != TableMagic)
        fail("not a claim table");
    clock = takeClock(reader);
    const auto count = reader.take<std::uint64_t>();
    std::vector<ReadKey> ordered;
    for (std::uint64_t it = 0; it < count; ++it) {
        auto read = takeKey(reader);
        if (read.record.position == 0)
            addKey(keys, std::move(read));
        else
            ordered.push_back(std::move(read));
    }
    if (reader.remaining() != 0)
        fail("trailing bytes");
    std::sort(ordered.begin(), ordered.end(), [](const ReadKey &left, const ReadKey &right) {
        return left.record.position < right.record.position;
    });
    for (auto &read : ordered)
        addKey(keys, std::move(read));
}

} // namespace ggv::detail
