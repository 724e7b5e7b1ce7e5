#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>
#include <string>

namespace ggv {

//! Version of the wire format between hosts of the system.
inline constexpr std::uint32_t WireVersion = 1;

/**
 * @brief Encodes a consensus message.
 * @param message The message.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodeRaftMessage(const RaftMessage &message);

/**
 * @brief Decodes a consensus message.
 * @param bytes msgpack bytes.
 * @return The message.
 * @throws Error ProtocolViolation if the bytes are not such a message.
 */
[[nodiscard]] RaftMessage decodeRaftMessage(ByteView bytes);

} // namespace ggv
