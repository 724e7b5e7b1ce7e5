#pragma once

#include <ggv/state/storage/disk.hpp>

#include <array>
#include <cstdint>

namespace ggv {

//! Maximum payload of a frame in bytes; a larger frame closes the connection.
inline constexpr std::uint32_t MaxFrameBytes = 64U * 1024 * 1024;

//! Size of the frame header: the payload length as a big-endian integer.
inline constexpr std::size_t FrameHeaderBytes = 4;

/**
 * @brief Encodes the header of a frame.
 * @param size Length of the payload in bytes; at most MaxFrameBytes.
 */
[[nodiscard]] std::array<std::uint8_t, FrameHeaderBytes> encodeFrameHeader(std::uint32_t size);

/**
 * @brief Decodes the header of a frame.
 * @param header Encoded header.
 * @return Length of the payload in bytes.
 * @throws Error ProtocolViolation if the length exceeds MaxFrameBytes.
 */
[[nodiscard]] std::uint32_t
decodeFrameHeader(const std::array<std::uint8_t, FrameHeaderBytes> &header);

} // namespace ggv
