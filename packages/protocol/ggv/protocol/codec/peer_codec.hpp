#pragma once

#include <ggv/protocol/message/peer_message.hpp>

namespace ggv {

/**
 * @brief Encodes a message between hosts.
 * @param message The message.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodePeerMessage(const PeerMessage &message);

/**
 * @brief Decodes a message between hosts.
 * @param bytes msgpack bytes.
 * @return The message.
 * @throws Error ProtocolViolation if the bytes are not such a message.
 */
[[nodiscard]] PeerMessage decodePeerMessage(ByteView bytes);

} // namespace ggv
