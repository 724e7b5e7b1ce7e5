#pragma once

#include <ggv/state/claim/key_store.hpp>

#include <cstdint>

namespace ggv::detail {

//! Logical time and positions of a claim table.
struct TableClock
{
    UnixMillis now = 0; //!< Latest time in the log.
    std::uint64_t position = 0; //!< Number of applied operations.
    std::uint64_t floor = 0; //!< Claims with an earlier seenPosition are rejected.
    std::uint64_t nextFloor = 0; //!< Becomes the floor once it is attemptWindow old.
    UnixMillis nextFloorTime = 0;
};

/**
 * @brief Encodes a table; equal content yields equal bytes.
 * @param clock Time and positions.
 * @param keys The keys.
 * @return Encoded table, followed by a checksum.
 */
[[nodiscard]] Bytes encodeTable(const TableClock &clock, const KeyStore &keys);

/**
 * @brief Decodes a table.
 * @param bytes Result of encodeTable().
 * @param clock Receives time and positions.
 * @param keys Receives the keys; must be empty.
 * @throws Error StorageCorrupt if the bytes are corrupt.
 */
void decodeTable(ByteView bytes, TableClock &clock, KeyStore &keys);

} // namespace ggv::detail
