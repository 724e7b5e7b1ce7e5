#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace ggv::detail {

/**
 * @brief Checksummed records, the unit of every file of a LogStore.
 *
 * Layout, little-endian: magic u32, body length u32, checksum u64, body. The checksum is seeded by
 * the place of the record, so that a record copied to another file or offset is not valid there.
 */
inline constexpr std::size_t RecordHeaderBytes = 16;

//! Where a record stands; seeds its checksum.
struct RecordLocation
{
    std::uint64_t owner = 0; //!< Member id.
    std::uint64_t file = 0; //!< Number of the file.
    std::uint64_t offset = 0; //!< In bytes from the start of the file.

    [[nodiscard]] auto operator<=>(const RecordLocation &) const = default;
};

/**
 * @brief Appends a record.
 * @param out Receives the bytes.
 * @param place Where the record will stand.
 * @param body Its content.
 */
void appendRecord(Bytes &out, const RecordLocation &location, ByteView body);

/**
 * @brief Reads one record.
 * @param file Bytes of the file.
 * @param place Where the record stands in it.
 * @return View of the body; nothing if there is no valid record.
 */
[[nodiscard]] std::optional<ByteView> parseRecord(ByteView file,
                                                  const RecordLocation &location) noexcept;

//! Appends little-endian integers to bytes.
class ByteWriter
{
public:
    //! @param out Receives the bytes; outlives the writer.
    explicit ByteWriter(Bytes &out) noexcept
        : m_out(out)
    { }

    void putU8(std::uint8_t value) { m_out.push_back(value); }
    void putU32(std::uint32_t value) { putLittleEndian(value, sizeof(value)); }
    void putU64(std::uint64_t value) { putLittleEndian(value, sizeof(value)); }
    void putBytes(ByteView bytes) { m_out.insert(m_out.end(), bytes.begin(), bytes.end()); }
    //! Length first, so that more fields can follow.
    void putLengthPrefixed(ByteView bytes);

private:
    void putLittleEndian(std::uint64_t value, std::size_t size);

    Bytes &m_out;
};

//! Reads what ByteWriter wrote; every function throws Error StorageCorrupt past the end.
class ByteReader
{
public:
    //! @param bytes The content; outlives the reader.
    explicit ByteReader(ByteView bytes) noexcept
        : m_bytes(bytes)
    { }

    [[nodiscard]] std::uint8_t getU8() { return take(1).front(); }
    [[nodiscard]] std::uint32_t getU32();
    [[nodiscard]] std::uint64_t getU64();
    [[nodiscard]] ByteView getLengthPrefixed();
    //! @return Everything that is left.
    [[nodiscard]] ByteView getRemaining() noexcept;

private:
    ByteView take(std::size_t size);

    ByteView m_bytes;
};

} // namespace ggv::detail
