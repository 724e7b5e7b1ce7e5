#include <ggv/state/storage/record.hpp>

#include <ggv/state/core/error.hpp>

#include <array>
#include <utility>

#include <xxhash.h>

namespace ggv::detail {

namespace {

constexpr std::uint32_t RecordMagic = 0x52564747;
constexpr unsigned BitsPerByte = 8;

std::uint64_t littleEndian(ByteView bytes) noexcept
{
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i > 0; --i)
        value = (value << BitsPerByte) | bytes[i - 1];
    return value;
}

std::uint64_t checksum(const RecordLocation &location, ByteView body) noexcept
{
    const std::array<std::uint64_t, 4> seedFields
        = { location.owner, location.file, location.offset, body.size() };
    const auto seed = XXH3_64bits(seedFields.data(), sizeof(seedFields));
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace

void ByteWriter::putLengthPrefixed(ByteView bytes)
{
    putU64(bytes.size());
    putBytes(bytes);
}

void ByteWriter::putLittleEndian(std::uint64_t value, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i)
        m_out.push_back(static_cast<std::uint8_t>(value >> (BitsPerByte * i)));
}

std::uint32_t ByteReader::getU32()
{
    return static_cast<std::uint32_t>(littleEndian(consume(sizeof(std::uint32_t))));
}

std::uint64_t ByteReader::getU64() { return littleEndian(consume(sizeof(std::uint64_t))); }

ByteView ByteReader::getLengthPrefixed() { return consume(getU64()); }

ByteView ByteReader::getRemaining() noexcept { return std::exchange(m_bytes, {}); }

ByteView ByteReader::consume(std::size_t size)
{
    if (size > m_bytes.size())
        throw Error(ResultCode::StorageCorrupt, "record body ends before the expected field");
    const ByteView consumed = m_bytes.first(size);
    m_bytes = m_bytes.subspan(size);
    return consumed;
}

void appendRecord(Bytes &out, const RecordLocation &location, ByteView body)
{
    ByteWriter writer(out);
    writer.putU32(RecordMagic);
    writer.putU32(static_cast<std::uint32_t>(body.size()));
    writer.putU64(checksum(location, body));
    writer.putBytes(body);
}

std::optional<ByteView> parseRecord(ByteView file, const RecordLocation &location) noexcept
{
    if (location.offset > file.size() || file.size() - location.offset < RecordHeaderBytes)
        return std::nullopt;
    const ByteView rest = file.subspan(location.offset);
    const auto size = littleEndian(rest.subspan(4, 4));
    if (littleEndian(rest.first(4)) != RecordMagic || size > rest.size() - RecordHeaderBytes)
        return std::nullopt;
    const ByteView body = rest.subspan(RecordHeaderBytes, size);
    if (littleEndian(rest.subspan(8, 8)) != checksum(location, body))
        return std::nullopt;
    return body;
}

} // namespace ggv::detail
