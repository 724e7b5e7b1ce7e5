#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace ggv::detail {

/**
 * @brief Size of the header of a record; all files of a LogStore consist of checksummed records.
 *
 * Layout, little-endian: magic u32, body length u32, checksum u64, body. The checksum is seeded
 * with the location of the record, so that a copy in another file or at another offset is invalid.
 */
inline constexpr std::size_t RecordHeaderBytes = 16;

//! Location of a record; seeds its checksum.
struct RecordLocation
{
    std::uint64_t owner = 0; //!< Member id.
    std::uint64_t file = 0; //!< Number of the file.
    std::uint64_t offset = 0; //!< In bytes from the start of the file.

    [[nodiscard]] auto operator<=>(const RecordLocation &) const = default;
};

/**
 * @brief Encodes a record.
 * @param out The record is appended here.
 * @param location Location that the record will have.
 * @param body Content of the record.
 */
void appendRecord(Bytes &out, const RecordLocation &location, ByteView body);

/**
 * @brief Decodes the record at a location.
 * @param file Content of the file.
 * @param location Location of the record.
 * @return View of the body; std::nullopt if there is no valid record at this location.
 */
[[nodiscard]] std::optional<ByteView> parseRecord(ByteView file,
                                                  const RecordLocation &location) noexcept;

//! Encodes little-endian integers and byte strings.
class ByteWriter
{
public:
    //! @param out Encoded values are appended here; must outlive the writer.
    explicit ByteWriter(Bytes &out) noexcept
        : m_out(out)
    { }

    void putU8(std::uint8_t value) { m_out.push_back(value); }
    void putU32(std::uint32_t value) { putLittleEndian(value, sizeof(value)); }
    void putU64(std::uint64_t value) { putLittleEndian(value, sizeof(value)); }
    void putBytes(ByteView bytes) { m_out.insert(m_out.end(), bytes.begin(), bytes.end()); }
    //! Writes the length as u64 before the bytes, so that more fields can follow.
    void putLengthPrefixed(ByteView bytes);

private:
    void putLittleEndian(std::uint64_t value, std::size_t size);

    Bytes &m_out;
};

//! Decodes the output of ByteWriter; functions throw Error StorageCorrupt when reading past the
//! end.
class ByteReader
{
public:
    //! @param bytes Encoded values; must outlive the reader.
    explicit ByteReader(ByteView bytes) noexcept
        : m_bytes(bytes)
    { }

    [[nodiscard]] std::uint8_t getU8() { return consume(1).front(); }
    [[nodiscard]] std::uint32_t getU32();
    [[nodiscard]] std::uint64_t getU64();
    [[nodiscard]] ByteView getLengthPrefixed();
    //! @return All remaining bytes.
    [[nodiscard]] ByteView getRemaining() noexcept;

private:
    ByteView consume(std::size_t size);

    ByteView m_bytes;
};

} // namespace ggv::detail
