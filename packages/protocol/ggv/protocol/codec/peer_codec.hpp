#pragma once

#include <ggv/protocol/message/peer_message.hpp>

namespace ggv {

/**
 * @brief Encodes a message between hosts.
 * @param message Message to encode.
 * @return The msgpack encoding of the message.
 */
[[nodiscard]] Bytes encodePeerMessage(const PeerMessage &message);

/**
 * @brief Decodes a message between hosts.
 * @param bytes msgpack bytes.
 * @return The decoded message.
 * @throws Error ProtocolViolation if the bytes are not a valid peer message.
 */
[[nodiscard]] PeerMessage decodePeerMessage(ByteView bytes);

} // namespace ggv
