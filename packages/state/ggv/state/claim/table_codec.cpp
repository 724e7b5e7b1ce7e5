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
constexpr std::size_t FixedBytes = 64; // Covers magic number, clock, key count and checksum.
constexpr std::size_t SmallestKeyBytes = 29; // Digest, fingerprint, minute and state.
constexpr unsigned BitsPerByte = 8;

[[noreturn]] void throwCorrupt(const char *reason)
{
    throw Error(ResultCode::StorageCorrupt, std::string("claim table: ") + reason);
}

// Appends integers in little-endian order.
class Writer
{
public:
    template <typename Integer>
    void write(Integer value)
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
    void writeSized(const Range &range)
    {
        write(static_cast<std::uint32_t>(range.size()));
        m_bytes.insert(m_bytes.end(), range.begin(), range.end());
    }

    void reserve(std::size_t size) { m_bytes.reserve(size); }

    [[nodiscard]] Bytes finish()
    {
        write(std::uint64_t { XXH3_64bits(m_bytes.data(), m_bytes.size()) });
        return std::move(m_bytes);
    }

private:
    Bytes m_bytes;
};

// Reads integers and ranges written by Writer; every read is bounds-checked.
class Reader
{
public:
    explicit Reader(ByteView bytes)
        : m_rest(bytes)
    { }

    template <typename Integer>
    [[nodiscard]] Integer read()
    {
        const auto part = readBytes(sizeof(Integer));
        std::uint64_t bits = 0;
        for (std::size_t it = sizeof(Integer); it > 0; --it)
            bits = (bits << BitsPerByte) | part[it - 1];
        return static_cast<Integer>(bits);
    }

    template <typename Range>
    [[nodiscard]] Range readSized()
    {
        const auto part = readBytes(read<std::uint32_t>());
        return Range(part.begin(), part.end());
    }

    [[nodiscard]] std::size_t remaining() const noexcept { return m_rest.size(); }

private:
    [[nodiscard]] ByteView readBytes(std::size_t size)
    {
        if (size > m_rest.size())
            throwCorrupt("unexpected end of data");
        const auto part = m_rest.first(size);
        m_rest = m_rest.subspan(size);
        return part;
    }

    ByteView m_rest;
};

void writeClock(Writer &writer, const TableClock &clock)
{
    writer.write(clock.now);
    writer.write(clock.position);
    writer.write(clock.floor);
    writer.write(clock.nextFloor);
    writer.write(clock.nextFloorTime);
}

TableClock readClock(Reader &reader)
{
    TableClock clock;
    clock.now = reader.read<UnixMillis>();
    clock.position = reader.read<std::uint64_t>();
    clock.floor = reader.read<std::uint64_t>();
    clock.nextFloor = reader.read<std::uint64_t>();
    clock.nextFloorTime = reader.read<UnixMillis>();
    return clock;
}

void writeAnswer(Writer &writer, const StoredAnswer &answer)
{
    writer.write(answer.status);
    writer.write(static_cast<std::uint8_t>(answer.complete));
    writer.write(static_cast<std::uint32_t>(answer.headers.size()));
    for (const auto &[name, value] : answer.headers) {
        writer.writeSized(name);
        writer.writeSized(value);
    }
    writer.writeSized(answer.body);
}

StoredAnswer readAnswer(Reader &reader)
{
    StoredAnswer answer;
    answer.status = reader.read<std::uint16_t>();
    answer.complete = reader.read<std::uint8_t>() != 0;
    const auto count = reader.read<std::uint32_t>();
    for (std::uint32_t it = 0; it < count; ++it) {
        auto name = reader.readSized<std::string>();
        auto value = reader.readSized<std::string>();
        answer.headers.emplace_back(std::move(name), std::move(value));
    }
    answer.body = reader.readSized<Bytes>();
    return answer;
}

void writeRecord(Writer &writer, KeyState state, const KeyRecord &record)
{
    writer.write(record.holder.host);
    writer.write(record.holder.sequence);
    if (state == KeyState::Held)
        return;
    writer.write(record.position);
    if (state == KeyState::Released)
        return;
    writer.write(record.time);
    writeAnswer(writer, *record.answer);
}

