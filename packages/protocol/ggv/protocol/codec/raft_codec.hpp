#pragma once

#include <ggv/protocol/message/membership.hpp>
#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

/**
 * @brief Encodes a consensus message.
 * @param message Message to encode.
 * @return The msgpack encoding.
 */
[[nodiscard]] Bytes encodeRaftMessage(const RaftMessage &message);

/**
 * @brief Decodes a consensus message.
 * @param bytes msgpack bytes.
 * @return The decoded message.
 * @throws Error ProtocolViolation if the bytes are not a valid consensus message.
 */
[[nodiscard]] RaftMessage decodeRaftMessage(ByteView bytes);

/**
 * @brief Encodes the members of a quorum.
 * @param membership Members to encode.
 * @return The msgpack encoding.
 */
[[nodiscard]] Bytes encodeMembership(const Membership &membership);

/**
 * @brief Decodes the members of a quorum.
 * @param bytes msgpack bytes.
 * @return The decoded members.
 * @throws Error ProtocolViolation if the bytes are not a valid membership.
 */
[[nodiscard]] Membership decodeMembership(ByteView bytes);

} // namespace ggv
