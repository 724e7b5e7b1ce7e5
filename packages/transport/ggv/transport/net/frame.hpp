#pragma once

#include <ggv/state/storage/disk.hpp>

#include <array>
#include <cstdint>

namespace ggv {

//! Largest payload of one frame in bytes; a longer one ends the connection.
inline constexpr std::uint32_t MaxFrameBytes = 64U * 1024 * 1024;

//! Bytes before each payload: its length, big endian.
inline constexpr std::size_t FrameHeaderBytes = 4;

/**
 * @brief Encodes the length that precedes a payload.
 * @param size Length of the payload in bytes; at most MaxFrameBytes.
 */
[[nodiscard]] std::array<std::uint8_t, FrameHeaderBytes> encodeFrameHeader(std::uint32_t size);

/**
 * @brief Decodes the length that precedes a payload.
 * @param header The bytes.
 * @return Length in bytes.
 * @throws Error ProtocolViolation if it is above MaxFrameBytes.
 */
[[nodiscard]] std::uint32_t
decodeFrameHeader(const std::array<std::uint8_t, FrameHeaderBytes> &header);

} // namespace ggv