KeyRecord readRecord(Reader &reader, KeyState state)
{
    KeyRecord record;
    record.holder.host = reader.read<std::uint64_t>();
    record.holder.sequence = reader.read<std::uint64_t>();
    if (state == KeyState::Held)
        return record;
    record.position = reader.read<std::uint64_t>();
    if (state == KeyState::Released)
        return record;
    record.time = reader.read<UnixMillis>();
    record.answer = std::make_unique<StoredAnswer>(readAnswer(reader));
    return record;
}

void writeSlot(Writer &writer, const Slot &slot, const KeyStore &keys)
{
    writer.write(slot.key.high);
    writer.write(slot.key.low);
    writer.write(slot.fingerprint);
    writer.write(std::uint32_t { slot.keyMinute });
    writer.write(static_cast<std::uint8_t>(slot.state()));
    if (slot.state() != KeyState::Tombstone)
        writeRecord(writer, slot.state(), keys.recordOf(slot));
}

// A decoded key and its record.
struct DecodedKey
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t keyMinute = 0;
    KeyState state = KeyState::Empty;
    KeyRecord record;
};

DecodedKey readKey(Reader &reader)
{
    DecodedKey decoded;
    decoded.key.high = reader.read<std::uint64_t>();
    decoded.key.low = reader.read<std::uint64_t>();
    decoded.fingerprint = reader.read<std::uint64_t>();
    decoded.keyMinute = reader.read<std::uint32_t>();
    const auto state = reader.read<std::uint8_t>();
    if (state == 0 || state > static_cast<std::uint8_t>(KeyState::Released))
        throwCorrupt("invalid key state");
    if (decoded.keyMinute > MaxKeyMinute)
        throwCorrupt("creation time of a key is out of range");
    decoded.state = static_cast<KeyState>(state);
    if (decoded.state != KeyState::Tombstone)
        decoded.record = readRecord(reader, decoded.state);
    return decoded;
}

// Adds a key to the store; finished and released keys must be added in the order of their
// positions.
void addKey(KeyStore &keys, DecodedKey decoded)
{
    if (keys.find(decoded.key) != nullptr)
        throwCorrupt("duplicate key");
    auto &slot = keys.add(decoded.key, decoded.keyMinute);
    slot.fingerprint = decoded.fingerprint;
    if (decoded.state == KeyState::Held)
        keys.hold(slot, decoded.record.holder);
    if (decoded.state == KeyState::Released)
        keys.release(slot, decoded.record.holder, decoded.record.position);
    if (decoded.state == KeyState::Finished)
        keys.finish(slot, std::move(decoded.record));
}

ByteView verifiedContent(ByteView bytes)
{
    if (bytes.size() < ChecksumBytes)
        throwCorrupt("shorter than its checksum");
    const auto content = bytes.first(bytes.size() - ChecksumBytes);
    Reader trailer(bytes.last(ChecksumBytes));
    if (trailer.read<std::uint64_t>() != XXH3_64bits(content.data(), content.size()))
        throwCorrupt("checksum mismatch");
    return content;
}

} // namespace

Bytes encodeTable(const TableClock &clock, const KeyStore &keys)
{
    Writer writer;
    writer.reserve(FixedBytes + keys.size() * SmallestKeyBytes + keys.answerBytes());
    writer.write(TableMagic);
    writeClock(writer, clock);
    writer.write(keys.size());
    keys.forEachSorted([&](const Slot &slot) { writeSlot(writer, slot, keys); });
    return writer.finish();
}

void decodeTable(ByteView bytes, TableClock &clock, KeyStore &keys)
{
    Reader reader(verifiedContent(bytes));
    if (reader.read<std::uint32_t>() != TableMagic)
        throwCorrupt("invalid magic number");
    clock = readClock(reader);
    const auto count = reader.read<std::uint64_t>();
    std::vector<DecodedKey> ordered;
    for (std::uint64_t it = 0; it < count; ++it) {
        auto decoded = readKey(reader);
        if (decoded.record.position == 0)
            addKey(keys, std::move(decoded));
        else
            ordered.push_back(std::move(decoded));
    }
    if (reader.remaining() != 0)
        throwCorrupt("unexpected bytes after the last key");
    std::sort(ordered.begin(), ordered.end(), [](const DecodedKey &left, const DecodedKey &right) {
        return left.record.position < right.record.position;
    });
    for (auto &decoded : ordered)
        addKey(keys, std::move(decoded));
}

} // namespace ggv::detail
