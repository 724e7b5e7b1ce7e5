#pragma once

#include <ggv/state/claim/key_store.hpp>

#include <cstdint>

namespace ggv::detail {

//! Time and positions of a claim table.
struct TableClock
{
    UnixMillis now = 0; //!< Largest time in the log.
    std::uint64_t position = 0; //!< Number of operations.
    std::uint64_t floor = 0; //!< Claims with an earlier seenPosition are refused.
    std::uint64_t nextFloor = 0; //!< Becomes the floor when it is an attempt window old.
    UnixMillis nextFloorTime = 0;
};

/**
 * @brief Encodes a table: equal content gives equal bytes.
 * @param clock Time and positions.
 * @param keys The keys.
 * @return Bytes that end with a checksum.
 */
[[nodiscard]] Bytes encodeTable(const TableClock &clock, const KeyStore &keys);

/**
 * @brief Decodes a table.
 * @param bytes Result of encodeTable().
 * @param clock Receives time and positions.
 * @param keys Receives the keys; empty before.
 * @throws Error StorageCorrupt if the bytes are damaged.
 */
void decodeTable(ByteView bytes, TableClock &clock, KeyStore &keys);

} // namespace ggv::detail
